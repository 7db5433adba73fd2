// Tracks the current incarnation of the upstream of an agent, from the heartbeats of the upstream.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

struct upstream_heartbeat {
    std::string name; // chosen by the upstream; may stay the same after a restart
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds warmup_left{}; // remaining time at reduced speed after the start
    std::uint64_t sequence = 0;              // grows within one incarnation
    wall_time started_at{}; // start of this incarnation, by the clock of the upstream
};

enum class heartbeat_effect : std::uint8_t {
    renewed,         // same incarnation
    new_incarnation, // another incarnation: the state of the previous one is lost
    late,            // out of order or from an earlier incarnation; ignored
    other_service,   // for another service than this agent's; ignored
};
char const* to_string(heartbeat_effect effect);

class upstream_incarnation {
  public:
    explicit upstream_incarnation(std::string service) : service_(std::move(service)) {}

    heartbeat_effect on_heartbeat(time_point now, upstream_heartbeat const& heartbeat);
    // Handles the message by which the upstream announces its end. Returns false if it names
    // another upstream.
    bool on_leave(std::string const& name);

    // Returns the newest heartbeat of the current incarnation; unset before the first one and after
    // the end.
    [[nodiscard]] std::optional<upstream_heartbeat> const& current() const { return current_; }
    [[nodiscard]] bool draining() const { return current_ && current_->draining; }
    [[nodiscard]] time_point warm_at() const { return warm_at_; }
    [[nodiscard]] time_point last_contact() const { return last_contact_; }

  private:
    std::string service_;
    std::optional<upstream_heartbeat> current_;
    std::optional<upstream_heartbeat> ended_; // late heartbeats of this incarnation are ignored
    time_point warm_at_{};
    time_point last_contact_{};
};

} // namespace toucanusher
