// Replicates the flow entries of one holder: chooses the agents that keep replicas, tracks their
// acknowledgements, and sends all entries again to a replica that is new or has restarted.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "toucanusher/connection/flow_action.h"
#include "toucanusher/connection/flow_table.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

struct replicator_options {
    std::uint32_t replicas = 2;
    duration resend_interval = std::chrono::milliseconds{50};
    // After this, a flow opens unconfirmed.
    duration confirm_timeout = std::chrono::milliseconds{300};
    // Idle time after which an empty batch checks whether the replica restarted.
    duration check_interval = std::chrono::seconds{2};
    std::size_t max_batch = 40;              // flows in one datagram
    std::size_t max_unconfirmed_batches = 4; // per replica, while it catches up
};

class flow_replicator {
  public:
    // `process_instance` is higher for later processes of this agent.
    flow_replicator(replicator_options options, upstream_ref self, endpoint self_agent,
                    std::uint64_t process_instance);

    // Chooses replicas among the live upstreams of the service.
    void apply_state(time_point now, fleet_state const& state, service_id service,
                     flow_table& table);
    // Starts to replicate a new flow. Returns true if no replica needs to confirm it.
    bool on_opened(time_point now, flow_copy const& copy, flow_actions& actions);
    void on_closed(std::uint32_t slot);
    // Sends all entries again to a replica whose agent restarted and lost them.
    void on_replica_restarted(upstream_ref replica, flow_table& table);
    void on_replication_ack(time_point now, replication_ack const& ack, flow_table& table);
    // Sends due batches. Returns the slots that are newly confirmed or whose confirmation timed
    // out.
    std::vector<std::uint32_t> on_tick(time_point now, flow_actions& actions);
    std::vector<std::uint32_t> take_confirmed();

    [[nodiscard]] std::size_t replica_count() const { return replicas_.size(); }
    [[nodiscard]] std::uint64_t confirm_timeouts() const { return confirm_timeouts_; }

  private:
    struct batch {
        time_point sent_at{};
        std::vector<flow_copy> opened;
        std::vector<std::uint32_t> closed;
    };
    struct replica {
        endpoint agent;
        std::optional<std::uint64_t> process_instance; // unknown until the first acknowledgement
        std::deque<flow_copy> to_open;
        std::deque<std::uint32_t> to_close;
        std::map<std::uint64_t, batch> unconfirmed; // by batch number
        time_point last_sent{};
    };
    struct unconfirmed_slot {
        std::set<upstream_ref> unconfirmed_by; // replicas that have not confirmed
        time_point started_at{};
    };

    void resync(replica& peer, flow_table& table);
    void confirm(upstream_ref replica, std::vector<flow_copy> const& copies);
    void send_batch(time_point now, upstream_ref ref, replica& peer, flow_actions& actions);
    void send(upstream_ref ref, replica const& peer, std::uint64_t batch_number,
              batch const& content, flow_actions& actions) const;

    replicator_options options_;
    upstream_ref self_;
    endpoint self_agent_;
    std::uint64_t process_instance_;
    std::map<upstream_ref, replica> replicas_; // at most options_.replicas
    std::map<std::uint32_t, unconfirmed_slot> unconfirmed_slots_;
    std::vector<std::uint32_t> confirmed_;
    std::uint64_t next_batch_ = 1;
    std::uint64_t confirm_timeouts_ = 0;
};

} // namespace toucanusher
