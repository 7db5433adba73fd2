// Decides when a daemon sends its next heartbeat to control.
#pragma once

#include <algorithm>

#include "toucanusher/process/clock.h"

namespace toucanusher {

struct heartbeat_schedule_options {
    duration interval = std::chrono::seconds{1};
    // Until the session is established; then a heartbeat or its answer may have been lost.
    duration first_interval = std::chrono::milliseconds{150};
    // Within this time a new version, or an update that cannot be applied yet, is reported (a
    // missing update may still be in transit), and a host that loses its leader is asked again.
    duration report_delay = std::chrono::milliseconds{150};
};

class heartbeat_schedule {
  public:
    explicit heartbeat_schedule(time_point now, heartbeat_schedule_options options = {})
        : options_(options), due_at_(now) {}

    [[nodiscard]] time_point due_at() const { return due_at_; }
    [[nodiscard]] bool is_due(time_point now) const { return now >= due_at_; }
    void on_sent(time_point now, bool established) {
        due_at_ = now + (established ? options_.interval : options_.first_interval);
    }
    // Makes a heartbeat due at once: its content changed, or nothing was sent on the link yet.
    void request(time_point now) { due_at_ = now; }
    // Records that an update was applied, showed a gap or came from a host that loses its leader.
    void on_update(time_point now) { due_at_ = std::min(due_at_, now + options_.report_delay); }

  private:
    heartbeat_schedule_options options_;
    time_point due_at_;
};

} // namespace toucanusher
