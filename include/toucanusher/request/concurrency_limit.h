// Adaptive limit of the requests that run concurrently at an upstream. Starts at the number of
// announced slots, decreases when the upstream refuses a request within the limit, and increases
// again while requests succeed at the limit.
#pragma once

#include <cstdint>

#include "toucanusher/process/clock.h"

namespace toucanusher {

class concurrency_limit {
  public:
    explicit concurrency_limit(std::uint32_t slots) : slots_(slots), limit_(slots) {}

    void configure(std::uint32_t slots);
    // For both, `in_flight` includes the finished request.
    void on_success(std::uint32_t in_flight);
    void on_shed(time_point now, std::uint32_t in_flight);

    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

  private:
    static constexpr duration min_decrease_interval = std::chrono::milliseconds{100};

    std::uint32_t slots_;
    double limit_; // between 1 and slots_
    time_point last_decrease_{};
};

} // namespace toucanusher
