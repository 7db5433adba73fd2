// Decides when a link that is open but silent must be replaced, and when its peer must be given up
// for the next one.
#pragma once

#include <cstdint>
#include <optional>

#include "toucanusher/process/clock.h"

namespace toucanusher {

struct link_monitor_options {
    duration silence = std::chrono::milliseconds{1500}; // without anything heard
    // On a link that has not answered yet; nothing: the same.
    std::optional<duration> first_silence;
    std::uint32_t replacements_per_peer = 1; // then the next peer is tried
};

enum class link_step : std::uint8_t { keep, replace, next_peer };

class link_monitor {
  public:
    link_monitor(link_monitor_options options, time_point now)
        : options_(options), waiting_since_(now) {}

    void heard(time_point now) {
        waiting_since_ = now;
        replaced_ = 0;
        answered_ = true;
    }

    link_step on_tick(time_point now) {
        duration const silence =
            answered_ ? options_.silence : options_.first_silence.value_or(options_.silence);
        if (now - waiting_since_ < silence)
            return link_step::keep;
        waiting_since_ = now;
        answered_ = false;
        if (replaced_ < options_.replacements_per_peer) {
            ++replaced_;
            return link_step::replace;
        }
        replaced_ = 0;
        return link_step::next_peer;
    }

    [[nodiscard]] bool answered() const { return answered_; }

  private:
    link_monitor_options options_;
    time_point waiting_since_; // last sign of life, or last step
    std::uint32_t replaced_ = 0;
    bool answered_ = false; // by the peer, on the present link
};

} // namespace toucanusher
