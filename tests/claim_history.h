// Histories of concurrent operators on one setting, and the check that some sequential order of
// their operations explains every answer (linearizability, by depth-first search with a memo).
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace toucanusher::tests {

enum class operation_kind : std::uint8_t { write, withdraw, read };

struct claim_operation {
    operation_kind kind = operation_kind::read;
    std::string team;
    std::string value;
    std::uint32_t loudness = 0;
    std::uint64_t invoked_at = 0;
    // Unanswered operations may take effect at any time after their invocation, or never.
    std::uint64_t answered_at = std::numeric_limits<std::uint64_t>::max();
    // The answer, if there was one: what was in force right after the operation.
    std::optional<std::string> winner_team;
    std::optional<std::string> winner_value;
    bool refused = false; // a withdrawal of a claim that is not there

    [[nodiscard]] bool has_answer() const {
        return answered_at != std::numeric_limits<std::uint64_t>::max();
    }
};

// True if the operations, at most 60, can be put in an order that respects real time and in which
// a sequential book of claims would give exactly these answers.
bool is_linearizable(std::vector<claim_operation> const& history);

} // namespace toucanusher::tests
