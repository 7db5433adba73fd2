// Tests that links close while their server restarts, as when control hosts are killed and
// restarted while daemons and tools open and close links to them. A separate program, since a link
// that does not close ends the process.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "src/process/io/link.h"
#include "tests/free_address.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/ring.h"

namespace toucanusher::tests {

namespace {

constexpr auto close_timeout = std::chrono::seconds{20}; // the test takes less than two seconds

void pause(duration span) {
    ring<bool> nothing(1);
    (void)nothing.pop_until(std::chrono::steady_clock::now() + span);
}

} // namespace

TEST_CASE("links to a server that comes and goes close") {
    endpoint const server_address = free_address();
    constexpr int clients = 4;
    constexpr int rounds = 250;
    std::atomic<bool> stop{false};
    ring<bool> done(clients + 1);
    duty server("server", [&] {
        while (!stop) {
            auto opened = link_server::open(server_address, [](link_peer, std::string const&) {});
            pause(std::chrono::milliseconds{3});
        }
        (void)done.try_push(true);
    });
    std::vector<std::unique_ptr<duty>> client_duties;
    for (int i = 0; i < clients; ++i)
        client_duties.push_back(std::make_unique<duty>("client", [&, i] {
            for (int round = 0; round < rounds; ++round) {
                auto link = link_client::open(server_address, [](std::string const&) {});
                pause(std::chrono::microseconds{700 * ((round + i) % 9)});
            }
            (void)done.try_push(true);
        }));
    for (int finished = 0; finished <= clients; ++finished) {
        stop = finished == clients;
        if (!done.pop_until(std::chrono::steady_clock::now() + close_timeout)) {
            std::fputs("a link does not close\n", stderr);
            std::_Exit(1); // the duty's thread cannot be joined
        }
    }
}

} // namespace toucanusher::tests
