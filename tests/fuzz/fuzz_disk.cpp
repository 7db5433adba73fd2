// Fuzzes the decoders of the disk format: log messages, writes, snapshot states, and the commands
// in log entries.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/process/log_codec.h"
#include "src/version/fleet_codec.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    std::string_view const bytes(reinterpret_cast<char const*>(data), size);
    (void)decode_log_message(bytes);
    auto const write = decode_disk_write(bytes);
    if (!write.ok())
        return 0;
    fleet_state state;
    for (log_entry const& entry : write->entries)
        if (auto const command = decode_fleet_command(entry.payload); command.ok())
            state.apply(*command);
    if (write->snapshot)
        (void)decode_fleet_state(write->snapshot->state);
    return 0;
}
