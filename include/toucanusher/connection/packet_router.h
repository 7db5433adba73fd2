// Decisions of a balancer that carries flows without ending them: which service a new flow goes to,
// which agents may take it, and where the packets of known flows go.
//
// It keeps no flow that matters. What it remembers of flows are hints: without one it asks the
// agents, and the one that holds the flow delivers the packet and says so.
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

#include "toucanusher/connection/carried_message.h"
#include "toucanusher/connection/flow_search.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/version/route_book.h"

namespace toucanusher {

struct packet_router_options {
    endpoint self; // where agents send notices
    std::string zone;
    std::uint32_t offers = 2;         // agents whose load is compared for a new flow
    std::uint32_t max_candidates = 5; // compared ones, and others if those cannot take it
    // An opening packet is placed within a few hops of about a millisecond each.
    duration open_timeout = std::chrono::milliseconds{60};
    std::uint32_t max_open_attempts = 4;
    std::size_t max_openings = 4096;
    duration hint_lifetime = std::chrono::seconds{90}; // above a flow's longest life
    std::size_t max_hints = 200000;
    // Packets that come before the first configuration wait for it this long: callers repeat them
    // at ever longer intervals, so one that is dropped costs more than the wait.
    duration early_packet_timeout = std::chrono::milliseconds{1500};
    std::size_t max_early_packets = 2048;
    duration avoidance_period = std::chrono::seconds{1}; // an agent that did not answer is avoided
};

// What the balancer knows of the fleet, at one version.
struct router_view {
    std::shared_ptr<configuration const> routes; // never null
    upstreams_by_service upstreams;
};

// The caller is told that its flow was not opened, or is over.
struct refuse_flow {
    packet_flow flow;
    std::uint32_t sequence = 0; // of the next byte that the caller expects
};
using router_action = std::variant<forward_to_agent, query_agent, refuse_flow>;

enum class router_event : std::uint8_t {
    placing, // a new flow was sent to its candidates
    placing_again,
    next_service, // the chosen one cannot serve the flow in time, the route has another
    delivered,
    searching,
    found,
    early, // before the first configuration
    no_route,
    no_upstream,
    refused_by_all,
    not_found,
    flow_ended, // every agent says that its upstream does not hold the flow
    stale_view, // so say all that are known, but control was not heard for a while
    overflow,   // too many searches or parked packets
};
char const* to_string(router_event event);

// One decision, for counters and logs.
struct router_decision {
    router_event event = router_event::delivered;
    packet_flow flow;
    endpoint agent;                  // that was chosen, spoke, or did not answer; empty if none
    std::optional<duration> elapsed; // from the first packet to this decision
};

struct router_output {
    std::vector<router_action> actions;
    std::vector<router_decision> decisions;
};

class packet_router {
  public:
    packet_router(packet_router_options options, time_point now);

    // Packets that waited for the first configuration go on their way.
    router_output set_view(time_point now, router_view view);
    // When a control host in touch with a leader was last heard.
    void on_control_contact(time_point when) { search_.on_control_contact(when); }
    router_output on_packet(time_point now, packet_head const& head, std::string packet);
    router_output on_notice(time_point now, endpoint agent, flow_notice const& notice);
    router_output on_answer(time_point now, endpoint agent, holder_answer const& answer);
    router_output on_tick(time_point now);
    // When on_tick() has something to do next.
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
        // The one that the weights chose, then the route's others, for when it cannot serve in
        // time.
        std::vector<std::string> services;
        std::chrono::milliseconds objective{};
        std::uint32_t priority = 0;
        std::vector<endpoint> tried_agents; // first candidates of earlier attempts
        std::uint32_t attempts = 0;
        time_point started_at{};
        std::uint32_t earlier_copies = 0; // that the caller sent before
        time_point deadline{};
    };
    struct early_packet {
        packet_head head;
        std::string packet;
        time_point arrived_at{};
    };

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
    void record(router_event event, packet_flow const& flow, endpoint agent = {});
    void sweep_hints(time_point now);
    void on_refused_by_all(time_point now, endpoint agent, packet_flow const& flow);
    [[nodiscard]] static std::vector<std::string> order_services(route const& item,
                                                                 packet_flow const& flow);
    [[nodiscard]] std::vector<upstream_choice const*>
    rank_candidates(time_point now, std::string const& service, packet_flow const& flow) const;
    [[nodiscard]] std::vector<std::string> const& earlier_services(packet_flow const& flow) const;
    [[nodiscard]] bool is_avoided(time_point now, endpoint agent) const;
    router_output finish(time_point now);

    packet_router_options options_;
    router_view view_;
    route_index index_;
    // Services that each address had before; open flows stay where they are.
    std::map<endpoint, std::vector<std::string>> earlier_services_;
    absl::flat_hash_map<packet_flow, hint> hints_;       // at most max_hints
    absl::flat_hash_map<packet_flow, opening> openings_; // at most max_openings
    // No opening has an earlier deadline; it may be earlier than all of them.
    time_point earliest_opening_deadline_ = time_point::max();
    flow_search search_;
    std::map<endpoint, time_point> avoided_until_; // until when
    std::deque<early_packet> early_packets_; // oldest first; empty once a configuration is in force
    time_point next_sweep_{};
    router_output output_;
};

} // namespace toucanusher
