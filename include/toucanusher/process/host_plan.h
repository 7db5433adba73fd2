// Decides the next change of the control hosts: who joins, who votes and who is replaced.
//
// Pure: the leader calls it with what it has heard, and proposes what it returns. One host changes
// at a time. A lost voter is removed once a host that has caught up can take its place.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

struct host_plan_options {
    std::size_t voters = 3;    // 2f + 1 keeps a majority when f disks are lost
    std::size_t max_hosts = 7; // the most hosts that may be set aside for control
    // A voter that is silent for longer is replaced if another host can. An election and this must
    // fit into the time after which a second loss is allowed, a few seconds.
    duration voter_timeout = std::chrono::milliseconds{1500};
    duration learner_timeout = std::chrono::seconds{60};
};

// What the leader knows of one control host.
struct host_status {
    host_id id{};
    endpoint address;
    duration since_contact{}; // since it was last heard; zero for the leader itself
    bool caught_up = false;   // holds every committed entry
    bool superseded = false;  // another identity answers at its address: its disk is gone
};

// The members to propose next, or nothing if all is well.
std::optional<log_members> plan_hosts(host_plan_options const& options, log_members const& members,
                                      host_id self, std::vector<host_status> const& statuses);

} // namespace toucanusher
