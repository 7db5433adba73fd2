// Detects datagram paths that drop all packets without an error, because a device between the two
// ends has lost its state for the path. Sending from a new source port restores the path.
//
// A peer that does not respond for a while after something was sent to it is probed. Unanswered
// probes request a new port, a limited number of times until the peer responds.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

struct path_monitor_options {
    duration receive_timeout = std::chrono::milliseconds{1000}; // the peer is probed after this
    duration probe_interval = std::chrono::milliseconds{250};
    std::uint32_t probes_before_replacement = 3;
    std::uint32_t max_replacements = 3;                 // until the peer responds
    duration peer_retention = std::chrono::seconds{30}; // after the last packet sent
};

struct path_steps {
    std::vector<endpoint> probe;
    bool replace_port = false; // send from a new port from now on
};

class path_monitor {
  public:
    explicit path_monitor(path_monitor_options options = {}) : options_(options) {}

    // A packet was sent to `peer`, named by the address on which it receives.
    void on_sent(time_point now, endpoint peer);
    // Any packet was received from `peer`.
    void on_received(time_point now, endpoint peer);
    path_steps on_tick(time_point now);

    [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }

  private:
    struct path {
        time_point first_unanswered{}; // valid while awaiting_contact
        time_point last_sent{};
        time_point last_probe{};
        std::uint32_t probes = 0;       // unanswered, since the last replacement
        std::uint32_t replacements = 0; // since the peer last responded
        bool awaiting_contact = false;
    };

    path_monitor_options options_;
    std::map<endpoint, path> peers_;
};

} // namespace toucanusher
