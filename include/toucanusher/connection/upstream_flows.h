// Decisions of an agent that carries the flows of one upstream without ending them: which new flows
// the upstream takes, whom a packet belongs to, and when a flow is over for certain.
//
// The upstream itself is the authority: it returns packets of flows that it does not hold. The
// agent keeps a table from what it sees pass, and asks the upstream where the table may be
// incomplete, that is after a start of the agent beside a living upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/carried_message.h"
#include "toucanusher/connection/upstream_life.h"

namespace toucanusher {

struct upstream_flows_options {
    std::string service;
    endpoint self; // where balancers reach this agent
    // An upstream on the same host answers an opening packet within a millisecond unless it is
    // dead or stands still; others take the flow then.
    duration open_timeout = std::chrono::milliseconds{30};
    // The longest that an upstream keeps a flow; older ones need no asking after a start.
    duration flow_lifetime = std::chrono::seconds{60};
    duration idle_lifetime = std::chrono::seconds{75};  // above the longest idle timeout
    duration closed_lifetime = std::chrono::seconds{5}; // repeats of the last packets still pass
    // A request that is not answered for this long is no work in progress: most callers have given
    // up after 2.5 s.
    duration answer_timeout = std::chrono::seconds{4};
    // The load of an upstream, in thousandths of a slot. Requests in progress tell most, now and
    // on average; open flows only decide between equals, since most of them are idle.
    std::uint32_t waiting_weight = 500;
    std::uint32_t average_weight = 1000;
    std::uint32_t open_weight = 100;
    std::uint32_t warmup_weight = 300; // a cold upstream works slower, so it shows more load
    duration averaging_window = std::chrono::milliseconds{1000};
    // A new flow whose first answer would take longer than a share of its objective is not taken:
    // the rest is for the way there and back and for requests longer than the mean. Less urgent
    // flows leave more of it, so that a flood of them does not fill the queue for urgent ones.
    std::uint32_t urgent_percent = 100;      // of the objective, for priority 0
    std::uint32_t percent_per_priority = 20; // less for each step of priority
    std::uint32_t min_percent = 50;
    // Flows are refused only under a lasting load: the averaged work, for each slot.
    double sustained_load_per_slot = 1;
    double service_time_smoothing = 0.1; // of one more answer in the mean time of service
    std::size_t max_flows = 20000;
};

// Delivers a caller's packet to the upstream.
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
// The flow is over for certain: its upstream's life ended, or the upstream itself says so.
struct reset_flow {
    packet_flow flow;
    std::uint32_t sequence = 0; // of the next byte that the caller expects
};
struct answer_balancer {
    endpoint balancer;
    holder_answer answer;
};
using agent_action = std::variant<deliver_to_upstream, forward_to_caller, relay_packet,
                                  notify_balancer, answer_balancer, reset_flow>;

// Why a decision fell as it did, for counters and logs.
enum class flow_event : std::uint8_t {
    placed,
    relayed,
    delivered,
    probed,   // the table may be incomplete, so the upstream is asked
    not_held, // the upstream returned it, or the table is complete
    refused,  // no candidate took the new flow
    other_service,
    too_late,   // its answer would miss its objective here
    unanswered, // the upstream did not answer an opening packet
    lost_flow,  // the upstream no longer holds a flow that it had
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
    // A packet that the upstream sent; returned ones are given without their mark.
    agent_output on_upstream_packet(time_point now, packet_head const& head, std::string packet);
    // The upstream's life ended: every flow is over.
    agent_output on_incarnation_ended(time_point now);
    agent_output on_tick(time_point now);
    // What the upstream says of itself. Until then it is not known whether there is one: after a
    // start of the agent, new flows are taken if the balancer believes in an upstream here.
    void set_upstream(std::uint32_t slots, bool accepts_new, time_point warm_at);
    // Every flow of the present life passed by here, so the table is complete.
    void set_table_complete(time_point now) { started_ = now - options_.flow_lifetime; }

    [[nodiscard]] load_level load(time_point now) const;
    // How long a request that came now would take, from what answers took.
    [[nodiscard]] duration expected_answer_time() const;
    [[nodiscard]] std::size_t open_flows() const { return open_; }
    [[nodiscard]] std::size_t waiting_flows() const { return waiting_; }
    // When on_tick() has something to do next.
    [[nodiscard]] std::optional<time_point> next_due() const;

  private:
    enum class flow_phase : std::uint8_t {
        opening,  // the opening packet is with the upstream
        accepted, // the upstream agreed; the caller may still choose another that did
        probing,  // it is not known whether the upstream holds the flow
        open,     // it does
        closed,
    };
    struct flow {
        flow_phase phase = flow_phase::opening;
        bool waiting = false;       // the caller's last data is not answered yet
        bool had_free_slot = false; // when it came, a slot was free, as far as is known
        time_point requested_at{};
        bool caller_finished = false;
        bool upstream_finished = false;
        endpoint origin; // the balancer that brought it last
        time_point last_seen{};
        std::uint32_t caller_expects = 0; // next sequence number towards the caller
        std::optional<std::uint32_t>
            caller_data_end;                     // where the caller's data ended; tells repeats
        std::uint32_t accept_sequence = 0;       // of the upstream's agreement
        std::optional<forwarded_packet> opening; // while phase is opening: what to pass on
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
    agent_output finish();

    upstream_flows_options options_;
    time_point started_;
    std::uint32_t slots_ = 1;         // never 0
    std::optional<bool> accepts_new_; // nothing: the upstream has not spoken yet
    time_point warm_at_{};
    // Nothing came from the upstream since this opening packet went unanswered.
    std::optional<time_point> unresponsive_since_;
    absl::flat_hash_map<packet_flow, flow> flows_;
    std::vector<packet_flow> opening_; // keys whose phase may be opening, oldest first
    std::size_t open_ = 0;             // flows in phase open
    std::size_t waiting_ = 0;          // flows whose `waiting` is set
    duration
        service_time_{}; // mean, of requests that found a slot or of a full upstream; 0: unknown
    std::optional<time_point> full_since_; // the last answer, if every slot has been taken since
    double average_waiting_ = 0;           // of waiting_, at averaged_at_
    time_point averaged_at_{};
    time_point next_sweep_{};
    agent_output output_;
};

} // namespace toucanusher
