// State machine of the replicated log, after Raft: leader election with pre-vote, replication,
// commit by majority, linearizable reads, snapshots and single-server membership changes.
//
// Performs no I/O: it takes the time and events and returns messages, disk writes and committed
// entries. A message is deferred until the disk write that it depends on is reported as synced, so
// that no vote or acknowledgement leaves before it is durable.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/log_types.h"
#include "toucanusher/process/random.h"

namespace toucanusher {

struct log_options {
    host_id self{};
    duration heartbeat_interval = std::chrono::milliseconds{50};
    // A follower starts an election after a random time between this and twice this without contact
    // with a leader.
    duration election_timeout = std::chrono::milliseconds{300};
    // Replaces election_timeout until this process has known a leader; unset: no difference. It may
    // be short: a live leader makes contact before it expires, and its followers refuse the
    // pre-vote. It should be short: peers that are still starting miss the first campaigns, so that
    // the next one must follow soon.
    std::optional<duration> first_election_timeout;
    std::size_t max_entries_per_message = 256;
    // So that slow followers need no snapshot. The oldest entries go once either is exceeded.
    std::size_t kept_entries_after_snapshot = 1024;
    std::size_t kept_bytes_after_snapshot = 4U << 20U;
    // A follower replies to a snapshot within this time, besides its transfer.
    duration snapshot_retry_interval = std::chrono::milliseconds{500};
    std::uint64_t min_snapshot_rate = 4'000'000; // bytes per second, between control hosts
};

// Fault injection for tests: each switch disables one safety rule, to show that the checks detect
// its absence. Production code uses the defaults.
struct log_faults {
    bool skip_vote_sync = false;         // sends a vote before it is synced
    bool skip_pre_vote = false;          // campaigns without a pre-vote
    bool read_without_quorum = false;    // serves reads without confirming leadership
    bool commit_old_terms = false;       // commits entries of earlier terms by counting replicas
    bool count_unsynced_entries = false; // counts the leader's entries before they are synced
    bool count_next_voters_only = false; // ignores the present voters during a replacement
};

enum class log_role : std::uint8_t { follower, candidate, leader };

struct read_result {
    std::uint64_t request = 0;
    bool ok = false;     // false: this host is not the leader or cannot serve reads
    log_index index = 0; // the state at this index or later serves the read
};

struct log_output {
    std::vector<log_message> messages;
    std::vector<disk_write> writes;
    std::optional<log_snapshot> restored; // replaces the state machine; apply before `committed`
    std::vector<log_entry> committed;     // in index order, each exactly once
    std::vector<read_result> reads;
};

class replicated_log {
  public:
    // `stored` is the log read from disk; an empty log with members starts a new cluster.
    replicated_log(log_options options, durable_log stored, time_point now, random_source random,
                   log_faults faults = {});

    log_output on_tick(time_point now);
    log_output on_message(time_point now, log_message const& message);
    // Reports that all writes up to and including `sequence` are on disk.
    log_output on_synced(time_point now, std::uint64_t sequence);
    // Appends a command. Returns FailedPrecondition if this host is not the leader.
    absl::StatusOr<log_index> propose(time_point now, std::string command, log_output& output);
    // Appends a membership change of at most one voter. Returns FailedPrecondition if this host is
    // not the leader, while another change is uncommitted, or if a new voter is not a learner that
    // has caught up; InvalidArgument if there is no voter.
    absl::StatusOr<log_index> propose_members(time_point now, log_members members,
                                              log_output& output);
    // Starts a linearizable read: its read_result has an index whose state includes every command
    // committed before this call.
    log_output read(time_point now, std::uint64_t request);
    // Takes a snapshot: `state` replaces the entries up to `index`, which must be applied.
    // Starts the log with `members`, which must name this host as the only voter. The log must be
    // without members and entries.
    log_output found(time_point now, log_members members);
    log_output compact(log_index index, std::string state);

    [[nodiscard]] log_role role() const { return role_; }
    [[nodiscard]] std::optional<host_id> leader() const { return leader_; }
    [[nodiscard]] log_term term() const { return state_.term; }
    [[nodiscard]] log_index commit_index() const { return commit_; }
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] log_members const& members() const { return members_; }
    // Log index that members() covers: they are older than any membership of a higher index.
    [[nodiscard]] log_index members_index() const { return members_index_; }
    // Returns false while the newest membership change is uncommitted and may be rolled back.
    [[nodiscard]] bool members_committed() const { return members_index_ <= commit_; }
    [[nodiscard]] std::size_t entry_count() const { return entries_.size(); }
    // Bytes of the commands in the entries that this host holds in memory.
    [[nodiscard]] std::size_t entry_bytes() const;
    // Returns true if this host leads and has committed an entry of its own term.
    [[nodiscard]] bool serves_reads() const;
    // Returns the time since the last contact with the leader, or, at the leader, since a majority
    // was last in contact; nothing if no leader is known.
    [[nodiscard]] std::optional<duration> leader_contact_age(time_point now) const;
    // Returns the last index that a peer is known to hold; 0 unless this host leads.
    [[nodiscard]] log_index match_index(host_id peer) const;

