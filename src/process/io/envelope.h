// Sealed form of every message between processes: authenticated encryption under a named key.
//
// Layout: one byte format, one byte length of the key's name, the name, 24 bytes nonce, then the
// ciphertext with its 16-byte tag. Everything before the ciphertext is authenticated with it.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "src/process/io/keyring.h"

namespace toucanusher {

enum class seal_refusal : std::uint8_t { too_short, unknown_format, unknown_key, forged };
char const* to_string(seal_refusal reason);

struct opened_message {
    std::string key; // name of the key: who sealed it
    std::string plaintext;

    [[nodiscard]] bool from_fleet() const { return key.starts_with("fleet:"); }
    // Empty unless a team sealed it.
    [[nodiscard]] std::string team() const {
        return key.starts_with("team:") ? key.substr(5) : std::string{};
    }
};

// Safe to use from any thread.
class envelope {
  public:
    // `keys` outlives the envelope. `seed` makes nonces of different processes differ.
    envelope(key_store const& keys, std::array<unsigned char, 16> seed);

    // Seals nothing: for links that no stranger can reach. Takes only messages of its own kind.
    envelope() : keys_(nullptr), nonce_seed_{} {}

    // Seals with the fleet's current key.
    [[nodiscard]] std::string seal(std::string_view plaintext) const;
    // Seals with a named key; empty if there is no such key.
    [[nodiscard]] std::string seal_as(std::string const& key, std::string_view plaintext) const;
    [[nodiscard]] std::variant<opened_message, seal_refusal> open(std::string_view sealed) const;

  private:
    key_store const* keys_; // null: nothing is sealed
    std::array<unsigned char, 16> nonce_seed_;
    mutable std::atomic<std::uint64_t> nonce_counter_{0}; // with the seed never repeats a nonce
};

// An envelope with a random seed.
std::unique_ptr<envelope> make_envelope(key_store const& keys);
// The keyed hash for flows. The keyring must hold a steering key.
std::function<std::uint64_t(std::string_view)> make_keyed_hash(keyring const& keys);
// Randomness of the operating system.
std::function<std::uint64_t()> make_system_random();
// Prepares the cryptographic library; call once per process before anything above.
bool initialize_crypto();

} // namespace toucanusher
