// The records of balancers and upstreams in the replicated state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

// An agent's announcement of its upstream. Announcements of one incarnation differ only in
// readiness and draining.
struct upstream_announcement {
    std::string service;
    std::string name; // unique within the service
    incarnation_id incarnation{};
    endpoint agent; // receives sealed packets; addresses are reused over time
    std::string zone;
    std::uint32_t slots = 1;
    std::uint32_t ready_percent = 100; // below 100 during ramp-up; 0 takes no new work
    bool draining = false;
    // The upstream itself reports which flows it holds, so its agent needs no buckets or replicas:
    // flows are placed by load and found by a search.
    bool reports_flows = false;

    friend bool operator==(upstream_announcement const&, upstream_announcement const&) = default;
};

struct upstream_record {
    upstream_ref ref;
    service_id service{};
    upstream_announcement announcement;

    friend bool operator==(upstream_record const&, upstream_record const&) = default;
};

// The incarnations that served a service from one change of membership to the next.
struct member_list {
    struct member {
        upstream_ref ref;
        std::string zone;

        friend bool operator==(member const&, member const&) = default;
    };

    version_number since{};
    wall_time proposed_at{};     // of version `since`
    std::vector<member> members; // sorted by upstream_ref

    friend bool operator==(member_list const&, member_list const&) = default;
};

struct balancer_record {
    std::string name;
    incarnation_id incarnation{};
    endpoint reply_address; // receives sealed replies from agents
    std::string zone;
    bool draining = false;

    friend bool operator==(balancer_record const&, balancer_record const&) = default;
};

} // namespace toucanusher
