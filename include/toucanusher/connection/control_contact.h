// Decides which control host a daemon is connected to, from what the hosts answer.
//
// Does no I/O: the caller opens a link to host() whenever a call returns contact_step::connect, and
// sends a heartbeat on it at once.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "toucanusher/connection/link_monitor.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/version/control_host_selector.h"
#include "toucanusher/version/control_message.h"

namespace toucanusher {

struct control_contact_options {
    // Control answers every heartbeat at once. A host that leaves the first ones unanswered has
    // stalled or failed, so another is tried; one that has answered before gets more time, to
    // outlast a short stall.
    link_monitor_options monitor{.first_receive_timeout = std::chrono::milliseconds{350},
                                 .replacements_per_peer = 0};
    // A host whose contact with a leader is older cannot serve: it neither learns nor accepts
    // changes. Longer than an election takes.
    duration leader_contact_timeout = std::chrono::milliseconds{1200};
    // A host whose contact with a leader is older is asked more often, to leave it in time.
    duration leader_contact_warning = std::chrono::milliseconds{500};
};

enum class contact_step : std::uint8_t { keep, connect };

class control_contact {
  public:
    control_contact(control_contact_options options, control_host_selector selector,
                    time_point now);

    [[nodiscard]] endpoint host() const { return selector_.current(); }
    // Returns the control hosts that the last directory named; empty if there was none.
    [[nodiscard]] std::vector<endpoint> const& directory() const { return selector_.directory(); }
    // Version of directory(): a log index.
    [[nodiscard]] log_index directory_version() const { return selector_.directory_version(); }
    // Returns whether host() has answered on the present link.
    [[nodiscard]] bool answered() const { return answered_; }
    // Returns whether host() was in contact with a leader at its last answer on the present link.
    [[nodiscard]] bool has_leader() const;
    // Returns whether the contact of host() with a leader is growing old.
    [[nodiscard]] bool loses_leader() const;
    // Age of the contact of host() with a leader, as its last answer gave it.
    [[nodiscard]] std::optional<duration> leader_contact_age() const { return leader_contact_age_; }

    void set_seeds(std::vector<endpoint> seeds) { selector_.set_seeds(std::move(seeds)); }
    [[nodiscard]] contact_step on_update(time_point now, state_update const& update);
    // Handles control hosts that another process named, unasked. They are not followed while
    // host() has a leader, or if it is one of them.
    [[nodiscard]] contact_step on_announcement(time_point now, std::vector<endpoint> hosts,
                                               log_index version);
    [[nodiscard]] contact_step on_tick(time_point now);

  private:
    contact_step on_answer_without_leader(time_point now);
    contact_step follow_directory(time_point now, std::vector<endpoint> hosts, log_index version);
    void begin_contact();

    control_contact_options options_;
    control_host_selector selector_;
    link_monitor monitor_;
    bool answered_ = false;                      // by host(), on this link
    bool served_ = false;                        // host() had a leader, on this link
    std::optional<duration> leader_contact_age_; // empty until host() has answered on this link
};

} // namespace toucanusher
