// Tests which control hosts a host plan adds, promotes to voters and replaces.
#include "toucanusher/process/host_plan.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "toucanusher/process/host_directory.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr host_id a{101};
constexpr host_id b{102};
constexpr host_id c{103};
constexpr host_id d{104};

endpoint address_for(host_id id) {
    return {value_of(id), 7000};
}

host_status make_status(host_id id, duration silence = milliseconds{0}, bool caught_up = true) {
    return {.id = id, .address = address_for(id), .since_contact = silence, .caught_up = caught_up};
}

log_members members(std::vector<host_id> voters, std::vector<host_id> learners = {}) {
    log_members made{std::move(voters), std::move(learners), {}};
    for (auto const* group : {&made.voters, &made.learners})
        for (host_id const id : *group)
            made.addresses[id] = address_for(id);
    return made;
}

std::optional<log_members> plan(log_members const& current,
                                std::vector<host_status> const& observed) {
    return plan_hosts({}, current, a, observed);
}

} // namespace

TEST_CASE(
    "a single host grows to the full set of voters one host at a time; the rest are learners") {
    std::vector<host_status> const observed = {make_status(a), make_status(b), make_status(c),
                                               make_status(d)};
    log_members current = members({a});
    int steps = 0;
    while (auto next = plan(current, observed)) {
        current = *next;
        REQUIRE(++steps < 10);
    }
    CHECK(current.voters.size() == 3);
    CHECK(current.learners.size() == 1);
    CHECK(current.addresses.size() == 4);
}

TEST_CASE("a learner becomes a voter only after it has caught up") {
    CHECK_FALSE(plan(members({a}, {b}), {make_status(a), make_status(b, milliseconds{0}, false)}));
    CHECK(plan(members({a}, {b}), {make_status(a), make_status(b)})->voters.size() == 2);
}

TEST_CASE("a silent voter is replaced by a host that has caught up") {
    std::vector<host_status> const observed = {make_status(a), make_status(b),
                                               make_status(c, seconds{3}), make_status(d)};
    auto const first = plan(members({a, b, c}, {d}), observed);
    REQUIRE(first);
    CHECK(first->voters == std::vector<host_id>{a, b, c});
    CHECK(first->next_voters == std::vector<host_id>{a, b, d});
    CHECK(first->learners.empty());
    auto const second = plan(*first, observed);
    REQUIRE(second);
    CHECK(second->voters == std::vector<host_id>{a, b, d});
    CHECK(second->learners == std::vector<host_id>{c});
    CHECK_FALSE(plan(*second, observed));
}

TEST_CASE("a silent voter stays while no host can replace it") {
    CHECK_FALSE(
        plan(members({a, b, c}), {make_status(a), make_status(b), make_status(c, seconds{30})}));
}

// On beiral-quotes-grown four lost hosts kept their places for 60 s, and their successors waited.
TEST_CASE("a lost learner gives its place to a host that waits") {
    constexpr host_id waiting{200};
    for (std::size_t const voters : {3U, 5U, 7U}) {
        host_plan_options options;
        options.voters = voters;
        log_members current;
        std::vector<host_status> observed;
        for (std::uint32_t i = 0; i < options.max_hosts + 1; ++i) {
            host_id const id{101 + i};
            (i < voters ? current.voters : current.learners).push_back(id);
            current.addresses[id] = address_for(id);
            observed.push_back(make_status(id));
        }
        observed.push_back(make_status(waiting, milliseconds{0}, false));
        CHECK_FALSE(plan_hosts(options, current, a, observed)); // every member is in contact
        host_status& lost = observed[options.max_hosts];
        lost.since_contact = options.voter_timeout;
        CHECK_FALSE(plan_hosts(options, current, a, observed));
        lost.since_contact += milliseconds{1};
        auto const next = plan_hosts(options, current, a, observed);
        REQUIRE(next);
        CHECK(next->voters == current.voters);
        CHECK(std::count(next->learners.begin(), next->learners.end(), waiting) == 1);
        CHECK(std::count(next->learners.begin(), next->learners.end(), lost.id) == 0);
        CHECK(next->addresses.size() == options.max_hosts + 1);
        CHECK_FALSE(next->addresses.contains(lost.id));
        observed.pop_back(); // nobody waits
        CHECK_FALSE(plan_hosts(options, current, a, observed));
    }
}

