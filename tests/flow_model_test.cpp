// Fuzzes the flow decisions with random steps and checks them against the oracle of flow_model.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/flow_model.h"

namespace toucanusher::tests {

namespace {

std::vector<flow_step> random_steps(std::uint64_t seed, std::size_t count) {
    auto const random = make_seeded_random(seed);
    std::vector<flow_step> steps(count);
    for (flow_step& step : steps) {
        // Packets are more frequent than changes to processes.
        auto const draw = random() % 100;
        if (draw < 30)
            step.kind = flow_step::send;
        else if (draw < 65)
            step.kind = flow_step::deliver;
        else
            step.kind = static_cast<std::uint8_t>(random() % flow_step::kind_count);
        step.a = static_cast<std::uint32_t>(random());
        step.b = static_cast<std::uint32_t>(random());
    }
    return steps;
}

// Returns the first of `count` seeds from `first` on whose run has a violation.
std::optional<std::uint64_t> find_violation(flow_faults faults, std::uint64_t first,
                                            std::uint64_t count, std::string& message) {
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        flow_model model({.faults = faults}, seed);
        if (auto const violation = model.run(random_steps(seed, 600))) {
            message = *violation;
            return seed;
        }
    }
    return std::nullopt;
}

std::uint64_t seed_count() {
    constexpr std::uint64_t ci_seed_count = 150;
    char const* const configured = std::getenv("TOUCANUSHER_FUZZ_RUNS");
    return configured == nullptr ? ci_seed_count : std::strtoull(configured, nullptr, 10);
}

} // namespace
} // namespace toucanusher::tests

namespace rc {
template <>
struct Arbitrary<toucanusher::tests::flow_step> {
    static Gen<toucanusher::tests::flow_step> arbitrary() {
        using step = toucanusher::tests::flow_step;
        return gen::build<step>(
            gen::set(&step::kind, gen::inRange<std::uint8_t>(0, step::kind_count)),
            gen::set(&step::a, gen::arbitrary<std::uint32_t>()),
            gen::set(&step::b, gen::arbitrary<std::uint32_t>()));
    }
};
} // namespace rc

namespace toucanusher::tests {

TEST_CASE("a flow has one live holder under random changes, seeded runs") {
    std::string message;
    auto const seed = find_violation({}, 1, seed_count(), message);
    INFO("seed " << seed.value_or(0) << ": " << message);
    CHECK_FALSE(seed.has_value());
}

// Set TOUCANUSHER_TRACE_SEED to print the events of one run.
TEST_CASE("trace of one seed" * doctest::skip(std::getenv("TOUCANUSHER_TRACE_SEED") == nullptr)) {
    std::uint64_t const seed = std::strtoull(std::getenv("TOUCANUSHER_TRACE_SEED"), nullptr, 10);
    flow_model model({.trace = [](std::string const& line) { std::puts(line.c_str()); }}, seed);
    auto const violation = model.run(random_steps(seed, 600));
    CHECK_FALSE(violation.has_value());
}

TEST_CASE("a flow has one live holder under random changes, rapidcheck") {
    bool const holds = rc::check("one live holder, own service, no opening after the drain limit",
                                 [](std::vector<flow_step> const& steps) {
                                     flow_model model({}, 7);
                                     auto const violation = model.run(steps);
                                     if (violation)
                                         RC_FAIL(*violation);
                                 });
    CHECK(holds);
}

TEST_CASE("the model opens flows and delivers packets") {
    flow_model model({}, 3);
    CHECK_FALSE(model.run(random_steps(3, 2000)).has_value());
    CHECK(model.opened() > 40);
    CHECK(model.delivered() > 200);
}

// Guards against an oracle that misses faults: each entry disables one rule of the flow decisions,
// and a violation must be found.
TEST_CASE("the oracle detects each planted fault") {
    struct planted_fault {
        char const* name;
        flow_faults faults;
        std::uint64_t seed; // the first that found the fault; the search starts here
    };
    std::vector<planted_fault> const planted_faults = {
        {"no fence", {.skip_fence = true}, 114},
        {"no predecessor lookup", {.skip_predecessors = true}, 1},
        {"stale incarnation and service accepted",
         {.accept_stale_incarnation = true, .accept_wrong_service = true},
         1264},
        {"drain ignored", {.ignore_drain = true}, 27},
        {"buckets released with flows in them", {.release_with_flows = true}, 1},
        {"no recovery after a crash", {.skip_recovery = true}, 1},
        {"opens without owning the bucket", {.open_without_ownership = true}, 1},
    };
    for (planted_fault const& fault : planted_faults) {
        std::string message;
        auto const seed = find_violation(fault.faults, fault.seed, 500, message);
        INFO(fault.name);
        CHECK(seed.has_value());
        MESSAGE(fault.name, ": seed ", seed.value_or(0), ": ", message);
    }
}

} // namespace toucanusher::tests
