// Tests the membership of upstreams that report their flows: lease lifetime and replacement by
// address.
#include <doctest/doctest.h>

#include "toucanusher/version/fleet_state.h"
#include "toucanusher/version/lease_keeper.h"

namespace toucanusher {
namespace {

using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr duration lease_duration = seconds{4};

upstream_announcement make_upstream(std::string name, endpoint agent, bool reports_flows = true) {
    upstream_announcement announcement;
    announcement.service = "batch";
    announcement.name = std::move(name);
    announcement.incarnation = incarnation_id{1};
    announcement.agent = agent;
    announcement.reports_flows = reports_flows;
    return announcement;
}

} // namespace

// Regression: an agent lost contact with the control hosts for some seconds and its upstream was
// removed. A balancer that started in that period queried the other agents only and reset the
// flows of the removed upstream.
TEST_CASE(
    "an upstream whose agent cannot reach control stays a member as long as its flows can live") {
    fleet_state state;
    state.apply(announce_upstream{make_upstream("u", {1, 1}), {}});
    state.apply(announce_upstream{make_upstream("v", {2, 1}, false), {}});
    lease_keeper leases(lease_duration);
    leases.restart(start);
    CHECK(leases.expired(start, state).empty()); // a lease starts when its member is first seen
    auto const first_expired = leases.expired(start + 2 * lease_duration, state);
    REQUIRE(first_expired.size() == 1);
    CHECK(std::get<remove_upstream>(first_expired[0]).ref ==
          state.upstream_named("batch", "v")->ref);
    CHECK(leases.expired(start + seconds{70}, state).size() == 1);
    CHECK(leases.expired(start + seconds{80}, state).size() == 2);
}

TEST_CASE("a new upstream at an agent's address replaces the upstream announced there before") {
    fleet_state state;
    state.apply(announce_upstream{make_upstream("old", {1, 1}), {}});
    state.apply(announce_upstream{make_upstream("other", {2, 1}), {}});
    upstream_announcement replacement = make_upstream("new", {1, 1});
    replacement.service = "artwork";
    state.apply(announce_upstream{replacement, {}});
    CHECK(state.upstream_named("batch", "old") == nullptr);
    CHECK(state.upstream_named("batch", "other") != nullptr);
    CHECK(state.upstream_named("artwork", "new") != nullptr);
    CHECK(state.upstreams().size() == 2);
}

} // namespace toucanusher
