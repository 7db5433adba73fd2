// How many requests an upstream really runs at once. Starts from the announced slots; goes down
// when the upstream refuses work that it should have room for, and up again while it keeps up.
#pragma once

#include <cstdint>

#include "toucanusher/process/clock.h"

namespace toucanusher {

class concurrency_limit {
  public:
    explicit concurrency_limit(std::uint32_t slots) : slots_(slots), limit_(slots) {}

    void configure(std::uint32_t slots);
    // `in_flight` counts the finished request as well.
    void on_success(std::uint32_t in_flight);
    void on_shed(time_point now, std::uint32_t in_flight);

    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

  private:
    static constexpr duration min_decrease_interval = std::chrono::milliseconds{100};

    std::uint32_t slots_;
    double limit_; // from 1 to slots_
    time_point last_decrease_{};
};

} // namespace toucanusher
