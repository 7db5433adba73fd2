// Encodes and decodes the replicated log's messages and disk records. Decoding returns
// InvalidArgument for malformed input.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "toucanusher/process/log_types.h"

namespace toucanusher {

std::string encode_log_message(log_message const& message);
absl::StatusOr<log_message> decode_log_message(std::string_view bytes);

std::string encode_disk_write(disk_write const& write);
absl::StatusOr<disk_write> decode_disk_write(std::string_view bytes);

} // namespace toucanusher
