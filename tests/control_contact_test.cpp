// Tests which control host a daemon stays with, from what the hosts answer.
#include <set>

#include <doctest/doctest.h>

#include "toucanusher/connection/control_contact.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint a{1, 7000};
constexpr endpoint b{2, 7000};
constexpr endpoint c{3, 7000};
constexpr endpoint redirector{9, 7000};

// A daemon whose heartbeats every host answers, with the age of its contact with a leader.
struct answered_daemon {
    time_point now{std::chrono::hours{1}};
    control_contact contact{{}, {{a, b}, 0}, now};

    // Returns the hosts that were in use during `period`.
    std::set<endpoint> run(duration period, std::optional<duration> leader_contact_age) {
        std::set<endpoint> used;
        for (time_point const end = now + period; now < end; now += milliseconds{50}) {
            state_update update;
            update.leader_contact_age = leader_contact_age;
            (void)contact.on_update(now, update);
            (void)contact.on_tick(now);
            used.insert(contact.host());
        }
        return used;
    }
};

} // namespace

TEST_CASE("a daemon stays with a control host that has contact with a leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{20}, milliseconds{100}) == std::set<endpoint>{a});
}

// On gkp-westland every daemon stayed with a control host that had lost its disk.
TEST_CASE("a daemon leaves a control host that knows no leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{4}, std::nullopt) == std::set<endpoint>{a, b});
}

TEST_CASE("a daemon leaves a control host that lost its leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{4}, milliseconds{100}) == std::set<endpoint>{a});
    CHECK(daemon.run(seconds{4}, seconds{5}) == std::set<endpoint>{a, b});
}

TEST_CASE("a daemon outlasts an election") {
    answered_daemon daemon;
    (void)daemon.run(seconds{4}, milliseconds{100});
    CHECK(daemon.run(milliseconds{1200}, std::nullopt) == std::set<endpoint>{a});
    CHECK(daemon.run(seconds{4}, milliseconds{100}) == std::set<endpoint>{a});
}

TEST_CASE("a process without control follows an announced host") {
    time_point const now{std::chrono::hours{1}};
    control_contact contact({}, {{a}, 0}, now);
    CHECK(contact.on_announcement(now, {b}) == contact_step::connect);
    CHECK(contact.host() == b);
    CHECK(contact.on_announcement(now, {b}) == contact_step::keep);
    CHECK(contact.on_tick(now + milliseconds{340}) == contact_step::keep);
    CHECK(contact.on_tick(now + milliseconds{350}) == contact_step::connect);
}

// Guards against a process that follows every announcement to the same host, which does not answer.
TEST_CASE("repeated announcements lead to every announced host") {
    for (std::size_t start = 0; start < 3; ++start) {
        time_point now{std::chrono::hours{1}};
        control_contact contact({}, {{redirector}, start}, now);
        std::set<endpoint> tried;
        for (time_point const end = now + seconds{3}; now < end; now += milliseconds{10}) {
            if (now.time_since_epoch() % milliseconds{250} == duration{})
                (void)contact.on_announcement(now, {a, b, c});
            (void)contact.on_tick(now);
            tried.insert(contact.host());
        }
        CHECK(tried == std::set<endpoint>{redirector, a, b, c});
    }
}

TEST_CASE("an announcement does not interrupt a working session") {
    answered_daemon daemon;
    (void)daemon.run(seconds{1}, milliseconds{100});
    CHECK(daemon.contact.on_announcement(daemon.now, {b}) == contact_step::keep);
    CHECK(daemon.contact.host() == a);
}

} // namespace toucanusher
