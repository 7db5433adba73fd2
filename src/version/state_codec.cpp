#include "src/version/state_codec.h"

#include "src/version/fleet_codec.h"

namespace toucanusher {

state_codec make_state_codec() {
    return {
        [](std::string const& bytes) { return decode_fleet_command(bytes); },
        [](std::string const& bytes) { return decode_fleet_state(bytes); },
        [](fleet_command const& command) { return encode_fleet_command(command); },
        [](fleet_state const& state) { return encode_fleet_state(state); },
    };
}

} // namespace toucanusher
