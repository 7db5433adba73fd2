// What an agent concludes about its upstream from health probes: which life it is in, whether it
// takes work, and how much while it starts cold.
//
// Only a refused connection counts as a sign of death; a slow or wrong health page does not.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/membership.h"

namespace toucanusher {

enum class upstream_state : std::uint8_t { starting, ready, draining };

struct probe_result {
    bool refused = false;  // nothing listens there
    bool answered = false; // with a page that could be read
    std::string instance;  // changes with every start of the upstream; may be empty
    upstream_state state = upstream_state::ready;
};

struct upstream_watch_options {
    upstream_announcement announcement; // name, service, addresses and slots
    duration ramp = std::chrono::seconds{3};
    std::uint32_t refusals_until_gone = 3; // in a row
};

class upstream_watch {
  public:
    // `nonce` names the life of upstreams that give no instance.
    upstream_watch(upstream_watch_options options, std::uint64_t nonce);

    void on_probe(time_point now, probe_result const& result);
    // The upstream was at full share before this process started.
    void skip_ramp() { ramp_skipped_ = true; }
    // What to announce now; nothing while no life is known.
    [[nodiscard]] std::optional<upstream_announcement> announcement(time_point now) const;
    // The life that ended most recently.
    [[nodiscard]] std::optional<upstream_announcement> const& gone() const { return gone_; }
    [[nodiscard]] std::optional<incarnation_id> life() const { return life_; }
    [[nodiscard]] bool draining() const { return state_ == upstream_state::draining; }

  private:
    void end_life();
    [[nodiscard]] incarnation_id life_of(std::string const& instance) const;
    [[nodiscard]] std::uint32_t ready_percent(time_point now) const;

    upstream_watch_options options_;
    std::uint64_t nonce_;
    std::optional<incarnation_id> life_;
    std::optional<upstream_announcement> gone_;
    upstream_state state_ = upstream_state::starting;
    std::optional<time_point> ready_since_; // set while state_ is ready
    std::uint32_t refusals_ = 0;            // in a row
    bool ramp_skipped_ = false;
};

} // namespace toucanusher
