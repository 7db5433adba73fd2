// The secret keys of a process: the current fleet key, the previous one during a rotation, the
// steering key and the team keys. They are read from a separate INI file.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "src/process/io/ini_file.h"

namespace toucanusher {

inline constexpr std::size_t seal_key_bytes = 32;
inline constexpr std::size_t steering_key_bytes = 16;
using seal_key = std::array<unsigned char, seal_key_bytes>;
using steering_key = std::array<unsigned char, steering_key_bytes>;

struct keyring {
    std::string current;                  // name of the key used for sealing
    std::map<std::string, seal_key> keys; // "fleet:ID" and "team:NAME"
    std::optional<steering_key> steering;

    // A daemon needs a current and a steering key; an operator's tool only a team key.
    static absl::StatusOr<keyring> load(std::string const& path);
    static keyring from_ini(ini_file const& file, findings& found);
};

// Holds the keyring in use, which a rotation replaces as a whole. Safe to use from any thread.
class key_store {
  public:
    explicit key_store(keyring keys) : keys_(std::make_shared<keyring>(std::move(keys))) {}

    [[nodiscard]] std::shared_ptr<keyring const> get() const {
        std::lock_guard const lock(mutex_);
        return keys_;
    }
    void replace(keyring keys) {
        auto fresh = std::make_shared<keyring>(std::move(keys));
        std::lock_guard const lock(mutex_);
        keys_ = std::move(fresh);
    }

  private:
    mutable std::mutex mutex_;
    std::shared_ptr<keyring const> keys_; // never null
};

} // namespace toucanusher
