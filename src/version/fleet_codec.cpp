#include "src/version/fleet_codec.h"

#include <utility>

#include "src/version/fleet_fields_codec.h"

namespace toucanusher {

std::string encode_fleet_command(fleet_command const& command) {
    return detail::encode(command);
}

absl::StatusOr<fleet_command> decode_fleet_command(std::string_view bytes) {
    return detail::decode<fleet_command>(bytes);
}

std::string encode_fleet_state(fleet_state const& state) {
    return detail::encode(state.save());
}

absl::StatusOr<fleet_state> decode_fleet_state(std::string_view bytes) {
    auto contents = detail::decode<fleet_state::contents>(bytes);
    if (!contents.ok())
        return contents.status();
    fleet_state state;
    if (!state.restore(std::move(*contents)))
        return absl::InvalidArgumentError("fleet state violates an invariant");
    return state;
}

} // namespace toucanusher
