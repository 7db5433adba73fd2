#include "toucanusher/process/replicated_log.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace toucanusher {

namespace {

bool contains(std::vector<host_id> const& hosts, host_id host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

std::size_t count_missing(std::vector<host_id> const& from, std::vector<host_id> const& in) {
    return static_cast<std::size_t>(
        std::count_if(from.begin(), from.end(), [&](host_id host) { return !contains(in, host); }));
}

// Returns the voters of both sets, without duplicates.
std::vector<host_id> all_voters(log_members const& members) {
    std::vector<host_id> result = members.voters;
    for (host_id const voter : members.next_voters)
        if (!contains(result, voter))
            result.push_back(voter);
    return result;
}

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

} // namespace

replicated_log::replicated_log(log_options options, durable_log stored, time_point now,
                               random_source random, log_faults faults)
    : options_(options), random_(std::move(random)), faults_(faults), state_(stored.state),
      snapshot_(std::move(stored.snapshot)), entries_(stored.entries.begin(), stored.entries.end()),
      first_index_(snapshot_.index + 1), commit_(snapshot_.index),
      synced_index_(snapshot_.index + entries_.size()),
      last_leader_contact_(now - 2 * options.election_timeout) {
    refresh_members();
    reset_election_timer(now);
}

log_output replicated_log::on_tick(time_point now) {
    if (role_ == log_role::leader) {
        if (!has_quorum_contact(now))
            become_follower(now, state_.term, std::nullopt);
        else if (now >= next_heartbeat_)
            broadcast(now);
    } else if (now >= election_deadline_ && is_voter(options_.self)) {
        campaign(now, !faults_.skip_pre_vote);
    }
    return take_output();
}

log_output replicated_log::on_message(time_point now, log_message const& message) {
    if (message.to == options_.self)
        std::visit([&](auto const& body) { handle(now, message.from, body); }, message.body);
    return take_output();
}

log_output replicated_log::on_synced(time_point now, std::uint64_t sequence) {
    synced_sequence_ = std::max(synced_sequence_, sequence);
    while (!write_marks_.empty() && write_marks_.front().sequence <= synced_sequence_) {
        synced_index_ = std::min(write_marks_.front().last, last_index());
        write_marks_.pop_front();
    }
    std::erase_if(deferred_, [&](deferred_message& deferred) {
        if (deferred.after_write > synced_sequence_)
            return false;
        output_.messages.push_back(std::move(deferred.message));
        return true;
    });
    if (role_ == log_role::leader)
        advance_commit(now);
    return take_output();
}

absl::StatusOr<log_index> replicated_log::propose(time_point now, std::string command,
                                                  log_output& output) {
    if (role_ != log_role::leader)
        return absl::FailedPreconditionError("this host is not the leader");
    append_own(now, {.kind = entry_kind::command, .payload = std::move(command), .members = {}});
    broadcast(now);
    output = take_output();
    return last_index();
}

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

log_output replicated_log::read(time_point now, std::uint64_t request) {
    if (role_ != log_role::leader || !serves_reads()) {
        output_.reads.push_back({.request = request, .ok = false});
        return take_output();
    }
    if (faults_.read_without_quorum) {
        output_.reads.push_back({.request = request, .ok = true, .index = commit_});
        return take_output();
    }
    ++round_;
    reads_.push_back({.request = request, .round = round_, .index = commit_});
    broadcast(now);
    confirm_reads();
    return take_output();
}

log_output replicated_log::found(time_point now, log_members members) {
    snapshot_.members = std::move(members);
    open_write().snapshot = snapshot_;
    refresh_members();
    reset_election_timer(now);
    return take_output();
}

log_output replicated_log::compact(log_index index, std::string state) {
    if (index <= snapshot_.index || index > commit_)
        return take_output();
    // The membership at `index` is that of the newest membership entry at or below it.
    log_members members = snapshot_.members;
    for (auto const& entry : entries_)
        if (entry.index <= index && entry.members)
            members = *entry.members;
    snapshot_ = {index, *term_at(index), std::move(members), std::move(state)};
    open_write().snapshot = snapshot_;
    std::size_t bytes = entry_bytes();
    while (first_index_ <= index && (entries_.size() > options_.kept_entries_after_snapshot ||
                                     bytes > options_.kept_bytes_after_snapshot)) {
        bytes -= entries_.front().payload.size();
        entries_.pop_front();
        ++first_index_;
    }
    return take_output();
}

log_index replicated_log::last_index() const {
    return first_index_ + entries_.size() - 1;
}

std::size_t replicated_log::entry_bytes() const {
    return std::accumulate(
        entries_.begin(), entries_.end(), std::size_t{0},
        [](std::size_t bytes, log_entry const& entry) { return bytes + entry.payload.size(); });
}

bool replicated_log::serves_reads() const {
    return role_ == log_role::leader && term_at(commit_) == state_.term;
}

std::optional<duration> replicated_log::leader_contact_age(time_point now) const {
    if (role_ != log_role::leader)
        return leader_ ? std::optional{now - last_leader_contact_} : std::nullopt;
    // The newest time by which a majority had replied; this host counts as replying now.
    return now - quorum_minimum<time_point>(members_, [&](host_id voter) {
               auto const peer = progress_.find(voter);
               if (voter == options_.self)
                   return now;
               return peer == progress_.end() ? became_leader_at_ : peer->second.last_reply;
           });
}

log_index replicated_log::match_index(host_id peer) const {
    auto const found = progress_.find(peer);
    return found == progress_.end() ? 0 : found->second.match;
}

log_output replicated_log::take_output() {
    if (open_write_) {
        write_marks_.push_back({open_write_->sequence, last_index()});
        output_.writes.push_back(std::move(*open_write_));
        open_write_.reset();
    }
    return std::exchange(output_, {});
}

void replicated_log::handle(time_point now, host_id from, vote_request const& request) {
    // While the leader is alive, vote requests are ignored, so that a host that returns from a
    // partition cannot depose it.
    bool const leader_alive =
        role_ == log_role::leader || now - last_leader_contact_ < options_.election_timeout;
    if (leader_alive && !faults_.skip_pre_vote) {
        if (request.pre_vote)
            send(from, vote_reply{state_.term, false, true}, hold_until::all_is_synced);
        return;
    }
    observe_term(now, request.term, request.pre_vote);
    log_term const own_term = *term_at(last_index());
    bool const up_to_date = request.last_term > own_term ||
                            (request.last_term == own_term && request.last_index >= last_index());
    if (request.pre_vote) {
        bool const granted = request.term > state_.term && up_to_date;
        send(from, vote_reply{granted ? request.term : state_.term, granted, true},
             hold_until::all_is_synced);
        return;
    }
    bool const may_vote = !state_.vote || *state_.vote == from;
    bool const granted = request.term == state_.term && up_to_date && may_vote;
    if (granted && !state_.vote) {
        state_.vote = from;
        write_state();
        reset_election_timer(now);
    }
    send(from, vote_reply{state_.term, granted, false}, vote_hold());
}

void replicated_log::handle(time_point now, host_id from, vote_reply const& reply) {
    if (!reply.granted) {
        observe_term(now, reply.term, false);
        return;
    }
    bool const expected_term = reply.term == state_.term + (pre_vote_ ? 1 : 0);
    if (role_ != log_role::candidate || reply.pre_vote != pre_vote_ || !expected_term)
        return;
    votes_[from] = true;
    if (!has_won_vote())
        return;
    if (pre_vote_)
        campaign(now, false);
    else
        become_leader(now);
}

void replicated_log::handle(time_point now, host_id from, append_request const& request) {
    if (request.term < state_.term) {
        send(from, append_reply{state_.term, false, last_index(), request.round},
             hold_until::all_is_synced);
        return;
    }
    observe_term(now, request.term, false);
    accept_leader(now, from);
    log_index const previous = request.previous_index;
    if (previous < commit_ && !term_at(previous)) {
        // The previous entry is compacted here, and hence committed and equal to the leader's.
        send(from, append_reply{state_.term, true, commit_, request.round},
             hold_until::all_is_synced);
        return;
    }
    if (term_at(previous) != request.previous_term) {
        log_index const retry = std::min(last_index(), previous == 0 ? 0 : previous - 1);
        send(from, append_reply{state_.term, false, retry, request.round},
             hold_until::all_is_synced);
        return;
    }
    append_replicated(request);
    log_index const match = previous + request.entries.size();
    commit_to(std::min(request.commit, match));
    send(from, append_reply{state_.term, true, match, request.round}, hold_until::all_is_synced);
}

void replicated_log::handle(time_point now, host_id from, append_reply const& reply) {
    if (observe_term(now, reply.term, false) || role_ != log_role::leader ||
        reply.term != state_.term)
        return;
    auto const found = progress_.find(from);
    if (found == progress_.end())
        return;
    progress& peer = found->second;
    peer.last_reply = now;
    peer.acknowledged_round = std::max(peer.acknowledged_round, reply.round);
    if (reply.accepted) {
        peer.match = std::max(peer.match, reply.match);
        peer.next = std::max(peer.next, peer.match + 1);
    } else {
        peer.next = std::max(peer.match + 1, std::min(peer.next, reply.match + 1));
    }
    advance_commit(now);
    confirm_reads();
    bool const awaits_snapshot = needs_snapshot(peer) && now < peer.next_snapshot_at;
    if (peer.next <= last_index() && !awaits_snapshot)
        send_append(now, from);
}

void replicated_log::handle(time_point now, host_id from, snapshot_request const& request) {
    if (request.term < state_.term) {
        send(from, append_reply{state_.term, false, last_index(), request.round},
             hold_until::all_is_synced);
        return;
    }
    observe_term(now, request.term, false);
    accept_leader(now, from);
    if (request.snapshot.index > commit_) {
        bool const keeps_tail = term_at(request.snapshot.index) == request.snapshot.term;
        snapshot_ = request.snapshot;
        if (!keeps_tail) {
            entries_.clear();
            first_index_ = snapshot_.index + 1;
            discard_marks_from(snapshot_.index + 1);
            open_write().truncate_from = snapshot_.index + 1;
        }
        open_write().snapshot = snapshot_;
        commit_ = snapshot_.index;
        output_.committed.clear();
        output_.restored = snapshot_;
        refresh_members();
    }
    send(from, append_reply{state_.term, true, commit_, request.round}, hold_until::all_is_synced);
}

// Returns true if the term is newer; this host is then a follower of that term.
bool replicated_log::observe_term(time_point now, log_term term, bool pre_vote) {
    if (pre_vote || term <= state_.term)
        return false;
    become_follower(now, term, std::nullopt);
    return true;
}

void replicated_log::accept_leader(time_point now, host_id from) {
    if (role_ != log_role::follower)
        become_follower(now, state_.term, from);
    leader_ = from;
    has_known_leader_ = true;
    last_leader_contact_ = now;
    reset_election_timer(now);
}

void replicated_log::become_follower(time_point now, log_term term, std::optional<host_id> leader) {
    if (term != state_.term) {
        state_ = {term, std::nullopt};
        write_state();
    }
    fail_reads();
    role_ = log_role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    reset_election_timer(now);
}

void replicated_log::campaign(time_point now, bool pre_vote) {
    role_ = log_role::candidate;
    leader_.reset();
    pre_vote_ = pre_vote;
    votes_ = {{options_.self, true}};
    reset_election_timer(now);
    if (!pre_vote) {
        state_ = {state_.term + 1, options_.self};
        write_state();
    }
    vote_request const request{state_.term + (pre_vote ? 1 : 0), last_index(),
                               *term_at(last_index()), pre_vote};
    for (host_id const voter : all_voters(members_))
        if (voter != options_.self)
            send(voter, request, vote_hold());
    if (!has_won_vote())
        return;
    if (pre_vote)
        campaign(now, false);
    else
        become_leader(now);
}

void replicated_log::become_leader(time_point now) {
    role_ = log_role::leader;
    has_known_leader_ = true;
    leader_ = options_.self;
    became_leader_at_ = now;
    progress_.clear();
    // Entries of earlier terms commit only once an entry of the current term does.
    append_own(now, {.kind = entry_kind::no_op, .payload = {}, .members = {}});
    broadcast(now);
    advance_commit(now);
}

void replicated_log::append_own(time_point /*now*/, log_entry entry) {
    entry.term = state_.term;
    entry.index = last_index() + 1;
    open_write().entries.push_back(entry);
    entries_.push_back(std::move(entry));
}

void replicated_log::append_replicated(append_request const& request) {
    for (auto const& entry : request.entries) {
        if (entry.index < first_index_)
            continue;
        if (auto const known = term_at(entry.index)) {
            if (*known == entry.term)
                continue;
            while (last_index() >= entry.index)
                entries_.pop_back();
            discard_marks_from(entry.index);
            disk_write& write = open_write();
            std::erase_if(write.entries,
                          [&](log_entry const& old) { return old.index >= entry.index; });
            write.truncate_from = std::min(write.truncate_from.value_or(entry.index), entry.index);
        }
        open_write().entries.push_back(entry);
        entries_.push_back(entry);
    }
    refresh_members();
}

// Entries from `index` on are replaced, so that earlier writes no longer count as syncing them.
void replicated_log::discard_marks_from(log_index index) {
    synced_index_ = std::min(synced_index_, index - 1);
    for (auto& mark : write_marks_)
        mark.last = std::min(mark.last, index - 1);
}

void replicated_log::broadcast(time_point now) {
    next_heartbeat_ = now + options_.heartbeat_interval;
    for (host_id const peer : peers())
        send_append(now, peer);
}

void replicated_log::send_append(time_point now, host_id peer) {
    progress& state =
        progress_.try_emplace(peer, progress{.next = last_index() + 1, .last_reply = now})
            .first->second;
    state.last_sent = now;
    if (needs_snapshot(state)) {
        send_snapshot(now, peer, state);
        return;
    }
    append_request request{state_.term, state.next - 1, *term_at(state.next - 1),
                           commit_,     round_,         {}};
    log_index const end =
        std::min<log_index>(last_index() + 1, state.next + options_.max_entries_per_message);
    for (log_index index = state.next; index < end; ++index)
        request.entries.push_back(entry_at(index));
    // Assumes that the peer receives the entries, until it refuses a later append.
    state.next = end;
    // Followers may sync the entries before the leader's own write is synced.
    send(peer, std::move(request), hold_until::term_is_synced);
}

// Sends the snapshot, or, until it is due again, an empty request that keeps the contact.
void replicated_log::send_snapshot(time_point now, host_id peer, progress& state) {
    if (now < state.next_snapshot_at) {
        send(peer,
             append_request{state_.term, snapshot_.index, snapshot_.term, commit_, round_, {}},
             hold_until::term_is_synced);
        return;
    }
    std::chrono::duration<double> const transfer_time{
        static_cast<double>(snapshot_.state.size()) /
        static_cast<double>(options_.min_snapshot_rate)};
    state.next_snapshot_at = now + options_.snapshot_retry_interval +
                             std::chrono::duration_cast<duration>(transfer_time);
    send(peer, snapshot_request{state_.term, round_, snapshot_}, hold_until::term_is_synced);
}

bool replicated_log::needs_snapshot(progress const& state) const {
    return state.next < first_index_ || !term_at(state.next - 1);
}

void replicated_log::advance_commit(time_point now) {
    log_index const candidate = quorum_match();
    if (candidate <= commit_)
        return;
    if (term_at(candidate) != state_.term && !faults_.commit_old_terms)
        return;
    commit_to(candidate);
    broadcast(now);
}

void replicated_log::commit_to(log_index index) {
    while (commit_ < std::min(index, last_index())) {
        ++commit_;
        output_.committed.push_back(entry_at(commit_));
    }
    bool const removed =
        role_ == log_role::leader && members_index_ <= commit_ && !is_voter(options_.self);
    if (removed) {
        role_ = log_role::follower;
        leader_.reset();
        fail_reads();
    }
}

void replicated_log::confirm_reads() {
    std::erase_if(reads_, [&](pending_read const& read) {
        bool const confirmed = reaches_quorum([&](host_id host) {
            auto const peer = progress_.find(host);
            return host == options_.self ||
                   (peer != progress_.end() && peer->second.acknowledged_round >= read.round);
        });
        if (!confirmed)
            return false;
        output_.reads.push_back({.request = read.request, .ok = true, .index = read.index});
        return true;
    });
}

void replicated_log::fail_reads() {
    for (auto const& read : reads_)
        output_.reads.push_back({.request = read.request, .ok = false});
    reads_.clear();
}

void replicated_log::reset_election_timer(time_point now) {
    // Hosts that start together need a wide spread to avoid split votes.
    constexpr int first_spread = 3;
    bool const first = !has_known_leader_ && options_.first_election_timeout.has_value();
    duration const base = first ? *options_.first_election_timeout : options_.election_timeout;
    duration const spread = first ? base * first_spread : base;
    auto const chosen =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count()));
    election_deadline_ = now + base + duration{chosen};
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

