// Simulates load on the request decisions alone: one upstream, a manual clock and seeded arrivals.
// Compares the policy with baselines in one run and prints CSV: goodput by class, attempts per
// request, share of attempts refused by the upstream, and idle slots while requests waited.
//
// Usage: load_experiment [CSV FILE]; the table goes to the standard output as well.
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "toucanusher/process/random.h"
#include "toucanusher/request/request_executor.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher::bench {

namespace {

constexpr duration step = std::chrono::milliseconds{1};
constexpr std::uint32_t true_slots = 5;
constexpr auto run_time = std::chrono::milliseconds{20};
constexpr double capacity = 250; // runs a second: slots divided by the run time

struct policy {
    std::string name;
    bool first_come_first_served = false;
    bool check_deadlines = true;
    std::string queue_length = "64";
    std::string retry_percent = "10";
};

// Returns the arrivals a second of each class, given the seconds since the start.
using arrival_plan = std::function<std::array<double, request_class_count>(double seconds)>;

struct scenario {
    std::string name;
    arrival_plan arrivals;
    double seconds = 10;
    double shed_chance = 0; // share of attempts that the upstream refuses
    std::uint32_t announced_slots = true_slots;
    double count_from = 0; // seconds; requests that arrive earlier are not counted
};

struct experiment_counts {
    std::array<std::uint64_t, request_class_count> offered{};
    std::array<std::uint64_t, request_class_count> good{}; // done within the deadline
    std::uint64_t attempts = 0;
    std::uint64_t sheds = 0;
    std::uint64_t requests = 0;
    std::uint64_t steps_with_waiting = 0;
    std::uint64_t idle_slot_steps = 0; // while requests were waiting
};

struct running {
    start_attempt attempt;
    time_point ends{};
};

class experiment {
  public:
    experiment(policy const& tested, scenario const& tested_scenario, std::uint64_t seed)
        : scenario_(tested_scenario), random_(make_seeded_random(seed)) {
        auto state = std::make_shared<fleet_state>();
        auto const set = [&](std::string const& key, std::string const& value) {
            state->apply(write_claim{key, {"team", {"quotes", key}}, value, 1, {}});
        };
        set("kind", "request");
        set("queue_length", tested.queue_length);
        set("retry_percent", tested.retry_percent);
        upstream_announcement announcement;
        announcement.service = "quotes";
        announcement.name = "u1";
        announcement.slots = tested_scenario.announced_slots;
        state->apply(announce_upstream{announcement, {}});
        request_executor_options options;
        options.self = state->upstream_named("quotes", "u1")->ref;
        options.first_come_first_served = tested.first_come_first_served;
        options.check_deadlines = tested.check_deadlines;
        options.max_requests = 1000000;
        options.answer_retention = std::chrono::milliseconds{1};
        owner_ = std::make_unique<request_executor>(
            options, std::nullopt, std::make_shared<retry_budget>(), make_seeded_random(seed + 1));
        owner_->apply_state(clock_.now(), state);
    }

    experiment_counts run() {
        time_point const begun = clock_.now();
        while (true) {
            double const seconds = std::chrono::duration<double>(clock_.now() - begun).count();
            if (seconds >= scenario_.seconds)
                return counts_;
            counting_ = seconds >= scenario_.count_from;
            add_arrivals(seconds);
            finish_runs();
            perform(owner_->on_tick(clock_.now()));
            if (owner_->waiting() > 0) {
                ++counts_.steps_with_waiting;
                counts_.idle_slot_steps +=
                    true_slots - std::min<std::size_t>(true_slots, runs_.size());
            }
            clock_.advance(step);
        }
    }

  private:
    void add_arrivals(double seconds) {
        auto const rates = scenario_.arrivals(seconds);
        for (std::size_t kind = 0; kind < request_class_count; ++kind) {
            due_arrivals_[kind] += rates[kind] * std::chrono::duration<double>(step).count();
            for (; due_arrivals_[kind] >= 1; due_arrivals_[kind] -= 1)
                begin(static_cast<request_class>(kind));
        }
    }

    void begin(request_class kind) {
        request_part part;
        part.id = {random_(), random_()};
        part.kind = kind;
        part.idempotent = true;
        part.deadline = std::chrono::milliseconds{kind == request_class::bulk ? 1000 : 400};
        if (counting_) {
            counted_[part.id] = {kind, clock_.now() + part.deadline};
            ++counts_.offered[static_cast<std::size_t>(kind)];
        }
        ++counts_.requests;
        perform(owner_->on_part(clock_.now(), {}, {}, {}, part));
    }

    void perform(request_actions actions) {
        for (request_action& action : actions) {
            if (auto* start = std::get_if<start_attempt>(&action))
                start_run(*start);
            else if (auto* answer = std::get_if<send_answer>(&action))
                count_answer(answer->part);
        }
    }

