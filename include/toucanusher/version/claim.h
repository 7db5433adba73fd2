// A claim: one team's wish for one setting of one service, with its loudness.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "toucanusher/process/findings.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

// What claims compete for.
struct setting_id {
    std::string service;
    std::string key;

    friend auto operator<=>(setting_id const&, setting_id const&) = default;
};

// "/team/service/key": a team writes only below its own first component.
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
    std::uint32_t loudness = 0; // <= max_loudness
    version_number accepted{};  // when its team first made it at this loudness; breaks ties
    version_number changed{};   // when its value was last written; >= accepted

    friend bool operator==(claim const&, claim const&) = default;
};

struct write_claim {
    std::string request; // chosen by the operator; a resend carries the same one
    setting_path path;
    std::string value;
    std::uint32_t loudness = 0;
    std::optional<version_number> expected; // accepted only if the team's claim last changed then
};

struct withdraw_claim {
    std::string request;
    setting_path path;
    std::optional<version_number> expected;
};

enum class claim_verdict : std::uint8_t { in_force, overridden, withdrawn, refused };

// The answer to a write. A resend of the same request gets the same answer.
struct claim_result {
    claim_verdict verdict = claim_verdict::refused;
    version_number version{};
    std::optional<claim> winner; // what is in force for the subject after the write
    std::string reason;          // why it was refused, one finding a line

    friend bool operator==(claim_result const&, claim_result const&) = default;
};

} // namespace toucanusher
