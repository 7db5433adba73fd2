// Tests the frames of links, and links whose peers restart, stall or send faulty frames. Also runs
// under the thread sanitizer.
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>
#include <doctest/doctest.h>

#include "src/process/frame_codec.h"
#include "src/process/io/link.h"
#include "tests/free_address.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/ring.h"

namespace toucanusher::tests {

namespace {

using asio::ip::tcp;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr auto wait_timeout = std::chrono::seconds{20};
constexpr auto resend_interval = std::chrono::milliseconds{30};
constexpr auto close_timeout = std::chrono::seconds{1}; // "at once", on a busy machine
constexpr std::size_t large_message = 3U << 20U;        // larger than the buffers of a socket
constexpr std::size_t max_queued_messages = 256;

time_point now() {
    return std::chrono::steady_clock::now();
}

// Listens in the kernel; connections are established without a call of accept().
class plain_listener {
  public:
    plain_listener() : acceptor_(io_, tcp::endpoint(asio::ip::address_v4(loopback), 0)) {}

    [[nodiscard]] endpoint address() const { return {loopback, acceptor_.local_endpoint().port()}; }
    tcp::socket accept() { return acceptor_.accept(); }
    void close() { acceptor_.close(); }

  private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
};

class plain_client {
  public:
    plain_client() : socket_(io_, tcp::v4()) {}
    explicit plain_client(endpoint server) : plain_client() { connect(server); }

    void connect(endpoint server) {
        socket_.connect({asio::ip::address_v4(server.address), server.port});
    }
    void write(std::string const& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    // Returns true if the peer closes the connection without sending anything.
    bool is_closed_by_peer() {
        std::array<char, 1> byte{};
        asio::error_code error;
        (void)socket_.read_some(asio::buffer(byte), error);
        return error == asio::error::eof || error == asio::error::connection_reset;
    }

  private:
    asio::io_context io_;
    tcp::socket socket_;
};

struct received_message {
    link_peer peer{};
    std::string bytes;
};

struct recording_server {
    explicit recording_server(endpoint where) {
        auto opened = link_server::open(where, [this](link_peer peer, std::string bytes) {
            (void)received.try_push({peer, std::move(bytes)});
        });
        REQUIRE(opened.ok());
        server = *std::move(opened);
    }

