// Tests the duties (threads) of UDP ports, links, and the HTTP client and server. Also runs under
// the thread sanitizer.
#include <atomic>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "src/process/io/http_client.h"
#include "src/process/io/http_server.h"
#include "src/process/io/link.h"
#include "src/process/io/udp_port.h"
#include "tests/free_address.h"
#include "toucanusher/process/ring.h"

namespace toucanusher::tests {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr auto wait_timeout = std::chrono::seconds{20};

time_point deadline() {
    return std::chrono::steady_clock::now() + wait_timeout;
}

} // namespace

TEST_CASE("a datagram sent from one port arrives at another") {
    ring<datagram> received(16);
    udp_duties duties(16);
    auto const a = udp_port::open(duties, {.bind = {loopback, 0}}, [](datagram) {});
    auto const b = udp_port::open(duties, {.bind = {loopback, 0}},
                                  [&](datagram d) { (void)received.try_push(std::move(d)); });
    REQUIRE(a.ok());
    REQUIRE(b.ok());
    CHECK((*a)->send({(*b)->local(), {}, "hello"}));
    auto const got = received.pop_until(deadline());
    REQUIRE(got.has_value());
    CHECK(got->bytes == "hello");
    CHECK(got->peer == (*a)->local());
}

TEST_CASE("a port bound to all local addresses keeps the local address of each packet") {
    ring<datagram> wildcard_received(16);
    ring<datagram> peer_received(16);
    udp_duties duties(16);
    auto const wildcard_port =
        udp_port::open(duties, {.bind = {0, 0}, .any_local_address = true},
                       [&](datagram d) { (void)wildcard_received.try_push(std::move(d)); });
    auto const peer = udp_port::open(duties, {.bind = {loopback, 0}}, [&](datagram d) {
        (void)peer_received.try_push(std::move(d));
    });
    REQUIRE(wildcard_port.ok());
    REQUIRE(peer.ok());
    constexpr std::uint32_t source = (127U << 24U) | (64U << 16U) | 77U;
    CHECK((*wildcard_port)->send({(*peer)->local(), {source, 0}, "from slot 77"}));
    auto const got = peer_received.pop_until(deadline());
    REQUIRE(got.has_value());
    CHECK(got->peer.address == source);
    CHECK((*peer)->send({got->peer, {}, "back"}));
    auto const reply = wildcard_received.pop_until(deadline());
    REQUIRE(reply.has_value());
    CHECK(reply->local.address == source);
}

TEST_CASE("a link server answers its client, also after a reconnect") {
    endpoint const server_address = free_address();
    std::unique_ptr<link_server> server;
    ring<std::pair<link_peer, std::string>> requests(64);
    auto opened = link_server::open(server_address, [&](link_peer peer, std::string bytes) {
        (void)requests.try_push({peer, std::move(bytes)});
    });
    REQUIRE(opened.ok());
    server = *std::move(opened);
    ring<std::string> answers(64);
    auto client = link_client::open(server_address,
                                    [&](std::string bytes) { (void)answers.try_push(bytes); });
    REQUIRE(client.ok());
    for (std::string const word : {"first", "second"}) {
        std::optional<std::pair<link_peer, std::string>> got;
        while (!got || got->second != word) {
            (void)(*client)->send(word);
            got = requests.pop_until(std::chrono::steady_clock::now() +
                                     std::chrono::milliseconds{50});
        }
        (void)server->send(got->first, "answer to " + word);
        auto answer = answers.pop_until(deadline());
        REQUIRE(answer.has_value());
        CHECK(*answer == "answer to " + word);
        (*client)->reconnect();
    }
}

TEST_CASE("HTTP calls get the answers of the server's handler") {
    endpoint const server_address = free_address();
    auto server =
        http_server::open(server_address, [](http_request request, http_responder respond) {
            respond({200, "text/plain", {{"X-Path", request.path}}, "got " + request.body});
        });
    REQUIRE(server.ok());
    ring<http_result> results(16);
    http_client client("test-http");
    http_call call;
    call.method = "POST";
    call.url = "http://" + to_string(server_address) + "/run?x=1";
    call.body = "body";
    call.idempotent = false;
    call.timeout = wait_timeout;
    CHECK(client.start(call, [&](http_result r) { (void)results.try_push(std::move(r)); }));
    auto const got = results.pop_until(deadline());
    REQUIRE(got.has_value());
    CHECK(got->status == 200);
    CHECK(got->body == "got body");
    CHECK(got->headers.at("x-path") == "/run");
}

TEST_CASE("a refused connection is distinguished from a lost answer") {
    endpoint const closed_address = free_address();
    ring<http_result> results(16);
    http_client client("test-http");
    http_call call;
    call.url = "http://" + to_string(closed_address) + "/";
    CHECK(client.start(call, [&](http_result r) { (void)results.try_push(std::move(r)); }));
    auto const got = results.pop_until(deadline());
    REQUIRE(got.has_value());
    CHECK(got->status == 0);
    CHECK_FALSE(got->connected);
}

} // namespace toucanusher::tests
