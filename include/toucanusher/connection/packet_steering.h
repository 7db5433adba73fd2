// Steering decisions of a balancer: which agent each packet of a caller goes to, and which replies
// are sent. Keeps no state per flow; each decision follows from the newest fleet state and the
// packet.
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
    endpoint self;    // address to which agents send replies
};

// A caller's packet, as a front end passes it in without its socket.
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

// A packet to a caller, sent from the service's own address.
struct caller_reply {
    endpoint service_address;
    endpoint caller;
    transport protocol = transport::udp;
    std::string payload;
};

class packet_steering {
  public:
    packet_steering(steering_options options, flow_hash hash);

    // Applies a newer state; older ones are ignored.
    void apply_state(time_point now, std::shared_ptr<fleet_state const> state);
    std::variant<steered_packet, flow_refusal> steer(time_point now, caller_packet packet);
    std::variant<caller_reply, flow_refusal> on_reply(flow_reply reply) const;

    // Returns the address on which the agent of an upstream receives packets; nothing if the
    // upstream is unknown.
    [[nodiscard]] std::optional<endpoint> agent_of(upstream_ref upstream) const;
    [[nodiscard]] version_number version() const;
    // Returns the addresses on which this balancer must receive packets of callers.
    [[nodiscard]] std::vector<endpoint> service_addresses() const;

  private:
    // One service, prepared for lookups.
    struct route {
        service_id service{};
        std::shared_ptr<service_settings const> settings;
        std::shared_ptr<steering_table const> table;
        std::vector<endpoint> agents; // of the table's members, in their order
        bool served_here = false;
        double tokens = 0; // token bucket in packets, at most one second of the packet rate
        time_point refilled_at{};
    };

    [[nodiscard]] bool take_token(time_point now, route& to) const;

    steering_options options_;
    flow_hash hash_;
    std::shared_ptr<fleet_state const> state_;
    std::unordered_map<endpoint, route> routes_; // by service address
};

} // namespace toucanusher
