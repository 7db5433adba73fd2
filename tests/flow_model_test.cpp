// Stateful fuzzing of the flow decisions against the oracle of flow_model.
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
        // Traffic is more frequent than change.
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

// The first seed of `count` whose run shows a violation.
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

TEST_CASE("flows keep one home under random change, seeded runs") {
    std::string message;
    auto const seed = find_violation({}, 1, seed_count(), message);
    INFO("seed " << seed.value_or(0) << ": " << message);
    CHECK_FALSE(seed.has_value());
}

// Set TOUCANUSHER_TRACE_SEED to see what happens in one run.
TEST_CASE("trace of one seed" * doctest::skip(std::getenv("TOUCANUSHER_TRACE_SEED") == nullptr)) {
    std::uint64_t const seed = std::strtoull(std::getenv("TOUCANUSHER_TRACE_SEED"), nullptr, 10);
    flow_model model({.trace = [](std::string const& line) { std::puts(line.c_str()); }}, seed);
    auto const violation = model.run(random_steps(seed, 600));
    CHECK_FALSE(violation.has_value());
}

TEST_CASE("flows keep one home under random change, rapidcheck") {
    bool const holds = rc::check("one home, right service, drains respected",
                                 [](std::vector<flow_step> const& steps) {
                                     flow_model model({}, 7);
                                     auto const violation = model.run(steps);
                                     if (violation)
                                         RC_FAIL(*violation);
                                 });
    CHECK(holds);
}

TEST_CASE("the model does real work") {
    flow_model model({}, 3);
    CHECK_FALSE(model.run(random_steps(3, 2000)).has_value());
    CHECK(model.opened() > 40);
    CHECK(model.delivered() > 200);
}

// Each rule left out on purpose must be noticed.
TEST_CASE("the oracle catches planted faults") {
    struct planted_fault {
        char const* name;
        flow_faults faults;
        std::uint64_t seed; // where it was first seen; the search goes on from there
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
