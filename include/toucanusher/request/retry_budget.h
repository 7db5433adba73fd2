// Token bucket that limits retries to a fraction of requests. A minimum rate lets a service with
// few requests retry at all. All components of a process that retry share one budget.
#pragma once

#include <cstdint>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/random.h"

namespace toucanusher {

// Reason for a retry, or for omitting one.
enum class retry_reason : std::uint8_t {
    upstream_shed,
    upstream_unreachable,
    attempt_lost,
    held_by_budget,   // no retry: the budget is spent
    held_by_deadline, // no retry: it would exceed the deadline
};
char const* to_string(retry_reason reason);

struct retry_budget_options {
    std::uint32_t percent = 10;          // retries per hundred requests
    double min_retries_per_second = 0.2; // allowed at any request rate
    double max_tokens = 10;              // maximum burst of retries
};

class retry_budget {
  public:
    explicit retry_budget(retry_budget_options options = {}) : options_(options) {}

    void configure(retry_budget_options options) { options_ = options; }
    void on_request();
    // Takes a token and returns true if a retry is allowed now.
    [[nodiscard]] bool try_spend(time_point now);

  private:
    retry_budget_options options_;
    double tokens_ = 1; // between 0 and options_.max_tokens
    time_point refilled_at_{};
};

// Returns an exponential backoff with full jitter: uniform between zero and the exponential bound,
// so that retries do not synchronise.
duration jittered_backoff(std::uint32_t attempt, duration base, duration cap,
                          random_source const& random);

} // namespace toucanusher
