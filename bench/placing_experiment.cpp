// Compares placement strategies, and refusal with and without the time check, on one replayed load.
// With `--timeline FILE` writes the requests in progress of each upstream, for
// bench/timeline.gnuplot.
#include <cstdio>
#include <cstring>
#include <fstream>

#include "tests/load_replay.h"

using namespace toucanusher;
using namespace toucanusher::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seed = 20261204;

// Returns the load from the sites' data sheets, which is for 7 upstreams, scaled to `upstreams`.
replay_options make_load(std::uint32_t upstreams) {
    double const scale = upstreams / 7.0;
    replay_options options;
    options.upstreams = upstreams;
    options.classes = {
        {"feed", 292 * scale, milliseconds{22}, milliseconds{120}, milliseconds{2000}, false, 2, 2},
        {"submit", 83.5 * scale, milliseconds{29}, milliseconds{150}, milliseconds{2500}, false, 1,
         2},
        {"download", 25 * scale, milliseconds{5}, milliseconds{500}, milliseconds{8000}, true, 2,
         2},
    };
    return options;
}

void print(char const* name, replay_result const& result) {
    std::printf("%-34s", name);
    for (class_result const& item : result.classes)
        std::printf(" %6.3f", item.utility());
    std::printf("  max/mean %5.3f  p99 %4lld ms  relays/open %4.2f\n", result.max_over_mean,
                static_cast<long long>(result.p99 / milliseconds{1}),
                static_cast<double>(result.relays) / static_cast<double>(result.opened));
}

void compare_placement(std::uint32_t upstreams) {
    std::printf("\n%u upstreams: utility of feed, submit, download\n", upstreams);
    for (placement_strategy const strategy :
         {placement_strategy::two_choices, placement_strategy::hash_only,
          placement_strategy::stale_reports, placement_strategy::least_loaded}) {
        replay_options options = make_load(upstreams);
        options.strategy = strategy;
        options.bursts = {{0, 1.7, seconds{8}, seconds{12}}};
        print(to_string(strategy), replay_load(options, seed));
    }
}

void compare_refusal() {
    std::printf("\n7 upstreams, two drain, bursts: with and without the time check\n");
    for (double const factor : {1.0, 1.7, 2.4, 4.0})
        for (bool const check_time : {true, false}) {
            replay_options options = make_load(7);
            options.check_objective = check_time;
            options.bursts = {{0, factor, seconds{6}, seconds{16}}};
            options.changes = {{.upstream = 0, .at = seconds{5}, .drains = true},
                               {.upstream = 1, .at = seconds{5}, .drains = true}};
            char name[64];
            std::snprintf(name, sizeof name, "feed x%.1f, %s", factor,
                          check_time ? "judged" : "not judged");
            print(name, replay_load(options, seed));
        }
}

} // namespace

int main(int argc, char const** argv) {
    if (argc == 3 && std::strcmp(argv[1], "--timeline") == 0) {
        replay_options options = make_load(7);
        options.bursts = {{0, 1.9, seconds{8}, seconds{12}}};
        std::ofstream out(argv[2]);
        double at = 0;
        for (auto const& row : replay_load(options, seed).timeline) {
            out << (at += 0.1);
            for (std::uint32_t const value : row)
                out << ' ' << value;
            out << '\n';
        }
        return 0;
    }
    for (std::uint32_t const upstreams : {7U, 50U, 500U})
        compare_placement(upstreams);
    compare_refusal();
    return 0;
}
