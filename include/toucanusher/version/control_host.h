// The decisions of one control host. It applies the replicated log to the fleet state, renews and
// expires the leases of members, sends state updates to daemons and answers operators. It does no
// I/O: each call returns the messages to send and the writes to store.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/process/host_directory.h"
#include "toucanusher/process/host_plan.h"
#include "toucanusher/process/replicated_log.h"
#include "toucanusher/version/configuration_queue.h"
#include "toucanusher/version/control_message.h"
#include "toucanusher/version/fleet_state.h"
#include "toucanusher/version/lease_keeper.h"
#include "toucanusher/version/snapshot_transfer.h"
#include "toucanusher/version/state_follower.h"
#include "toucanusher/version/update_delivery.h"

namespace toucanusher {

// The connection of a daemon or an operator to this host.
enum class client_id : std::uint32_t {};

struct control_options {
    log_options log;
    duration member_lease = std::chrono::seconds{4};
    duration report_interval = std::chrono::milliseconds{500};
    duration client_timeout = std::chrono::seconds{10};     // a silent client gets no updates
    duration push_interval = std::chrono::milliseconds{20}; // commits within it share an update
    update_delivery_options delivery;
    snapshot_transfer_options transfer;
    duration proposal_retry_interval = std::chrono::seconds{1};
    // A client that lacks older commands, or more bytes of them than a share of a snapshot, gets
    // the snapshot instead.
    std::size_t snapshot_percent = 50;
    std::size_t retained_commands = 4096;
    std::size_t retained_command_bytes = 4U << 20U;
    std::size_t max_commands_per_update = 256;
    // Commands in one update; a link of low bandwidth carries it well within a receive timeout.
    std::size_t max_command_bytes_per_update = 16U << 10U;
    // A new snapshot for daemons is made after this many commands, and after each configuration.
    std::uint64_t commands_per_checkpoint = 512;
    std::size_t max_pending_writes = 1024;
    // A snapshot is taken after this many entries or bytes of commands.
    log_index entries_per_snapshot = 4096;
    std::size_t command_bytes_per_snapshot = 4U << 20U;
    std::function<wall_time()> wall_clock; // timestamps membership changes; must be set
    // If set, hosts find each other, join and are replaced without an operator.
    std::optional<host_plan_options> automatic_hosts;
    endpoint self_address;  // address of this host's links
    bool may_found = false; // may start the log of a new fleet if a redirector appoints this host
    duration join_interval = std::chrono::milliseconds{250}; // between join requests
    duration plan_interval = std::chrono::milliseconds{100}; // between evaluations of the host plan
    duration leaderless_join_delay = std::chrono::milliseconds{1200}; // longer than an election
    // Between announcements to seeds that are not members. Short, since daemons whose seeds have
    // all restarted find control only after one.
    duration announcement_interval = std::chrono::milliseconds{500};
    // A caller tries another host after one second, so the answer must be sent before.
    duration configuration_timeout = std::chrono::milliseconds{850};
    // A new leader accepts no configuration before the log has the planned number of voters, or as
    // many as outlive the tolerated losses and this time has passed.
    duration formation_timeout = std::chrono::seconds{6};
};

struct send_to_host {
    host_id host{};
    control_message message;
};
struct send_to_client {
    client_id client{};
    control_message message;
};
struct send_to_address {
    endpoint address;
    control_message message;
};
// Updates that are sent again to a daemon that has not applied them.
struct repeated_updates {
    std::string daemon;
    version_number applied{}; // by the daemon; the versions after it are sent again
    version_number sent{};    // newest version that was sent before
};
struct control_output {
    std::vector<send_to_host> to_hosts;
    std::vector<send_to_address> to_addresses;
    std::vector<configuration_answer> configurations;
    std::vector<send_to_client> to_clients;
    std::vector<disk_write> writes;
    std::vector<control_refusal> refusals; // to count in metrics
    std::vector<repeated_updates> repeats; // to log and count
};

class control_host {
  public:
    control_host(control_options options, state_codec codec, durable_log stored, time_point now,
                 random_source random, log_faults log_faults = {}, claim_faults claim_faults = {});

    control_output on_tick(time_point now);
    control_output on_synced(time_point now, std::uint64_t sequence);
    control_output on_host_message(time_point now, host_id from, control_message message);
    control_output on_heartbeat(time_point now, client_id client, heartbeat const& message);
    // `team` is the team whose key sealed the request; empty for the fleet's own key.
    control_output on_operator(time_point now, client_id client, std::string const& team,
                               operator_request request);

    // `call` is echoed in the answer. The candidate must be valid.
    control_output on_configuration(time_point now, std::uint64_t call, configuration candidate);
    control_output on_configuration_read(time_point now, std::uint64_t call);
    // Records that a message of another host arrived from `address`.
    void on_host_contact(time_point now, host_id host, endpoint address);
    void set_seeds(std::vector<endpoint> seeds) { directory_.set_seeds(std::move(seeds)); }
    // Handles the answer of a redirector to a join request.
    control_output on_referral(time_point now, join_answer const& referral);
    [[nodiscard]] std::optional<endpoint> address_of(host_id host) const;

    [[nodiscard]] replicated_log const& log() const { return log_; }
    // Returns whether this host holds a log, as founder or because it has joined.
    [[nodiscard]] bool is_member() const { return !log_.members().voters.empty(); }
    [[nodiscard]] fleet_state const& state() const { return *state_; }
    [[nodiscard]] std::size_t client_count() const { return clients_.size(); }
    // Returns the members and the hosts that wait for a place. Contacts are known at the leader,
    // and at every host while there is no leader. Requires automatic_hosts.
    [[nodiscard]] host_survey survey_hosts(time_point now) const;
    // Returns how long this host has been without contact to a leader; nothing if it has contact.
    [[nodiscard]] std::optional<duration> leaderless_for(time_point now) const;

