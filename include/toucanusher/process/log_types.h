// Types that the replicated log exchanges with its peers, its disk and its state machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

using log_term = std::uint64_t;
using log_index = std::uint64_t; // 1-based; 0 precedes the first entry

// Membership of the log: voters count for elections and commits, learners only receive entries.
struct log_members {
    std::vector<host_id> voters;
    std::vector<host_id> learners;
    // Address of each host; hosts from settings files may be missing.
    std::map<host_id, endpoint> addresses;
    // The voters after a replacement in progress; empty if there is none. Until it ends, elections
    // and commits need a majority of `voters` and a majority of `next_voters`.
    std::vector<host_id> next_voters;

    friend bool operator==(log_members const&, log_members const&) = default;
};

enum class entry_kind : std::uint8_t { no_op, command, members };

struct log_entry {
    log_term term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::no_op;
    std::string payload;                // set for commands; opaque to the log
    std::optional<log_members> members; // set for membership changes

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

// Term and vote. Must be on disk before any message that depends on them is sent.
struct hard_state {
    log_term term = 0;
    std::optional<host_id> vote;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

// State machine contents up to and including `index`.
struct log_snapshot {
    log_index index = 0;
    log_term term = 0;
    log_members members;
    std::string state;

    friend bool operator==(log_snapshot const&, log_snapshot const&) = default;
};

struct vote_request {
    log_term term = 0;
    log_index last_index = 0;
    log_term last_term = 0;
    bool pre_vote = false; // only checks whether a vote would be granted; changes no state
};

struct vote_reply {
    log_term term = 0;
    bool granted = false;
    bool pre_vote = false;
};

struct append_request {
    log_term term = 0;
    log_index previous_index = 0;
    log_term previous_term = 0;
    log_index commit = 0;
    std::uint64_t round = 0; // echoed in the reply; confirms leadership for reads
    std::vector<log_entry> entries;
};

struct append_reply {
    log_term term = 0;
    bool accepted = false;
    log_index match = 0; // accepted: last matching index; refused: last that may match
    std::uint64_t round = 0;
};

struct snapshot_request {
    log_term term = 0;
    std::uint64_t round = 0;
    log_snapshot snapshot;
};

using log_message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request>;

struct log_message {
    host_id from{};
    host_id to{};
    log_message_body body;
};

// One atomic write to a host's disk. Writes are applied in order of `sequence`; within a write, the
// snapshot is applied first, then the truncation, then the entries.
struct disk_write {
    std::uint64_t sequence = 0;
    std::optional<hard_state> state;
    std::optional<log_snapshot> snapshot;   // entries up to its index are no longer needed
    std::optional<log_index> truncate_from; // entries from this index on are discarded
    std::vector<log_entry> entries;
};

// State that a host reads from its disk at start.
struct durable_log {
    hard_state state;
    log_snapshot snapshot;
    std::vector<log_entry> entries; // contiguous; the first follows the snapshot's index
};

} // namespace toucanusher
