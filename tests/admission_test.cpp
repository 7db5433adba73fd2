// Tests of the admission queue, the retry budget, the backoff, the concurrency limit, the
// reassembly of split messages, and the caller of a request.
#include <array>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/request/admission_queue.h"
#include "toucanusher/request/concurrency_limit.h"
#include "toucanusher/request/reassembly.h"
#include "toucanusher/request/request_caller.h"
#include "toucanusher/request/retry_budget.h"

namespace toucanusher::tests {

namespace {

constexpr duration service_time = std::chrono::milliseconds{10};

time_point at(int milliseconds) {
    return time_point{std::chrono::hours{1} + std::chrono::milliseconds{milliseconds}};
}

waiting_request make_waiting(std::uint64_t id, request_class kind, int deadline = 100000,
                             std::string team = "") {
    return {{id, id}, kind, std::move(team), at(deadline)};
}

} // namespace

TEST_CASE("each class gets its share, and an idle class accumulates no credit") {
    admission_queue queue({.queue_length = 1000, .shares = {60, 30, 10}});
    for (std::uint64_t i = 0; i < 300; ++i)
        for (auto kind : {request_class::urgent, request_class::normal, request_class::bulk})
            queue.push(at(0), make_waiting(i * 3 + static_cast<std::uint64_t>(kind), kind),
                       service_time, 3);
    std::array<int, 3> popped{};
    std::vector<queue_refusal> expired;
    for (int i = 0; i < 100; ++i)
        ++popped[static_cast<std::size_t>(queue.pop(at(0), service_time, expired)->kind)];
    CHECK(popped[0] == 60);
    CHECK(popped[1] == 30);
    CHECK(popped[2] == 10);
    CHECK(expired.empty());
}

TEST_CASE("urgent work displaces bulk work that fills the queue") {
    admission_queue queue({.queue_length = 10});
    for (std::uint64_t i = 0; i < 10; ++i)
        CHECK_FALSE(
            queue.push(at(0), make_waiting(i, request_class::bulk), service_time, 3).has_value());
    auto const refused = queue.push(at(0), make_waiting(10, request_class::bulk), service_time, 3);
    REQUIRE(refused.has_value());
    CHECK(refused->reason == request_refusal::queue_full);
    auto const urgent = queue.push(at(0), make_waiting(11, request_class::urgent), service_time, 3);
    REQUIRE(urgent.has_value());
    CHECK(urgent->reason == request_refusal::displaced);
    CHECK(urgent->id == request_id{9, 9});
    std::vector<queue_refusal> expired;
    CHECK(queue.pop(at(0), service_time, expired)->id == request_id{11, 11});
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival or before it runs") {
    admission_queue queue({.queue_length = 100});
    auto const infeasible =
        queue.push(at(0), make_waiting(1, request_class::normal, 5), service_time, 1);
    REQUIRE(infeasible.has_value());
    CHECK(infeasible->reason == request_refusal::deadline_infeasible);
    for (std::uint64_t i = 2; i < 7; ++i)
        CHECK_FALSE(queue.push(at(0), make_waiting(i, request_class::normal, 60), service_time, 1)
                        .has_value());
    CHECK(
        queue.push(at(0), make_waiting(9, request_class::normal, 55), service_time, 1).has_value());
    std::vector<queue_refusal> expired;
    CHECK_FALSE(queue.pop(at(55), service_time, expired).has_value());
    CHECK(expired.size() == 5);
    CHECK(expired.front().reason == request_refusal::deadline_passed);
    CHECK(queue.size() == 0);
}

TEST_CASE("requests of one class are taken from its teams in turn") {
    admission_queue queue({.queue_length = 100});
    for (std::uint64_t i = 0; i < 20; ++i)
        queue.push(at(0), make_waiting(i, request_class::normal, 100000, "loud"), service_time, 3);
    queue.push(at(0), make_waiting(50, request_class::normal, 100000, "quiet"), service_time, 3);
    std::vector<queue_refusal> expired;
    bool quiet_served = false;
    for (int i = 0; i < 2; ++i)
        quiet_served = quiet_served || queue.pop(at(0), service_time, expired)->team == "quiet";
    CHECK(quiet_served);
}

TEST_CASE("retries stay within a share of the requests, with a minimum rate") {
    retry_budget budget({.percent = 10, .min_retries_per_second = 0.5, .max_tokens = 5});
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_request();
        allowed += budget.try_spend(at(0)) ? 1 : 0;
    }
    CHECK(allowed >= 95);
    CHECK(allowed <= 101);
    retry_budget quiet({.percent = 10, .min_retries_per_second = 0.5, .max_tokens = 5});
    CHECK(quiet.try_spend(at(0)));
    CHECK_FALSE(quiet.try_spend(at(100)));
    CHECK(quiet.try_spend(at(2200)));
    retry_budget none({.percent = 0});
    CHECK_FALSE(none.try_spend(at(0)));
}

