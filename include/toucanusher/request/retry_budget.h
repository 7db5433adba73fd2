// Limits retries to a fraction of requests, with a floor so that a quiet service can retry at all.
// One budget is shared by everything that retries in a process.
#pragma once

#include <cstdint>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/random.h"

namespace toucanusher {

// Why an attempt beyond the first was made, or was not.
enum class retry_reason : std::uint8_t {
    upstream_shed,
    upstream_unreachable,
    attempt_lost,
    held_by_budget,   // would have retried, but the budget is spent
    held_by_deadline, // would have retried, but there is no time left
};
char const* to_string(retry_reason reason);

struct retry_budget_options {
    std::uint32_t percent = 10;          // retries per hundred requests
    double min_retries_per_second = 0.2; // retries that are always allowed
    double max_tokens = 10;              // retries that may be saved up for a burst
};

class retry_budget {
  public:
    explicit retry_budget(retry_budget_options options = {}) : options_(options) {}

    void configure(retry_budget_options options) { options_ = options; }
    void on_request();
    // True, and spends, if a retry is allowed now.
    [[nodiscard]] bool try_spend(time_point now);

  private:
    retry_budget_options options_;
    double tokens_ = 1; // from 0 to options_.most_saved
    time_point refilled_at_{};
};

// Full jitter: uniform between zero and the exponential bound, so that retries do not align.
duration jittered_backoff(std::uint32_t attempt, duration base, duration cap,
                          random_source const& random);

} // namespace toucanusher
