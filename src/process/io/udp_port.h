// A UDP socket whose datagrams are received and sent on shared duties.
//
// To change the source port after a path stops delivering, replace the port by a newly opened one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>
#include <asio.hpp>

#include "src/process/io/udp_duties.h"
#include "toucanusher/process/endpoint.h"

namespace toucanusher {

struct datagram {
    endpoint peer;  // source of a received datagram, destination of a sent one
    endpoint local; // the address at this end; empty: the address of the socket
    std::string bytes;
};

struct udp_port_options {
    endpoint bind;                  // port 0 binds any free port
    bool any_local_address = false; // receives at every local address, sends from any
    int socket_buffer_bytes = 4 << 20;
};

class udp_port {
  public:
    // Called on the receive duty.
    using receive_hook = std::function<void(datagram)>;

    // `duties` must outlive the port.
    static absl::StatusOr<std::unique_ptr<udp_port>>
    open(udp_duties& duties, udp_port_options options, receive_hook on_receive);
    ~udp_port();
    udp_port(udp_port const&) = delete;
    udp_port& operator=(udp_port const&) = delete;

    // Returns false if the send queue of this port is full; the datagram is then dropped.
    [[nodiscard]] bool send(datagram message);
    [[nodiscard]] endpoint local() const { return local_; }

  private:
    struct state; // shared with queued jobs, which may outlive the port

    udp_port(udp_duties& duties, std::shared_ptr<state> shared, endpoint local)
        : duties_(duties), state_(std::move(shared)), local_(local), lane_(duties.allocate_lane()) {
    }

    udp_duties& duties_;
    std::shared_ptr<state> state_;
    endpoint local_;
    std::uint32_t lane_;
};

} // namespace toucanusher
