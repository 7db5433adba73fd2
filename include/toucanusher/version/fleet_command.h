// Commands of the replicated log. They are deterministic: applied in log order, they produce the
// same state on every host and daemon.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/claim.h"
#include "toucanusher/version/membership.h"
#include "toucanusher/version/route_book.h"

namespace toucanusher {

struct announce_upstream {
    upstream_announcement announcement;
    wall_time proposed_at{}; // set by the leader

    friend bool operator==(announce_upstream const&, announce_upstream const&) = default;
};

// Removes an incarnation that ended: its flows are lost and nothing may be sent to it.
struct remove_upstream {
    upstream_ref ref;
    wall_time proposed_at{}; // set by the leader

    friend bool operator==(remove_upstream const&, remove_upstream const&) = default;
};

struct announce_balancer {
    balancer_record balancer;

    friend bool operator==(announce_balancer const&, announce_balancer const&) = default;
};

struct remove_balancer {
    std::string name;
    incarnation_id incarnation{};

    friend bool operator==(remove_balancer const&, remove_balancer const&) = default;
};

// States that the upstream holds no flow of these buckets and opens none in them for versions below
// `fence`.
struct release_buckets {
    upstream_ref ref;
    service_id service{};
    version_number fence{};
    std::vector<bucket_number> buckets;

    friend bool operator==(release_buckets const&, release_buckets const&) = default;
};

using fleet_command =
    std::variant<write_claim, withdraw_claim, announce_upstream, remove_upstream, announce_balancer,
                 remove_balancer, release_buckets, edit_configuration>;

} // namespace toucanusher
