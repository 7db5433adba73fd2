// Message links between processes, carried as frames over TCP. A server talks to many clients; a
// client has one connection, which it dials again after a loss and can replace. Messages can be
// lost on both sides, so callers that need delivery must resend.
//
// No function waits for the network. A message is refused if it is empty, longer than
// max_link_message_bytes, or if the queue of its connection is full.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <asio.hpp>

#include "src/process/io/link_connection.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

// Identifies a client's connection at the server. Never reused while the server runs.
enum class link_peer : std::uint32_t {};

class link_server {
  public:
    // Called on the receive duty.
    using receive_hook = std::function<void(link_peer, std::string)>;

    // Returns Unavailable if the address cannot be used.
    static absl::StatusOr<std::unique_ptr<link_server>> open(endpoint listen,
                                                             receive_hook on_receive);
    ~link_server();
    link_server(link_server const&) = delete;
    link_server& operator=(link_server const&) = delete;

    // Returns false if the message was dropped because the peer is disconnected or its queue is
    // full.
    bool send(link_peer peer, std::string const& bytes);
    // Waits for a running receive hook, so it must not be called by one.
    void close();

  private:
    explicit link_server(receive_hook on_receive);
    absl::Status listen(endpoint where);
    void accept();
    void on_accepted(asio::error_code error, asio::ip::tcp::socket socket);
    void remove(link_peer peer);

    receive_hook on_receive_;
    std::vector<char> read_buffer_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_;
    std::mutex mutex_;
    std::map<link_peer, std::shared_ptr<link_connection>> connections_; // guarded by mutex_
    std::uint32_t last_peer_ = 0; // used by the receive duty only
    std::unique_ptr<duty> receiver_;
};

class link_client {
  public:
    // Called on the receive duty.
    using receive_hook = std::function<void(std::string)>;

    static absl::StatusOr<std::unique_ptr<link_client>> open(endpoint server,
                                                             receive_hook on_receive);
    ~link_client();
    link_client(link_client const&) = delete;
    link_client& operator=(link_client const&) = delete;

    // Messages are queued while the client is not connected. Returns false if the message was
    // dropped because the queue is full or the client is closed.
    bool send(std::string const& bytes);
    // Drops the queued messages, closes the connection and dials again from a new source port.
    void reconnect();
    // Waits for a running receive hook, so it must not be called by one.
    void close();

  private:
    link_client(endpoint server, receive_hook on_receive);
    std::shared_ptr<link_connection> make_connection(link_send_queue unsent);
    void dial();
    void on_dialled(std::shared_ptr<link_connection> const& dialled, asio::error_code error);
    void on_lost();
    void dial_later();
    void replace_dialled();

    endpoint server_;
    receive_hook on_receive_;
    std::vector<char> read_buffer_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    asio::steady_timer timer_; // of the next dial, or of the end of a dial
    std::chrono::milliseconds dial_delay_;
    std::mutex mutex_;
    bool closed_ = false;                         // guarded by mutex_
    std::shared_ptr<link_connection> connection_; // guarded by mutex_
    // The connection that is dialled or open; used by the receive duty only.
    std::shared_ptr<link_connection> dialled_;
    bool dialling_ = false; // dialled_ is not connected yet; used by the receive duty only
    std::unique_ptr<duty> receiver_;
};

} // namespace toucanusher
