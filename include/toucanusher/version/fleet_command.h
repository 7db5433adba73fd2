// Commands of the replicated log. Applied in the same order everywhere, they give the same state.
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
    upstream_announcement said;
    wall_time at{}; // when the leader proposed it

    friend bool operator==(announce_upstream const&, announce_upstream const&) = default;
};

// The life is over: its flows are gone and nothing may be sent to it.
struct forget_upstream {
    upstream_ref ref;
    wall_time at{}; // when the leader proposed it

    friend bool operator==(forget_upstream const&, forget_upstream const&) = default;
};

struct announce_balancer {
    balancer_record said;

    friend bool operator==(announce_balancer const&, announce_balancer const&) = default;
};

struct forget_balancer {
    std::string name;
    incarnation_id life{};

    friend bool operator==(forget_balancer const&, forget_balancer const&) = default;
};

// The upstream holds no flow of these buckets and opens none for versions below `fence`.
struct release_buckets {
    upstream_ref ref;
    service_id service{};
    version_number fence{};
    std::vector<bucket_number> buckets;

    friend bool operator==(release_buckets const&, release_buckets const&) = default;
};

using fleet_command =
    std::variant<write_claim, withdraw_claim, announce_upstream, forget_upstream, announce_balancer,
                 forget_balancer, release_buckets, edit_configuration>;

} // namespace toucanusher
