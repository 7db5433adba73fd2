// Fuzzes the platform's decoders of packets, configurations and upstream heartbeats: they return a
// value or an error, and each decoded configuration can be encoded and decoded.
#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/configuration_json.h"
#include "platform/packet_form.h"
#include "platform/upstream_json.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    std::string const bytes(reinterpret_cast<char const*>(data), size);
    static packet_codec const codec = platform::make_packet_codec();
    for (packet_direction const direction :
         {packet_direction::to_upstream, packet_direction::to_caller})
        if (auto const head = codec.decode(bytes, direction); head.ok() && head->returned)
            (void)codec.strip_marks(bytes);
    if (auto const read = platform::decode_configuration(bytes); read.ok()) {
        (void)check_configuration(*read, "fuzz");
        if (!platform::decode_configuration(platform::encode_configuration(*read)).ok())
            __builtin_trap();
    }
    (void)platform::decode_upstream_heartbeat("u", bytes);
    return 0;
}
