// Clocks and time types. State machines take the current time as an argument; only the threads that
// drive them read a clock.
#pragma once

#include <ctime>

#include <chrono>

namespace toucanusher {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Wall time, for times that hosts compare. Their clocks may differ by a few seconds at most.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Source of the current time. Implementations are safe to call from any thread.
class clock {
  public:
    virtual ~clock() = default;
    [[nodiscard]] virtual time_point now() const = 0;
};

// Returns the time since the host booted, including time in suspension. The steady clock stops
// during a suspension, after which an expired lease or leadership would still look valid.
inline time_point boot_time() {
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
}

// Reads the host's boot-time clock.
class monotonic_clock final : public clock {
  public:
    [[nodiscard]] time_point now() const override { return boot_time(); }
};

// Clock that is advanced explicitly, for tests and experiments. Not thread safe.
class manual_clock final : public clock {
  public:
    [[nodiscard]] time_point now() const override { return now_; }
    void advance(duration step) { now_ += step; }

  private:
    time_point now_{std::chrono::hours{1}};
};

} // namespace toucanusher
