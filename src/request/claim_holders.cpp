#include "toucanusher/request/claim_holders.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

std::vector<upstream_ref> choose_holders(member_list const& list, request_id const& id) {
    using scored = std::pair<std::uint64_t, member_list::member const*>;
    std::vector<scored> ranked;
    for (member_list::member const& member : list.members) {
        std::array<std::uint64_t, 4> const key{id.high, id.low, value_of(member.ref.id),
                                               value_of(member.ref.life)};
        ranked.emplace_back(XXH3_64bits(key.data(), sizeof key), &member);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](scored const& a, scored const& b) { return a.first > b.first; });
    std::vector<upstream_ref> holders;
    std::set<std::string> zones;
    // First one holder a zone, then whoever scores next.
    for (bool const new_zones_only : {true, false}) {
        for (auto const& [score, member] : ranked) {
            bool const taken =
                std::find(holders.begin(), holders.end(), member->ref) != holders.end();
            if (holders.size() == holders_per_request || taken)
                continue;
            if (new_zones_only && !zones.insert(member->zone).second)
                continue;
            holders.push_back(member->ref);
        }
    }
    std::sort(holders.begin(), holders.end());
    return holders;
}

std::vector<std::vector<upstream_ref>> holder_sets(std::vector<member_list> const& lists,
                                                   wall_time window_start, request_id const& id) {
    std::vector<std::vector<upstream_ref>> result;
    for (std::size_t i = 0; i < lists.size(); ++i) {
        bool const replaced_before =
            i + 1 < lists.size() && lists[i + 1].proposed_at < window_start;
        if (replaced_before)
            continue;
        auto holders = choose_holders(lists[i], id);
        if (!holders.empty() && std::find(result.begin(), result.end(), holders) == result.end())
            result.push_back(std::move(holders));
    }
    return result;
}

bool is_recent(std::vector<member_list> const& lists, version_number version, wall_time limit) {
    return std::none_of(lists.begin(), lists.end(), [&](member_list const& list) {
        return version < list.since && list.proposed_at < limit;
    });
}

} // namespace toucanusher
