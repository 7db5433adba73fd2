// Header of a packet that is forwarded between a caller and an upstream. Decisions see only the
// header; the payload belongs to the two ends.
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
    bool opens = false;        // requests a flow, or accepts one if `acknowledges` is set
    bool acknowledges = false; // `acknowledged` is valid
    bool finishes = false;     // the sender has no more data
    bool resets = false;       // the flow is reset
    // The upstream sent a caller's packet back because it does not hold the flow.
    bool returned = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; // on a caller's opening packet: number of copies sent before
    std::uint16_t data_bytes = 0;

    friend bool operator==(packet_head const&, packet_head const&) = default;
};

} // namespace toucanusher
