#include "toucanusher/request/record_replicas.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

std::vector<upstream_ref> choose_record_replicas(member_list const& list, request_id const& id) {
    using scored = std::pair<std::uint64_t, member_list::member const*>;
    std::vector<scored> ranked;
    for (member_list::member const& member : list.members) {
        std::array<std::uint64_t, 4> const key{id.high, id.low, value_of(member.ref.id),
                                               value_of(member.ref.incarnation)};
        ranked.emplace_back(XXH3_64bits(key.data(), sizeof key), &member);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](scored const& a, scored const& b) { return a.first > b.first; });
    std::vector<upstream_ref> replicas;
    std::set<std::string> zones;
    // The first pass takes one member of each zone, the second fills up by score.
    for (bool const new_zones_only : {true, false}) {
        for (auto const& [score, member] : ranked) {
            bool const chosen =
                std::find(replicas.begin(), replicas.end(), member->ref) != replicas.end();
            if (replicas.size() == record_replicas_per_request || chosen)
                continue;
            if (new_zones_only && !zones.insert(member->zone).second)
                continue;
            replicas.push_back(member->ref);
        }
    }
    std::sort(replicas.begin(), replicas.end());
    return replicas;
}

std::vector<std::vector<upstream_ref>> record_replica_sets(std::vector<member_list> const& lists,
                                                           wall_time window_start,
                                                           request_id const& id) {
    std::vector<std::vector<upstream_ref>> result;
    for (std::size_t i = 0; i < lists.size(); ++i) {
        bool const replaced_before =
            i + 1 < lists.size() && lists[i + 1].proposed_at < window_start;
        if (replaced_before)
            continue;
        auto replicas = choose_record_replicas(lists[i], id);
        if (!replicas.empty() && std::find(result.begin(), result.end(), replicas) == result.end())
            result.push_back(std::move(replicas));
    }
    return result;
}

bool is_member_list_recent(std::vector<member_list> const& lists, version_number version,
                           wall_time limit) {
    return std::none_of(lists.begin(), lists.end(), [&](member_list const& list) {
        return version < list.since && list.proposed_at < limit;
    });
}

} // namespace toucanusher