    ring<received_message> received{1024};
    std::unique_ptr<link_server> server;
};

std::unique_ptr<link_client> open_client(endpoint server, ring<std::string>* answers = nullptr) {
    auto opened = link_client::open(server, [answers](std::string bytes) {
        if (answers != nullptr)
            (void)answers->try_push(std::move(bytes));
    });
    REQUIRE(opened.ok());
    return *std::move(opened);
}

// Resends the message until the server has received it.
std::optional<received_message> deliver(link_client& client, recording_server& server,
                                        std::string const& bytes) {
    time_point const deadline = now() + wait_timeout;
    while (now() < deadline) {
        (void)client.send(bytes);
        time_point const resend_at = now() + resend_interval;
        while (auto got = server.received.pop_until(resend_at))
            if (got->bytes == bytes)
                return got;
    }
    return std::nullopt;
}

std::vector<std::string> decode_pieces(std::string const& stream, std::size_t piece) {
    std::vector<std::string> frames;
    frame_decoder decoder(1024);
    for (std::size_t at = 0; at < stream.size(); at += piece)
        REQUIRE(decoder.decode(stream.substr(at, piece),
                               [&](std::string frame) { frames.push_back(std::move(frame)); }));
    return frames;
}

bool accepts_header(std::string const& header) {
    frame_decoder decoder(1024);
    return decoder.decode(header, [](std::string const&) {});
}

} // namespace

TEST_CASE("frames that arrive in pieces are joined, frames that arrive together are separated") {
    std::vector<std::string> const bodies{"a", std::string(300, 'b'), std::string(1024, 'c'), "d"};
    std::string stream;
    for (auto const& body : bodies)
        stream += encode_frame(body);
    for (std::size_t piece = 1; piece <= stream.size(); ++piece)
        CHECK(decode_pieces(stream, piece) == bodies);
}

TEST_CASE("a frame without bytes or over the maximum is refused as soon as its length is known") {
    using namespace std::string_literals;
    CHECK(accepts_header("\0\0\x04\0"s));
    CHECK_FALSE(accepts_header("\0\0\x04\x01"s));
    CHECK_FALSE(accepts_header("\xff\xff\xff\xff"s));
    CHECK_FALSE(accepts_header("\0\0\0\0"s));
}

TEST_CASE("messages larger than the buffers of a socket arrive whole in both directions") {
    endpoint const where = free_address();
    recording_server server(where);
    ring<std::string> answers(16);
    auto const client = open_client(where, &answers);
    std::string const request(large_message, 'q');
    std::string const answer(large_message + 1, 'a');
    CHECK(client->send(request));
    auto const got = server.received.pop_until(now() + wait_timeout);
    REQUIRE(got.has_value());
    CHECK(got->bytes == request);
    CHECK(server.server->send(got->peer, answer));
    auto const answered = answers.pop_until(now() + wait_timeout);
    REQUIRE(answered.has_value());
    CHECK(*answered == answer);
}

TEST_CASE("messages sent before the server listens arrive in order once it does") {
    endpoint const where = free_address();
    auto const client = open_client(where);
    CHECK(client->send("first"));
    CHECK(client->send("second"));
    recording_server server(where);
    for (std::string const word : {"first", "second"}) {
        auto const got = server.received.pop_until(now() + wait_timeout);
        REQUIRE(got.has_value());
        CHECK(got->bytes == word);
    }
}

TEST_CASE("a message that cannot be carried is refused") {
    auto const client = open_client(free_address());
    CHECK_FALSE(client->send(""));
    CHECK_FALSE(client->send(std::string(max_link_message_bytes + 1, 'x')));
    client->close();
    CHECK_FALSE(client->send("late"));
    client->reconnect();
    CHECK_FALSE(client->send("late"));
}

TEST_CASE("a faulty length closes the connection but not the server") {
    using namespace std::string_literals;
    endpoint const where = free_address();
    recording_server server(where);
    for (auto const& header : {"\xff\xff\xff\xff"s, "\0\0\0\0"s, "\x04\0\0\x01"s}) {
        plain_client faulty(where);
        faulty.write(encode_frame("valid") + header);
        CHECK(faulty.is_closed_by_peer());
        auto const got = server.received.pop_until(now() + wait_timeout);
        REQUIRE(got.has_value());
        CHECK(got->bytes == "valid");
        CHECK_FALSE(server.server->send(got->peer, "answer"));
    }
    auto const client = open_client(where);
    CHECK(deliver(*client, server, "after").has_value());
}

TEST_CASE("a client finds its server again after the server restarts at once") {
    endpoint const where = free_address();
    auto server = std::make_unique<recording_server>(where);
    auto const client = open_client(where);
    for (int restart = 0; restart < 5; ++restart) {
        CHECK(deliver(*client, *server, "message " + std::to_string(restart)).has_value());
        server.reset();
        (void)client->send("lost or queued");
        server = std::make_unique<recording_server>(where);
    }
    CHECK(deliver(*client, *server, "last").has_value());
}

TEST_CASE("a reconnected client is a new peer with another source port, and the old one is gone") {
    plain_listener listener;
    auto const client = open_client(listener.address());
    auto first = listener.accept();
    client->reconnect();
    auto const second = listener.accept();
    CHECK(first.remote_endpoint().port() != second.remote_endpoint().port());
    std::array<char, 1> byte{};
    asio::error_code error;
    (void)first.read_some(asio::buffer(byte), error);
    CHECK(error == asio::error::eof);

    endpoint const where = free_address();
    recording_server server(where);
    auto const other = open_client(where);
    auto const before = deliver(*other, server, "before");
    other->reconnect();
    other->reconnect();
    auto const after = deliver(*other, server, "after");
    REQUIRE(before.has_value());
    REQUIRE(after.has_value());
    CHECK(before->peer != after->peer);
}

TEST_CASE("a server that never reads fills a bounded queue, and the client closes at once") {
    plain_listener listener;
    auto client = open_client(listener.address());
    auto const connection = listener.accept();
    std::string const message(std::size_t{1} << 20U, 'x');
    std::size_t accepted = 0;
    while (accepted <= max_queued_messages && client->send(message))
        ++accepted;
    CHECK(accepted <= max_queued_messages);
    time_point const before = now();
    client.reset();
    CHECK(now() - before < close_timeout);
}

TEST_CASE("a client that never reads does not hold up the others, and the server closes at once") {
    endpoint const where = free_address();
    recording_server server(where);
    plain_client silent(where);
    silent.write(encode_frame("silent"));
    auto const got = server.received.pop_until(now() + wait_timeout);
    REQUIRE(got.has_value());
    std::string const message(std::size_t{64} << 10U, 'x');
    std::size_t accepted = 0;
    while (accepted < 10 * max_queued_messages && server.server->send(got->peer, message))
        ++accepted;
    CHECK(accepted < 10 * max_queued_messages);
    ring<std::string> answers(16);
    auto const client = open_client(where, &answers);
    auto const request = deliver(*client, server, "request");
    REQUIRE(request.has_value());
    CHECK(server.server->send(request->peer, "answer"));
    CHECK(answers.pop_until(now() + wait_timeout).has_value());
    time_point const before = now();
    server.server.reset();
    CHECK(now() - before < close_timeout);
}

TEST_CASE("a server without a free descriptor waits, and accepts once it has one") {
    endpoint const where = free_address();
    recording_server server(where);
    rlimit usual{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
    plain_client client;
    int const free_descriptor = ::dup(STDIN_FILENO);
    REQUIRE(free_descriptor >= 0);
    ::close(free_descriptor);
    rlimit const lowered{static_cast<rlim_t>(free_descriptor), usual.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    client.connect(where);
    client.write(encode_frame("waiting"));
    std::clock_t const before = std::clock();
    CHECK_FALSE(server.received.pop_until(now() + std::chrono::seconds{1}).has_value());
    CHECK(std::clock() - before < CLOCKS_PER_SEC / 10); // processor time
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &usual) == 0);
    auto const got = server.received.pop_until(now() + wait_timeout);
    REQUIRE(got.has_value());
    CHECK(got->bytes == "waiting");
}

TEST_CASE("clients close at once while a listener that never accepts goes away") {
    for (int round = 0; round < 50; ++round) {
        plain_listener listener;
        auto replaced = open_client(listener.address());
        auto closed = open_client(listener.address());
        (void)closed->send("unread");
        duty closer("closer", [&] { listener.close(); });
        time_point const before = now();
        replaced->reconnect();
        (void)replaced->send("unread");
        closed.reset();
        replaced.reset();
        CHECK(now() - before < close_timeout);
    }
}

TEST_CASE("senders on several duties keep their messages whole while the link is replaced") {
    endpoint const where = free_address();
    recording_server server(where);
    auto const client = open_client(where);
    std::atomic<bool> stop{false};
    std::vector<std::unique_ptr<duty>> senders;
    for (char const letter : {'a', 'b', 'c'})
        senders.push_back(std::make_unique<duty>("sender", [&, letter] {
            while (!stop)
                (void)client->send(std::string(10000, letter));
        }));
    for (int i = 0; i < 200; ++i) {
        auto const got = server.received.pop_until(now() + wait_timeout);
        REQUIRE(got.has_value());
        CHECK(got->bytes == std::string(10000, got->bytes.front()));
        (void)server.server->send(got->peer, got->bytes);
        if (i % 20 == 0)
            client->reconnect();
    }
    stop = true;
    for (auto const& sender : senders)
        sender->join();
}

} // namespace toucanusher::tests