  private:
    struct client {
        explicit client(update_delivery_options options) : delivery(options) {}

        std::string name;
        daemon_role role = daemon_role::balancer;
        std::uint64_t process_instance = 0;
        bool follows_state = true;
        update_delivery delivery;
        std::optional<snapshot_sender> transfer; // until the daemon reports its version
        time_point last_contact{};
        std::optional<log_index> confirmation_index; // entry whose application confirms the state

        daemon_report report;
    };
    struct pending_write {
        client_id client{};
        std::string request; // id of the operator's message
        log_term term = 0;
        bool changes_hosts = false;
    };
    struct configuration_reader {
        std::uint64_t call = 0;
        time_point deadline{};
    };
    struct pending_read {
        std::variant<std::pair<client_id, operator_request>, std::pair<host_id, std::uint64_t>,
                     client_id, configuration_reader>
            requester;
        std::optional<log_index> index; // set once leadership is confirmed
    };
    struct reported_daemon {
        daemon_report report;
        time_point last_contact{};
    };

    control_output take_output();
    void apply_log_output(time_point now, log_output output);
    void apply(time_point now, log_entry const& entry);
    void retain_command(std::string command);
    void restore(log_snapshot const& snapshot);
    void update_leadership(time_point now);
    void propose(time_point now, fleet_command command);
    void propose_if_needed(time_point now, fleet_command const& command);
    [[nodiscard]] bool changes_state(fleet_command const& command) const;
    void compact_if_due();
    void push_updates(time_point now);
    void repeat_lost_updates(time_point now, client& to);
    void push_update(time_point now, client_id id, client& to);
    void push_snapshot_parts(time_point now, client_id id, client& to);
    [[nodiscard]] state_update make_update(time_point now) const;
    [[nodiscard]] bool needs_snapshot(client const& to);
    void add_missing_commands(time_point now, update_delivery& delivery, state_update& update);
    void set_checkpoint();
    std::shared_ptr<encoded_snapshot const> const& checkpoint_snapshot();
    void send_reports(time_point now);
    void record_report(time_point now, daemon_report const& report);
    void expire_members(time_point now);
    void serve_configurations(time_point now);
    void propose_configuration(time_point now);
    void expire_configuration_reads(time_point now);
    [[nodiscard]] bool accepts_configurations(time_point now) const;
    // Returns whether more disks store what the log acknowledges than may be lost.
    [[nodiscard]] bool outlives_losses() const;
    configuration_answer redirect_to_leader(std::uint64_t call) const;
    void propose_host_plan(time_point now);
    [[nodiscard]] bool has_leader_contact(time_point now) const;
    void request_join(time_point now);
    void announce_hosts(time_point now);
    [[nodiscard]] bool is_appointed_by(join_answer const& referral) const;
    void on_join_request(time_point now, host_id from, join_request const& request);
    [[nodiscard]] std::vector<endpoint> host_addresses() const;
    void answer_reads(time_point now);
    void answer_read(time_point now, pending_read const& read);
    void confirm_client(time_point now, client_id id, client& requester);
    void write(time_point now, client_id from, std::string const& team,
               operator_request const& request, fleet_command const& command,
               std::string const& path_team);
    void run_host_change(time_point now, client_id from, std::string const& id,
                         change_hosts const& change);
    void refuse(client_id to, std::string const& id, control_refusal reason, std::string detail);
    void reply(client_id to, std::string const& id, operator_answer answer);
    [[nodiscard]] operator_answer read_answer(time_point now, operator_action const& action) const;
    [[nodiscard]] settings_view view_settings(read_settings const& what) const;
    [[nodiscard]] status_view view_status(time_point now) const;

    control_options options_;
    state_codec codec_;
    replicated_log log_;
    std::shared_ptr<fleet_state> state_; // the state after entry applied_
    log_index applied_index_ = 0;        // newest entry applied to state_
    log_index compacted_index_ = 0;
    std::size_t bytes_since_compaction_ = 0; // of applied commands
    // The newest commands, encoded as daemons need them; the last one produced state_.
    std::deque<std::string> commands_;
    std::size_t command_bytes_ = 0; // of commands_
    // The state at a version that depends on the log only, so that all hosts have the same one.
    std::shared_ptr<fleet_state const> checkpoint_;               // never null
    std::shared_ptr<encoded_snapshot const> checkpoint_snapshot_; // of checkpoint_; null until used
    std::map<client_id, client> clients_;
    std::map<log_index, pending_write> pending_writes_;
    std::map<std::uint64_t, pending_read> pending_reads_; // by token
    std::uint64_t next_token_ = 1;
    lease_keeper leases_;
    std::map<std::string, reported_daemon> daemons_; // last report of each daemon, by name
    std::map<std::string, time_point>
        proposed_at_; // last proposal of each command, by its encoding
    std::vector<daemon_report> pending_reports_;
    host_directory directory_;
    configuration_queue configurations_;
    bool was_leader_ = false;
    time_point leader_since_{};
    time_point last_leader_contact_; // the start of this host until there was one
    time_point next_join_at_{};
    time_point next_announcement_at_{};
    time_point next_plan_at_{};
    time_point next_report_at_{};
    time_point next_push_at_{};
    control_output output_;
};

} // namespace toucanusher
