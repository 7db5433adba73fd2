// Flows that this agent remembers for the homes of other agents, so that an agent that crashed
// beside a living upstream can collect its flows again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

class flow_replica_store {
  public:
    static constexpr std::size_t flows_per_page = 40; // fits a datagram

    // `process` tells two lives of this agent apart.
    explicit flow_replica_store(std::uint64_t process_instance)
        : process_instance_(process_instance) {}

    // Nothing if the request comes late, from an earlier process of the home's agent.
    std::optional<replication_ack> store(replication_batch const& request);
    // From now on what earlier processes of the home's agent sent is ignored.
    recovery_page page(recovery_request const& request);
    // Forgets homes that are gone.
    void apply_state(fleet_state const& state);
    [[nodiscard]] std::size_t size() const;

  private:
    std::uint64_t process_instance_;
    struct holder_flows {
        std::uint64_t holder_process = 0;        // of the home's agent, the newest seen
        std::map<std::uint32_t, flow_key> slots; // slot -> flow
    };

    std::map<upstream_ref, holder_flows> holders_;
};

} // namespace toucanusher