  private:
    struct progress {
        log_index match = 0;
        log_index next = 1;
        std::uint64_t acknowledged_round = 0;
        time_point last_reply{};
        time_point last_sent{};
        time_point next_snapshot_at{}; // no snapshot is repeated earlier
    };
    struct deferred_message {
        std::uint64_t after_write = 0;
        log_message message;
    };
    // Writes that must be on disk before a message is sent.
    enum class hold_until : std::uint8_t { nothing, term_is_synced, all_is_synced };
    struct pending_read {
        std::uint64_t request = 0;
        std::uint64_t round = 0;
        log_index index = 0;
    };

    log_output take_output();
    void handle(time_point now, host_id from, vote_request const& request);
    void handle(time_point now, host_id from, vote_reply const& reply);
    void handle(time_point now, host_id from, append_request const& request);
    void handle(time_point now, host_id from, append_reply const& reply);
    void handle(time_point now, host_id from, snapshot_request const& request);
    [[nodiscard]] bool accepts_sender(time_point now, host_id sender, log_term term,
                                      std::uint64_t round);
    bool observe_term(time_point now, log_term term, bool pre_vote);
    void accept_leader(time_point now, host_id from);
    void become_follower(time_point now, log_term term, std::optional<host_id> leader);
    void campaign(time_point now, bool pre_vote);
    void become_leader(time_point now);
    void append_own(time_point now, log_entry entry);
    void append_replicated(append_request const& request);
    void broadcast(time_point now);
    void send_append(time_point now, host_id peer);
    void send_snapshot(time_point now, host_id peer, progress& state);
    // Returns whether entries that the peer lacks are only in the snapshot.
    [[nodiscard]] bool needs_snapshot(progress const& state) const;
    void advance_commit(time_point now);
    void commit_to(log_index index);
    void confirm_reads();
    void fail_reads();
    void reset_election_timer(time_point now);
    void refresh_members();
    void send(host_id to, log_message_body body, hold_until hold);
    void write_state();
    void discard_marks_from(log_index index);
    [[nodiscard]] hold_until vote_hold() const;
    disk_write& open_write();
    [[nodiscard]] bool has_quorum_contact(time_point now) const;
    [[nodiscard]] bool is_voter(host_id host) const;
    // Returns whether a majority of every set of voters agrees.
    [[nodiscard]] bool reaches_quorum(std::function<bool(host_id)> const& agrees) const;
    [[nodiscard]] bool has_won_vote() const;
    [[nodiscard]] log_index quorum_match() const;
    [[nodiscard]] std::optional<log_term> term_at(log_index index) const;
    [[nodiscard]] log_entry const& entry_at(log_index index) const;
    [[nodiscard]] std::vector<host_id> peers() const;
    [[nodiscard]] absl::Status check_members(log_members const& members) const;

    log_options options_;
    random_source random_;
    log_faults faults_;
    hard_state state_;
    log_snapshot snapshot_;         // snapshot_.index <= commit_
    std::deque<log_entry> entries_; // contiguous, first index is first_index_
    log_index first_index_ = 1;     // <= snapshot_.index + 1
    log_index commit_ = 0;          // never decreases
    log_index synced_index_ = 0;    // last own entry on disk, <= last_index()
    log_members members_;           // from the newest membership entry, committed or not
    log_index members_index_ = 0;
    log_role role_ = log_role::follower;
    std::optional<host_id> leader_;
    std::map<host_id, bool> votes_;
    bool pre_vote_ = false; // the current campaign is a pre-vote
    std::map<host_id, progress> progress_;
    std::uint64_t round_ = 0;
    std::vector<pending_read> reads_;
    bool has_known_leader_ = false; // since this process started
    time_point election_deadline_{};
    time_point last_leader_contact_{};
    time_point became_leader_at_{};
    time_point next_heartbeat_{};
    std::uint64_t write_sequence_ = 0;  // of the newest write issued
    std::uint64_t state_sequence_ = 0;  // of the newest write with a hard state
    std::uint64_t synced_sequence_ = 0; // <= write_sequence_
    struct synced_mark {
        std::uint64_t sequence = 0;
        log_index last = 0;
    };
    std::deque<synced_mark> write_marks_; // last entry index after each unsynced write
    std::deque<deferred_message> deferred_;
    std::optional<disk_write> open_write_;
    log_output output_;
};

} // namespace toucanusher
