// Records the history of concurrent operations on one setting and checks its linearizability: some
// sequential order of the operations must yield every answer. The check is a depth-first search
// with memoization.
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
    // The maximum if unanswered; such an operation may take effect at any time after its
    // invocation, or never.
    std::uint64_t answered_at = std::numeric_limits<std::uint64_t>::max();
    // The claim in force right after the operation, according to the answer.
    std::optional<std::string> winner_team;
    std::optional<std::string> winner_value;
    bool refused = false; // withdrawal of a claim that does not exist

    [[nodiscard]] bool has_answer() const {
        return answered_at != std::numeric_limits<std::uint64_t>::max();
    }
};

// Returns true if the operations, at most 60, have an order that respects real time and in which a
// sequential reference model gives exactly these answers.
bool is_linearizable(std::vector<claim_operation> const& history);

} // namespace toucanusher::tests