TEST_CASE("the backoff is uniform between zero and its bound") {
    auto const random = make_seeded_random(4);
    duration const base = std::chrono::milliseconds{10};
    duration const cap = std::chrono::milliseconds{60};
    double sum = 0;
    for (int i = 0; i < 2000; ++i) {
        duration const wait = jittered_backoff(2, base, cap, random);
        REQUIRE(wait >= duration{});
        REQUIRE(wait <= std::chrono::milliseconds{40});
        sum += std::chrono::duration<double, std::milli>(wait).count();
    }
    CHECK(sum / 2000 == doctest::Approx(20).epsilon(0.05));
    CHECK(jittered_backoff(40, base, cap, random) <= cap);
}

TEST_CASE("the concurrency limit follows what the upstream accepts") {
    concurrency_limit limit(8);
    limit.on_shed(at(0), 5);
    CHECK(limit.limit() == 4);
    limit.on_shed(at(50), 2); // within the same burst, so the limit is not lowered again
    CHECK(limit.limit() == 4);
    for (int i = 0; i < 400; ++i)
        limit.on_success(limit.limit());
    CHECK(limit.limit() == 8);
    limit.on_shed(at(1000), 1);
    CHECK(limit.limit() == 1);
}

TEST_CASE("a message is assembled from parts in any order, with duplicates") {
    request_part part;
    part.parts = 3;
    reassembly assembled(part);
    for (std::uint16_t const number : {2, 0, 2, 1}) {
        part.part = number;
        part.payload = std::string(1, static_cast<char>('a' + number));
        CHECK(assembled.add(part));
    }
    CHECK(assembled.complete());
    part.payload = "z";
    CHECK_FALSE(assembled.add(part));
    part.part = 3;
    CHECK_FALSE(assembled.add(part));
    CHECK(assembled.take() == "abc");
}

TEST_CASE("a caller assembles an answer and ignores parts of another request") {
    request_caller caller({5, 5}, {}, "body", at(0));
    CHECK(caller.on_tick(at(0)).size() == 1);
    CHECK(caller.on_tick(at(1)).empty());
    answer_part answer;
    answer.id = {5, 5};
    answer.parts = 2;
    answer.outcome = request_outcome::done;
    answer.payload = "x";
    CHECK(caller.on_answer(answer).has_value());
    answer.part = 1;
    answer.payload = "y";
    answer_part other_answer = answer;
    other_answer.id = {6, 6};
    CHECK_FALSE(caller.on_answer(other_answer).has_value());
    CHECK(caller.on_answer(answer).has_value());
    REQUIRE(caller.result().has_value());
    CHECK(caller.result()->body == "xy");
    CHECK(caller.on_tick(at(500)).empty());
}

TEST_CASE("a caller without an answer reports an unknown outcome after its deadline") {
    request_caller caller({5, 5}, {.deadline = std::chrono::milliseconds{100}}, "body", at(0));
    std::size_t sent = 0;
    for (int now = 0; now < 3000 && !caller.result(); now += 10)
        sent += caller.on_tick(at(now)).size();
    CHECK(sent >= 3);
    REQUIRE(caller.result().has_value());
    CHECK_FALSE(caller.result()->answered);
    CHECK(caller.result()->outcome == request_outcome::unknown);
}

} // namespace toucanusher::tests
