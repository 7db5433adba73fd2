#include "src/process/io/envelope.h"

#include <sodium.h>

#include <cstring>

namespace toucanusher {

namespace {

constexpr unsigned char format_unsealed = 0;
constexpr unsigned char format_sealed = 1;
constexpr char const* unsealed_key = "fleet:unsealed";
constexpr std::size_t nonce_bytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t tag_bytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t fixed_header_bytes = 2;

unsigned char const* bytes_of(std::string_view text) {
    return reinterpret_cast<unsigned char const*>(text.data());
}

} // namespace

char const* to_string(seal_refusal reason) {
    switch (reason) {
    case seal_refusal::too_short:
        return "seal_too_short";
    case seal_refusal::unknown_format:
        return "seal_unknown_format";
    case seal_refusal::unknown_key:
        return "seal_unknown_key";
    case seal_refusal::forged:
        return "seal_forged";
    }
    return "invalid";
}

envelope::envelope(key_store const& keys, std::array<unsigned char, 16> seed)
    : keys_(&keys), nonce_seed_(seed) {}

std::string envelope::seal(std::string_view plaintext) const {
    return seal_as(keys_ == nullptr ? std::string() : keys_->get()->current, plaintext);
}

std::string envelope::seal_as(std::string const& key, std::string_view plaintext) const {
    if (keys_ == nullptr)
        return std::string(1, static_cast<char>(format_unsealed)).append(plaintext);
    auto const keys = keys_->get();
    auto const found = keys->keys.find(key);
    if (found == keys->keys.end())
        return {};
    std::size_t const header = fixed_header_bytes + key.size() + nonce_bytes;
    std::string sealed(header + plaintext.size() + tag_bytes, '\0');
    auto* const out = reinterpret_cast<unsigned char*>(sealed.data());
    out[0] = format_sealed;
    out[1] = static_cast<unsigned char>(key.size());
    std::memcpy(out + fixed_header_bytes, key.data(), key.size());
    unsigned char* const nonce = out + fixed_header_bytes + key.size();
    std::memcpy(nonce, nonce_seed_.data(), nonce_seed_.size());
    std::uint64_t const count = nonce_counter_.fetch_add(1, std::memory_order_relaxed);
    std::memcpy(nonce + nonce_seed_.size(), &count, sizeof count);
    crypto_aead_xchacha20poly1305_ietf_encrypt(out + header, nullptr, bytes_of(plaintext),
                                               plaintext.size(), out, header, nullptr, nonce,
                                               found->second.data());
    return sealed;
}

std::variant<opened_message, seal_refusal> envelope::open(std::string_view sealed) const {
    if (sealed.size() < fixed_header_bytes)
        return seal_refusal::too_short;
    if (keys_ == nullptr) {
        if (static_cast<unsigned char>(sealed[0]) != format_unsealed)
            return seal_refusal::unknown_format;
        return opened_message{unsealed_key, std::string(sealed.substr(1))};
    }
    if (static_cast<unsigned char>(sealed[0]) != format_sealed)
        return seal_refusal::unknown_format;
    std::size_t const name_bytes = static_cast<unsigned char>(sealed[1]);
    std::size_t const header = fixed_header_bytes + name_bytes + nonce_bytes;
    if (sealed.size() < header + tag_bytes)
        return seal_refusal::too_short;
    opened_message message;
    message.key = std::string(sealed.substr(fixed_header_bytes, name_bytes));
    auto const keys = keys_->get();
    auto const found = keys->keys.find(message.key);
    if (found == keys->keys.end())
        return seal_refusal::unknown_key;
    message.plaintext.resize(sealed.size() - header - tag_bytes);
    int const error = crypto_aead_xchacha20poly1305_ietf_decrypt(
        reinterpret_cast<unsigned char*>(message.plaintext.data()), nullptr, nullptr,
        bytes_of(sealed) + header, sealed.size() - header, bytes_of(sealed), header,
        bytes_of(sealed) + fixed_header_bytes + name_bytes, found->second.data());
    if (error != 0)
        return seal_refusal::forged;
    return message;
}

std::unique_ptr<envelope> make_envelope(key_store const& keys) {
    std::array<unsigned char, 16> seed{};
    randombytes_buf(seed.data(), seed.size());
    return std::make_unique<envelope>(keys, seed);
}

std::function<std::uint64_t(std::string_view)> make_keyed_hash(keyring const& keys) {
    static_assert(steering_key_bytes == crypto_shorthash_KEYBYTES);
    return [key = keys.steering.value_or(steering_key{})](std::string_view text) {
        std::uint64_t hash = 0;
        crypto_shorthash(reinterpret_cast<unsigned char*>(&hash), bytes_of(text), text.size(),
                         key.data());
        return hash;
    };
}

std::function<std::uint64_t()> make_system_random() {
    return [] {
        std::uint64_t value = 0;
        randombytes_buf(&value, sizeof value);
        return value;
    };
}

bool initialize_crypto() {
    return sodium_init() >= 0;
}

} // namespace toucanusher
