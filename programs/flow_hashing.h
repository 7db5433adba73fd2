// The keyed flow hash that all balancers and agents of a fleet share.
#pragma once

#include <array>
#include <cstring>
#include <string_view>

#include "src/process/io/envelope.h"
#include "toucanusher/connection/flow_key.h"

namespace toucanusher {

inline flow_hash make_flow_hash(keyring const& keys) {
    return [hash = make_keyed_hash(keys)](flow_key const& flow) {
        std::array<std::uint32_t, 4> const fields{value_of(flow.service),
                                                  static_cast<std::uint32_t>(flow.protocol),
                                                  flow.caller.address, flow.caller.port};
        std::array<char, sizeof fields> bytes{};
        std::memcpy(bytes.data(), fields.data(), bytes.size());
        return hash({bytes.data(), bytes.size()});
    };
}

} // namespace toucanusher
