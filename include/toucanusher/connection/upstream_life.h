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
struct upstream_heartbeat {
    std::string name; // the upstream's own; may stay the same when it starts again
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds warmup_left{}; // how long it stays slow after its start
    std::uint64_t sequence = 0;              // grows within one life
    wall_time started_at{};                  // start of this life, by the upstream's own clock
};

enum class heartbeat_effect : std::uint8_t {
    renewed,         // the same life goes on
    new_incarnation, // another life: what the one before held is gone
    late,            // older than what is known; changes nothing
    other_service,   // not this agent's upstream; changes nothing
};
char const* to_string(heartbeat_effect effect);

class upstream_incarnation {
  public:
    explicit upstream_incarnation(std::string service) : service_(std::move(service)) {}

    heartbeat_effect on_heartbeat(time_point now, upstream_heartbeat const& heartbeat);
    // The upstream said that it ends. False if it speaks of another life.
    bool on_leave(std::string const& name);

    // The newest announcement of the present life; nothing before the first and after its end.
    [[nodiscard]] std::optional<upstream_heartbeat> const& current() const { return current_; }
    [[nodiscard]] bool draining() const { return current_ && current_->draining; }
    [[nodiscard]] time_point warm_at() const { return warm_at_; }
    [[nodiscard]] time_point last_contact() const { return last_contact_; }

  private:
    std::string service_;
    std::optional<upstream_heartbeat> current_;
    std::optional<upstream_heartbeat> ended_; // late announcements of this life bring nothing back
    time_point warm_at_{};
    time_point last_contact_{};
};

} // namespace toucanusher