TEST_CASE("a survey counts the hosts in contact, the free places and those that wait") {
    constexpr host_id waiting{200};
    std::vector<host_status> observed = {make_status(a, seconds{9}), make_status(b),
                                         make_status(c, seconds{3}), make_status(d, seconds{2}),
                                         make_status(waiting)};
    host_survey const survey = survey_hosts({}, members({a, b, c}, {d}), a, observed);
    CHECK(survey.voters == 3);
    CHECK(survey.voters_reachable == 2); // a is the host itself
    CHECK(survey.learners == 1);
    CHECK(survey.learners_reachable == 0);
    CHECK(survey.places_free == 4);
    REQUIRE(survey.waiting.size() == 1);
    CHECK(survey.waiting.front().id == waiting);
}

TEST_CASE("a host that lost its disk is replaced by a new identity at the same address") {
    constexpr host_id replacement{200};
    std::vector<host_status> observed = {make_status(a), make_status(b),
                                         make_status(c, seconds{1})};
    observed[2].superseded = true;
    observed.push_back(
        {.id = replacement, .address = address_for(c), .since_contact = {}, .caught_up = false});
    auto current = plan(members({a, b, c}), observed);
    REQUIRE(current);
    CHECK(current->learners == std::vector<host_id>{replacement});
    CHECK_FALSE(plan(*current, observed)); // not caught up yet
    observed[3].caught_up = true;
    current = plan(*current, observed);
    REQUIRE(current);
    CHECK(current->voters == std::vector<host_id>{a, b, c});
    CHECK(current->next_voters == std::vector<host_id>{a, b, replacement});
    current = plan(*current, observed);
    REQUIRE(current);
    CHECK(current->voters == std::vector<host_id>{a, b, replacement});
    CHECK(current->next_voters.empty());
    CHECK_FALSE(current->addresses.contains(c));
    CHECK_FALSE(plan(*current, observed));
}

TEST_CASE("no plan changes more than one voter or removes the leader") {
    for (std::uint32_t silent_mask = 0; silent_mask < 16; ++silent_mask) {
        std::vector<host_status> observed;
        std::uint32_t bit = 1;
        for (host_id const id : {a, b, c, d}) {
            observed.push_back(make_status(id, (silent_mask & bit) != 0 ? seconds{5} : seconds{0}));
            bit *= 2;
        }
        observed[0].since_contact = {};
        log_members const current = members({a, b, c}, {d});
        auto const next = plan(current, observed);
        if (!next)
            continue;
        CHECK(next->voters.front() == a);
        CHECK(next->voters == current.voters);
        if (next->next_voters.empty())
            continue;
        CHECK(next->next_voters.front() == a);
        CHECK(next->next_voters.size() == current.voters.size());
        CHECK(plan(*next, observed)->voters == next->next_voters);
    }
}

TEST_CASE("the latest identity received from an address supersedes the previous one") {
    host_directory contacts;
    contacts.record_contact(start, c, address_for(c));
    contacts.record_contact(start + seconds{1}, d, address_for(c));
    for (host_status const& observed : contacts.statuses(start + seconds{2})) {
        CHECK(observed.superseded == (observed.id == c));
        CHECK(observed.since_contact == (observed.id == c ? seconds{2} : seconds{1}));
    }
    contacts.set_seeds({address_for(a), address_for(b)});
    CHECK(contacts.known_addresses(address_for(a), members({b})) ==
          std::set<endpoint>{address_for(b), address_for(c)});
    CHECK(contacts.address_of(d, {}) == address_for(c));
}

// A host that had learned 64 addresses, most of them of hosts that were gone, learned no others.
TEST_CASE("the newest addresses that other hosts report are known, however many came before") {
    host_directory contacts;
    for (std::uint32_t i = 1; i <= 100; ++i)
        contacts.add_addresses({endpoint{i, 7000}});
    contacts.add_addresses({endpoint{50, 7000}});
    std::set<endpoint> const known = contacts.known_addresses(address_for(a), {});
    CHECK(known.size() == 64);
    CHECK(known.contains(endpoint{100, 7000}));
    CHECK(known.contains(endpoint{50, 7000}));
    CHECK_FALSE(known.contains(endpoint{36, 7000}));
}

} // namespace toucanusher
