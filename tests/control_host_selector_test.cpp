// Tests which control host a daemon contacts when hosts are silent, replaced, restarted or keep no
// state.
#include "toucanusher/version/control_host_selector.h"

#include <set>

#include <doctest/doctest.h>

#include "toucanusher/connection/link_monitor.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint a{1, 7000};
constexpr endpoint b{2, 7000};
constexpr endpoint c{3, 7000};
constexpr endpoint d{4, 7000};
constexpr endpoint stateless{9, 7000};
constexpr time_point now{std::chrono::hours{1}};

} // namespace

TEST_CASE("switching away from a silent host tries every host") {
    control_host_selector contacts({a, b, c}, 1);
    CHECK(contacts.current() == b);
    std::set<endpoint> tried = {contacts.current()};
    for (int i = 0; i < 2; ++i) {
        contacts.switch_host(now);
        tried.insert(contacts.current());
    }
    CHECK(tried == std::set<endpoint>{a, b, c});
}

TEST_CASE("hosts of the directory are tried before seeds, and stale seeds are kept") {
    control_host_selector contacts({a, b}, 0);
    contacts.set_directory({a, c, d}, 1);
    CHECK(contacts.current() == a);
    contacts.switch_host(now);
    CHECK(contacts.current() == c);
    contacts.switch_host(now);
    CHECK(contacts.current() == d);
    contacts.switch_host(now);
    CHECK(contacts.current() == b);
}

TEST_CASE("a host that leaves the directory stays in use while it answers") {
    control_host_selector contacts({a, b}, 0);
    contacts.set_directory({b, c}, 1);
    CHECK(contacts.current() == a);
    contacts.switch_host(now);
    CHECK(contacts.current() == b);
}

TEST_CASE("new seeds take effect when the current host becomes silent") {
    control_host_selector contacts({a}, 0);
    contacts.set_seeds({d});
    CHECK(contacts.current() == a);
    contacts.switch_host(now);
    CHECK(contacts.current() == d);
}

TEST_CASE("a host without state redirects to the hosts of its directory") {
    control_host_selector contacts({stateless}, 0);
    CHECK_FALSE(contacts.follow_directory(now, {}, 1));
    CHECK_FALSE(contacts.follow_directory(now, {stateless}, 1));
    CHECK(contacts.current() == stateless);
    REQUIRE(contacts.follow_directory(now, {a, b}, 1));
    CHECK(contacts.current() != stateless);
    CHECK(contacts.directory() == std::vector<endpoint>{a, b});
    std::set<endpoint> tried = {contacts.current()};
    contacts.switch_host(now);
    tried.insert(contacts.current());
    CHECK(tried == std::set<endpoint>{a, b});
}

// With several seeds that keep no state, the next seed would name the same hosts again.
TEST_CASE("a host of the directory is selected before other seeds") {
    control_host_selector contacts({stateless, a, b}, 0);
    REQUIRE(contacts.follow_directory(now, {c, d}, 1));
    CHECK(contacts.current() == c);
}

// Guards against a slow failover after the loss of the current host. That host has answered before,
// so its timeout allows for a short stall; hosts that never answered get a shorter timeout.
TEST_CASE("a host that has answered gets a longer timeout than one that never answered") {
    constexpr time_point start{std::chrono::hours{1}};
    control_host_selector contacts({a, b, c}, 0);
    link_monitor monitor({.receive_timeout = milliseconds{1500},
                          .first_receive_timeout = milliseconds{350},
                          .replacements_per_peer = 0},
                         start);
    monitor.on_received(start);
    std::vector<std::pair<milliseconds, endpoint>> switches;
    for (milliseconds elapsed{0}; elapsed < seconds{4}; elapsed += milliseconds{10})
        if (monitor.on_tick(start + elapsed) == link_step::next_peer) {
            switches.emplace_back(elapsed, contacts.current());
            contacts.switch_host(start + elapsed);
        }
    REQUIRE(switches.size() >= 3);
    CHECK(switches[0] == std::pair{milliseconds{1500}, a});
    CHECK(switches[1] == std::pair{milliseconds{1850}, b});
    CHECK(switches[2] == std::pair{milliseconds{2200}, c});
}

} // namespace toucanusher
