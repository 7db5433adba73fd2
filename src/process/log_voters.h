// The voters of a log, of which there are two sets while one is being replaced.
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "toucanusher/process/log_types.h"

namespace toucanusher::detail {

[[nodiscard]] bool contains(std::vector<host_id> const& hosts, host_id host);

// Returns the voters of both sets, without duplicates.
[[nodiscard]] std::vector<host_id> all_voters(log_members const& members);

// Returns the highest value that a majority of every set of voters reaches.
template <typename T, typename ValueOf>
T quorum_minimum(log_members const& members, ValueOf const& value_for) {
    auto const reached = [&](std::vector<host_id> const& voters) {
        std::vector<T> values;
        for (host_id const voter : voters)
            values.push_back(value_for(voter));
        std::sort(values.begin(), values.end(), std::greater<>{});
        return values.empty() ? T{} : values[values.size() / 2];
    };
    T const present = reached(members.voters);
    return members.next_voters.empty() ? present : std::min(present, reached(members.next_voters));
}

} // namespace toucanusher::detail
