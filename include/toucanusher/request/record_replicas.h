// Chooses the agents that keep the run record of a request. Each member list that was in force
// within the deduplication window yields one replica set, chosen by rendezvous hashing. A run needs
// a majority of every set, so that a record made under an earlier list is still found.
#pragma once

#include <cstddef>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/request_message.h"
#include "toucanusher/version/membership.h"

namespace toucanusher {

inline constexpr std::size_t record_replicas_per_request = 3;

// Returns the record replicas among the members of one list, sorted and spread over availability
// zones.
std::vector<upstream_ref> choose_record_replicas(member_list const& list, request_id const& id);

// Returns the distinct replica sets of all lists that were in force after `window_start`.
std::vector<std::vector<upstream_ref>> record_replica_sets(std::vector<member_list> const& lists,
                                                           wall_time window_start,
                                                           request_id const& id);

// Returns false if the list in force at `version` was replaced before `limit`.
bool is_member_list_recent(std::vector<member_list> const& lists, version_number version,
                           wall_time limit);

} // namespace toucanusher
