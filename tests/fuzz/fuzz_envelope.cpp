// Fuzzes the envelope: any bytes are opened or refused with a typed reason.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <sodium.h>

#include "src/process/io/envelope.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    static key_store const keys = [] {
        (void)sodium_init();
        keyring made;
        made.current = "fleet:1";
        made.keys["fleet:1"] = {};
        return key_store(made);
    }();
    static auto const sealer = make_envelope(keys);
    std::string_view const bytes(reinterpret_cast<char const*>(data), size);
    (void)sealer->open(bytes);
    (void)sealer->open(sealer->seal(bytes));
    return 0;
}
