// Tracks the current incarnation of the upstream of an agent, from the heartbeats of the upstream.
//
// An incarnation is identified by its name and its start time. Which of two is the later one
// follows from the order in which the agent saw them: the clock of the upstream may jump back
// between two starts. An incarnation that keeps sending while the current one is silent becomes
// current, so a living upstream is never ignored for long, and what is ignored is never
// acknowledged.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
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
    wall_time started_at{}; // start of this incarnation, by the clock of the upstream; may jump
};

enum class heartbeat_effect : std::uint8_t {
    renewed,         // same incarnation
    new_incarnation, // another incarnation: the state of the previous one is lost
    // Out of order, from an earlier incarnation, or from one that has to show first that it is not
    // an earlier one. Ignored, and to be refused.
    late,
    other_service, // for another service than this agent's; ignored
};
char const* to_string(heartbeat_effect effect);

// An incarnation that was seen before, or started earlier by the clock, becomes current after it
// has sent heartbeats for this long, in which the current one has sent none. Spans more than one
// heartbeat interval of an upstream.
inline constexpr duration incarnation_takeover_delay = std::chrono::milliseconds{1500};

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
    struct identity {
        std::string name;
        wall_time started_at{};

        friend bool operator==(identity const&, identity const&) = default;
    };
    struct candidate {
        identity id;
        std::uint64_t sequence = 0; // of its newest heartbeat
        time_point first_heard{};   // the current incarnation has been silent since
    };
    static identity identity_of(upstream_heartbeat const& heartbeat) {
        return {heartbeat.name, heartbeat.started_at};
    }
    [[nodiscard]] bool is_surely_new(identity const& id) const;
    bool confirm(time_point now, upstream_heartbeat const& heartbeat);
    void make_current(time_point now, upstream_heartbeat const& heartbeat);

    std::string service_;
    std::optional<upstream_heartbeat> current_;
    std::deque<identity> earlier_; // ended or replaced, the latest last; bounded
    std::optional<candidate> candidate_;
    time_point warm_at_{};
    time_point last_contact_{};
};

} // namespace toucanusher
