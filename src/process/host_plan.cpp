#include "toucanusher/process/host_plan.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/process/log_voters.h"

namespace toucanusher {

namespace {

using detail::contains;

// A host without contact for longer becomes neither learner nor voter. Spans several heartbeats.
constexpr duration candidate_timeout = std::chrono::seconds{1};

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

// Replaces a voter in one step, during which both sets of voters count.
log_members with_replacement(log_members members, host_status const& lost,
                             host_status const& successor) {
    members.next_voters = members.voters;
    std::erase(members.next_voters, lost.id);
    members.next_voters.push_back(successor.id);
    std::erase(members.learners, successor.id);
    members.addresses[successor.id] = successor.address;
    return members;
}

// A voter that was replaced stays as a learner, unless its disk is lost.
log_members without_replaced_voter(log_members members, std::vector<host_status> const& statuses) {
    for (host_id const voter : members.voters) {
        if (contains(members.next_voters, voter))
            continue;
        host_status const* const status = find_status(statuses, voter);
        if (status == nullptr || status->superseded)
            members.addresses.erase(voter);
        else
            members.learners.push_back(voter);
    }
    members.voters = std::exchange(members.next_voters, {});
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

std::size_t count_free_places(host_plan_options const& options, log_members const& members) {
    std::size_t const places = options.max_hosts + 1;
    std::size_t const taken = members.voters.size() + members.learners.size();
    return taken < places ? places - taken : 0;
}

bool is_waiting(log_members const& members, host_status const& status) {
    bool const known =
        contains(detail::all_voters(members), status.id) || contains(members.learners, status.id);
    return !known && !status.superseded && status.since_contact < candidate_timeout;
}

// Returns the learner without contact whose place another host may take: the one that has been
// silent for longest.
host_status const* find_lost_learner(host_plan_options const& options, log_members const& members,
                                     std::vector<host_status> const& statuses) {
    host_status const* lost = nullptr;
    for (host_id const learner : members.learners) {
        host_status const* const status = find_status(statuses, learner);
        if (status == nullptr || !is_lost(options, *status))
            continue;
        if (lost == nullptr || status->since_contact > lost->since_contact)
            lost = status;
    }
    return lost;
}

// A learner that is lost keeps its place, so that it catches up at once if it returns, only while
// no other host needs the place.
std::optional<log_members> add_learner(host_plan_options const& options, log_members const& members,
                                       std::vector<host_status> const& statuses) {
    auto const waiting =
        std::find_if(statuses.begin(), statuses.end(),
                     [&](host_status const& status) { return is_waiting(members, status); });
    if (waiting == statuses.end())
        return std::nullopt;
    if (count_free_places(options, members) > 0)
        return with_learner(members, *waiting);
    host_status const* const lost = find_lost_learner(options, members, statuses);
    if (lost == nullptr)
        return std::nullopt;
    return with_learner(without_host(members, lost->id), *waiting);
}

// Replaces a lost voter. At no time does the log have fewer voters than planned, since a silent
// voter may return with its disk after another has lost one; and the replacement needs only the
// voters that are left.
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
    if (!spare)
        return with_replacement(members, *lost, *successor);
    log_members const next = without_host(members, lost->id);
    return lost->superseded ? next : with_learner(next, *lost);
}

} // namespace

host_survey survey_hosts(host_plan_options const& options, log_members const& members, host_id self,
                         std::vector<host_status> const& statuses) {
    auto const is_reachable = [&](host_id host) {
        host_status const* const status = find_status(statuses, host);
        return host == self || (status != nullptr && !is_lost(options, *status));
    };
    auto const count_reachable = [&](std::vector<host_id> const& hosts) {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), is_reachable));
    };
    host_survey survey;
    survey.voters = members.voters.size();
    survey.voters_reachable = count_reachable(members.voters);
    survey.learners = members.learners.size();
    survey.learners_reachable = count_reachable(members.learners);
    survey.places_free = count_free_places(options, members);
    std::copy_if(statuses.begin(), statuses.end(), std::back_inserter(survey.waiting),
                 [&](host_status const& status) { return is_waiting(members, status); });
    return survey;
}

std::optional<log_members> plan_hosts(host_plan_options const& options, log_members const& members,
                                      host_id self, std::vector<host_status> const& statuses) {
    if (!members.next_voters.empty())
        return without_replaced_voter(members, statuses);
    if (auto next = replace_voter(options, members, self, statuses))
        return next;
    if (auto next = remove_learner(options, members, statuses))
        return next;
    return add_learner(options, members, statuses);
}

} // namespace toucanusher