    void start_run(start_attempt const& attempt) {
        ++counts_.attempts;
        bool const sheds =
            runs_.size() >= true_slots || uniform_fraction(random_) < scenario_.shed_chance;
        if (sheds) {
            ++counts_.sheds;
            attempt_result result{.id = attempt.id, .attempt = attempt.attempt, .body = {}};
            result.kind = attempt_result_kind::shed;
            results_.push_back(result); // reported in the next step
            return;
        }
        auto const spread = std::chrono::microseconds{random_() % 10000};
        runs_.push_back({attempt, clock_.now() + run_time - std::chrono::milliseconds{5} + spread});
    }

    void finish_runs() {
        std::vector<attempt_result> done = std::move(results_);
        results_.clear();
        std::erase_if(runs_, [&](running const& run) {
            if (run.ends > clock_.now())
                return false;
            attempt_result result{.id = run.attempt.id, .attempt = run.attempt.attempt, .body = {}};
            result.kind = attempt_result_kind::answered;
            result.status = 200;
            done.push_back(result);
            return true;
        });
        for (attempt_result& result : done)
            perform(owner_->on_attempt_result(clock_.now(), std::move(result)));
    }

    void count_answer(answer_part const& part) {
        auto const known = counted_.find(part.id);
        if (known != counted_.end()) {
            bool const good =
                part.outcome == request_outcome::done && clock_.now() <= known->second.second;
            counts_.good[static_cast<std::size_t>(known->second.first)] += good ? 1 : 0;
            counted_.erase(known);
        }
        perform(owner_->on_ack(clock_.now(), {part.id, {part.part}}));
    }

    scenario scenario_;
    random_source random_;
    manual_clock clock_;
    std::unique_ptr<request_executor> owner_;
    std::array<double, request_class_count> due_arrivals_{};
    std::map<request_id, std::pair<request_class, time_point>> counted_;
    std::vector<running> runs_;
    std::vector<attempt_result> results_;
    experiment_counts counts_;
    bool counting_ = false;
};

std::vector<policy> policies() {
    return {
        {"toucanusher"},
        {"first come first served", true, true},
        {"no refusal on arrival", false, false, "100000"},
        {"neither", true, false, "100000"},
        {"no retry budget", false, true, "64", "100"},
        {"no retries", false, true, "64", "0"},
    };
}

std::vector<scenario> scenarios() {
    auto const flat = [](double urgent, double normal, double bulk) {
        return [=](double) {
            return std::array<double, request_class_count>{urgent, normal, bulk};
        };
    };
    return {
        {"steady 70%", flat(0.3 * capacity, 0.3 * capacity, 0.1 * capacity)},
        {"bulk floods 20 times", flat(0.3 * capacity, 0.2 * capacity, 20 * capacity)},
        {"urgent flood after a bulk flood",
         [](double seconds) {
             bool const first = seconds < 5;
             return std::array<double, request_class_count>{first ? 0 : 3 * capacity, 0,
                                                            first ? 20 * capacity : capacity};
         },
         10, 0, true_slots, 7},
        {"upstream refuses half", flat(0.2 * capacity, 0.2 * capacity, 0), 10, 0.5},
        {"upstream refuses all", flat(0.3 * capacity, 0.3 * capacity, 0), 10, 1.0},
        {"announces twice its slots", flat(0.3 * capacity, 0.6 * capacity, capacity), 10, 0,
         2 * true_slots},
    };
}

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print_row(std::FILE* out, scenario const& tested_scenario, policy const& tested,
               experiment_counts const& counts) {
    double const counted_seconds = tested_scenario.seconds - tested_scenario.count_from;
    std::uint64_t good = 0;
    for (std::uint64_t const count : counts.good)
        good += count;
    std::fprintf(out, "%s,%s,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.4f\n", tested_scenario.name.c_str(),
                 tested.name.c_str(), share(counts.good[0], counts.offered[0]),
                 share(counts.good[1], counts.offered[1]), share(counts.good[2], counts.offered[2]),
                 static_cast<double>(good) / counted_seconds / capacity,
                 share(counts.attempts, counts.requests), share(counts.sheds, counts.attempts),
                 share(counts.idle_slot_steps, counts.steps_with_waiting * true_slots));
}

void print_all(std::FILE* out) {
    constexpr std::uint64_t seed = 20261204;
    std::fprintf(out, "scenario,policy,urgent_in_time,normal_in_time,bulk_in_time,"
                      "goodput_of_capacity,attempts_per_request,refused_by_upstream,"
                      "slots_idle_while_waiting\n");
    for (scenario const& tested_scenario : scenarios())
        for (policy const& tested : policies())
            print_row(out, tested_scenario, tested,
                      experiment(tested, tested_scenario, seed).run());
}

} // namespace

} // namespace toucanusher::bench

int main(int argc, char** argv) {
    toucanusher::bench::print_all(stdout);
    if (argc < 2)
        return 0;
    std::FILE* const file = std::fopen(argv[1], "w");
    if (file == nullptr)
        return 1;
    toucanusher::bench::print_all(file);
    std::fclose(file);
    return 0;
}
