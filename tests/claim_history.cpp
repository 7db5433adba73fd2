#include "tests/claim_history.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace toucanusher::tests {

namespace {

// The sequential specification of claims on one setting.
struct reference_claim {
    std::string team;
    std::string value;
    std::uint32_t loudness = 0;
    std::uint64_t order = 0; // ascending in time
};

struct reference_model {
    std::vector<reference_claim> claims;
    std::uint64_t next_order = 0;

    [[nodiscard]] reference_claim const* winner() const {
        reference_claim const* best = nullptr;
        for (reference_claim const& c : claims)
            if (best == nullptr || c.loudness > best->loudness ||
                (c.loudness == best->loudness && c.order < best->order))
                best = &c;
        return best;
    }

    // Returns false if the team had no claim to withdraw.
    bool apply(claim_operation const& operation) {
        auto const own = std::find_if(claims.begin(), claims.end(), [&](reference_claim const& c) {
            return c.team == operation.team;
        });
        if (operation.kind == operation_kind::withdraw) {
            if (own == claims.end())
                return false;
            claims.erase(own);
        } else if (operation.kind == operation_kind::write) {
            if (own != claims.end() && own->loudness == operation.loudness) {
                own->value = operation.value;
                return true;
            }
            if (own != claims.end())
                claims.erase(own);
            claims.push_back({operation.team, operation.value, operation.loudness, next_order++});
        }
        return true;
    }

    // Models with equal forms answer all further operations alike.
    [[nodiscard]] std::string canonical_form() const {
        std::vector<reference_claim> sorted = claims;
        std::sort(sorted.begin(), sorted.end(),
                  [](auto const& a, auto const& b) { return a.order < b.order; });
        std::ostringstream out;
        for (reference_claim const& c : sorted)
            out << c.team << ' ' << c.value << ' ' << c.loudness << ';';
        return out.str();
    }
};

bool answer_matches(claim_operation const& operation, reference_model const& before,
                    reference_model const& after, bool applied) {
    if (!operation.has_answer())
        return true;
    if (operation.refused)
        return !applied;
    if (!applied)
        return false;
    reference_model const& observed_model = operation.kind == operation_kind::read ? before : after;
    reference_claim const* const winner = observed_model.winner();
    if (winner == nullptr)
        return !operation.winner_team.has_value();
    return operation.winner_team == winner->team && operation.winner_value == winner->value;
}

class linearization_search {
  public:
    explicit linearization_search(std::vector<claim_operation> const& history)
        : history_(history) {}

    bool run(std::uint64_t linearized, reference_model const& model) {
        if (all_answered_linearized(linearized))
            return true;
        if (!visited_.insert({linearized, model.canonical_form()}).second)
            return false;
        std::uint64_t const earliest_answer = earliest_pending_answer(linearized);
        for (std::size_t i = 0; i < history_.size(); ++i) {
            bool const is_linearized = (linearized >> i & 1U) != 0;
            if (is_linearized || history_[i].invoked_at > earliest_answer)
                continue;
            reference_model after = model;
            bool const applied = after.apply(history_[i]);
            if (answer_matches(history_[i], model, after, applied) &&
                run(linearized | std::uint64_t{1} << i, after))
                return true;
        }
        return false;
    }

  private:
    // Real-time order: an operation invoked after this answer cannot come next.
    [[nodiscard]] std::uint64_t earliest_pending_answer(std::uint64_t linearized) const {
        std::uint64_t first = std::numeric_limits<std::uint64_t>::max();
        for (std::size_t i = 0; i < history_.size(); ++i)
            if ((linearized >> i & 1U) == 0)
                first = std::min(first, history_[i].answered_at);
        return first;
    }

    [[nodiscard]] bool all_answered_linearized(std::uint64_t linearized) const {
        for (std::size_t i = 0; i < history_.size(); ++i)
            if (history_[i].has_answer() && (linearized >> i & 1U) == 0)
                return false;
        return true;
    }

    std::vector<claim_operation> const& history_;
    std::set<std::pair<std::uint64_t, std::string>> visited_;
};

} // namespace

bool is_linearizable(std::vector<claim_operation> const& history) {
    return linearization_search(history).run(0, {});
}

} // namespace toucanusher::tests
