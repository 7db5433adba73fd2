// Messages between daemons, control hosts and the operators' tool.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/log_types.h"
#include "toucanusher/version/claim_book.h"
#include "toucanusher/version/fleet_command.h"
#include "toucanusher/version/snapshot_transfer.h"

namespace toucanusher {

enum class daemon_role : std::uint8_t { balancer, agent, control };
char const* to_string(daemon_role role);

// Sent by a daemon to one control host about once a second. It carries the membership that the
// state should contain for this daemon; the control host proposes the differences. It also requests
// the updates after `applied`.
struct heartbeat {
    std::string name;
    daemon_role role = daemon_role::balancer;
    std::uint64_t process_instance = 0; // tells one start of the daemon from another
    version_number applied{};
    bool wants_confirmation = false; // requests a version no older than this process
    std::vector<upstream_announcement> upstreams;
    std::vector<upstream_announcement> ended_upstreams; // incarnations that ended
    std::optional<balancer_record> balancer;
    bool balancer_leaving = false;
    std::vector<release_buckets> releases;
    bool follows_state = true; // false: needs only the addresses of the control hosts
    std::optional<snapshot_progress> transfer; // of a snapshot that is not complete yet

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

// The commands after `base`, or a part of a snapshot of the whole state, for a daemon that lacks
// them.
struct state_update {
    version_number base{};
    version_number newest{};                    // version that the sender has applied
    std::vector<std::string> commands;          // encoded, in order; the first follows `base`
    std::optional<snapshot_part> snapshot;      // then base and commands are ignored
    std::optional<duration> leader_contact_age; // since the sender's last contact with a leader
    std::optional<std::uint64_t> confirmed_instance; // process instance for which `newest` is fresh
    std::vector<endpoint> control_hosts;             // to connect to if the sender stops responding
    log_index directory_version = 0; // log index of the membership in `control_hosts`
    // The sender keeps no state; the hosts in `control_hosts` do.
    bool directory_only = false;

    friend bool operator==(state_update const&, state_update const&) = default;
};

struct read_settings {
    std::string service; // empty: all
    std::string key;     // empty: all

    friend bool operator==(read_settings const&, read_settings const&) = default;
};
struct read_history {
    std::uint32_t limit = 50;

    friend bool operator==(read_history const&, read_history const&) = default;
};
struct read_status {
    friend bool operator==(read_status const&, read_status const&) = default;
};
enum class host_change : std::uint8_t { add_learner, promote, remove };
// Changes the set of control hosts by one step.
struct change_hosts {
    host_change change = host_change::add_learner;
    host_id host{};

    friend bool operator==(change_hosts const&, change_hosts const&) = default;
};

using operator_action = std::variant<write_claim, withdraw_claim, read_settings, read_history,
                                     read_status, change_hosts>;

struct operator_request {
    std::string id; // echoed in the reply
    operator_action action;
};

struct setting_claims {
    setting_id setting;
    std::vector<claim> claims; // the one in force first

    friend bool operator==(setting_claims const&, setting_claims const&) = default;
};
struct settings_view {
    version_number version{};
    std::vector<setting_claims> settings;

    friend bool operator==(settings_view const&, settings_view const&) = default;
};
struct history_view {
    std::vector<claim_record> records; // oldest first

    friend bool operator==(history_view const&, history_view const&) = default;
};
struct daemon_view {
    std::string name;
    daemon_role role = daemon_role::balancer;
    version_number applied{};
    std::chrono::milliseconds since_last_contact{}; // since its last heartbeat

    friend bool operator==(daemon_view const&, daemon_view const&) = default;
};
struct upstream_view {
    upstream_record record;
    std::uint32_t buckets = 0;
    std::uint32_t predecessor_buckets = 0;

    friend bool operator==(upstream_view const&, upstream_view const&) = default;
};
struct status_view {
    host_id answered_by{};
    std::optional<host_id> leader;
    log_term term = 0;
    version_number version{};
    log_members hosts;
    std::vector<std::pair<host_id, log_index>> host_matches; // log index replicated to each host
    log_index commit = 0;
    std::vector<daemon_view> daemons;
    std::vector<upstream_view> upstreams;
    std::vector<balancer_record> balancers;

    friend bool operator==(status_view const&, status_view const&) = default;
};

enum class control_refusal : std::uint8_t {
    none,
    not_leader,      // another host leads; the refusal names it if known
    no_leader,       // no majority of the control hosts is reachable
    not_authorised,  // the key does not cover the path
    malformed,       // the message could not be decoded
    busy,            // too many writes wait to be committed
    lost_leadership, // the outcome is not known; retry the same request
    host_change_refused,
};
char const* to_string(control_refusal reason);

struct operator_refusal {
    control_refusal reason = control_refusal::none;
    std::optional<host_id> leader;
    std::string detail;

    friend bool operator==(operator_refusal const&, operator_refusal const&) = default;
};
struct host_change_done {
    log_members hosts;

    friend bool operator==(host_change_done const&, host_change_done const&) = default;
};

using operator_answer = std::variant<operator_refusal, claim_result, settings_view, history_view,
                                     status_view, host_change_done>;

struct operator_reply {
    std::string id;
    operator_answer answer;
};

// Commands that a control host derived from heartbeats. The leader proposes those that would still
// change its state.
struct forwarded_commands {
    std::vector<fleet_command> commands;
};

struct daemon_report {
    std::string name;
    daemon_role role = daemon_role::balancer;
    version_number applied{};
    std::vector<upstream_ref> upstreams;
    std::optional<incarnation_id> balancer_incarnation;

    friend bool operator==(daemon_report const&, daemon_report const&) = default;
};
// The daemons that sent a heartbeat to a control host since its last report. Renews their leases at
// the leader.
struct lease_report {
    std::vector<daemon_report> daemons;
};

// Queries the leader for a log index that covers every entry committed so far.
struct index_query {
    std::uint64_t token = 0;
};
struct index_answer {
    std::uint64_t token = 0;
    bool ok = false;
    log_index index = 0;
};

// A request to become a member, sent by a control host without a leader to every address that it
// knows. Receivers forward it to the leader.
struct join_request {
    host_id host{};
    endpoint address;
};
// The host directory of the sender. Answers a join request, or announces the control hosts to a
// seed. A sender that is not a control host does not wrap it in a host_message.
struct join_answer {
    endpoint sender;             // link address
    std::vector<endpoint> hosts; // link addresses of control hosts
    log_index version = 0;       // log index of the membership in `hosts`
};

// Wraps each message between control hosts: the encoded message and its sender, both sealed.
struct host_message {
    host_id from{};
    endpoint address; // the sender's link address
    std::string content;
};

// Sent back on the link on which a host_message arrived, so that its sender knows the link works.
struct link_acknowledgement {};

using control_message =
    std::variant<heartbeat, state_update, operator_request, operator_reply, log_message,
                 forwarded_commands, lease_report, index_query, index_answer, host_message,
                 join_request, join_answer, link_acknowledgement>;

} // namespace toucanusher
