// Encoding of the messages about forwarded flows.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "toucanusher/connection/forwarded_message.h"

namespace toucanusher {

std::string encode_forwarded_message(forwarded_message const& message);
absl::StatusOr<forwarded_message> decode_forwarded_message(std::string_view bytes);

} // namespace toucanusher
