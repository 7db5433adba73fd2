// The clock that every decision and duty is given. Decisions take the current time as an argument;
// only the threads that drive them read a clock.
#pragma once

#include <ctime>

#include <chrono>

namespace toucanusher {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Wall time, for what different hosts compare; assumed to differ by a few seconds at most.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Source of the current time. Implementations are safe to call from any thread.
class clock {
  public:
    virtual ~clock() = default;
    [[nodiscard]] virtual time_point now() const = 0;
};

// Time since the machine's start, with the time that it was suspended: the steady clock stands
// still meanwhile, and a lease or a leadership must not outlive a suspension unnoticed.
inline time_point boot_time() {
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
}

// The machine's clock for intervals.
class monotonic_clock final : public clock {
  public:
    [[nodiscard]] time_point now() const override { return boot_time(); }
};

// A clock that moves only when told to, for tests and experiments. Not thread safe.
class manual_clock final : public clock {
  public:
    [[nodiscard]] time_point now() const override { return now_; }
    void advance(duration step) { now_ += step; }

  private:
    time_point now_{std::chrono::hours{1}};
};

} // namespace toucanusher
