// Derives the state of an agent's upstream from health probes: its incarnation, whether it takes
// work, and how much during ramp-up.
//
// Only refused connections end an incarnation; a slow or malformed health page does not.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/membership.h"

namespace toucanusher {

enum class upstream_state : std::uint8_t { starting, ready, draining };

struct probe_result {
    bool refused = false;  // the connection was refused
    bool answered = false; // with a well-formed health page
    std::string instance;  // changes with every start of the upstream; may be empty
    upstream_state state = upstream_state::ready;
};

struct upstream_watch_options {
    upstream_announcement announcement; // holds name, service, addresses and slots
    duration ramp = std::chrono::seconds{3};
    std::uint32_t refusals_until_ended = 3; // in a row
};

class upstream_watch {
  public:
    // `nonce` is the incarnation of an upstream that gives no instance.
    upstream_watch(upstream_watch_options options, std::uint64_t nonce);

    void on_probe(time_point now, probe_result const& result);
    // Omits the ramp-up, because the upstream had its full share before this process started.
    void skip_ramp() { ramp_skipped_ = true; }
    // Returns the current announcement; nothing while no incarnation is known.
    [[nodiscard]] std::optional<upstream_announcement> announcement(time_point now) const;
    // Returns the announcement of the incarnation that ended last, if any.
    [[nodiscard]] std::optional<upstream_announcement> const& ended() const { return ended_; }
    [[nodiscard]] std::optional<incarnation_id> current_incarnation() const { return incarnation_; }
    [[nodiscard]] bool draining() const { return state_ == upstream_state::draining; }

  private:
    void end_incarnation();
    [[nodiscard]] incarnation_id incarnation_of(std::string const& instance) const;
    [[nodiscard]] std::uint32_t ready_percent(time_point now) const;

    upstream_watch_options options_;
    std::uint64_t nonce_;
    std::optional<incarnation_id> incarnation_;
    std::optional<upstream_announcement> ended_;
    upstream_state state_ = upstream_state::starting;
    std::optional<time_point> ready_since_; // set while state_ is ready
    std::uint32_t refusals_ = 0;            // in a row
    bool ramp_skipped_ = false;
};

} // namespace toucanusher
