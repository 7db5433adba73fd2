// Fuzzes the decoder of caller messages: it returns a message or an error, and each decoded message
// round-trips.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/request/request_codec.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    auto const decoded = decode_caller_message({reinterpret_cast<char const*>(data), size});
    if (decoded.ok() && !decode_caller_message(encode_caller_message(*decoded)).ok())
        std::abort();
    return 0;
}
