// Seals messages between processes: authenticated encryption (XChaCha20-Poly1305) with a named key.
//
// Layout: one byte format, one byte length of the key name, the name, 24 bytes nonce, then the
// ciphertext with its 16-byte tag. The bytes before the ciphertext are authenticated as well.
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
    std::string key; // name of the key, which identifies the sender
    std::string plaintext;

    [[nodiscard]] bool from_fleet() const { return key.starts_with("fleet:"); }
    // Returns the team whose key sealed the message; empty for other keys.
    [[nodiscard]] std::string team() const {
        return key.starts_with("team:") ? key.substr(5) : std::string{};
    }
};

// Safe to use from any thread.
class envelope {
  public:
    // `keys` must outlive the envelope. `seed` makes the nonces of different processes differ.
    envelope(key_store const& keys, std::array<unsigned char, 16> seed);

    // Sends plaintext and opens only unsealed messages. For links that no untrusted host can reach.
    envelope() : keys_(nullptr), nonce_seed_{} {}

    // Seals with the fleet's current key.
    [[nodiscard]] std::string seal(std::string_view plaintext) const;
    // Seals with the named key. Returns an empty string if there is no such key.
    [[nodiscard]] std::string seal_as(std::string const& key, std::string_view plaintext) const;
    [[nodiscard]] std::variant<opened_message, seal_refusal> open(std::string_view sealed) const;

  private:
    key_store const* keys_; // null: messages are not sealed
    std::array<unsigned char, 16> nonce_seed_;
    mutable std::atomic<std::uint64_t> nonce_counter_{0}; // makes nonces unique within the process
};

// Returns an envelope with a random nonce seed.
std::unique_ptr<envelope> make_envelope(key_store const& keys);
// Returns the keyed hash for flows. The keyring must hold a steering key.
std::function<std::uint64_t(std::string_view)> make_keyed_hash(keyring const& keys);
// Returns a source of random numbers from the operating system.
std::function<std::uint64_t()> make_system_random();
// Initializes libsodium. Call once per process, before any other function of this file.
bool initialize_crypto();

} // namespace toucanusher
