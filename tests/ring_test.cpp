// Tests bounded rings with concurrent producers. Also runs under the thread sanitizer.
#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/process/fair_ring.h"
#include "toucanusher/process/ring.h"

namespace toucanusher::tests {

TEST_CASE("a full ring refuses items and loses none") {
    ring<int> queue(2);
    CHECK(queue.try_push(1));
    CHECK(queue.try_push(2));
    CHECK_FALSE(queue.try_push(3));
    CHECK(queue.pop() == 1);
    CHECK(queue.try_push(4));
    CHECK(queue.pop() == 2);
    CHECK(queue.pop() == 4);
}

TEST_CASE("a closed ring returns its remaining items, then finishes") {
    ring<int> queue(4);
    CHECK(queue.try_push(1));
    queue.close();
    CHECK_FALSE(queue.try_push(2));
    CHECK(queue.pop() == 1);
    CHECK_FALSE(queue.pop().has_value());
    CHECK(queue.finished());
}

TEST_CASE("every item that a ring accepted is popped once") {
    constexpr int producers = 4;
    constexpr int items = 5000;
    ring<int> queue(64);
    std::atomic<long> pushed{0};
    std::vector<std::thread> threads;
    for (int p = 0; p < producers; ++p)
        threads.emplace_back([&] {
            for (int i = 1; i <= items; ++i)
                if (queue.try_push(i))
                    pushed += i;
        });
    long popped = 0;
    std::thread consumer([&] {
        while (auto item = queue.pop())
            popped += *item;
    });
    for (auto& thread : threads)
        thread.join();
    queue.close();
    consumer.join();
    CHECK(popped == pushed);
}

TEST_CASE("pop_until returns at its deadline") {
    ring<int> queue(1);
    auto const started_at = std::chrono::steady_clock::now();
    CHECK_FALSE(queue.pop_until(started_at + std::chrono::milliseconds{20}).has_value());
    CHECK(std::chrono::steady_clock::now() >= started_at + std::chrono::milliseconds{20});
}

TEST_CASE("a full lane refuses its own items only") {
    fair_ring<int> queue(100);
    int refused = 0;
    for (int i = 0; i < 1000; ++i)
        refused += queue.try_push(1, 1) ? 0 : 1;
    CHECK(refused == 900);
    CHECK(queue.try_push(2, 2));
    CHECK(queue.try_push(3, 3));
    int other_items = 0;
    for (int i = 0; i < 4; ++i)
        other_items += *queue.pop() != 1 ? 1 : 0;
    CHECK(other_items == 2);
}

TEST_CASE("every item that a fair ring accepted is popped once") {
    fair_ring<int> queue(64);
    std::atomic<long> pushed{0};
    std::vector<std::thread> threads;
    for (std::uint32_t lane = 0; lane < 4; ++lane)
        threads.emplace_back([&, lane] {
            for (int i = 1; i <= 5000; ++i)
                if (queue.try_push(lane, i))
                    pushed += i;
        });
    long popped = 0;
    std::thread consumer([&] {
        while (auto item = queue.pop())
            popped += *item;
    });
    for (auto& thread : threads)
        thread.join();
    queue.close();
    consumer.join();
    CHECK(popped == pushed);
}

} // namespace toucanusher::tests
