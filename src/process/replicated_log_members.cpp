// The part of replicated_log that changes its members and counts their majorities.
#include "toucanusher/process/replicated_log.h"

#include <algorithm>
#include <utility>

#include "src/process/log_voters.h"

namespace toucanusher {

namespace {

using detail::contains;

std::size_t count_missing(std::vector<host_id> const& from, std::vector<host_id> const& in) {
    return static_cast<std::size_t>(
        std::count_if(from.begin(), from.end(), [&](host_id host) { return !contains(in, host); }));
}

} // namespace

absl::StatusOr<log_index> replicated_log::propose_members(time_point now, log_members members,
                                                          log_output& output) {
    if (auto const status = check_members(members); !status.ok())
        return status;
    append_own(now, {.kind = entry_kind::members, .payload = {}, .members = std::move(members)});
    refresh_members();
    broadcast(now);
    output = take_output();
    return last_index();
}

absl::Status replicated_log::check_members(log_members const& members) const {
    if (role_ != log_role::leader)
        return absl::FailedPreconditionError("this host is not the leader");
    if (members_index_ > commit_ || !serves_reads())
        return absl::FailedPreconditionError("another membership change is in progress");
    if (members.voters.empty())
        return absl::InvalidArgumentError("the log needs at least one voter");
    bool const ends_replacement =
        members.voters == members_.next_voters && members.next_voters.empty();
    if (!members_.next_voters.empty())
        return ends_replacement ? absl::OkStatus()
                                : absl::FailedPreconditionError("a voter is being replaced");
    bool const replaces = !members.next_voters.empty();
    if (replaces && members.voters != members_.voters)
        return absl::FailedPreconditionError("a replacement must keep the present voters");
    std::vector<host_id> const& voters = replaces ? members.next_voters : members.voters;
    std::size_t const added = count_missing(voters, members_.voters);
    std::size_t const removed = count_missing(members_.voters, voters);
    if (added > 1 || removed > 1 || (!replaces && added + removed > 1))
        return absl::FailedPreconditionError("only one voter may change at a time");
    for (host_id const voter : voters) {
        if (contains(members_.voters, voter))
            continue;
        // A new voter must hold every committed entry before it counts for the majority.
        if (!contains(members_.learners, voter) || match_index(voter) < commit_)
            return absl::FailedPreconditionError(
                "a new voter must be a learner that has caught up");
    }
    return absl::OkStatus();
}

void replicated_log::refresh_members() {
    members_ = snapshot_.members;
    members_index_ = snapshot_.index;
    for (log_entry const& entry : entries_) {
        if (!entry.members)
            continue;
        members_ = *entry.members;
        members_index_ = entry.index;
    }
}

bool replicated_log::is_voter(host_id host) const {
    return contains(members_.voters, host) || contains(members_.next_voters, host);
}

bool replicated_log::reaches_quorum(std::function<bool(host_id)> const& agrees) const {
    auto const has_majority = [&](std::vector<host_id> const& voters) {
        auto const count = std::count_if(voters.begin(), voters.end(), agrees);
        return static_cast<std::size_t>(count) > voters.size() / 2;
    };
    if (members_.next_voters.empty())
        return has_majority(members_.voters);
    return has_majority(members_.next_voters) &&
           (faults_.count_next_voters_only || has_majority(members_.voters));
}

std::vector<host_id> replicated_log::peers() const {
    std::vector<host_id> result;
    for (host_id const host : detail::all_voters(members_))
        if (host != options_.self)
            result.push_back(host);
    for (host_id const host : members_.learners)
        if (host != options_.self)
            result.push_back(host);
    return result;
}

} // namespace toucanusher
