// Fuzzes the decoder of answer parts and the request caller that receives them.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/request/request_codec.h"
#include "toucanusher/request/request_caller.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    auto decoded = decode_answer_part({reinterpret_cast<char const*>(data), size});
    if (!decoded.ok())
        return 0;
    request_caller caller(decoded->id, {}, "body", time_point{std::chrono::hours{1}});
    (void)caller.on_answer(*decoded);
    return 0;
}
