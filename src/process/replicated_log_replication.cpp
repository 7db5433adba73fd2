// The part of replicated_log that replicates: entries and snapshots to followers, and commits.
#include "toucanusher/process/replicated_log.h"

#include <algorithm>
#include <utility>

#include "src/process/log_voters.h"

namespace toucanusher {

void replicated_log::handle(time_point now, host_id from, append_request const& request) {
    if (!accepts_sender(now, from, request.term, request.round))
        return;
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
    if (!accepts_sender(now, from, request.term, request.round))
        return;
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

// Accepts the sender of a request as the leader, or refuses the request if its term has passed.
bool replicated_log::accepts_sender(time_point now, host_id sender, log_term term,
                                    std::uint64_t round) {
    if (term < state_.term) {
        send(sender, append_reply{state_.term, false, last_index(), round},
             hold_until::all_is_synced);
        return false;
    }
    observe_term(now, term, false);
    accept_leader(now, sender);
    return true;
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

log_index replicated_log::quorum_match() const {
    log_members counted = members_;
    if (faults_.count_next_voters_only && !counted.next_voters.empty())
        counted.voters = counted.next_voters;
    return detail::quorum_minimum<log_index>(counted, [&](host_id voter) {
        log_index const own = faults_.count_unsynced_entries ? last_index() : synced_index_;
        return voter == options_.self ? own : match_index(voter);
    });
}

} // namespace toucanusher
