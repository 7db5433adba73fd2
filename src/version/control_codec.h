// Encodes and decodes the messages on control links.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "toucanusher/version/control_message.h"

namespace toucanusher {

std::string encode_control_message(control_message const& message);
absl::StatusOr<control_message> decode_control_message(std::string_view bytes);

} // namespace toucanusher
