// Identity of a flow, the same in every process of the system.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

enum class transport : std::uint8_t { udp = 17, tcp = 6 };

struct flow_key {
    service_id service{};
    transport protocol = transport::udp;
    endpoint caller;

    friend auto operator<=>(flow_key const&, flow_key const&) = default;

    template <typename H>
    friend H AbslHashValue(H state, flow_key const& key) {
        return H::combine(std::move(state), value_of(key.service),
                          static_cast<std::uint8_t>(key.protocol), key.caller.address,
                          key.caller.port);
    }
};

// Keyed hash that selects the bucket of a flow. The key is a fleet secret, so that callers cannot
// choose ports that collide in one bucket.
using flow_hash = std::function<std::uint64_t(flow_key const&)>;

} // namespace toucanusher

template <>
struct std::hash<toucanusher::flow_key> {
    std::size_t operator()(toucanusher::flow_key const& key) const noexcept {
        return std::hash<toucanusher::endpoint>{}(key.caller) * 31 + value_of(key.service);
    }
};
