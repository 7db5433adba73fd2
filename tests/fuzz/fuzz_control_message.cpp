// Fuzzes the decoder of control messages: it returns a message or an error, and each decoded
// message round-trips.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/version/control_codec.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    auto const decoded = decode_control_message({reinterpret_cast<char const*>(data), size});
    if (decoded.ok() && !decode_control_message(encode_control_message(*decoded)).ok())
        std::abort();
    return 0;
}
