// A packet of a flow whose ends are a caller and an upstream, as decisions see it: the head alone.
// Payload belongs to the two ends.
#pragma once

#include <compare>
#include <cstdint>

#include "toucanusher/process/endpoint.h"

namespace toucanusher {

// A flow between a caller and the address of a route.
struct packet_flow {
    endpoint caller;
    endpoint route;

    friend auto operator<=>(packet_flow const&, packet_flow const&) = default;

    template <typename H>
    friend H AbslHashValue(H state, packet_flow const& flow) {
        return H::combine(std::move(state), flow.caller.address, flow.caller.port,
                          flow.route.address, flow.route.port);
    }
};

enum class packet_direction : std::uint8_t { to_upstream, to_caller };

struct packet_head {
    packet_flow flow;
    packet_direction direction = packet_direction::to_upstream;
    bool opens = false;        // asks for a flow, or with `acknowledges` agrees to one
    bool acknowledges = false; // `acknowledged` holds
    bool finishes = false;     // the sender has nothing more to say
    bool resets = false;       // the flow is over
    bool returned = false;     // the upstream sent a caller's packet back: it holds no such flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; // on a caller's opening packet: how many copies came before
    std::uint16_t data_bytes = 0;

    friend bool operator==(packet_head const&, packet_head const&) = default;
};

} // namespace toucanusher
