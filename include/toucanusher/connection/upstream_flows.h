// Decisions of an agent that forwards the flows of one upstream without terminating them: which new
// flows the upstream opens, which packets belong to its flows, and when a flow has certainly ended.
//
// The upstream is authoritative: it returns packets of flows that it does not hold. The agent
// builds its flow table from the packets that pass, and probes the upstream where the table may be
// incomplete, that is after the agent restarted while its upstream kept running.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/forwarded_message.h"
#include "toucanusher/connection/upstream_incarnation.h"

namespace toucanusher {

struct upstream_flows_options {
    std::string service;
    endpoint self; // address on which balancers reach this agent
    // An upstream on the same host answers an opening packet within a millisecond unless it has
    // crashed or is stalled; the flow is then offered to other agents.
    duration open_timeout = std::chrono::milliseconds{30};
    // Longest lifetime of a flow at the upstream. Once the agent has run for this long, its table
    // is complete.
    duration flow_lifetime = std::chrono::seconds{60};
    duration idle_lifetime = std::chrono::seconds{75}; // above the longest idle timeout
    // Long enough for retransmissions of the last packets.
    duration closed_lifetime = std::chrono::seconds{5};
    // A request that is unanswered for longer is no longer counted as in progress: most callers
    // have given up after 2.5 s.
    duration answer_timeout = std::chrono::seconds{4};
    // Weights of the load of an upstream, in thousandths of a slot. Requests in progress count
    // most, both the present number and the average. Open flows only break ties, since most of them
    // are idle.
    std::uint32_t waiting_weight = 500;
    std::uint32_t average_weight = 1000;
    std::uint32_t open_weight = 100;
    // Added while the upstream warms up, since it is slower then.
    std::uint32_t warmup_weight = 300;
    duration averaging_window = std::chrono::milliseconds{1000};
    // A new flow is refused if its first answer would take longer than a share of the latency
    // objective. The rest covers the round trip and requests longer than the mean. Less urgent
    // flows get a smaller share, so that a burst of them does not fill the queue for urgent ones.
    std::uint32_t urgent_percent = 100;      // of the objective, for priority 0
    std::uint32_t percent_per_priority = 20; // subtracted for each step of priority
    std::uint32_t min_percent = 50;
    // Flows are refused only under sustained load: average requests in progress for each slot.
    double sustained_load_per_slot = 1;
    double service_time_smoothing = 0.1; // weight of a new sample in the mean service time
    std::size_t max_flows = 20000;
};

struct deliver_to_upstream {
    std::string packet;
};
struct forward_to_caller {
    endpoint caller;
    std::string packet;
};
struct relay_packet {
    endpoint agent;
    forwarded_packet message;
};
struct notify_balancer {
    endpoint balancer;
    flow_notice notice;
};
// Resets a flow that has certainly ended: the incarnation of its upstream ended, or the upstream
// returned its packet.
struct reset_flow {
    packet_flow flow;
    std::uint32_t sequence = 0; // sequence number of the next byte that the caller expects
};
struct answer_balancer {
    endpoint balancer;
    holder_answer answer;
};
using agent_action = std::variant<deliver_to_upstream, forward_to_caller, relay_packet,
                                  notify_balancer, answer_balancer, reset_flow>;

// The outcome of a decision, for counters and logs.
enum class flow_event : std::uint8_t {
    placed,
    relayed,
    delivered,
    probed,   // the table may be incomplete, so the packet is delivered to find out
    not_held, // the upstream returned the packet, or the complete table lacks the flow
    refused,  // no candidate could open the new flow
    other_service,
    too_late,   // the answer would miss the latency objective here
    unanswered, // the upstream did not answer an opening packet
    lost_flow,  // the upstream no longer holds a flow that was open
    table_full,
};
char const* to_string(flow_event event);

struct agent_output {
    std::vector<agent_action> actions;
    std::vector<std::pair<flow_event, packet_flow>> events;
};

class upstream_flows {
  public:
    upstream_flows(upstream_flows_options options, time_point started);

    agent_output on_forwarded(time_point now, packet_head const& head, forwarded_packet message);
    agent_output on_query(time_point now, holder_query const& query);
    // Handles a packet that the upstream sent. A returned packet is passed without its mark.
    agent_output on_upstream_packet(time_point now, packet_head const& head, std::string packet);
    // Ends every flow, because the incarnation of the upstream ended.
    agent_output on_incarnation_ended(time_point now);
    agent_output on_tick(time_point now);
    // Applies a heartbeat of the upstream. Until the first one after the start of the agent,
    // new flows are accepted if the balancer knows the slots of an upstream.
    void set_upstream(std::uint32_t slots, bool accepts_new, time_point warm_at);
    // Marks the table as complete: every flow of the current incarnation was opened through this
    // agent.
    void set_table_complete(time_point now) { started_ = now - options_.flow_lifetime; }

