// Tests the surveys that an agent makes for balancers: all agents answer, some stay silent, and
// what a balancer must not conclude.
#include "toucanusher/connection/holder_surveyor.h"

#include <doctest/doctest.h>

namespace toucanusher {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr endpoint self{10, 1};
constexpr endpoint balancer{20, 1};

holder_survey make_survey(std::uint32_t agents, std::uint16_t flows) {
    holder_survey request{77, balancer, {}, {}};
    for (std::uint32_t i = 0; i < agents; ++i)
        request.agents.push_back({100 + i, 1});
    for (std::uint16_t port = 1; port <= flows; ++port)
        request.flows.push_back({{1, port}, {200, 443}});
    return request;
}

} // namespace

TEST_CASE("a survey queries each agent once and ends with the last answer") {
    holder_surveyor surveyor({.self = self});
    surveyor_output const asked = surveyor.on_survey(start, make_survey(3, 2));
    REQUIRE(asked.queries.size() == 3);
    CHECK(asked.queries[0].message.origin == self);
    std::uint32_t const number = asked.queries[0].message.number;
    using enum holder_state;
    CHECK(surveyor.on_answer({100, 1}, {number, {not_held, not_held}}).results.empty());
    CHECK(surveyor.on_answer({101, 1}, {number, {not_held, held}}).results.empty());
    surveyor_output const done = surveyor.on_answer({102, 1}, {number, {unknown, not_held}});
    REQUIRE(done.results.size() == 1);
    CHECK(done.results[0].balancer == balancer);
    survey_result const& result = done.results[0].message;
    CHECK(result.number == 77);
    REQUIRE(result.holders.size() == 1);
    CHECK(result.holders[0].flow == 1);
    CHECK(result.holders[0].agent == endpoint{101, 1});
    CHECK(result.unsure == std::vector<endpoint>{{102, 1}});
    CHECK(result.silent.empty());
    CHECK_FALSE(surveyor.next_due());
}

TEST_CASE("agents without an answer, or with one that does not fit, are listed as silent") {
    holder_surveyor surveyor({.self = self});
    std::uint32_t const number =
        surveyor.on_survey(start, make_survey(3, 1)).queries[0].message.number;
    using enum holder_state;
    (void)surveyor.on_answer({100, 1}, {number, {not_held}});
    (void)surveyor.on_answer({101, 1}, {number, {not_held, not_held}});
    (void)surveyor.on_answer({9, 9}, {number, {held}});       // not asked
    (void)surveyor.on_answer({100, 1}, {number, {held}});     // answered already
    (void)surveyor.on_answer({102, 1}, {number + 1, {held}}); // to no survey
    CHECK(surveyor.on_tick(start + milliseconds{19}).results.empty());
    surveyor_output const done = surveyor.on_tick(start + milliseconds{20});
    REQUIRE(done.results.size() == 1);
    CHECK(done.results[0].message.holders.empty());
    CHECK(done.results[0].message.silent == std::vector<endpoint>{{101, 1}, {102, 1}});
    CHECK(surveyor.on_answer({101, 1}, {number, {held}}).results.empty()); // too late
}

TEST_CASE("surveys above the limits are ignored") {
    holder_surveyor surveyor({.self = self, .max_surveys = 2, .max_agents = 4});
    CHECK(surveyor.on_survey(start, make_survey(5, 1)).queries.empty());
    CHECK(surveyor.on_survey(start, make_survey(4, 1)).queries.size() == 4);
    CHECK(surveyor.on_survey(start, make_survey(4, 1)).queries.size() == 4);
    CHECK(surveyor.on_survey(start, make_survey(4, 1)).queries.empty());
    (void)surveyor.on_tick(start + milliseconds{20});
    CHECK(surveyor.on_survey(start, make_survey(4, 1)).queries.size() == 4);
}

} // namespace toucanusher
