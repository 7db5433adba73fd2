// Tests the monitors of datagram paths and links: when they probe a path that does not answer, when
// they replace a port or link, and when they give up.
#include <doctest/doctest.h>

#include "toucanusher/connection/link_monitor.h"
#include "toucanusher/connection/path_monitor.h"
#include "toucanusher/connection/peer_link_monitor.h"

namespace toucanusher::tests {

namespace {

constexpr endpoint peer{1, 1};
constexpr endpoint other_peer{2, 2};

time_point at(int milliseconds) {
    return time_point{std::chrono::hours{1} + std::chrono::milliseconds{milliseconds}};
}

} // namespace

TEST_CASE("a path that answers is neither probed nor replaced") {
    path_monitor paths;
    for (int now = 0; now < 20000; now += 100) {
        paths.on_sent(at(now), peer);
        paths.on_received(at(now + 50), peer);
        auto const steps = paths.on_tick(at(now + 60));
        CHECK(steps.probe.empty());
        CHECK_FALSE(steps.replace_port);
    }
}

TEST_CASE("a path that loses all packets gets a new port, long before a session times out") {
    path_monitor paths;
    int replaced_at = 0;
    for (int now = 0; now < 5000 && replaced_at == 0; now += 50) {
        paths.on_sent(at(now), peer);
        paths.on_sent(at(now), other_peer);
        paths.on_received(at(now), other_peer);
        auto const steps = paths.on_tick(at(now));
        for (endpoint const probed : steps.probe)
            CHECK(probed == peer);
        if (steps.replace_port)
            replaced_at = now;
    }
    CHECK(replaced_at > 1000);
    CHECK(replaced_at <= 2000);
}

TEST_CASE("an answer to a probe prevents the port change") {
    path_monitor paths;
    paths.on_sent(at(0), peer);
    CHECK(paths.on_tick(at(1100)).probe.size() == 1);
    paths.on_received(at(1120), peer);
    for (int now = 1200; now < 9000; now += 100)
        CHECK_FALSE(paths.on_tick(at(now)).replace_port);
}

TEST_CASE("an unreachable peer causes a limited number of port changes") {
    path_monitor paths;
    int replacements = 0;
    for (int now = 0; now < 60000; now += 50) {
        paths.on_sent(at(now), peer);
        replacements += paths.on_tick(at(now)).replace_port ? 1 : 0;
    }
    CHECK(replacements == 3);
    CHECK(paths.on_tick(at(100000)).probe.empty());
    CHECK(paths.peer_count() == 0);
}

TEST_CASE("a silent link is replaced once, then the next peer is tried") {
    link_monitor monitor({.receive_timeout = std::chrono::milliseconds{1500}}, at(0));
    CHECK(monitor.on_tick(at(1400)) == link_step::keep);
    CHECK(monitor.on_tick(at(1500)) == link_step::replace);
    CHECK(monitor.on_tick(at(2000)) == link_step::keep);
    CHECK(monitor.on_tick(at(3000)) == link_step::next_peer);
    monitor.on_received(at(3100));
    CHECK(monitor.on_tick(at(4500)) == link_step::keep);
    CHECK(monitor.on_tick(at(4600)) == link_step::replace);
}

TEST_CASE("a silent link to a peer is replaced although the peer sends on a link of its own") {
    peer_link_monitor monitor(std::chrono::milliseconds{600});
    for (int now = 0; now < 2000; now += 50) {
        monitor.on_sent(at(now));
        monitor.on_acknowledged();
        CHECK_FALSE(monitor.replace_if_unanswered(at(now)));
    }
    int replaced = 0;
    for (int now = 2000; now < 4000; now += 50) {
        monitor.on_sent(at(now));
        monitor.on_contact();
        replaced += monitor.replace_if_unanswered(at(now)) ? 1 : 0;
    }
    CHECK(replaced == 3); // after 600 ms each
}

TEST_CASE("a link to a peer that acknowledges nothing is kept while the peer sends") {
    peer_link_monitor monitor(std::chrono::milliseconds{600});
    for (int now = 0; now < 4000; now += 50) {
        monitor.on_sent(at(now));
        if (now % 500 == 0)
            monitor.on_contact();
        CHECK_FALSE(monitor.replace_if_unanswered(at(now)));
    }
}

} // namespace toucanusher::tests
