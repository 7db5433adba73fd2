// Checks over seeded runs that automatic control hosts lose no acknowledged configuration and that
// no read returns an older one.
#include "tests/host_model.h"

#include <cstdio>
#include <cstdlib>

#include <doctest/doctest.h>

namespace toucanusher::tests {
namespace {

std::uint64_t runs_from_environment(std::uint64_t fallback) {
    char const* const text = std::getenv("TOUCANUSHER_FUZZ_RUNS");
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

host_model_options options_from_environment() {
    host_model_options options;
    if (std::getenv("TOUCANUSHER_TRACE_SEED") != nullptr)
        options.trace = [](std::string const& text) { std::puts(text.c_str()); };
    return options;
}

} // namespace

TEST_CASE("automatic control hosts keep acknowledged configurations") {
    char const* const traced_seed = std::getenv("TOUCANUSHER_TRACE_SEED");
    std::uint64_t const first =
        traced_seed == nullptr ? 1 : std::strtoull(traced_seed, nullptr, 10);
    std::uint64_t const last = traced_seed == nullptr ? runs_from_environment(150) : first;
    std::uint64_t lost_disks = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        host_model model(options_from_environment(), seed);
        auto const violation = model.run();
        INFO("seed ", seed);
        CHECK_MESSAGE(!violation, violation.value_or(""));
        lost_disks += model.disks_lost();
        accepted += model.accepted();
    }
    if (traced_seed == nullptr) {
        CHECK(lost_disks >= (last - first) / 2);
        CHECK(accepted > 20 * (last - first));
    }
}

TEST_CASE("the model detects a host that lost its disk and votes again under its old identity") {
    std::uint64_t found = 0;
    for (std::uint64_t seed = 1; seed <= 400 && found == 0; ++seed) {
        host_model_options options;
        options.keep_identity = true;
        found += host_model(options, seed).run() ? 1 : 0;
    }
    CHECK(found > 0);
}

} // namespace toucanusher::tests
