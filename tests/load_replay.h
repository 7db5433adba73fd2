// Discrete-event simulation of load on the packet decisions: the packet_router and upstream_flows
// of the product, with simulated callers and upstreams. Arrivals are seeded and time is virtual, so
// a run is deterministic. Sockets, threads and message encodings are not simulated.
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

// How the upstream of a new flow is chosen.
enum class placement_strategy : std::uint8_t {
    two_choices,   // the strategy of the product
    hash_only,     // the first agent in the hash order of the flow
    stale_reports, // the least loaded by reports sent every 250 ms
    least_loaded,  // exact loads of all upstreams: a bound that does not scale
};
char const* to_string(placement_strategy strategy);

struct replay_class {
    std::string name;
    double requests_per_second = 100;
    // A slot serves one request at a time.
    duration mean_service_time = std::chrono::milliseconds{22};
    duration objective = std::chrono::milliseconds{120};
    duration deadline = std::chrono::milliseconds{2000};
    bool flow_per_request = false; // opens a flow for each request; otherwise idle flows are reused
    std::uint32_t priority = 2;    // 0 is the most urgent
    std::uint32_t retries = 2;
};

// Multiplies the arrival rate of a class in a period, given since the start of the replay.
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
    // Requests that an upstream queues beyond its slots; it answers 503 to further ones.
    std::uint32_t queue_limit = 12;
    std::uint32_t balancers = 4;
    std::uint32_t callers = 300; // each reuses only its own idle flows
    // Upstreams close flows that are idle for longer.
    duration idle_timeout = std::chrono::seconds{12};
    std::vector<replay_class> classes;
    std::vector<replay_burst> bursts;
    duration length = std::chrono::seconds{20};
    duration warm_up = std::chrono::seconds{2}; // requests that start earlier are not counted
    // Change of one upstream. An upstream that joins is cold at first: 1.6 times slower for two
    // seconds.
    struct change {
        std::uint32_t upstream = 0;
        duration at{}; // since the start of the replay
        bool drains = false;
        double slowdown = 1;
        bool joins = false;    // absent until `at`
        bool restarts = false; // its agent restarts with an empty flow table
        // From the restart of the agent to the first heartbeat of its upstream.
        duration heartbeat_delay{};
    };
    std::vector<change> changes;
    bool check_objective = true; // agents refuse flows that they cannot serve within the objective
};

struct class_result {
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; // refused at the last attempt
    std::uint64_t failed = 0;  // not served before the deadline

    // Returns the share of requests served within the objective; late ones count 0.3.
    [[nodiscard]] double utility() const;
};

struct replay_result {
    std::vector<class_result> classes;
    double max_over_mean = 0; // of the time-averaged requests in progress, over upstreams
    duration p99{};
    std::uint64_t relays = 0; // opening packets that agents relayed to other agents
    std::uint64_t opened = 0;
    // Requests in progress by upstream, sampled every 100 ms, for plots.
    std::vector<std::vector<std::uint32_t>> timeline;
};

// Returns the same result for the same options and seed.
replay_result replay_load(replay_options const& options, std::uint64_t seed);

} // namespace toucanusher::tests
