#include "toucanusher/process/host_plan.h"

#include <algorithm>

namespace toucanusher {

namespace {

// A host without contact for longer becomes neither learner nor voter. Spans several heartbeats.
constexpr duration candidate_timeout = std::chrono::seconds{1};

bool contains(std::vector<host_id> const& hosts, host_id host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

host_status const* find_status(std::vector<host_status> const& statuses, host_id host) {
    auto const found = std::find_if(statuses.begin(), statuses.end(),
                                    [&](host_status const& status) { return status.id == host; });
    return found == statuses.end() ? nullptr : &*found;
}

bool is_lost(host_plan_options const& options, host_status const& status) {
    return status.superseded || status.since_contact > options.voter_timeout;
}

host_status const* find_successor(log_members const& members,
                                  std::vector<host_status> const& statuses) {
    for (host_status const& status : statuses) {
        bool const ready = contains(members.learners, status.id) && status.caught_up &&
                           !status.superseded && status.since_contact < candidate_timeout;
        if (ready)
            return &status;
    }
    return nullptr;
}

log_members without_host(log_members members, host_id host) {
    std::erase(members.voters, host);
    std::erase(members.learners, host);
    members.addresses.erase(host);
    return members;
}

log_members with_voter(log_members members, host_status const& host) {
    std::erase(members.learners, host.id);
    members.voters.push_back(host.id);
    members.addresses[host.id] = host.address;
    return members;
}

log_members with_learner(log_members members, host_status const& host) {
    members.learners.push_back(host.id);
    members.addresses[host.id] = host.address;
    return members;
}

host_status const* find_lost_voter(host_plan_options const& options, log_members const& members,
                                   host_id self, std::vector<host_status> const& statuses) {
    host_status const* lost = nullptr;
    for (host_id const voter : members.voters) {
        host_status const* const status = find_status(statuses, voter);
        if (voter == self || status == nullptr || !is_lost(options, *status))
            continue;
        // Prefers a superseded host: its disk is lost for good, while a host without contact may
        // return.
        if (lost == nullptr || status->superseded)
            lost = status;
    }
    return lost;
}

std::optional<log_members> remove_learner(host_plan_options const& options,
                                          log_members const& members,
                                          std::vector<host_status> const& statuses) {
    for (host_id const learner : members.learners) {
        host_status const* const status = find_status(statuses, learner);
        if (status != nullptr &&
            (status->superseded || status->since_contact > options.learner_timeout))
            return without_host(members, learner);
    }
    return std::nullopt;
}

std::optional<log_members> add_learner(host_plan_options const& options, log_members const& members,
                                       std::vector<host_status> const& statuses) {
    for (host_status const& status : statuses) {
        bool const known =
            contains(members.voters, status.id) || contains(members.learners, status.id);
        bool const room = members.voters.size() + members.learners.size() < options.max_hosts + 1;
        if (!known && room && !status.superseded && status.since_contact < candidate_timeout)
            return with_learner(members, status);
    }
    return std::nullopt;
}

// Removes the lost voter before it promotes the successor: removal needs a majority of the present
// voters only, while promotion first would need the new voter for a majority as well. Both orders
// tolerate the same further losses, since the lost voter never acknowledges.
std::optional<log_members> replace_voter(host_plan_options const& options,
                                         log_members const& members, host_id self,
                                         std::vector<host_status> const& statuses) {
    host_status const* const successor = find_successor(members, statuses);
    if (members.voters.size() < options.voters)
        return successor == nullptr ? std::nullopt : std::optional{with_voter(members, *successor)};
    host_status const* const lost = find_lost_voter(options, members, self, statuses);
    bool const spare = members.voters.size() > options.voters;
    if (lost == nullptr || (successor == nullptr && !spare))
        return std::nullopt;
    log_members const next = without_host(members, lost->id);
    return lost->superseded ? next : with_learner(next, *lost);
}

} // namespace

std::optional<log_members> plan_hosts(host_plan_options const& options, log_members const& members,
                                      host_id self, std::vector<host_status> const& statuses) {
    if (auto next = replace_voter(options, members, self, statuses))
        return next;
    if (auto next = remove_learner(options, members, statuses))
        return next;
    return add_learner(options, members, statuses);
}

} // namespace toucanusher
