// The leases of members, kept by the leader. A member without contact for a whole lease is removed
// from the state. Leases are in memory only; a new leader starts a fresh lease for every member.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/control_message.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

// Lease of an upstream that reports its own flows. It may hold flows while its agent cannot reach
// control, so it is queried for longer than a flow lives (60 s). Balancers stop placing new flows
// at the upstream as soon as they get no answer from it.
inline constexpr duration forwarded_flows_lease = std::chrono::seconds{75};

class lease_keeper {
  public:
    explicit lease_keeper(duration lease) : lease_(lease) {}

    // Starts a fresh lease at `now` for every member.
    void restart(time_point now);
    void renew(time_point now, daemon_report const& report);
    // Returns the commands that remove the members whose lease expired.
    [[nodiscard]] std::vector<fleet_command> expired(time_point now, fleet_state const& state);

  private:
    [[nodiscard]] bool is_expired(time_point now, time_point& last_contact, duration lease) const;

    duration lease_;
    time_point restarted_at_{};
    std::map<upstream_ref, time_point> upstreams_;                           // last contact
    std::map<std::pair<std::string, incarnation_id>, time_point> balancers_; // last contact
};

} // namespace toucanusher
