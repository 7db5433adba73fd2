// Fuzzes the decoders of fleet commands and states: each decoded command can be applied, and the
// resulting state can be encoded and decoded.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/version/fleet_codec.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    std::string_view const bytes(reinterpret_cast<char const*>(data), size);
    (void)decode_fleet_state(bytes);
    auto const command = decode_fleet_command(bytes);
    if (!command.ok())
        return 0;
    fleet_state state;
    state.apply(*command);
    state.apply(*command);
    if (!decode_fleet_state(encode_fleet_state(state)).ok())
        std::abort();
    return 0;
}
