// Who joins the control hosts, who votes and who is replaced.
#include "toucanusher/process/host_plan.h"

#include <doctest/doctest.h>

#include "toucanusher/process/host_roster.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr host_id a{101};
constexpr host_id b{102};
constexpr host_id c{103};
constexpr host_id d{104};

endpoint at(host_id id) {
    return {value_of(id), 7000};
}

host_status sight(host_id id, duration silent = milliseconds{0}, bool caught_up = true) {
    return {.id = id, .address = at(id), .since_contact = silent, .caught_up = caught_up};
}

log_members members(std::vector<host_id> voters, std::vector<host_id> learners = {}) {
    log_members made{std::move(voters), std::move(learners), {}};
    for (auto const* group : {&made.voters, &made.learners})
        for (host_id const id : *group)
            made.addresses[id] = at(id);
    return made;
}

std::optional<log_members> plan(log_members const& now, std::vector<host_status> const& seen) {
    return plan_hosts({}, now, a, seen);
}

} // namespace

TEST_CASE("a fleet of one grows to its voters, a host at a time, and keeps the rest as learners") {
    std::vector<host_status> const seen = {sight(a), sight(b), sight(c), sight(d)};
    log_members now = members({a});
    int steps = 0;
    while (auto next = plan(now, seen)) {
        now = *next;
        REQUIRE(++steps < 10);
    }
    CHECK(now.voters.size() == 3);
    CHECK(now.learners.size() == 1);
    CHECK(now.addresses.size() == 4);
}

TEST_CASE("a newcomer votes only once it has caught up") {
    CHECK_FALSE(plan(members({a}, {b}), {sight(a), sight(b, milliseconds{0}, false)}));
    CHECK(plan(members({a}, {b}), {sight(a), sight(b)})->voters.size() == 2);
}

TEST_CASE("a silent voter is replaced by a host that has caught up") {
    std::vector<host_status> const seen = {sight(a), sight(b), sight(c, seconds{3}), sight(d)};
    auto const first = plan(members({a, b, c}, {d}), seen);
    REQUIRE(first);
    CHECK(first->voters == std::vector<host_id>{a, b});
    CHECK(first->learners == std::vector<host_id>{d, c});
    auto const second = plan(*first, seen);
    REQUIRE(second);
    CHECK(second->voters == std::vector<host_id>{a, b, d});
    CHECK(second->learners == std::vector<host_id>{c});
    CHECK_FALSE(plan(*second, seen));
}

TEST_CASE("a silent voter stays while nobody can replace it") {
    CHECK_FALSE(plan(members({a, b, c}), {sight(a), sight(b), sight(c, seconds{30})}));
}

TEST_CASE("a host that lost its disk is another host at its address") {
    constexpr host_id fresh{200};
    std::vector<host_status> seen = {sight(a), sight(b), sight(c, seconds{1})};
    seen[2].superseded = true;
    seen.push_back({.id = fresh, .address = at(c), .since_contact = {}, .caught_up = false});
    auto now = plan(members({a, b, c}), seen);
    REQUIRE(now);
    CHECK(now->learners == std::vector<host_id>{fresh});
    CHECK_FALSE(plan(*now, seen)); // it has to catch up first
    seen[3].caught_up = true;
    now = plan(*now, seen);
    REQUIRE(now);
    CHECK(now->voters == std::vector<host_id>{a, b});
    CHECK_FALSE(now->addresses.contains(c));
    now = plan(*now, seen);
    REQUIRE(now);
    CHECK(now->voters == std::vector<host_id>{a, b, fresh});
    CHECK_FALSE(plan(*now, seen));
}

TEST_CASE("no plan changes more than one voter or removes the leader") {
    for (std::uint32_t silent = 0; silent < 16; ++silent) {
        std::vector<host_status> seen;
        std::uint32_t bit = 1;
        for (host_id const id : {a, b, c, d}) {
            seen.push_back(sight(id, (silent & bit) != 0 ? seconds{5} : seconds{0}));
            bit *= 2;
        }
        seen[0].since_contact = {};
        log_members const now = members({a, b, c}, {d});
        auto const next = plan(now, seen);
        if (!next)
            continue;
        CHECK(next->voters.front() == a);
        CHECK(next->voters.size() + 1 >= now.voters.size());
        CHECK(next->voters.size() <= now.voters.size());
    }
}

TEST_CASE("the roster tells identities at one address apart by who spoke last") {
    host_directory roster;
    roster.record_contact(start, c, at(c));
    roster.record_contact(start + seconds{1}, d, at(c));
    for (host_status const& seen : roster.statuses(start + seconds{2})) {
        CHECK(seen.superseded == (seen.id == c));
        CHECK(seen.since_contact == (seen.id == c ? seconds{2} : seconds{1}));
    }
    roster.set_seeds({at(a), at(b)});
    CHECK(roster.known_addresses(at(a), members({b})).size() == 1);
    CHECK(roster.address_of(d, {}) == at(c));
}

} // namespace toucanusher
