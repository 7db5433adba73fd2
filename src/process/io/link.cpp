#include "src/process/io/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr int one_duty = 1; // concurrency hint of an io_context that one duty runs
constexpr std::chrono::milliseconds min_dial_delay{20};
constexpr std::chrono::milliseconds max_dial_delay{100}; // bounds the time after all hosts restart
// A lost packet of the handshake is repeated by the system after one second.
constexpr std::chrono::milliseconds dial_timeout{2500};
// Delay after a failed accept, for example because the process has no descriptor left.
constexpr std::chrono::milliseconds accept_retry_delay{100};

// A connection is lost if it was idle for the delay and the probes stay unanswered.
constexpr int probe_delay_seconds = 30;
constexpr int probe_interval_seconds = 10;
constexpr int probes = 3;

asio::ip::tcp::endpoint to_asio(endpoint const& value) {
    return {asio::ip::address_v4(value.address), value.port};
}

// Closes connections to hosts that are gone, which frees their descriptors.
void detect_lost_peer(asio::ip::tcp::socket& socket) {
    asio::error_code ignored; // without probes, the descriptors are only freed later
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPIDLE, &probe_delay_seconds,
                 sizeof probe_delay_seconds);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_seconds,
                 sizeof probe_interval_seconds);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

// A dial to a local port on which nothing listens can connect to itself.
bool is_connected_to_itself(asio::ip::tcp::socket const& socket) {
    asio::error_code local_error;
    asio::error_code remote_error;
    auto const local = socket.local_endpoint(local_error);
    auto const remote = socket.remote_endpoint(remote_error);
    return !local_error && !remote_error && local == remote;
}

} // namespace

absl::StatusOr<std::unique_ptr<link_server>> link_server::open(endpoint listen,
                                                               receive_hook on_receive) {
    std::unique_ptr<link_server> server(new link_server(std::move(on_receive)));
    if (auto const status = server->listen(listen); !status.ok())
        return status;
    server->accept();
    server->receiver_ = std::make_unique<duty>("link-rx", [raw = server.get()] { raw->io_.run(); });
    return server;
}

link_server::link_server(receive_hook on_receive)
    : on_receive_(std::move(on_receive)), read_buffer_(read_buffer_bytes), io_(one_duty),
      acceptor_(io_), accept_retry_(io_) {}

link_server::~link_server() {
    close();
}

absl::Status link_server::listen(endpoint where) {
    asio::error_code error;
    acceptor_.open(asio::ip::tcp::v4(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(to_asio(where), error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", to_string(where), ": ", error.message()));
    return absl::OkStatus();
}

void link_server::accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        on_accepted(error, std::move(socket));
    });
}

void link_server::on_accepted(asio::error_code error, asio::ip::tcp::socket socket) {
    if (error) {
        accept_retry_.expires_after(accept_retry_delay);
        accept_retry_.async_wait([this](asio::error_code cancelled) {
            if (!cancelled)
                accept();
        });
        return;
    }
    detect_lost_peer(socket);
    link_peer const peer{++last_peer_};
    auto connection = std::make_shared<link_connection>(
        std::move(socket), read_buffer_,
        link_connection::hooks{
            [this, peer](std::string bytes) { on_receive_(peer, std::move(bytes)); },
            [this, peer] { remove(peer); }});
    {
        std::lock_guard const lock(mutex_);
        connections_.emplace(peer, connection);
    }
    connection->start();
    accept();
}

void link_server::remove(link_peer peer) {
    std::shared_ptr<link_connection> connection;
    {
        std::lock_guard const lock(mutex_);
        if (auto removed = connections_.extract(peer))
            connection = std::move(removed.mapped());
    }
    if (connection)
        connection->close();
}

bool link_server::send(link_peer peer, std::string const& bytes) {
    std::shared_ptr<link_connection> connection;
    {
        std::lock_guard const lock(mutex_);
        if (auto const found = connections_.find(peer); found != connections_.end())
            connection = found->second;
    }
    return connection && connection->send(bytes);
}

