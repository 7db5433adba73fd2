// Measures the cost of steering one packet, compared in the same run with two baselines: hashing
// modulo the targets and plain rendezvous hashing over them.
#include <benchmark/benchmark.h>

#include "bench/bench_fleet.h"
#include "toucanusher/connection/flow_table.h"
#include "toucanusher/connection/packet_steering.h"

namespace toucanusher::bench {

namespace {

constexpr endpoint self{0x7f000001, 7300};

// All variants build the same packet; only the choice of the target differs.
steered_packet make_packet(flow_key const& flow, endpoint agent, upstream_ref target,
                           std::uint32_t bucket) {
    return {agent,
            {flow, bucket_number{bucket}, version_number{1}, target, self, 0, std::string{}}};
}

struct target {
    upstream_ref ref;
    endpoint agent;
};

std::vector<target> make_targets(std::size_t count) {
    std::vector<target> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({{upstream_id{static_cast<std::uint32_t>(i)}, incarnation_id{1}},
                           make_upstream(0, i).agent});
    return targets;
}

void steer_by_modulo(benchmark::State& state) {
    auto const targets = make_targets(static_cast<std::size_t>(state.range(0)));
    std::uint32_t number = 0;
    for (auto _ : state) {
        flow_key const flow = make_flow(number++);
        target const& chosen = targets[hash_flow(flow) % targets.size()];
        benchmark::DoNotOptimize(make_packet(flow, chosen.agent, chosen.ref, 0));
    }
}

void steer_by_rendezvous(benchmark::State& state) {
    auto const targets = make_targets(static_cast<std::size_t>(state.range(0)));
    std::uint32_t number = 0;
    for (auto _ : state) {
        flow_key const flow = make_flow(number++);
        std::uint64_t const hash = hash_flow(flow);
        target const* best = nullptr;
        std::uint64_t best_score = 0;
        for (target const& candidate : targets) {
            std::uint64_t const pair[2] = {hash, value_of(candidate.ref.id)};
            std::uint64_t const score = XXH3_64bits(pair, sizeof pair);
            if (best == nullptr || score > best_score) {
                best = &candidate;
                best_score = score;
            }
        }
        benchmark::DoNotOptimize(make_packet(flow, best->agent, best->ref, 0));
    }
}

void steer_by_table(benchmark::State& state) {
    packet_steering steering({"b", self}, hash_flow);
    time_point const now{std::chrono::hours{1}};
    steering.apply_state(now, make_fleet(1, static_cast<std::size_t>(state.range(0))));
    std::uint32_t number = 0;
    for (auto _ : state) {
        flow_key const flow = make_flow(number++);
        benchmark::DoNotOptimize(
            steering.steer(now, {service_address(0), flow.caller, transport::udp, {}}));
    }
}

void find_flow(benchmark::State& state) {
    auto const count = static_cast<std::uint32_t>(state.range(0));
    flow_table table({.max_flows = count});
    time_point const now{std::chrono::hours{1}};
    for (std::uint32_t i = 0; i < count; ++i)
        table.open(now, make_flow(i), bucket_number{i % buckets_per_service});
    std::uint32_t number = 0;
    for (auto _ : state) {
        number = (number + 7919) % count;
        benchmark::DoNotOptimize(table.find(make_flow(number)));
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(table.memory_bytes()) / static_cast<double>(count);
}

void build_table(benchmark::State& state) {
    std::vector<weighted_upstream> live;
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(state.range(0)); ++i)
        live.push_back({{upstream_id{i}, incarnation_id{1}}, 300});
    steering_table const before = steering_table{}.rebalanced(live, version_number{1});
    live.push_back({{upstream_id{99999}, incarnation_id{1}}, 300});
    for (auto _ : state)
        benchmark::DoNotOptimize(before.rebalanced(live, version_number{2}));
}

BENCHMARK(steer_by_modulo)->Arg(7)->Arg(100)->Arg(1000);
BENCHMARK(steer_by_table)->Arg(7)->Arg(100)->Arg(1000);
BENCHMARK(steer_by_rendezvous)->Arg(7)->Arg(100)->Arg(1000);
BENCHMARK(find_flow)->Arg(2000)->Arg(30000)->Arg(300000);
BENCHMARK(build_table)->Arg(4)->Arg(7)->Arg(100)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace toucanusher::bench

BENCHMARK_MAIN();
