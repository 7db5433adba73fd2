// Decides which updates of the state a daemon is sent, and when updates that it has not applied are
// sent again.
//
// A link may drop an update without an error. Updates are applied in order, so all later ones are
// then useless: everything after the version that the daemon reports is sent again. The wait for
// that starts with the oldest update that is not reported, and later updates do not extend it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

// Bytes per second that a daemon's link carries for control at least, beside callers' packets.
constexpr std::uint64_t min_control_transfer_rate = 60'000;

struct update_delivery_options {
    // A daemon reports an update within this time after its transfer; longer than the report delay
    // of heartbeat_schedule.
    duration report_timeout = std::chrono::milliseconds{400};
    // The transfer of a large update takes longer over a link of low bandwidth, and repeating it
    // meanwhile would delay it further. Bytes per second.
    std::uint64_t min_transfer_rate = min_control_transfer_rate;
};

class update_delivery {
  public:
    explicit update_delivery(update_delivery_options options) : options_(options) {}

    // The version after which the next update starts.
    [[nodiscard]] version_number sent() const { return sent_; }
    // Records the version that the daemon has applied.
    void on_report(time_point now, version_number applied);
    // Returns true if the daemon has reported without an update for too long. The updates after its
    // version are then to be sent again: sent() is that version.
    bool repeat_if_due(time_point now);
    // Records an update up to `version`, encoded in about `bytes` bytes.
    void on_sent(time_point now, version_number version, std::size_t bytes);

  private:
    struct update {
        version_number version{}; // the last one that it contains
        time_point sent_at{};
        duration transfer_time{};
    };

    update_delivery_options options_;
    version_number sent_{};         // the last one of unreported_, if there are any
    std::deque<update> unreported_; // by version; the owner drops silent daemons, which bounds it
    version_number reported_{};
    time_point last_report_{};
    time_point last_progress_{}; // when the daemon last reported a newer version
};

} // namespace toucanusher
