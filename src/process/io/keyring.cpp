#include "src/process/io/keyring.h"

#include <sodium.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace toucanusher {

namespace {

template <std::size_t N>
std::optional<std::array<unsigned char, N>> parse_key(std::string const& hex) {
    std::array<unsigned char, N> key{};
    std::size_t length = 0;
    char const* end = nullptr;
    int const error = sodium_hex2bin(key.data(), N, hex.data(), hex.size(), nullptr, &length, &end);
    bool const whole = error == 0 && length == N && end == hex.data() + hex.size();
    return whole ? std::optional{key} : std::nullopt;
}

// Returns a short public name for a key, by which a receiver selects one of two fleet keys.
std::string key_id(seal_key const& key) {
    constexpr std::size_t id_bytes = 16;
    std::array<unsigned char, id_bytes> hash{};
    crypto_generichash(hash.data(), hash.size(), key.data(), key.size(), nullptr, 0);
    return absl::StrCat("fleet:", absl::Hex(hash[0], absl::kZeroPad2),
                        absl::Hex(hash[1], absl::kZeroPad2), absl::Hex(hash[2], absl::kZeroPad2),
                        absl::Hex(hash[3], absl::kZeroPad2));
}

// Error messages must never contain key values.
template <std::size_t N>
std::optional<std::array<unsigned char, N>> read_key(ini_file const& file,
                                                     std::string const& section,
                                                     std::string const& key, findings& found) {
    auto const& keys = file.section(section);
    auto const at = keys.find(key);
    if (at == keys.end())
        return std::nullopt;
    auto parsed = parse_key<N>(at->second.text);
    if (!parsed)
        found.add(file.where(section, key), absl::StrCat("expects ", 2 * N, " hex digits"));
    return parsed;
}

} // namespace

absl::StatusOr<keyring> keyring::load(std::string const& path) {
    findings found;
    auto file = ini_file::load(path, found);
    if (!file.ok())
        return file.status();
    keyring keys = from_ini(*file, found);
    if (!found.empty())
        return found.to_status();
    return keys;
}

keyring keyring::from_ini(ini_file const& file, findings& found) {
    keyring result;
    if (auto const key = read_key<seal_key_bytes>(file, "fleet", "current", found)) {
        result.current = key_id(*key);
        result.keys[result.current] = *key;
    }
    if (auto const key = read_key<seal_key_bytes>(file, "fleet", "previous", found))
        result.keys[key_id(*key)] = *key;
    result.steering = read_key<steering_key_bytes>(file, "fleet", "steering", found);
    for (auto const& [key, value] : file.section("fleet"))
        if (key != "current" && key != "previous" && key != "steering")
            found.add(file.where("fleet", key), "unknown key");
    for (auto const& [team, value] : file.section("teams"))
        if (auto const key = read_key<seal_key_bytes>(file, "teams", team, found))
            result.keys[absl::StrCat("team:", team)] = *key;
    for (auto const& section : file.sections())
        if (section != "fleet" && section != "teams")
            found.add(file.where(section, ""), "unknown section");
    return result;
}

} // namespace toucanusher
