// Decisions of an agent about the flows of its upstream: which packets are delivered here, which
// flows open here, and where all other packets are relayed.
//
// No flow may have two holders. To ensure this, the owner of a bucket opens a flow only after every
// predecessor in the chain of the bucket answered that it does not hold the flow. Before that
// answer, a predecessor raises its fence for the bucket: from then on it opens no flow of the
// bucket under an ownership that began before the one in the query.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/flow_action.h"
#include "toucanusher/connection/flow_replicator.h"
#include "toucanusher/connection/flow_table.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

struct flow_holder_options {
    upstream_ref self;
    std::string service;
    endpoint self_agent;
    std::uint64_t process_instance = 0; // of this agent; higher for later processes
    flow_table_options table;
    replicator_options replication;
    std::uint8_t max_hops = 4;
    std::size_t max_pending_flows = 4096;
    std::size_t max_packets_per_pending = 8;
    std::size_t max_redirects = 65536;
    duration retry_interval = std::chrono::milliseconds{50};
    duration pending_timeout = std::chrono::seconds{2};
    // A draining upstream still opens flows for this long, while newer steering tables spread.
    duration drain_grace = std::chrono::seconds{2};
    duration release_interval = std::chrono::seconds{10};
    duration request_idle_time = std::chrono::seconds{60}; // for services of kind request
    std::uint32_t idle_scan_budget = 4096;                 // slots scanned per tick
};

// Fault injection: each switch disables one rule. Only tests set them, to show that their checks
// detect the violation.
struct flow_faults {
    bool skip_fence = false;
    bool skip_predecessors = false;
    bool accept_stale_incarnation = false;
    bool accept_wrong_service = false;
    bool ignore_drain = false;
    bool release_with_flows = false;
    bool skip_recovery = false;
    bool open_without_ownership = false;
};

class flow_holder {
  public:
    flow_holder(flow_holder_options options, flow_hash hash, flow_faults faults = {});

    // Applies a newer state; older ones are ignored. Must be called for each version that arrives.
    flow_actions apply_state(time_point now, std::shared_ptr<fleet_state const> state);
    // Starts to collect the flows of a running upstream from the replicas. No flow opens until this
    // is done.
    void start_recovery();
    // Starts to drain: after drain_grace no flow opens. Open flows continue.
    void drain(time_point now);

    flow_actions on_packet(time_point now, flow_packet packet);
    flow_actions on_query(time_point now, flow_query query);
    flow_actions on_answer(time_point now, flow_answer const& answer);
    flow_actions on_replication_ack(time_point now, replication_ack const& ack);
    // Another holder recovers its flows, so its agent restarted and lost the replicas it stored.
    flow_actions on_recovery_request(time_point now, recovery_request const& request);
    flow_actions on_recovery_page(time_point now, recovery_page const& page);
    // Handles a packet that the upstream sent to the source address of `slot`.
    flow_actions on_upstream_packet(time_point now, std::uint32_t slot, std::string payload);
    // Sends a payload to the caller of a flow, through `fallback` if the flow is not held here.
    flow_actions reply(time_point now, flow_key const& flow, endpoint fallback,
                       std::string payload);
    flow_actions on_tick(time_point now);
    // Closes a flow that no longer needs this holder; its next packet goes to the bucket owner.
    void close_flow(time_point now, flow_key const& flow);

    [[nodiscard]] std::size_t flow_count() const { return table_.size(); }
    [[nodiscard]] bool holds(flow_key const& flow) const;
    [[nodiscard]] bool recovering() const { return recovering_; }
    [[nodiscard]] bool draining() const { return draining_since_.has_value(); }
    // Returns true once a state lists this incarnation as a member.
    [[nodiscard]] bool is_member() const { return service_.has_value(); }
    [[nodiscard]] flow_table const& table() const { return table_; }
    // Returns the number of buckets that this upstream owns in the newest state.
    [[nodiscard]] std::size_t owned_buckets() const;

  private:
    struct pending_flow {
        version_number epoch{};
        std::vector<upstream_ref> unanswered; // predecessors that have not answered; never empty
        std::vector<flow_packet> packets;     // at most max_packets_per_pending; never empty
        time_point started_at{};
        time_point queried_at{};
    };
    struct unconfirmed_flow {
        std::vector<std::string> payloads;
    };

    [[nodiscard]] flow_refusal check_target(upstream_ref target, flow_key const& flow) const;
    [[nodiscard]] flow_refusal check_open(time_point now, bucket_number bucket) const;
    [[nodiscard]] bucket_number bucket_of(flow_key const& flow) const;
    [[nodiscard]] steering_table const* steering() const;
    [[nodiscard]] bool owns(bucket_number bucket) const;
    [[nodiscard]] endpoint live_balancer(flow_key const& flow, endpoint preferred) const;
    void drop(flow_refusal reason, flow_actions& actions) const;
    void refuse(flow_packet const& packet, flow_refusal reason, flow_actions& actions) const;
    bool deliver_if_held(time_point now, flow_packet& packet, flow_actions& actions);
    void open_or_query(time_point now, flow_packet packet, flow_actions& actions);
    void open(time_point now, bucket_number bucket, std::vector<flow_packet> packets,
              flow_actions& actions);
    void relay(flow_packet packet, flow_actions& actions) const;
    void send_query(upstream_ref predecessor, flow_packet const& packet, version_number epoch,
                    flow_actions& actions) const;
    void add_pending(time_point now, flow_packet packet, flow_actions& actions);
    void on_predecessor_cleared(time_point now, flow_key const& flow, upstream_ref predecessor,
                                flow_actions& actions);
    void add_redirect(flow_key const& flow, upstream_ref holder, flow_actions& actions);
    void review_pending(time_point now, flow_actions& actions);
    void retry_pending(time_point now, flow_actions& actions);
    void deliver_confirmed(time_point now, std::vector<std::uint32_t> const& slots,
                           flow_actions& actions);
    void close_idle(time_point now, flow_actions& actions);
    void report_empty_buckets(time_point now, flow_actions& actions);
    void continue_recovery(time_point now, flow_actions& actions);
    [[nodiscard]] std::vector<bucket_number> empty_predecessor_buckets() const;

    flow_holder_options options_;
    flow_hash hash_;
    flow_faults faults_;
    std::shared_ptr<fleet_state const> state_; // its version never decreases
    std::optional<service_id> service_;        // set while this incarnation is a member
    flow_table table_;
    flow_replicator replicator_;
    std::vector<version_number> fences_; // by bucket; never decreases
    std::map<flow_key, pending_flow> pending_;
    // By slot; open, but not confirmed by all replicas.
    std::map<std::uint32_t, unconfirmed_flow> unconfirmed_;
    absl::flat_hash_map<flow_key, upstream_ref> redirects_; // flows held by a predecessor
    std::optional<time_point> draining_since_;
    std::optional<time_point> last_release_;
    bool recovering_ = false;
    struct recovery_progress {
        std::uint32_t after_slot = 0;
        time_point requested_at{};
        bool done = false;
    };
    std::map<upstream_ref, recovery_progress> recovery_; // by replica
};

} // namespace toucanusher