void link_server::close() {
    io_.stop();
    if (receiver_)
        receiver_->join();
    asio::error_code ignored; // the descriptor is released in any case
    acceptor_.close(ignored);
    std::lock_guard const lock(mutex_);
    for (auto const& [peer, connection] : connections_)
        connection->close();
    connections_.clear();
}

absl::StatusOr<std::unique_ptr<link_client>> link_client::open(endpoint server,
                                                               receive_hook on_receive) {
    std::unique_ptr<link_client> client(new link_client(server, std::move(on_receive)));
    asio::post(client->io_, [raw = client.get()] { raw->dial(); });
    client->receiver_ = std::make_unique<duty>("link-rx", [raw = client.get()] { raw->io_.run(); });
    return client;
}

link_client::link_client(endpoint server, receive_hook on_receive)
    : server_(server), on_receive_(std::move(on_receive)), read_buffer_(read_buffer_bytes),
      io_(one_duty), work_guard_(asio::make_work_guard(io_)), timer_(io_),
      dial_delay_(min_dial_delay), connection_(make_connection({})) {}

link_client::~link_client() {
    close();
}

std::shared_ptr<link_connection> link_client::make_connection(link_send_queue unsent) {
    return std::make_shared<link_connection>(
        asio::ip::tcp::socket(io_), read_buffer_,
        link_connection::hooks{[this](std::string bytes) { on_receive_(std::move(bytes)); },
                               [this] { on_lost(); }},
        std::move(unsent));
}

bool link_client::send(std::string const& bytes) {
    std::lock_guard const lock(mutex_);
    return connection_->send(bytes);
}

void link_client::reconnect() {
    {
        std::lock_guard const lock(mutex_);
        if (closed_)
            return;
        connection_ = make_connection({});
    }
    asio::post(io_, [this] { replace_dialled(); });
}

void link_client::replace_dialled() {
    auto const old = dialled_;
    {
        std::lock_guard const lock(mutex_);
        if (old == connection_)
            return;
    }
    // Dialling before the old socket is closed gives the new one another source port.
    dial();
    if (old)
        old->close();
}

void link_client::close() {
    io_.stop();
    if (receiver_)
        receiver_->join();
    std::lock_guard const lock(mutex_);
    closed_ = true;
    connection_->close();
    if (dialled_)
        dialled_->close();
}

void link_client::dial() {
    {
        std::lock_guard const lock(mutex_);
        dialled_ = connection_;
    }
    dialling_ = true;
    timer_.expires_after(dial_timeout);
    timer_.async_wait([this, dialled = dialled_](asio::error_code cancelled) {
        if (!cancelled && dialling_ && dialled == dialled_)
            on_lost();
    });
    dialled_->socket().async_connect(
        to_asio(server_),
        [this, dialled = dialled_](asio::error_code error) { on_dialled(dialled, error); });
}

void link_client::on_dialled(std::shared_ptr<link_connection> const& dialled,
                             asio::error_code error) {
    if (dialled != dialled_) // replaced
        return;
    if (error || is_connected_to_itself(dialled->socket())) {
        on_lost();
        return;
    }
    dialling_ = false;
    timer_.cancel();
    dial_delay_ = min_dial_delay;
    dialled->start();
}

void link_client::on_lost() {
    auto const lost = std::exchange(dialled_, nullptr);
    if (!lost)
        return;
    {
        std::lock_guard const lock(mutex_);
        // After a call of reconnect(), the new connection does not take over the queue.
        if (connection_ == lost)
            connection_ = make_connection(lost->take_unsent());
    }
    lost->close();
    dial_later();
}

void link_client::dial_later() {
    timer_.expires_after(dial_delay_);
    dial_delay_ = std::min(2 * dial_delay_, max_dial_delay);
    timer_.async_wait([this](asio::error_code cancelled) {
        if (!cancelled && !dialled_)
            dial();
    });
}

} // namespace toucanusher