void replicated_log::send(host_id to, log_message_body body, hold_until hold) {
    log_message message{options_.self, to, std::move(body)};
    std::uint64_t after_write = 0;
    if (hold == hold_until::term_is_synced)
        after_write = state_sequence_;
    else if (hold == hold_until::all_is_synced)
        after_write = write_sequence_;
    if (after_write <= synced_sequence_)
        output_.messages.push_back(std::move(message));
    else
        deferred_.push_back({after_write, std::move(message)});
}

void replicated_log::write_state() {
    disk_write& write = open_write();
    write.state = state_;
    state_sequence_ = write.sequence;
}

replicated_log::hold_until replicated_log::vote_hold() const {
    return faults_.skip_vote_sync ? hold_until::nothing : hold_until::all_is_synced;
}

disk_write& replicated_log::open_write() {
    if (!open_write_) {
        open_write_.emplace();
        open_write_->sequence = ++write_sequence_;
    }
    return *open_write_;
}

bool replicated_log::has_quorum_contact(time_point now) const {
    if (now - became_leader_at_ < options_.election_timeout)
        return true;
    return reaches_quorum([&](host_id host) {
        auto const peer = progress_.find(host);
        return host == options_.self || (peer != progress_.end() &&
                                         now - peer->second.last_reply < options_.election_timeout);
    });
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

bool replicated_log::has_won_vote() const {
    return reaches_quorum([&](host_id host) {
        auto const vote = votes_.find(host);
        return vote != votes_.end() && vote->second;
    });
}

log_index replicated_log::quorum_match() const {
    log_members counted = members_;
    if (faults_.count_next_voters_only && !counted.next_voters.empty())
        counted.voters = counted.next_voters;
    return quorum_minimum<log_index>(counted, [&](host_id voter) {
        log_index const own = faults_.count_unsynced_entries ? last_index() : synced_index_;
        return voter == options_.self ? own : match_index(voter);
    });
}

std::optional<log_term> replicated_log::term_at(log_index index) const {
    if (index == 0)
        return 0;
    if (index == snapshot_.index)
        return snapshot_.term;
    if (index < first_index_ || index > last_index())
        return std::nullopt;
    return entry_at(index).term;
}

log_entry const& replicated_log::entry_at(log_index index) const {
    return entries_[index - first_index_];
}

std::vector<host_id> replicated_log::peers() const {
    std::vector<host_id> result;
    for (host_id const host : all_voters(members_))
        if (host != options_.self)
            result.push_back(host);
    for (host_id const host : members_.learners)
        if (host != options_.self)
            result.push_back(host);
    return result;
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

} // namespace toucanusher
