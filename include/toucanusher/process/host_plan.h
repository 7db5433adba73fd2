// Plans the next membership change of the control hosts: adds and removes learners, promotes them
// and replaces lost voters.
//
// A pure function: the leader passes the status of each host and proposes the returned membership.
// Each plan changes one host. A lost voter is replaced once a learner that has caught up can take
// its place.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

struct host_plan_options {
    std::size_t voters = 3;    // 2f + 1 keep a majority when f disks are lost
    std::size_t max_hosts = 7; // maximum number of hosts reserved for control
    // A voter without contact for longer is replaced if a learner is ready. This and an election
    // must fit into the interval between two losses that is tolerated, a few seconds.
    duration voter_timeout = std::chrono::milliseconds{1500};
    // A learner without contact for longer is removed, and after voter_timeout already if its place
    // is needed for a host in contact.
    duration learner_timeout = std::chrono::seconds{60};
};

// Status of one control host, as seen by the leader.
struct host_status {
    host_id id{};
    endpoint address;
    duration since_contact{}; // time since the last contact; zero for the leader
    bool caught_up = false;   // holds every committed entry
    bool superseded = false;  // another host id answers at its address: its disk is lost
};

// The members of the log and the places for more, as one host sees them.
struct host_survey {
    std::size_t voters = 0;
    std::size_t voters_reachable = 0; // in contact within voter_timeout, this host included
    std::size_t learners = 0;
    std::size_t learners_reachable = 0;
    std::size_t places_free = 0;
    std::vector<host_status> waiting; // hosts in contact that are not members
};

host_survey survey_hosts(host_plan_options const& options, log_members const& members, host_id self,
                         std::vector<host_status> const& statuses);

// Returns the membership to propose next, or nothing if no change is needed.
std::optional<log_members> plan_hosts(host_plan_options const& options, log_members const& members,
                                      host_id self, std::vector<host_status> const& statuses);

} // namespace toucanusher
