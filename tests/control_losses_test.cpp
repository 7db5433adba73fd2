// Tests that control hosts keep what they acknowledged, and go on, while machines are replaced one
// after another and the last fault takes as many disks as are tolerated.
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include <doctest/doctest.h>

#include "tests/host_model.h"

namespace toucanusher::tests {
namespace {

std::uint64_t environment_number(char const* name, std::uint64_t fallback) {
    char const* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Hosts with a disk and the losses that they tolerate, with and without hosts beside the voters.
struct fleet_size {
    std::uint32_t machines;
    std::uint32_t tolerated;
};
constexpr fleet_size fleet_sizes[] = {{3, 1}, {4, 1}, {5, 2}, {8, 2}, {7, 3}, {8, 3}};

// `adapt` sets what depends on the number of losses that are tolerated.
using adapt_hook = std::function<void(replacement_options&, std::uint32_t tolerated)>;

void check_replacements(replacement_options replacements, std::uint64_t runs,
                        adapt_hook const& adapt = {}) {
    std::uint64_t const traced = environment_number("TOUCANUSHER_TRACE_SEED", 0);
    std::uint64_t const last =
        traced != 0 ? traced : environment_number("TOUCANUSHER_FUZZ_RUNS", runs);
    for (fleet_size const& size : fleet_sizes)
        for (std::uint64_t seed = traced != 0 ? traced : 1; seed <= last; ++seed) {
            host_model_options options;
            options.machines = size.machines;
            options.tolerated_losses = size.tolerated;
            if (traced != 0)
                options.trace = [](std::string const& text) { std::puts(text.c_str()); };
            replacements.disks_lost_last = size.tolerated;
            if (adapt)
                adapt(replacements, size.tolerated);
            auto const violation = host_model(options, seed).run_replacements(replacements);
            INFO(size.machines, " hosts, ", size.tolerated, " losses tolerated, seed ", seed);
            CHECK_MESSAGE(!violation, violation.value_or(""));
        }
}

} // namespace

// On beiral-quotes-grown the hosts that replaced four others were never admitted to the log.
TEST_CASE("replaced hosts that never return keep no place from their successors") {
    check_replacements({.rounds = 10}, 10);
}

TEST_CASE("as many hosts as are tolerated are replaced at a time") {
    check_replacements({.rounds = 6}, 6, [](replacement_options& options, std::uint32_t tolerated) {
        options.machines_per_round = tolerated;
        // The time to rejoin on the sites that tolerate one loss, and on those that tolerate two.
        options.round_interval = std::chrono::seconds{tolerated == 1 ? 4 : 6};
        options.last_interval = options.round_interval;
    });
}

TEST_CASE("a replacement that is under way at the last fault counts as one loss") {
    check_replacements({.rounds = 6, .last_interval = {}}, 6,
                       [](replacement_options& options, std::uint32_t tolerated) {
                           options.disks_lost_last = tolerated - 1;
                       });
}

TEST_CASE("replaced hosts that return with their disks are no harm") {
    check_replacements({.rounds = 8, .replaced = replaced_host::returns_with_disk}, 6);
}

TEST_CASE("replaced hosts that return without their disks are no harm") {
    check_replacements({.rounds = 8, .replaced = replaced_host::returns_without_disk}, 6);
}

TEST_CASE("a change of leader between two replacements delays no successor") {
    check_replacements({.rounds = 8, .kill_leaders = true}, 6);
}

} // namespace toucanusher::tests
