#include "src/process/log_codec.h"

#include "src/process/log_fields_codec.h"

namespace toucanusher {

std::string encode_log_message(log_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<log_message> decode_log_message(std::string_view bytes) {
    return detail::decode<log_message>(bytes);
}

std::string encode_disk_write(disk_write const& write) {
    return detail::encode(write);
}

absl::StatusOr<disk_write> decode_disk_write(std::string_view bytes) {
    return detail::decode<disk_write>(bytes);
}

} // namespace toucanusher
