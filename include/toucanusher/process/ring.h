// Bounded ring between threads. Producers never wait: a push to a full ring fails and the caller
// counts the refusal. The consumer blocks until an item arrives, a deadline passes or the ring is
// closed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/fair_ring.h"

namespace toucanusher {

template <typename T>
class ring {
  public:
    explicit ring(std::size_t capacity) : lanes_(capacity) {}

    // Returns false if the ring is full or closed.
    [[nodiscard]] bool try_push(T item) { return lanes_.try_push(only_lane, std::move(item)); }
    // Blocks until an item is available. Returns nothing once the ring is closed and empty.
    std::optional<T> pop() { return lanes_.pop(); }
    // As pop(), but returns nothing at `deadline` of the monotonic clock.
    std::optional<T> pop_until(time_point deadline) { return lanes_.pop_until(deadline); }
    // Refuses new items; queued items can still be popped.
    void close() { lanes_.close(); }
    [[nodiscard]] bool finished() const { return lanes_.finished(); }
    [[nodiscard]] std::size_t size() const { return lanes_.size(); }

  private:
    static constexpr std::uint32_t only_lane = 0;

    fair_ring<T> lanes_;
};

} // namespace toucanusher
