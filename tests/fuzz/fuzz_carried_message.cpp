// Fuzzes the decoder of messages about forwarded flows: it returns a message or an error, and each
// decoded message round-trips.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/connection/forwarded_codec.h"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    auto const message = toucanusher::decode_forwarded_message(
        std::string_view(reinterpret_cast<char const*>(data), size));
    if (message.ok() &&
        !toucanusher::decode_forwarded_message(toucanusher::encode_forwarded_message(*message))
             .ok())
        __builtin_trap();
    return 0;
}
