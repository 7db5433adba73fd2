// Simulates control hosts and concurrent operators. Runs the control decisions with the real codec,
// but without sockets, threads or disks. The simulation drops, duplicates, delays and reorders
// messages; it isolates and freezes hosts, crashes them with the loss of their unsynced writes, and
// replaces hosts whose disk is lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/claim_history.h"
#include "toucanusher/process/random.h"
#include "toucanusher/version/control_host.h"

namespace toucanusher::tests {

struct log_model_options {
    log_faults log;
    claim_faults claims;
    std::uint32_t hosts = 3;
    std::uint32_t operators = 4;
    std::uint32_t setting_count = 3;
    std::size_t operations = 36; // total over all operators
    bool lose_disks = true;
    bool lose_history_in_snapshots = false; // injected fault: the codec omits the request history
    std::function<void(std::string const&)> trace;
};

class log_model {
  public:
    log_model(log_model_options options, std::uint64_t seed);

    // Runs until all operations are answered and the hosts have settled without faults. Returns the
    // first violation.
    std::optional<std::string> run();

    [[nodiscard]] std::size_t answered() const { return answered_; }
    [[nodiscard]] std::uint64_t leader_changes() const { return leaders_.size(); }

  private:
    struct machine {
        std::unique_ptr<control_host> host; // null while it is down
        durable_log disk;                   // synced writes only; survives a crash
        std::vector<disk_write> unsynced;
        bool disk_lost = false;  // the host never restarts
        time_point restart_at{}; // used while `host` is null
        time_point slow_disk_until{};
        time_point frozen_until{}; // paused process, as under SIGSTOP
    };
    struct pending_message {
        time_point due_at{};
        host_id from{};
        host_id to{};
        control_message message;
    };
    struct pending_request {
        time_point due_at{};
        host_id to{};
        std::uint32_t operator_index = 0;
        operator_request request;
    };
    struct operator_state {
        std::optional<operator_request> pending;
        std::size_t history_index = 0; // in histories_[subject]
        std::uint32_t setting_index = 0;
        time_point next_send_at{};
        std::uint32_t sends = 0;
        std::uint32_t request_count = 0;
    };

    void step();
    void start(host_id id, bool has_empty_disk);
    void crash(host_id id, bool keeps_disk);
    void apply_output(host_id id, control_output output);
    void sync(host_id id, std::size_t count);
    void isolate_randomly();
    void send_requests();
    void begin_operation(std::uint32_t operator_index);
    void on_reply(std::uint32_t operator_index, operator_reply const& reply);
    void complete_operation(std::uint32_t operator_index, operator_answer const& answer);
    void repair_step();
    void check_leaders();
    void check_histories();
    void check_states();
    [[nodiscard]] bool connected(host_id a, host_id b) const;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    [[nodiscard]] control_options host_options(host_id id) const;
    [[nodiscard]] state_codec codec() const;
    [[nodiscard]] std::optional<host_id> current_leader() const;
    [[nodiscard]] host_id random_host();
    void trace(std::string const& line) const;
    void record_violation(std::string what);

    log_model_options options_;
    random_source random_;
    manual_clock clock_;
    std::map<host_id, machine> machines_;
    std::vector<pending_message> pending_messages_;
    std::vector<pending_request> pending_requests_;
    std::vector<operator_state> operators_;
    std::vector<std::vector<claim_operation>> histories_; // by subject
    std::set<host_id> isolated_;
    time_point isolated_until_{};
    std::map<log_term, host_id> leaders_;
    std::map<std::uint64_t, std::string> versions_; // version -> id of the request answered with it
    std::size_t begun_operations_ = 0;
    std::size_t answered_ = 0;
    std::uint64_t logical_time_ = 0; // orders invocations and answers
    std::uint32_t next_host_id_ = 1;
    std::optional<host_id> lost_host_; // voter whose disk was lost
    std::optional<host_id> replacement_;
    std::uint32_t disks_lost_ = 0;
    time_point next_repair_at_{};
    bool settling_ = false;
    std::optional<std::string> violation_;
};

} // namespace toucanusher::tests
