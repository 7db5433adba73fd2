// Decides when an open link on which nothing is received is replaced, and when to switch to the
// next peer.
#pragma once

#include <cstdint>
#include <optional>

#include "toucanusher/process/clock.h"

namespace toucanusher {

struct link_monitor_options {
    duration receive_timeout = std::chrono::milliseconds{1500}; // since the last contact
    // Replaces receive_timeout until the first message on a link; unset: no difference.
    std::optional<duration> first_receive_timeout;
    std::uint32_t replacements_per_peer = 1; // then the next peer is tried
};

enum class link_step : std::uint8_t { keep, replace, next_peer };

class link_monitor {
  public:
    link_monitor(link_monitor_options options, time_point now)
        : options_(options), waiting_since_(now) {}

    void on_received(time_point now) {
        waiting_since_ = now;
        replacements_ = 0;
        answered_ = true;
    }

    // Starts over, after the caller has replaced the link.
    void restart(time_point now) {
        waiting_since_ = now;
        replacements_ = 0;
        answered_ = false;
    }

    link_step on_tick(time_point now) {
        duration const timeout =
            answered_ ? options_.receive_timeout
                      : options_.first_receive_timeout.value_or(options_.receive_timeout);
        if (now - waiting_since_ < timeout)
            return link_step::keep;
        waiting_since_ = now;
        answered_ = false;
        if (replacements_ < options_.replacements_per_peer) {
            ++replacements_;
            return link_step::replace;
        }
        replacements_ = 0;
        return link_step::next_peer;
    }

    [[nodiscard]] bool answered() const { return answered_; }

  private:
    link_monitor_options options_;
    time_point waiting_since_; // last contact or last step
    std::uint32_t replacements_ = 0;
    bool answered_ = false; // by the peer, on the current link
};

} // namespace toucanusher
