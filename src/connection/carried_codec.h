// The encoding of carried messages.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "toucanusher/connection/carried_message.h"

namespace toucanusher {

std::string encode_carried_message(carried_message const& message);
absl::StatusOr<carried_message> decode_carried_message(std::string_view bytes);

} // namespace toucanusher
