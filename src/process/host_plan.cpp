#include "toucanusher/process/host_plan.h"

#include <algorithm>

namespace toucanusher {

namespace {

constexpr duration alive_within = std::chrono::seconds{1}; // several heartbeats

bool contains(std::vector<host_id> const& hosts, host_id host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

host_sight const* sight_of(std::vector<host_sight> const& seen, host_id host) {
    auto const found = std::find_if(seen.begin(), seen.end(),
                                    [&](host_sight const& sight) { return sight.id == host; });
    return found == seen.end() ? nullptr : &*found;
}

bool is_lost(host_plan_options const& options, host_sight const& sight) {
    return sight.superseded || sight.silent > options.replace_voter_after;
}

host_sight const* find_successor(log_members const& members, std::vector<host_sight> const& seen) {
    for (host_sight const& sight : seen) {
        bool const ready = contains(members.learners, sight.id) && sight.caught_up &&
                           !sight.superseded && sight.silent < alive_within;
        if (ready)
            return &sight;
    }
    return nullptr;
}

log_members without(log_members members, host_id host) {
    std::erase(members.voters, host);
    std::erase(members.learners, host);
    members.addresses.erase(host);
    return members;
}

log_members with_voter(log_members members, host_sight const& host) {
    std::erase(members.learners, host.id);
    members.voters.push_back(host.id);
    members.addresses[host.id] = host.where;
    return members;
}

log_members with_learner(log_members members, host_sight const& host) {
    members.learners.push_back(host.id);
    members.addresses[host.id] = host.where;
    return members;
}

host_sight const* find_lost_voter(host_plan_options const& options, log_members const& members,
                                  host_id self, std::vector<host_sight> const& seen) {
    host_sight const* lost = nullptr;
    for (host_id const voter : members.voters) {
        host_sight const* const sight = sight_of(seen, voter);
        if (voter == self || sight == nullptr || !is_lost(options, *sight))
            continue;
        // A disk that is gone never comes back; a silent host may.
        if (lost == nullptr || sight->superseded)
            lost = sight;
    }
    return lost;
}

std::optional<log_members> drop_learner(host_plan_options const& options,
                                        log_members const& members,
                                        std::vector<host_sight> const& seen) {
    for (host_id const learner : members.learners) {
        host_sight const* const sight = sight_of(seen, learner);
        if (sight != nullptr && (sight->superseded || sight->silent > options.forget_learner_after))
            return without(members, learner);
    }
    return std::nullopt;
}

std::optional<log_members> add_learner(host_plan_options const& options, log_members const& members,
                                       std::vector<host_sight> const& seen) {
    for (host_sight const& sight : seen) {
        bool const known =
            contains(members.voters, sight.id) || contains(members.learners, sight.id);
        bool const room = members.voters.size() + members.learners.size() < options.max_hosts + 1;
        if (!known && room && !sight.superseded && sight.silent < alive_within)
            return with_learner(members, sight);
    }
    return std::nullopt;
}

// Removing first needs only the majority that is there; adding first would need the newcomer too.
// Both leave the same losses tolerable, since a lost voter counts for nothing either way.
std::optional<log_members> replace_voter(host_plan_options const& options,
                                         log_members const& members, host_id self,
                                         std::vector<host_sight> const& seen) {
    host_sight const* const successor = find_successor(members, seen);
    if (members.voters.size() < options.voters)
        return successor == nullptr ? std::nullopt : std::optional{with_voter(members, *successor)};
    host_sight const* const lost = find_lost_voter(options, members, self, seen);
    bool const spare = members.voters.size() > options.voters;
    if (lost == nullptr || (successor == nullptr && !spare))
        return std::nullopt;
    log_members const next = without(members, lost->id);
    return lost->superseded ? next : with_learner(next, *lost);
}

} // namespace

std::optional<log_members> plan_hosts(host_plan_options const& options, log_members const& members,
                                      host_id self, std::vector<host_sight> const& seen) {
    if (auto next = replace_voter(options, members, self, seen))
        return next;
    if (auto next = drop_learner(options, members, seen))
        return next;
    return add_learner(options, members, seen);
}

} // namespace toucanusher
