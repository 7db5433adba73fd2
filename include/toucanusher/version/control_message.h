// Messages on the links between daemons, control hosts and the operators' tool.
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

namespace toucanusher {

enum class daemon_role : std::uint8_t { balancer, agent, control };
char const* to_string(daemon_role role);

// Sent by a daemon about once a second to one control host. Says what should be true of it;
// control proposes whatever differs from the state. Also asks for what it has not applied yet.
struct heartbeat {
    std::string name;
    daemon_role role = daemon_role::balancer;
    std::uint64_t process = 0; // tells two lives of the daemon apart
    version_number applied{};
    bool wants_confirmation = false; // asks for a version that is no older than this process
    std::vector<upstream_announcement> upstreams;
    std::vector<upstream_announcement> gone; // lives that ended
    std::optional<balancer_record> balancer;
    bool balancer_leaves = false;
    std::vector<release_buckets> releases;
    bool follows_state = true; // false: needs no updates, only the control hosts' addresses

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

// What a daemon has not applied yet: commands after `base`, or a whole state.
struct state_update {
    version_number base{};
    version_number newest{};                    // that the sender has applied
    std::vector<std::string> commands;          // encoded, in order, after `base`
    std::optional<std::string> snapshot;        // encoded state; replaces base and commands
    std::optional<duration> leader_age;         // since the sender was in touch with a leader
    std::optional<std::uint64_t> confirmed_for; // process that asked; `newest` is fresh for it
    std::vector<endpoint> control_hosts; // present ones, for the next time the sender is silent
    // The sender keeps no state: the hosts that it names do.
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
// Changes the control hosts, one step at a time.
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

struct subject_view {
    subject about;
    std::vector<claim> claims; // the one in force first

    friend bool operator==(subject_view const&, subject_view const&) = default;
};
struct settings_view {
    version_number version{};
    std::vector<subject_view> subjects;

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
    std::chrono::milliseconds silent{}; // since its last heartbeat

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
    std::vector<std::pair<host_id, log_index>> host_matches; // log positions known to the leader
    log_index commit = 0;
    std::vector<daemon_view> daemons;
    std::vector<upstream_view> upstreams;
    std::vector<balancer_record> balancers;

    friend bool operator==(status_view const&, status_view const&) = default;
};

enum class control_refusal : std::uint8_t {
    none,
    not_leader,      // another host leads; its number may be given
    no_leader,       // no majority of the control hosts is connected
    not_authorised,  // the key does not cover the path
    malformed,       // the message could not be decoded
    busy,            // too many requests wait for the log
    lost_leadership, // the outcome is not known; send the same request again
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

// Commands that a control host saw a need for; the leader proposes those that still change things.
struct forwarded_commands {
    std::vector<fleet_command> commands;
};

struct daemon_report {
    std::string name;
    daemon_role role = daemon_role::balancer;
    version_number applied{};
    std::vector<upstream_ref> upstreams;
    std::optional<incarnation_id> balancer_life;

    friend bool operator==(daemon_report const&, daemon_report const&) = default;
};
// Daemons that a control host heard since its last report: renews their leases at the leader.
struct lease_report {
    std::vector<daemon_report> daemons;
};

// Asks the leader for an index that covers everything accepted so far.
struct index_query {
    std::uint64_t token = 0;
};
struct index_answer {
    std::uint64_t token = 0;
    bool ok = false;
    log_index index = 0;
};

// Sent by a control host that hears no leader, to every address it knows: asks to be a member, and
// tells where it can be reached. Passed on to the leader.
struct join_request {
    host_id host{};
    endpoint where;
};
// Answers a join request with what the asked process knows. One that is no control host itself
// sends it without the envelope of hosts.
struct host_directory {
    endpoint sender;             // link address
    std::vector<endpoint> hosts; // link addresses of control hosts
};

// Between control hosts: an encoded message with its sender, which the seal covers.
struct host_message {
    host_id from{};
    endpoint where; // the sender's link address
    std::string content;
};

using control_message = std::variant<heartbeat, state_update, operator_request, operator_reply,
                                     log_message, forwarded_commands, lease_report, index_query,
                                     index_answer, host_message, join_request, host_directory>;

} // namespace toucanusher
