// Finds datagram paths that swallow what is sent while nothing says so: something between the two
// ends has lost track of them. The cure is a new source port.
//
// A peer that was sent something and gave no sign of life for a while is probed; probes that stay
// unanswered ask for a new port, a few times at most until the peer is heard again.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

struct path_monitor_options {
    duration receive_timeout = std::chrono::milliseconds{1000}; // then the peer is probed
    duration probe_interval = std::chrono::milliseconds{250};
    std::uint32_t probes_before_replacement = 3;
    std::uint32_t max_replacements = 3;                 // until the peer is heard again
    duration peer_retention = std::chrono::seconds{30}; // without anything sent
};

struct path_steps {
    std::vector<endpoint> probe; // peers to send a probe to
    bool replace_port = false;   // send from a new port from now on
};

class path_monitor {
  public:
    explicit path_monitor(path_monitor_options options = {}) : options_(options) {}

    // A packet went to `peer`, named by the address where it receives.
    void on_sent(time_point now, endpoint peer);
    // Anything came from the peer.
    void on_received(time_point now, endpoint peer);
    path_steps on_tick(time_point now);

    [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }

  private:
    struct path {
        time_point first_unanswered{}; // set while something sent has had no sign of life
        time_point last_sent{};
        time_point last_probe{};
        std::uint32_t probes = 0;       // unanswered, since the last replacement
        std::uint32_t replacements = 0; // since the peer was heard
        bool awaiting_contact = false;
    };

    path_monitor_options options_;
    std::map<endpoint, path> peers_;
};

} // namespace toucanusher
