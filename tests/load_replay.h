// Replays load on the packet decisions alone: real routers and agents' tables, simulated callers
// and upstreams, a clock of its own and seeded arrivals. No sockets, threads or encodings.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "toucanusher/connection/packet_router.h"
#include "toucanusher/connection/upstream_flows.h"
#include "toucanusher/process/random.h"

namespace toucanusher::tests {

// How a new flow finds its upstream.
enum class placement_strategy : std::uint8_t {
    two_choices,   // what the product does
    hash_only,     // the first of the flow's own random order
    stale_reports, // the least loaded by reports that are sent every quarter of a second
    least_loaded,  // exact loads of all upstreams: a bound, not a way that scales
};
char const* to_string(placement_strategy strategy);

struct replay_class {
    std::string name;
    double requests_per_second = 100;
    duration mean_service_time =
        std::chrono::milliseconds{22}; // mean; one request at a time in a slot
    duration objective = std::chrono::milliseconds{120};
    duration deadline = std::chrono::milliseconds{2000};
    bool flow_per_request =
        false;                  // each request on a flow of its own; else idle flows are used again
    std::uint32_t priority = 2; // 0 is the most urgent
    std::uint32_t retries = 2;
};

struct replay_burst {
    std::size_t class_index = 0;
    double factor = 1;
    duration begins_at{};
    duration ends_at{};
};

struct replay_options {
    placement_strategy strategy = placement_strategy::two_choices;
    std::uint32_t upstreams = 7;
    std::uint32_t slots = 3;
    std::uint32_t queue_limit =
        12; // requests that an upstream holds beyond its slots; then it answers 503
    std::uint32_t balancers = 4;
    std::uint32_t callers = 300;                      // each uses its own idle flows again
    duration idle_timeout = std::chrono::seconds{12}; // upstreams close flows that are idle longer
    std::vector<replay_class> classes;
    std::vector<replay_burst> bursts;
    duration length = std::chrono::seconds{20};
    duration warm_up = std::chrono::seconds{2}; // not counted
    // Upstreams that start cold (1.6 times slower for two seconds), drain or slow down.
    struct change {
        std::uint32_t upstream = 0;
        duration at{};
        bool drains = false;
        double slowdown = 1;
        bool joins = false;         // is not there before
        bool restarts = false;      // its agent does, and knows nothing
        duration heartbeat_delay{}; // the upstream, to an agent that has restarted
    };
    std::vector<change> changes;
    bool check_objective = true; // agents refuse what they cannot serve within its objective
};

struct class_result {
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; // given up after the last refusal
    std::uint64_t failed = 0;  // the deadline passed

    [[nodiscard]] double utility() const;
};

struct replay_result {
    std::vector<class_result> classes;
    double max_over_mean = 0; // of work in progress, averaged over the time, by upstream
    duration p99{};
    std::uint64_t relays = 0; // opening packets that agents passed on
    std::uint64_t opened = 0;
    // Requests in progress by upstream at the end of each tenth of a second, for drawing.
    std::vector<std::vector<std::uint32_t>> timeline;
};

replay_result replay_load(replay_options const& options, std::uint64_t seed);

} // namespace toucanusher::tests
