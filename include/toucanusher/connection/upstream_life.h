// What an agent knows of its upstream from the upstream's own announcements.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

// One announcement of an upstream.
struct upstream_beat {
    std::string name; // the upstream's own; may stay the same when it starts again
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds warmup_left{}; // how long it stays slow after its start
    std::uint64_t sequence = 0;              // grows within one life
    wall_time born{};                        // start of this life, by the upstream's own clock
};

enum class beat_effect : std::uint8_t {
    renewed,       // the same life goes on
    new_life,      // another life: what the one before held is gone
    late,          // older than what is known; changes nothing
    other_service, // not this agent's upstream; changes nothing
};
char const* to_string(beat_effect effect);

class upstream_life {
  public:
    explicit upstream_life(std::string service) : service_(std::move(service)) {}

    beat_effect on_beat(time_point now, upstream_beat const& beat);
    // The upstream said that it ends. False if it speaks of another life.
    bool on_leave(std::string const& name);

    // The newest announcement of the present life; nothing before the first and after its end.
    [[nodiscard]] std::optional<upstream_beat> const& present() const { return present_; }
    [[nodiscard]] bool draining() const { return present_ && present_->draining; }
    [[nodiscard]] time_point warm_at() const { return warm_at_; }
    [[nodiscard]] time_point heard() const { return heard_; }

  private:
    std::string service_;
    std::optional<upstream_beat> present_;
    std::optional<upstream_beat> ended_; // late announcements of this life bring nothing back
    time_point warm_at_{};
    time_point heard_{};
};

} // namespace toucanusher
