#include "toucanusher/process/replicated_log.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "src/process/log_voters.h"

namespace toucanusher {

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
    return now - detail::quorum_minimum<time_point>(members_, [&](host_id voter) {
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

// Entries from `index` on are replaced, so that earlier writes no longer count as syncing them.
void replicated_log::discard_marks_from(log_index index) {
    synced_index_ = std::min(synced_index_, index - 1);
    for (auto& mark : write_marks_)
        mark.last = std::min(mark.last, index - 1);
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

disk_write& replicated_log::open_write() {
    if (!open_write_) {
        open_write_.emplace();
        open_write_->sequence = ++write_sequence_;
    }
    return *open_write_;
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

} // namespace toucanusher
