#include "src/process/log_voters.h"

namespace toucanusher::detail {

bool contains(std::vector<host_id> const& hosts, host_id host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

std::vector<host_id> all_voters(log_members const& members) {
    std::vector<host_id> result = members.voters;
    for (host_id const voter : members.next_voters)
        if (!contains(result, voter))
            result.push_back(voter);
    return result;
}

} // namespace toucanusher::detail
