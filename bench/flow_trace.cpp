// Replays one trace of flows and membership changes with three ways of choosing an upstream: the
// steering table with its predecessors, plain rendezvous hashing, and hashing modulo the targets.
// Prints CSV: flows broken although their upstream was alive, and the imbalance of open flows.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <xxhash.h>

#include "toucanusher/process/random.h"
#include "toucanusher/version/steering_table.h"

namespace toucanusher::bench {

namespace {

constexpr std::uint32_t flow_count = 14000; // 2000 for each of 7 upstreams
constexpr std::size_t balancers = 3;
constexpr std::uint64_t lag_steps = 3; // steps until one of the balancers learns of a change
constexpr double churn_rate =
    0.01; // share of flows that end in each step and are replaced by new ones

struct change {
    std::uint64_t step = 0;
    std::string description;
    std::function<void(std::vector<weighted_upstream>&)> apply;
};

upstream_ref ref(std::uint32_t number) {
    return {upstream_id{number}, incarnation_id{1}};
}

void set_weight(std::vector<weighted_upstream>& live, std::uint32_t number, std::uint32_t weight) {
    for (weighted_upstream& member : live)
        if (member.ref == ref(number))
            member.weight = weight;
}

std::vector<change> changes() {
    std::vector<change> all;
    all.push_back({100, "a cold upstream joins", [](auto& live) { live.push_back({ref(8), 75}); }});
    for (std::uint32_t quarter = 2; quarter <= 4; ++quarter)
        all.push_back({100 + 10 * (quarter - 1), "it warms up",
                       [quarter](auto& live) { set_weight(live, 8, 75 * quarter); }});
    all.push_back({500, "one drains", [](auto& live) { set_weight(live, 3, 0); }});
    all.push_back({900, "one dies", [](auto& live) {
                       std::erase_if(live, [](auto const& m) { return m.ref == ref(5); });
                   }});
    all.push_back({1300, "one joins", [](auto& live) { live.push_back({ref(9), 300}); }});
    return all;
}

// Chooses the upstream of a flow from the members that a balancer knows.
using choose_function =
    std::function<upstream_ref(std::uint64_t hash, std::vector<weighted_upstream> const&)>;

upstream_ref by_modulo(std::uint64_t hash, std::vector<weighted_upstream> const& live) {
    std::vector<upstream_ref> candidates;
    for (weighted_upstream const& member : live)
        if (member.weight > 0)
            candidates.push_back(member.ref);
    return candidates[hash % candidates.size()];
}

upstream_ref by_rendezvous(std::uint64_t hash, std::vector<weighted_upstream> const& live) {
    upstream_ref best{};
    std::uint64_t best_score = 0;
    for (weighted_upstream const& member : live) {
        std::uint64_t const pair[2] = {hash, value_of(member.ref.id)};
        std::uint64_t const score = XXH3_64bits(pair, sizeof pair);
        if (member.weight == 0 || score < best_score)
            continue;
        best = member.ref;
        best_score = score;
    }
    return best;
}

struct flow {
    std::uint64_t hash = 0;
    upstream_ref holder;
};

struct outcome {
    std::uint64_t broken = 0;
    std::map<std::uint64_t, double>
        imbalance; // by step: max/mean of flows over upstreams with a weight above 0
};

double imbalance_of(std::vector<flow> const& flows, std::vector<weighted_upstream> const& live) {
    std::map<upstream_ref, double> load;
    for (weighted_upstream const& member : live)
        if (member.weight > 0)
            load[member.ref] = 0;
    double total = 0;
    for (flow const& f : flows) {
        auto const at = load.find(f.holder);
        if (at == load.end())
            continue;
        at->second += 1;
        total += 1;
    }
    double most = 0;
    for (auto const& [upstream, count] : load)
        most = std::max(most, count);
    return most * static_cast<double>(load.size()) / total;
}

bool is_live(std::vector<weighted_upstream> const& live, upstream_ref upstream) {
    return std::any_of(live.begin(), live.end(),
                       [&](auto const& member) { return member.ref == upstream; });
}

// An empty `choose` selects the steering table, whose predecessors keep open flows at their holder.
outcome replay(choose_function const& choose) {
    auto const random = make_seeded_random(20261204);
    std::vector<weighted_upstream> live;
    for (std::uint32_t i = 1; i <= 7; ++i)
        live.push_back({ref(i), 300});
    std::vector<weighted_upstream> stale = live;
    std::uint64_t version = 1;
    steering_table table = steering_table{}.rebalanced(live, version_number{version});
    auto const choose_upstream = [&](std::uint64_t hash,
                                     std::vector<weighted_upstream> const& known) {
        if (choose)
            return choose(hash, known);
        return *table.owner(bucket_number{static_cast<std::uint32_t>(hash % buckets_per_service)});
    };
    std::vector<flow> flows(flow_count);
    for (flow& f : flows) {
        f.hash = random();
        f.holder = choose_upstream(f.hash, live);
    }
    outcome result;
    std::uint64_t changed_at = 0;
    auto const plan = changes();
    for (std::uint64_t step = 1; step <= 1700; ++step) {
        for (change const& item : plan) {
            if (item.step != step)
                continue;
            stale = live;
            item.apply(live);
            table = table.rebalanced(live, version_number{++version});
            changed_at = step;
        }
        if (step == changed_at + lag_steps)
            stale = live;
        for (flow& f : flows) {
            bool const ends = uniform_fraction(random) < churn_rate || !is_live(live, f.holder);
            if (ends) {
                f.hash = random();
                f.holder = choose_upstream(f.hash, live);
                continue;
            }
            bool const through_stale = random() % balancers == 0;
            auto const& known = through_stale ? stale : live;
            bool reaches = true;
            if (choose) {
                reaches = choose(f.hash, known) == f.holder;
            } else {
                bucket_number const bucket{
                    static_cast<std::uint32_t>(f.hash % buckets_per_service)};
                reaches =
                    *table.owner(bucket) == f.holder || table.is_predecessor(f.holder, bucket);
            }
            if (reaches)
                continue;
            ++result.broken;
            f.hash = random();
            f.holder = choose_upstream(f.hash, live);
        }
        if (step % 100 == 99)
            result.imbalance[step] = imbalance_of(flows, live);
    }
    return result;
}

} // namespace

} // namespace toucanusher::bench

int main() {
    using namespace toucanusher::bench;
    std::vector<std::pair<std::string, choose_function>> const strategies = {
        {"steering table", {}}, {"rendezvous", by_rendezvous}, {"modulo", by_modulo}};
    std::printf("way,flows_broken,imbalance_before,after_cold_join,after_drain,after_death,"
                "after_join,worst\n");
    for (auto const& [name, choose] : strategies) {
        outcome const result = replay(choose);
        double worst = 0;
        for (auto const& [step, value] : result.imbalance)
            worst = std::max(worst, value);
        std::printf("%s,%llu,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f\n", name.c_str(),
                    static_cast<unsigned long long>(result.broken), result.imbalance.at(99),
                    result.imbalance.at(499), result.imbalance.at(899), result.imbalance.at(1299),
                    result.imbalance.at(1699), worst);
    }
    return 0;
}