    [[nodiscard]] load_level load(time_point now) const;
    // Returns the expected time to the answer of a request that arrives now, from the mean service
    // time and the queue.
    [[nodiscard]] duration expected_answer_time() const;
    [[nodiscard]] std::size_t open_flows() const { return open_; }
    [[nodiscard]] std::size_t waiting_flows() const { return waiting_; }
    // Returns when on_tick() next has work, or nothing if no timer is pending.
    [[nodiscard]] std::optional<time_point> next_due() const;

  private:
    enum class flow_phase : std::uint8_t {
        opening,  // the upstream has the opening packet
        accepted, // the upstream accepted; the caller may still choose another one
        probing,  // it is unknown whether the upstream holds the flow
        open,     // the upstream holds the flow
        closed,
    };
    struct flow {
        flow_phase phase = flow_phase::opening;
        bool waiting = false;       // the caller's last data is unanswered
        bool had_free_slot = false; // a slot was free when the request arrived, as far as is known
        time_point requested_at{};
        bool caller_finished = false;
        bool upstream_finished = false;
        endpoint origin; // balancer that forwarded the last packet
        time_point last_seen{};
        std::uint32_t caller_expects = 0; // next sequence number towards the caller
        // End of the data that the caller sent; recognises retransmissions.
        std::optional<std::uint32_t> caller_data_end;
        std::uint32_t accept_sequence = 0; // sequence number with which the upstream accepted
        // For relaying if the upstream fails to accept; only in phase opening.
        std::optional<forwarded_packet> opening;
        time_point open_deadline{};
    };

    void open_flow(time_point now, packet_head const& head, forwarded_packet message);
    void open_here(time_point now, packet_head const& head, forwarded_packet message);
    void relay(packet_head const& head, forwarded_packet message);
    bool caller_chose_other(time_point now, packet_head const& head, flow& known);
    void deliver(time_point now, packet_head const& head, flow& known, forwarded_packet message);
    void on_returned(time_point now, packet_head const& head, std::string packet);
    void track_caller_packet(time_point now, packet_head const& head, flow& known);
    void track_caller_data(time_point now, packet_head const& head, flow& known);
    void track_upstream_packet(time_point now, packet_head const& head, flow& known);
    void set_phase(time_point now, flow& known, flow_phase phase);
    void set_waiting(time_point now, flow& known, bool waiting);
    void stop_waiting(time_point now, flow& known);
    void average_waiting(time_point now);
    void record_answer(time_point now, flow const& known);
    void add_service_time(duration sample);
    [[nodiscard]] double decayed_average(time_point now) const;
    void erase(time_point now, packet_flow const& key);
    void notify(endpoint balancer, flow_report what, packet_flow const& flow, std::string packet,
                std::uint32_t caller_expects = 0);
    void record(flow_event event, packet_flow const& flow);
    void sweep(time_point now);
    [[nodiscard]] bool accepts_new(time_point now, forwarded_packet const& message) const;
    [[nodiscard]] bool meets_objective(time_point now, forwarded_packet const& message) const;
    [[nodiscard]] bool may_be_incomplete(time_point now) const;
    [[nodiscard]] holder_state state_of(time_point now, packet_flow const& key) const;
    agent_output take_output();

    upstream_flows_options options_;
    time_point started_;
    std::uint32_t slots_ = 1;         // never 0
    std::optional<bool> accepts_new_; // unset until the first heartbeat
    time_point warm_at_{};
    // When an opening packet timed out; unset once the upstream sends anything.
    std::optional<time_point> unresponsive_since_;
    absl::flat_hash_map<packet_flow, flow> flows_;
    std::vector<packet_flow> opening_; // flows whose phase may be opening, oldest first
    std::size_t open_ = 0;
    std::size_t waiting_ = 0;
    duration service_time_{}; // mean; 0: no sample yet
    // Time of the last answer; unset if a slot became free since.
    std::optional<time_point> full_since_;
    double average_waiting_ = 0; // of waiting_, as of averaged_at_
    time_point averaged_at_{};
    time_point next_sweep_{};
    agent_output output_;
};

} // namespace toucanusher
