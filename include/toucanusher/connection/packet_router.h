// Routing decisions of a balancer that forwards flows without terminating them: which service a new
// flow goes to, which agents may open it, and where packets of established flows go.
//
// The only state kept for a flow is a hint that names the agent expected to hold it. A packet
// without a hint starts a search; the agent that holds the flow delivers the packet and notifies
// the balancer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/flow_search.h"
#include "toucanusher/connection/forwarded_message.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/version/route_book.h"

namespace toucanusher {

struct packet_router_options {
    endpoint self; // address to which agents send notices
    std::string zone;
    std::uint32_t offers = 2; // agents whose load is compared for a new flow
    // Agents that are compared, plus fallbacks if none of them can open the flow.
    std::uint32_t max_candidates = 5;
    // An opening packet reaches an upstream within a few hops of about a millisecond each.
    duration open_timeout = std::chrono::milliseconds{60};
    std::uint32_t max_open_attempts = 4;
    std::size_t max_openings = 4096;
    duration hint_lifetime = std::chrono::seconds{90}; // above the longest lifetime of a flow
    std::size_t max_hints = 200000;
    // How long packets that arrive before the first configuration are buffered. Callers retransmit
    // at growing intervals, so a dropped packet costs more than the wait.
    duration early_packet_timeout = std::chrono::milliseconds{1500};
    std::size_t max_early_packets = 2048;
    // Bandwidth of the host's link, in bytes per second. Searches use a quarter of it at most.
    std::uint64_t link_bytes_per_second = 125'000'000;
    // How long an agent that did not answer is avoided.
    duration avoidance_period = std::chrono::seconds{1};
};

// Routes and upstreams as the balancer knows them at one version.
struct router_view {
    std::shared_ptr<configuration const> routes; // never null
    upstreams_by_service upstreams;
    // Control confirmed that this version, or an earlier one of this process, is no older than the
    // start of the process. Before, an upstream or route may have left that the view still has.
    bool confirmed = false;
};

// Resets the flow at the caller, because it was not opened or has ended.
struct refuse_flow {
    packet_flow flow;
    std::uint32_t sequence = 0; // sequence number of the next byte that the caller expects
};
using router_action = std::variant<forward_to_agent, query_agent, request_survey, refuse_flow>;

enum class router_event : std::uint8_t {
    placing, // the opening packet of a new flow was sent to its candidates
    placing_again,
    next_service, // the chosen service cannot serve the flow in time; the route has another
    delivered,
    searching,
    found,
    early, // the packet arrived before the first confirmed configuration
    no_route,
    no_upstream,
    refused_by_all,
    not_found,
    flow_ended, // every agent answered that its upstream does not hold the flow
    stale_view, // the same, but the view of the upstreams may be out of date
    overflow,   // too many searches, openings or buffered packets
};
char const* to_string(router_event event);

// One routing decision, for counters and logs.
struct router_decision {
    router_event event = router_event::delivered;
    packet_flow flow;
    endpoint agent;                  // chosen, answered or timed out; empty if none
    std::optional<duration> elapsed; // from the first packet of the flow to this decision
};

struct router_output {
    std::vector<router_action> actions;
    std::vector<router_decision> decisions;
};

class packet_router {
  public:
    packet_router(packet_router_options options, time_point now);

    // Replaces the view. The first confirmed configuration also routes the packets that were
    // buffered for it; no packet is routed by an unconfirmed one.
    router_output set_view(time_point now, router_view view);
    // Records when a control host that can reach the leader last responded.
    void on_control_contact(time_point when) { search_.on_control_contact(when); }
    router_output on_packet(time_point now, packet_head const& head, std::string packet);
    router_output on_notice(time_point now, endpoint agent, flow_notice const& notice);
    router_output on_answer(time_point now, endpoint agent, holder_answer const& answer);
    router_output on_survey_result(time_point now, endpoint agent, survey_result const& result);
    router_output on_tick(time_point now);
    // Returns when on_tick() next has work, or nothing if no timer is pending.
    [[nodiscard]] std::optional<time_point> next_due() const;
    [[nodiscard]] std::size_t hint_count() const { return hints_.size(); }

  private:
    struct hint {
        endpoint agent;
        std::string service;
        time_point last_used{};
    };
    struct opening {
        std::string packet;
        // The service that the weights chose, then the other services of the route as fallbacks for
        // when it cannot serve the flow in time.
        std::vector<std::string> services;
        std::chrono::milliseconds objective{};
        std::uint32_t priority = 0;
        std::vector<endpoint> tried_agents; // first candidate of each attempt
        std::uint32_t attempts = 0;
        time_point started_at{};
        std::uint32_t earlier_copies = 0; // opening packets that the caller sent before this one
        time_point deadline{};
    };
    struct early_packet {
        packet_head head;
        std::string packet;
        time_point arrived_at{};
    };

    [[nodiscard]] bool can_route() const;
    void route_packet(time_point now, packet_head const& head, std::string packet);
    void buffer_early_packet(time_point now, packet_head const& head, std::string packet);
    void open_flow(time_point now, packet_head const& head, std::string packet);
    void send_opening(time_point now, packet_flow const& flow, opening& open);
    void retry_expired_openings(time_point now);
    void start_search(time_point now, packet_flow const& flow, std::string packet,
                      std::uint32_t caller_expects, endpoint except);
    void on_not_held(time_point now, endpoint agent, flow_notice const& notice);
    void take_search_output(time_point now);
    void on_search_result(time_point now, search_result& result);
    void deliver(time_point now, packet_flow const& flow, hint& known, std::string packet);
    // Returns whether the route may place a new flow at the agent of the hint.
    [[nodiscard]] bool takes_new_flows(route const& item, hint const& known) const;
    void record(router_event event, packet_flow const& flow, endpoint agent = {});
    void sweep_hints(time_point now);
    void on_refused_by_all(time_point now, endpoint agent, packet_flow const& flow);
    [[nodiscard]] static std::vector<std::string> order_services(route const& item,
                                                                 packet_flow const& flow);
    [[nodiscard]] std::vector<upstream_choice const*>
    rank_candidates(time_point now, std::string const& service, packet_flow const& flow) const;
    [[nodiscard]] std::vector<std::string> const& earlier_services(packet_flow const& flow) const;
    [[nodiscard]] bool is_avoided(time_point now, endpoint agent) const;
    router_output take_output(time_point now);

    packet_router_options options_;
    router_view view_;
    route_index index_;
    // Services that each route address has or had; open flows stay with their upstream when a route
    // changes.
    std::map<endpoint, std::vector<std::string>> earlier_services_;
    absl::flat_hash_map<packet_flow, hint> hints_;       // above max_hints, entries expire sooner
    absl::flat_hash_map<packet_flow, opening> openings_; // at most max_openings
    // Lower bound of the deadlines of all openings.
    time_point earliest_opening_deadline_ = time_point::max();
    flow_search search_;
    std::map<endpoint, time_point> avoided_until_; // by agent
    std::deque<early_packet> early_packets_; // oldest first; empty once a configuration is in force
    time_point next_sweep_{};
    router_output output_;
};

} // namespace toucanusher
