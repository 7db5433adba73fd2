// Decisions of one control host: the replicated log, the fleet state that it feeds, members'
// leases, what daemons still have to be sent, and the answers to operators.
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

#include "toucanusher/process/host_plan.h"
#include "toucanusher/process/host_roster.h"
#include "toucanusher/process/replicated_log.h"
#include "toucanusher/version/configuration_queue.h"
#include "toucanusher/version/control_message.h"
#include "toucanusher/version/fleet_state.h"
#include "toucanusher/version/lease_keeper.h"
#include "toucanusher/version/state_follower.h"

namespace toucanusher {

// A daemon's or operator's connection to this host.
enum class client_id : std::uint32_t {};

struct control_options {
    log_options log;
    duration member_lease = std::chrono::seconds{4};
    duration report_interval = std::chrono::milliseconds{500};
    duration client_timeout = std::chrono::seconds{10};     // a silent client gets no updates
    duration push_interval = std::chrono::milliseconds{20}; // commits in between share an update
    duration propose_again_after = std::chrono::seconds{1};
    std::size_t kept_commands = 4096; // updates by commands reach back this far
    std::size_t max_commands_per_update = 256;
    std::size_t max_waiting_operators = 1024;
    log_index entries_per_snapshot = 4096;
    std::function<wall_time()> wall_clock; // stamps changes of membership; must be set
    // Set: hosts find each other, join and are replaced without an operator.
    std::optional<host_plan_options> automatic_hosts;
    endpoint self_address;                                             // of this host's links
    duration join_interval = std::chrono::milliseconds{250};           // between join requests
    duration plan_interval = std::chrono::milliseconds{100};           // between looks at the hosts
    duration leaderless_before_join = std::chrono::milliseconds{1200}; // longer than an election
    // A caller moves on after a second; the answer must come before.
    duration configuration_patience = std::chrono::milliseconds{850};
    // A new fleet accepts nothing before it has its voters, unless no more come within this time.
    duration formation_patience = std::chrono::seconds{6};
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
    endpoint where;
    control_message message;
};
struct control_output {
    std::vector<send_to_host> to_hosts;
    std::vector<send_to_address> to_addresses;
    std::vector<configuration_answer> configurations;
    std::vector<send_to_client> to_clients;
    std::vector<disk_write> writes;
    std::vector<control_refusal> refusals; // to be counted
};

class control_host {
  public:
    control_host(control_options options, state_codec codec, durable_log stored, time_point now,
                 random_source random, log_faults log_faults = {}, claim_faults claim_faults = {});

    control_output on_tick(time_point now);
    control_output on_synced(time_point now, std::uint64_t sequence);
    control_output on_host_message(time_point now, host_id from, control_message message);
    control_output on_heartbeat(time_point now, client_id client, heartbeat const& beat);
    // `team` is whose key sealed the request; empty for the fleet's own key.
    control_output on_operator(time_point now, client_id client, std::string const& team,
                               operator_request request);

    // `call` is echoed in the answer. The candidate is valid.
    control_output on_configuration(time_point now, std::uint64_t call, configuration candidate);
    control_output on_configuration_read(time_point now, std::uint64_t call);
    // A message of another host came from `where`.
    void note_host(time_point now, host_id host, endpoint where);
    void set_seeds(std::vector<endpoint> seeds) { roster_.set_seeds(std::move(seeds)); }
    // Link addresses of other hosts, from a process that is none itself.
    void learn_hosts(std::vector<endpoint> const& hosts) { roster_.add_addresses(hosts); }
    [[nodiscard]] std::optional<endpoint> address_of(host_id host) const;

    [[nodiscard]] replicated_log const& log() const { return log_; }
    [[nodiscard]] fleet_state const& state() const { return *state_; }
    [[nodiscard]] std::size_t client_count() const { return clients_.size(); }

  private:
    struct client {
        std::string name;
        daemon_role role = daemon_role::balancer;
        std::uint64_t process = 0;
        bool follows_state = true;
        version_number applied{};
        version_number sent{};
        time_point heard{};
        time_point sent_at{};
        std::optional<log_index> confirm_at; // confirms freshness once this index is applied

        daemon_report report;
    };
    struct waiting_write {
        client_id client{};
        std::string request; // the operator's message id
        log_term term = 0;
        bool changes_hosts = false;
    };
    struct configuration_reader {
        std::uint64_t call = 0;
        time_point deadline{};
    };
    struct waiting_read {
        std::variant<std::pair<client_id, operator_request>, std::pair<host_id, std::uint64_t>,
                     client_id, configuration_reader>
            asker;
        std::optional<log_index> index; // set once leadership is confirmed
    };
    struct reported_daemon {
        daemon_report report;
        time_point heard{};
    };

    control_output finish();
    void take(time_point now, log_output output);
    void apply(time_point now, log_entry const& entry);
    void restore(log_snapshot const& snapshot);
    void follow_leadership(time_point now);
    void propose(time_point now, fleet_command command);
    void suggest(time_point now, fleet_command const& command);
    [[nodiscard]] bool changes_state(fleet_command const& command) const;
    void compact_if_due();
    void push_updates(time_point now);
    void push_update(time_point now, client_id id, client& to);
    void send_reports(time_point now);
    void take_report(time_point now, daemon_report const& report);
    void expire_members(time_point now);
    void serve_configurations(time_point now);
    void propose_configuration(time_point now);
    void expire_configuration_reads(time_point now);
    [[nodiscard]] bool accepts_configurations(time_point now) const;
    configuration_answer send_elsewhere(std::uint64_t call) const;
    void plan_members(time_point now);
    void ask_to_join(time_point now);
    void on_join_request(time_point now, host_id from, join_request const& request);
    [[nodiscard]] std::vector<endpoint> host_addresses() const;
    void answer_reads(time_point now);
    void answer_read(time_point now, waiting_read const& read);
    void confirm_client(time_point now, client_id id, client& asker);
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
    std::shared_ptr<fleet_state> state_; // at applied_
    log_index applied_ = 0;              // newest entry in state_
    log_index compacted_ = 0;
    std::deque<std::string> commands_; // the newest ones, encoded; the last led to state_
    std::map<client_id, client> clients_;
    std::map<log_index, waiting_write> writes_;
    std::map<std::uint64_t, waiting_read> reads_; // by token
    std::uint64_t next_token_ = 1;
    lease_keeper leases_;
    std::map<std::string, reported_daemon> daemons_; // by name; what this host knows of all
    std::map<std::string, time_point> suggested_;    // encoded command -> when last proposed
    std::vector<daemon_report> unreported_;
    host_contacts roster_;
    configuration_queue configurations_;
    bool led_ = false;
    time_point led_since_{};
    time_point next_join_{};
    time_point next_plan_{};
    time_point next_report_{};
    time_point next_push_{};
    control_output output_;
};

} // namespace toucanusher
