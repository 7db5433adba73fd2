// The decisions of a balancer: where each caller's packet goes, and which replies may leave.
// It keeps no flow; everything follows from the newest state and the packet.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

struct steering_options {
    std::string name; // of this balancer
    endpoint self;    // where agents send replies
};

// A caller's packet as a front end hands it in, free of any socket.
struct caller_packet {
    endpoint service_address;
    endpoint caller;
    transport protocol = transport::udp;
    std::string payload;
};

struct steered_packet {
    endpoint agent;
    flow_packet packet;
};

// A packet that leaves towards a caller, from the service's own address.
struct caller_reply {
    endpoint service_address;
    endpoint caller;
    transport protocol = transport::udp;
    std::string payload;
};

class packet_steering {
  public:
    packet_steering(steering_options options, flow_hash hash);

    // Takes a newer state; older ones are ignored.
    void apply_state(time_point now, std::shared_ptr<fleet_state const> state);
    std::variant<steered_packet, flow_refusal> steer(time_point now, caller_packet packet);
    std::variant<caller_reply, flow_refusal> on_reply(flow_reply reply) const;

    // Where the agent of an upstream takes packets; nothing if the upstream is gone.
    [[nodiscard]] std::optional<endpoint> agent_of(upstream_ref upstream) const;
    [[nodiscard]] version_number version() const;
    // Addresses that this balancer must receive callers' packets on.
    [[nodiscard]] std::vector<endpoint> service_addresses() const;

  private:
    // One service, prepared for lookups.
    struct route {
        service_id service{};
        std::shared_ptr<service_settings const> settings;
        std::shared_ptr<steering_table const> table;
        std::vector<endpoint> agents; // of the table's members, in their order
        bool served_here = false;
        double tokens = 0; // packets that may pass now, at most one second's worth
        time_point refilled_at{};
    };

    [[nodiscard]] bool take_token(time_point now, route& to) const;

    steering_options options_;
    flow_hash hash_;
    std::shared_ptr<fleet_state const> state_;
    std::unordered_map<endpoint, route> routes_; // by service address
};

} // namespace toucanusher
