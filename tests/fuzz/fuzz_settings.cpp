// Fuzzes the parsers of settings and key files: any text gives settings or findings.
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/process/io/daemon_config.h"
#include "src/process/io/keyring.h"

using namespace toucanusher;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    std::string const text(reinterpret_cast<char const*>(data), size);
    findings found;
    ini_file const file = ini_file::parse("fuzz", text, found);
    (void)parse_daemon_config(file, found);
    (void)keyring::from_ini(file, found);
    (void)found.to_string();
    return 0;
}
