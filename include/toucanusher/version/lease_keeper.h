// Leases of members at the leader: whoever is not heard for a whole lease is forgotten. Kept in
// memory only; a new leader grants everybody a fresh lease.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/control_message.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

// An upstream that knows its own flows may hold some while its agent cannot reach control. It stays
// among those that are asked for longer than a flow lives (60 s); balancers avoid it for new flows
// as soon as it does not answer them.
inline constexpr duration carried_flows_lease = std::chrono::seconds{75};

class lease_keeper {
  public:
    explicit lease_keeper(duration lease) : lease_(lease) {}

    // Starts over: nobody's silence before `now` counts.
    void restart(time_point now);
    void renew(time_point now, daemon_report const& report);
    // Commands that forget the members whose lease ran out.
    [[nodiscard]] std::vector<fleet_command> expired(time_point now, fleet_state const& state);

  private:
    [[nodiscard]] bool lapsed(time_point now, time_point& heard, duration lease) const;

    duration lease_;
    time_point restarted_{};
    std::map<upstream_ref, time_point> upstreams_;                           // last heard
    std::map<std::pair<std::string, incarnation_id>, time_point> balancers_; // last heard
};

} // namespace toucanusher
