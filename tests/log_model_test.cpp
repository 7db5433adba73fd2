// Checks that the answers to concurrent operators are linearizable, over seeded runs of the log
// model, and that the checks detect injected faults.
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/log_model.h"

namespace toucanusher::tests {

namespace {

std::optional<std::uint64_t> find_violation(log_model_options const& options, std::uint64_t first,
                                            std::uint64_t count, std::string& what) {
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        log_model model(options, seed);
        if (auto const violation = model.run()) {
            what = *violation;
            return seed;
        }
    }
    return std::nullopt;
}

std::uint64_t run_count() {
    constexpr std::uint64_t default_runs = 60;
    char const* const requested_runs = std::getenv("TOUCANUSHER_FUZZ_RUNS");
    return requested_runs == nullptr ? default_runs : std::strtoull(requested_runs, nullptr, 10);
}

claim_operation make_operation(operation_kind kind, std::string team, std::string value,
                               std::uint32_t loudness, std::uint64_t invoked_at,
                               std::uint64_t answered_at, std::string winner) {
    claim_operation made;
    made.kind = kind;
    made.team = team;
    made.value = value;
    made.loudness = loudness;
    made.invoked_at = invoked_at;
    made.answered_at = answered_at;
    made.winner_team = winner.substr(0, 1);
    made.winner_value = winner.substr(1);
    return made;
}

} // namespace

TEST_CASE("the linearizability check accepts valid histories and refuses invalid ones") {
    using kind = operation_kind;
    auto const first = make_operation(kind::write, "a", "1", 5, 1, 2, "a1");
    auto const tie = make_operation(kind::write, "b", "2", 5, 3, 4, "a1");
    CHECK(is_linearizable({first, tie}));
    auto const tie_won_by_later = make_operation(kind::write, "b", "2", 5, 3, 4, "b2");
    CHECK_FALSE(is_linearizable({first, tie_won_by_later}));
    auto const concurrent = make_operation(kind::write, "b", "2", 5, 1, 4, "b2");
    auto const outbid = make_operation(kind::write, "a", "1", 5, 1, 2, "b2");
    CHECK(is_linearizable({outbid, concurrent}));
    auto const stale = make_operation(kind::read, "c", "", 0, 5, 6, "a0");
    CHECK_FALSE(is_linearizable({first, stale}));
    claim_operation unanswered = make_operation(kind::write, "b", "9", 9, 3, 4, "b9");
    unanswered.answered_at = std::numeric_limits<std::uint64_t>::max();
    auto const seen = make_operation(kind::read, "c", "", 0, 5, 6, "b9");
    CHECK(is_linearizable({first, unanswered, seen}));
    CHECK(is_linearizable({first, unanswered}));
}

TEST_CASE("three hosts lose or revert no accepted claim in seeded runs") {
    std::string what;
    auto const seed = find_violation({}, 1, run_count(), what);
    INFO("seed " << seed.value_or(0) << ": " << what);
    CHECK_FALSE(seed.has_value());
}

TEST_CASE("five hosts lose or revert no accepted claim in seeded runs") {
    std::string what;
    auto const seed = find_violation({.hosts = 5}, 1, run_count() / 3, what);
    INFO("seed " << seed.value_or(0) << ": " << what);
    CHECK_FALSE(seed.has_value());
}

TEST_CASE("the model answers all operations and changes leaders") {
    log_model model({}, 5);
    CHECK_FALSE(model.run().has_value());
    CHECK(model.answered() == 36);
    CHECK(model.leader_changes() > 1);
}

// Prints the events of the run with the seed TOUCANUSHER_TRACE_SEED.
TEST_CASE("trace of the run with one seed" *
          doctest::skip(std::getenv("TOUCANUSHER_TRACE_SEED") == nullptr)) {
    std::uint64_t const seed = std::strtoull(std::getenv("TOUCANUSHER_TRACE_SEED"), nullptr, 10);
    char const* const hosts = std::getenv("TOUCANUSHER_TRACE_HOSTS");
    log_model_options options;
    options.hosts = hosts == nullptr ? 3 : static_cast<std::uint32_t>(std::atoi(hosts));
    options.trace = [](std::string const& line) { std::puts(line.c_str()); };
    log_model model(options, seed);
    auto const violation = model.run();
    std::puts(violation.value_or("no violation").c_str());
    CHECK_FALSE(violation.has_value());
}

TEST_CASE("the checks detect injected faults") {
    struct injected_fault {
        char const* name;
        log_model_options options;
        std::uint64_t seed; // seed that first exposed the fault; the search starts here
    };
    std::vector<injected_fault> const faults = {
        {"vote sent before it is synced", {.log = {.skip_vote_sync = true}}, 140},
        {"read answered without confirmed leadership", {.log = {.read_without_quorum = true}}, 671},
        {"own entries counted towards the majority before they are synced",
         {.log = {.count_unsynced_entries = true}},
         1},
        {"tie won by the newest claim", {.claims = {.newest_wins_ties = true}}, 1},
        {"repeated requests not deduplicated", {.claims = {.skip_deduplication = true}}, 1},
        {"request history omitted from snapshots", {.lose_history_in_snapshots = true}, 1},
    };
    for (injected_fault const& fault : faults) {
        std::string what;
        auto const seed = find_violation(fault.options, fault.seed, 400, what);
        INFO(fault.name);
        CHECK(seed.has_value());
        MESSAGE(fault.name, ": seed ", seed.value_or(0), ": ", what);
    }
}

} // namespace toucanusher::tests
