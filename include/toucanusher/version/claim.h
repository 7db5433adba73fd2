// A claim is the value that one team requests for one setting of one service, with a loudness that
// decides between the claims of several teams.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "toucanusher/process/findings.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

// The setting that claims compete for.
struct setting_id {
    std::string service;
    std::string key;

    friend auto operator<=>(setting_id const&, setting_id const&) = default;
};

// The path "/team/service/key" of a team's claim. A team may write only paths that start with its
// own name.
struct setting_path {
    std::string team;
    setting_id setting;

    friend auto operator<=>(setting_path const&, setting_path const&) = default;
};

std::string to_string(setting_path const& path);
std::optional<setting_path> parse_setting_path(std::string const& text);

constexpr std::uint32_t max_loudness = 1000;

struct claim {
    std::string team;
    std::string value;
    std::uint32_t loudness = 0; // at most max_loudness
    version_number accepted{};  // version of the first write at this loudness; breaks ties
    version_number changed{};   // version of the last write; >= accepted

    friend bool operator==(claim const&, claim const&) = default;
};

struct write_claim {
    std::string request; // id chosen by the operator; a retry carries the same id
    setting_path path;
    std::string value;
    std::uint32_t loudness = 0;
    std::optional<version_number> expected; // if set, must equal the claim's `changed`
};

struct withdraw_claim {
    std::string request;
    setting_path path;
    std::optional<version_number> expected;
};

enum class claim_verdict : std::uint8_t { in_force, overridden, withdrawn, refused };

// The result of a write or a withdrawal. A retry of the same request gets the same result.
struct claim_result {
    claim_verdict verdict = claim_verdict::refused;
    version_number version{};
    std::optional<claim> winner; // the claim in force for the setting after the write
    std::string reason;          // of a refusal, one finding per line

    friend bool operator==(claim_result const&, claim_result const&) = default;
};

} // namespace toucanusher
