// Bounded ring with one lane for each key, served round robin, so that an overloaded lane neither
// delays nor displaces items of other lanes. Producers never wait; the consumer blocks.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "toucanusher/process/clock.h"

namespace toucanusher {

template <typename T>
class fair_ring {
  public:
    explicit fair_ring(std::size_t capacity_per_lane) : capacity_(capacity_per_lane) {}

    // Returns false if the lane is full or the ring is closed.
    [[nodiscard]] bool try_push(std::uint32_t lane, T item) {
        {
            std::lock_guard const lock(mutex_);
            auto& queue = lanes_[lane];
            if (closed_ || queue.size() >= capacity_)
                return false;
            queue.push_back(std::move(item));
            ++size_;
        }
        filled_.notify_one();
        return true;
    }

    // Blocks until an item is available. Returns nothing once the ring is closed and empty.
    std::optional<T> pop() {
        std::unique_lock lock(mutex_);
        filled_.wait(lock, [this] { return size_ > 0 || closed_; });
        return take(lock);
    }

    // As pop(), but returns nothing at `deadline` of the boot-time clock.
    std::optional<T> pop_until(time_point deadline) {
        std::unique_lock lock(mutex_);
        filled_.wait_for(lock, deadline - boot_time(), [this] { return size_ > 0 || closed_; });
        return take(lock);
    }

    void close() {
        {
            std::lock_guard const lock(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
    }

    [[nodiscard]] bool finished() const {
        std::lock_guard const lock(mutex_);
        return closed_ && size_ == 0;
    }

    [[nodiscard]] std::size_t size() const {
        std::lock_guard const lock(mutex_);
        return size_;
    }

  private:
    std::optional<T> take(std::unique_lock<std::mutex> const& /*held*/) {
        if (size_ == 0)
            return std::nullopt;
        auto lane = lanes_.upper_bound(last_lane_);
        while (lane == lanes_.end() || lane->second.empty())
            lane = lane == lanes_.end() ? lanes_.begin() : std::next(lane);
        last_lane_ = lane->first;
        std::optional<T> item = std::move(lane->second.front());
        lane->second.pop_front();
        --size_;
        return item;
    }

    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::map<std::uint32_t, std::deque<T>> lanes_; // each at most capacity_ long
    std::uint32_t last_lane_ = 0;                  // last lane that was served
    std::size_t size_ = 0;                         // sum of the lanes' sizes
    bool closed_ = false;                          // never reset
};

} // namespace toucanusher
