// Simulates control hosts that discover each other, join and are replaced automatically while
// operators write configurations. Runs the control decisions with the real codec, but without
// sockets, threads or disks. The simulation crashes, freezes and isolates hosts and erases disks.
// Optionally, daemons and redirectors follow the hosts; each run then exchanges the seeds and ends
// with a loss of all power.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/model_follower.h"
#include "toucanusher/process/random.h"
#include "toucanusher/version/control_host.h"

namespace toucanusher::tests {

struct host_model_options {
    std::uint32_t machines = 4;
    std::uint32_t tolerated_losses = 1;
    duration fault_period = std::chrono::seconds{40};
    std::uint32_t redirectors = 0; // control processes without a disk
    std::uint32_t daemons = 0;
    // Number of redirectors among the three seeds of the first start. If there are any, redirectors
    // restart while the hosts form the log.
    std::uint32_t redirector_seeds = 0;
    bool drop_announcements = false; // injected fault: hosts announce themselves to no seed
    bool keep_identity = false; // injected fault: a host that lost its disk votes under its old id
    std::function<void(std::string const&)> trace;
};

enum class replaced_host : std::uint8_t { never_returns, returns_with_disk, returns_without_disk };

// Machines that are replaced by empty ones at other addresses, one round after another, oldest
// first; then some disks are lost while every other process is killed.
struct replacement_options {
    std::uint32_t rounds = 4;
    std::uint32_t machines_per_round = 1;
    duration successor_delay = std::chrono::seconds{1}; // from a loss to the start of the successor
    duration round_interval = std::chrono::seconds{4};  // from there to the next loss
    duration last_interval = std::chrono::seconds{4};   // from there to the last fault
    std::uint32_t disks_lost_last = 1;
    replaced_host replaced = replaced_host::never_returns;
    // A leader is killed in each interval, which then begins again: a killed host counts as lost
    // until it has rejoined.
    bool kill_leaders = false;
};

class host_model {
  public:
    host_model(host_model_options options, std::uint64_t seed);

    // Injects faults for `fault_period`, then lets the hosts settle. Returns the first violation.
    std::optional<std::string> run();
    // Replaces machines in rounds instead. Returns the first violation.
    std::optional<std::string> run_replacements(replacement_options const& replacements);

    [[nodiscard]] std::uint64_t accepted() const { return accepted_; }
    [[nodiscard]] std::uint32_t disks_lost() const { return disks_lost_; }

  private:
    struct machine {
        endpoint listen_endpoint;
        host_id id{};
        std::unique_ptr<control_host> host; // null while it is down
        durable_log disk;                   // synced writes only; survives a crash
        std::vector<disk_write> unsynced;
        time_point restart_at{};
        time_point frozen_until{};
        time_point isolated_until{};
        time_point slow_disk_until{};
        time_point faulty_until{}; // counts towards tolerated_losses until then
    };
    struct pending_message {
        time_point due_at{};
        endpoint from;
        host_id from_id{};
        endpoint to;
        control_message message;
    };
    struct pending_call {
        std::uint64_t number = 0; // configuration number; 0 for a read
        std::uint64_t accepted_before = 0;
        int redirects = 0;
    };

    void step(bool with_faults);
    void settle();
    void check_followers();
    void tick(machine& m);
    void tick(model_follower& follower);
    void deliver_messages();
    void deliver(machine& to, pending_message item);
    void deliver(model_follower& to, pending_message const& item);
    void exchange_seeds();
    void replace_seed(endpoint from, endpoint to);
    void lose_all_power();
    void inject_faults();
    void form();
    void replace_machines(replacement_options const& replacements, std::uint32_t round);
    void return_replaced(machine const& replaced, replaced_host how);
    void kill_leader();
    void run_for(duration span);
    void lose_disks_and_power(std::uint32_t disks);
    void lose_disk(machine& m);
    void crash(machine& m, duration down);
    void start(machine& m, bool is_first_start);
    void choose_first_seeds();
    void restart_redirectors();
    void count_founders(machine const& m, bool was_member);
    void sync(machine& m);
    void send_calls();
    void send_call(machine& to, pending_call const& pending);
    void follow_redirect(endpoint leader, pending_call call);
    void apply_output(machine& m, control_output output);
    void on_answer(configuration_answer const& answer);
    void send(machine const& from, endpoint to, control_message message);
    void send(pending_message message);
    machine* machine_at(endpoint listen_endpoint);
    model_follower* follower_at(endpoint address);
    [[nodiscard]] bool connected(machine const& a, machine const& b) const;
    [[nodiscard]] std::size_t count_faulty() const;
    // Returns whether no host is faulty and no disk was slow recently.
    [[nodiscard]] bool is_calm() const;
    [[nodiscard]] bool chance(double probability) {
        return uniform_fraction(random_) < probability;
    }
    [[nodiscard]] std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    void trace(std::string const& text) const;
    void trace_hosts() const;

    host_model_options options_;
    random_source random_;
    manual_clock clock_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<model_follower> followers_;
    std::vector<endpoint> seeds_;
    std::vector<pending_message> pending_messages_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint32_t next_id_ = 100000;
    std::uint64_t next_call_ = 1;
    std::uint64_t latest_number_ = 1;
    std::uint64_t accepted_ = 0; // highest acknowledged configuration number
    std::uint64_t last_read_ = 0;
    std::uint32_t disks_lost_ = 0;
    std::uint32_t founders_ = 0; // hosts that started a log
    bool is_forming_ = true;     // until the first start is over
    bool only_reads_ = false;    // set near the end, so that the last read follows every write
    time_point next_disk_loss_at_{};
    std::optional<std::string> violation_;
};

} // namespace toucanusher::tests
