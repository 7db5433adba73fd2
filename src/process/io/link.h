// Message links between processes over TCP, using nng's pair protocol (pair1). A server talks to
// many clients; a client has one connection, which it can replace. Messages can be lost on both
// sides, so callers that need delivery must resend.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nng/nng.h>

#include "toucanusher/process/duty.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

// Identifies a client's connection at the server. Never reused while the server runs.
enum class link_peer : std::uint32_t {};

class link_server {
  public:
    // Called on the receive duty.
    using receive_hook = std::function<void(link_peer, std::string)>;

    static absl::StatusOr<std::unique_ptr<link_server>> open(endpoint listen,
                                                             receive_hook on_receive);
    ~link_server();
    link_server(link_server const&) = delete;
    link_server& operator=(link_server const&) = delete;

    // Returns false if the message was dropped because the peer is disconnected or its buffer is
    // full.
    bool send(link_peer peer, std::string const& bytes);
    void close();

  private:
    explicit link_server(receive_hook on_receive) : on_receive_(std::move(on_receive)) {}
    void receive_loop();

    receive_hook on_receive_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::unique_ptr<duty> receiver_;
};

class link_client {
  public:
    using receive_hook = std::function<void(std::string)>;

    static absl::StatusOr<std::unique_ptr<link_client>> open(endpoint server,
                                                             receive_hook on_receive);
    ~link_client();
    link_client(link_client const&) = delete;
    link_client& operator=(link_client const&) = delete;

    bool send(std::string const& bytes);
    // Closes the connection and dials again from a new source port.
    void reconnect();
    void close();

  private:
    link_client(endpoint server, receive_hook on_receive)
        : server_(server), on_receive_(std::move(on_receive)) {}
    absl::Status dial();
    void receive_loop();
    [[nodiscard]] nng_socket current_socket() const;

    endpoint server_;
    receive_hook on_receive_;
    mutable std::mutex mutex_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER; // guarded by mutex_
    bool closing_ = false;                       // guarded by mutex_
    std::unique_ptr<duty> receiver_;
};

} // namespace toucanusher
