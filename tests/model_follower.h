// A simulated process that follows control without being a control host: a daemon, or a control
// process without a disk, which redirects. Runs the decisions of the control session.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "toucanusher/connection/control_contact.h"
#include "toucanusher/version/heartbeat_schedule.h"
#include "toucanusher/version/host_referral.h"

namespace toucanusher::tests {

class model_follower {
  public:
    model_follower(endpoint address, bool redirects) : address_(address), redirects_(redirects) {}

    // `is_first_start`: whether the fleet starts for the first time.
    void start(time_point now, std::vector<endpoint> seeds, std::size_t first_seed,
               bool is_first_start);
    void stop(time_point restart_at);
    void set_seeds(std::vector<endpoint> const& seeds);

    [[nodiscard]] endpoint address() const { return address_; }
    [[nodiscard]] bool redirects() const { return redirects_; }
    [[nodiscard]] bool is_running() const { return contact_.has_value(); }
    [[nodiscard]] time_point restart_at() const { return restart_at_; }
    // Returns the host to which a heartbeat is due, if any.
    [[nodiscard]] std::optional<endpoint> on_tick(time_point now);
    void on_update(time_point now, endpoint from, state_update const& update);
    void on_announcement(time_point now, join_answer const& announced);
    // Returns the control hosts that this process names to daemons, and to a searching host.
    [[nodiscard]] std::vector<endpoint> const& directory() const { return referral_->hosts(); }
    [[nodiscard]] std::vector<endpoint> referral(time_point now, endpoint searching_host) {
        return referral_->hosts_for(now, searching_host);
    }
    [[nodiscard]] log_index directory_version() const { return referral_->version(); }
    // Returns whether the host in use answers and is in contact with a leader.
    [[nodiscard]] bool has_session() const;
    [[nodiscard]] bool had_session_since(time_point time) const { return last_session_ >= time; }

    [[nodiscard]] std::string describe(time_point now) const;

  private:
    void apply(time_point now, contact_step step);

    endpoint address_;
    bool redirects_;
    std::optional<control_contact> contact_; // empty while the process is down
    std::optional<host_referral> referral_;  // as long as contact_
    time_point restart_at_{};
    std::optional<heartbeat_schedule> heartbeats_; // as long as contact_
    time_point last_session_{};                    // last time with a session
};

} // namespace toucanusher::tests
