// Sealed datagrams between balancers and agents: receives at a fixed address, sends from a port of
// its own that is replaced when a path stops delivering. Called by the owner's decide duty only.
#pragma once

#include <functional>
#include <memory>

#include "programs/process_context.h"
#include "src/process/io/udp_port.h"
#include "src/request/request_codec.h"
#include "toucanusher/connection/path_monitor.h"

namespace toucanusher {

class agent_channel {
  public:
    // Called on the receive duty with every message that the fleet has sealed.
    using message_hook = std::function<void(agent_message)>;

    // `layer` labels the refusal counters; `self` is the address that peers send to. Returns an
    // error if a port cannot be opened.
    static absl::StatusOr<std::unique_ptr<agent_channel>> open(process_context& context,
                                                               udp_duties& duties,
                                                               std::string layer, endpoint self,
                                                               message_hook on_message);

    void send(time_point now, endpoint to, agent_message const& message);
    // Records that a message from the process that receives at `peer` has arrived.
    void record_contact(time_point now, endpoint peer) { paths_.on_received(now, peer); }
    // Answers a probe, or records the answer to one.
    void on_probe(time_point now, path_probe const& probe);
    void on_tick(time_point now);

  private:
    agent_channel(process_context& context, udp_duties& duties, std::string layer, endpoint self,
                  message_hook on_message);
    void on_datagram(datagram const& received);
    void send_sealed(endpoint to, agent_message const& message);
    absl::Status open_sender();

    process_context& context_;
    udp_duties& duties_;
    std::string layer_;
    endpoint self_;
    message_hook on_message_;
    path_monitor paths_;
    std::uint64_t next_token_ = 1;
    std::unique_ptr<udp_port> receiver_;
    std::unique_ptr<udp_port> sender_;
};

} // namespace toucanusher
