#include "src/process/io/link.h"

#include <nng/protocol/pair1/pair.h>
#include <nng/supplemental/util/platform.h>

#include <cstring>
#include <optional>

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

constexpr int buffered_messages = 256;
constexpr std::size_t max_message_bytes = 64U << 20U; // must hold a whole snapshot
constexpr nng_duration min_reconnect_delay_ms = 20;
constexpr nng_duration receive_error_delay_ms = 20; // avoids a busy loop on a persistent error
constexpr nng_duration max_reconnect_delay_ms =
    100; // bounds the reconnect time after all hosts restart

std::string url_of(endpoint const& where) {
    return absl::StrCat("tcp://", to_string(where));
}

absl::Status nng_error(std::string const& what, int error) {
    return absl::UnavailableError(absl::StrCat(what, ": ", nng_strerror(error)));
}

void set_socket_options(nng_socket socket) {
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, buffered_messages);
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, buffered_messages);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_message_bytes);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, min_reconnect_delay_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, max_reconnect_delay_ms);
}

// Does not block: the message is dropped if the send buffer is full.
bool send_bytes(nng_socket socket, std::optional<link_peer> peer, std::string const& bytes) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, bytes.size()) != 0)
        return false;
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    if (peer) {
        nng_pipe pipe = NNG_PIPE_INITIALIZER;
        pipe.id = static_cast<std::uint32_t>(*peer);
        nng_msg_set_pipe(message, pipe);
    }
    if (nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) == 0)
        return true;
    nng_msg_free(message);
    return false;
}

std::string take_body(nng_msg* message) {
    std::string bytes(static_cast<char const*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    return bytes;
}

} // namespace

absl::StatusOr<std::unique_ptr<link_server>> link_server::open(endpoint listen,
                                                               receive_hook on_receive) {
    std::unique_ptr<link_server> server(new link_server(std::move(on_receive)));
    if (int const error = nng_pair1_open_poly(&server->socket_); error != 0)
        return nng_error("cannot open a link", error);
    set_socket_options(server->socket_);
    if (int const error = nng_listen(server->socket_, url_of(listen).c_str(), nullptr, 0);
        error != 0)
        return nng_error(absl::StrCat("cannot listen on ", to_string(listen)), error);
    link_server* const raw = server.get();
    server->receiver_ = std::make_unique<duty>("link-rx", [raw] { raw->receive_loop(); });
    return server;
}

link_server::~link_server() {
    close();
}

bool link_server::send(link_peer peer, std::string const& bytes) {
    return send_bytes(socket_, peer, bytes);
}

void link_server::close() {
    nng_close(socket_);
    if (receiver_)
        receiver_->join();
}

void link_server::receive_loop() {
    for (;;) {
        nng_msg* message = nullptr;
        int const error = nng_recvmsg(socket_, &message, 0);
        if (error == NNG_ECLOSED)
            return;
        if (error != 0) {
            nng_msleep(receive_error_delay_ms);
            continue;
        }
        auto const pipe = nng_msg_get_pipe(message);
        on_receive_(link_peer{pipe.id}, take_body(message));
    }
}

absl::StatusOr<std::unique_ptr<link_client>> link_client::open(endpoint server,
                                                               receive_hook on_receive) {
    std::unique_ptr<link_client> client(new link_client(server, std::move(on_receive)));
    if (auto const status = client->dial(); !status.ok())
        return status;
    link_client* const raw = client.get();
    client->receiver_ = std::make_unique<duty>("link-rx", [raw] { raw->receive_loop(); });
    return client;
}

link_client::~link_client() {
    close();
}

bool link_client::send(std::string const& bytes) {
    return send_bytes(current_socket(), std::nullopt, bytes);
}

void link_client::reconnect() {
    nng_socket const old = current_socket();
    std::lock_guard const lock(mutex_);
    if (closing_)
        return;
    nng_close(old);
    if (!dial().ok())
        closing_ = true;
}

void link_client::close() {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    {
        std::lock_guard const lock(mutex_);
        closing_ = true;
        socket = socket_;
    }
    nng_close(socket);
    if (receiver_)
        receiver_->join();
}

absl::Status link_client::dial() {
    if (int const error = nng_pair1_open(&socket_); error != 0)
        return nng_error("cannot open a link", error);
    set_socket_options(socket_);
    if (int const error = nng_dial(socket_, url_of(server_).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        error != 0)
        return nng_error(absl::StrCat("cannot dial ", to_string(server_)), error);
    return absl::OkStatus();
}

void link_client::receive_loop() {
    for (;;) {
        nng_msg* message = nullptr;
        int const error = nng_recvmsg(current_socket(), &message, 0);
        if (error == 0) {
            on_receive_(take_body(message));
            continue;
        }
        {
            std::lock_guard const lock(mutex_);
            if (closing_)
                return;
        }
        // reconnect() closes the old socket; any other error may persist.
        if (error != NNG_ECLOSED)
            nng_msleep(receive_error_delay_ms);
    }
}

nng_socket link_client::current_socket() const {
    std::lock_guard const lock(mutex_);
    return socket_;
}

} // namespace toucanusher
