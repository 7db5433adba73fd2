#include "toucanusher/request/retry_budget.h"

#include <algorithm>

namespace toucanusher {

char const* to_string(retry_reason reason) {
    switch (reason) {
    case retry_reason::upstream_shed:
        return "upstream_shed";
    case retry_reason::upstream_unreachable:
        return "upstream_unreachable";
    case retry_reason::attempt_lost:
        return "attempt_lost";
    case retry_reason::held_by_budget:
        return "held_by_budget";
    case retry_reason::held_by_deadline:
        return "held_by_deadline";
    }
    return "invalid";
}

void retry_budget::on_request() {
    tokens_ = std::min(options_.max_tokens, tokens_ + options_.percent / 100.0);
}

bool retry_budget::try_spend(time_point now) {
    if (refilled_at_ == time_point{})
        refilled_at_ = now;
    double const elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    if (options_.percent > 0)
        tokens_ =
            std::min(options_.max_tokens, tokens_ + elapsed * options_.min_retries_per_second);
    if (options_.percent == 0 || tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

duration jittered_backoff(std::uint32_t attempt, duration base, duration cap,
                          random_source const& random) {
    constexpr std::uint32_t max_doublings = 16;
    duration const bound = std::min(cap, base * (1U << std::min(attempt, max_doublings)));
    double const chosen = uniform_fraction(random) * static_cast<double>(bound.count());
    return duration{static_cast<duration::rep>(chosen)};
}

} // namespace toucanusher
