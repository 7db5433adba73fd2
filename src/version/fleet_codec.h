// Encodes and decodes fleet commands and snapshots of the fleet state.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

std::string encode_fleet_command(fleet_command const& command);
absl::StatusOr<fleet_command> decode_fleet_command(std::string_view bytes);

std::string encode_fleet_state(fleet_state const& state);
absl::StatusOr<fleet_state> decode_fleet_state(std::string_view bytes);

} // namespace toucanusher
