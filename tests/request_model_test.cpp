// Fuzzes the request decisions in seeded runs and checks them against the oracle of request_model.
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/request_model.h"

namespace toucanusher::tests {

namespace {

// Returns the first of `count` seeds from `first` on whose run has a violation.
std::optional<std::uint64_t> find_violation(request_model_options const& options,
                                            std::uint64_t first, std::uint64_t count,
                                            std::string& message) {
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        request_model model(options, seed);
        if (auto const violation = model.run()) {
            message = *violation;
            return seed;
        }
    }
    return std::nullopt;
}

std::uint64_t seed_count() {
    constexpr std::uint64_t ci_seed_count = 60;
    char const* const configured = std::getenv("TOUCANUSHER_FUZZ_RUNS");
    return configured == nullptr ? ci_seed_count : std::strtoull(configured, nullptr, 10);
}

} // namespace

TEST_CASE("requests run at most once and outcomes match the runs, seeded runs") {
    std::string message;
    auto const seed = find_violation({}, 1, seed_count(), message);
    INFO("seed " << seed.value_or(0) << ": " << message);
    CHECK_FALSE(seed.has_value());
}

TEST_CASE("the model completes and refuses requests") {
    std::size_t done = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        request_model model({}, seed);
        CHECK_FALSE(model.run().has_value());
        done += model.answered_count(request_outcome::done);
        refused += model.answered_count(request_outcome::refused_not_run);
    }
    MESSAGE("of 400 requests done ", done, ", refused ", refused);
    CHECK(done > 150);
    CHECK(refused > 10);
}

// Set TOUCANUSHER_TRACE_SEED to print the events of one run.
TEST_CASE("trace of one seed" * doctest::skip(std::getenv("TOUCANUSHER_TRACE_SEED") == nullptr)) {
    std::uint64_t const seed = std::strtoull(std::getenv("TOUCANUSHER_TRACE_SEED"), nullptr, 10);
    request_model model({.trace = [](std::string const& line) { std::puts(line.c_str()); }}, seed);
    auto const violation = model.run();
    std::puts(violation.value_or("no violation").c_str());
    CHECK_FALSE(violation.has_value());
}

// Guards against an oracle that misses faults: each entry disables one rule of the request
// decisions, and a violation must be found.
TEST_CASE("the oracle detects each planted fault") {
    struct planted_fault {
        char const* name;
        request_model_options options;
        std::uint64_t seed; // the first that found the fault; the search starts here
    };
    std::vector<planted_fault> const planted_faults = {
        {"no run record before a run", {.faults = {.skip_run_records = true}}, 1},
        {"record replicas grant every run", {.faults = {.always_grant = true}}, 1},
        {"lost non-idempotent attempts retried",
         {.faults = {.retry_lost_non_idempotent = true}},
         1},
        {"a timeout counts as proof of no run", {.faults = {.timeout_proves_not_run = true}}, 1},
        {"refused without proof", {.faults = {.refuse_without_proof = true}}, 1},
        {"answers matched by order", {.faults = {.match_answers_by_order = true}}, 1},
        {"restarted record replicas grant at once",
         {.faults = {.skip_abstaining = true}, .agent_crash = 0.006},
         152},
    };
    for (planted_fault const& fault : planted_faults) {
        std::string message;
        auto const seed = find_violation(fault.options, fault.seed, 300, message);
        INFO(fault.name);
        CHECK(seed.has_value());
        MESSAGE(fault.name, ": seed ", seed.value_or(0), ": ", message);
    }
}

} // namespace toucanusher::tests
