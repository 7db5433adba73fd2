// Replicas of flow entries that this agent keeps for holders on other agents, so that an agent that
// crashed while its upstream kept running can recover its flows.
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

    // `process_instance` differs between two processes of this agent.
    explicit flow_replica_store(std::uint64_t process_instance)
        : process_instance_(process_instance) {}

    // Stores a batch. Returns nothing if it is from an earlier process of the holder's agent.
    std::optional<replication_ack> store(replication_batch const& request);
    // Returns one page of the entries. Batches from earlier processes of the holder's agent are
    // ignored from now on.
    recovery_page page(recovery_request const& request);
    // Drops the entries of holders that the fleet state no longer contains.
    void apply_state(fleet_state const& state);
    [[nodiscard]] std::size_t size() const;

  private:
    std::uint64_t process_instance_;
    struct holder_flows {
        std::uint64_t holder_process = 0;        // of the holder's agent, the newest seen
        std::map<std::uint32_t, flow_key> slots; // by slot
    };

    std::map<upstream_ref, holder_flows> holders_;
};

} // namespace toucanusher
