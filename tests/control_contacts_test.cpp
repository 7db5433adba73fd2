// Whom a daemon asks for the fleet's state: silent, replaced, restarted and diskless control hosts.
#include "toucanusher/version/control_contacts.h"

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

} // namespace

TEST_CASE("a host that is silent is left for the next one, and every host is tried") {
    control_host_selector contacts({a, b, c}, 1);
    CHECK(contacts.current() == b);
    std::set<endpoint> tried = {contacts.current()};
    for (int i = 0; i < 2; ++i) {
        contacts.switch_host();
        tried.insert(contacts.current());
    }
    CHECK(tried == std::set<endpoint>{a, b, c});
}

TEST_CASE("hosts that control names are tried before seeds, and stale seeds are kept") {
    control_host_selector contacts({a, b}, 0);
    contacts.set_directory({a, c, d});
    CHECK(contacts.current() == a);
    contacts.switch_host();
    CHECK(contacts.current() == c);
    contacts.switch_host();
    CHECK(contacts.current() == d);
    contacts.switch_host();
    CHECK(contacts.current() == b);
}

TEST_CASE("a host that control no longer names stays in use while it answers") {
    control_host_selector contacts({a, b}, 0);
    contacts.set_directory({b, c});
    CHECK(contacts.current() == a);
    contacts.switch_host();
    CHECK(contacts.current() == b);
}

TEST_CASE("new seeds count once the present host falls silent") {
    control_host_selector contacts({a}, 0);
    contacts.set_seeds({d});
    CHECK(contacts.current() == a);
    contacts.switch_host();
    CHECK(contacts.current() == d);
}

TEST_CASE("a host without state is left for those that it names") {
    control_host_selector contacts({stateless}, 0);
    CHECK_FALSE(contacts.follow_directory({}));
    CHECK_FALSE(contacts.follow_directory({stateless}));
    CHECK(contacts.current() == stateless);
    REQUIRE(contacts.follow_directory({a, b}));
    CHECK(contacts.current() != stateless);
    CHECK(contacts.directory() == std::vector<endpoint>{a, b});
    std::set<endpoint> tried = {contacts.current()};
    contacts.switch_host();
    tried.insert(contacts.current());
    CHECK(tried == std::set<endpoint>{a, b});
}

// Replays the loss of the host in use: it answered before, so it gets the time of a short stall;
// those that never answered are left sooner.
TEST_CASE("silence is told apart from a stall, and from a host that never answered") {
    constexpr time_point start{std::chrono::hours{1}};
    control_host_selector contacts({a, b, c}, 0);
    link_monitor monitor({.receive_timeout = milliseconds{1500},
                          .first_receive_timeout = milliseconds{350},
                          .replacements_per_peer = 0},
                         start);
    monitor.on_received(start);
    std::vector<std::pair<milliseconds, endpoint>> left;
    for (milliseconds since{0}; since < seconds{4}; since += milliseconds{10})
        if (monitor.on_tick(start + since) == link_step::next_peer) {
            left.emplace_back(since, contacts.current());
            contacts.switch_host();
        }
    REQUIRE(left.size() >= 3);
    CHECK(left[0] == std::pair{milliseconds{1500}, a});
    CHECK(left[1] == std::pair{milliseconds{1850}, b});
    CHECK(left[2] == std::pair{milliseconds{2200}, c});
}

} // namespace toucanusher
