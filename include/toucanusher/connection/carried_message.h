// What balancers and agents send each other about flows that they carry without ending them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/connection/caller_packet.h"

namespace toucanusher {

// Work of an upstream for each of its slots, in thousandths: what flows of it wait for an answer
// and how many are open.
enum class load_level : std::uint32_t {};

// An agent that could take a new flow.
struct load_offer {
    endpoint agent;
    load_level load{};

    friend bool operator==(load_offer const&, load_offer const&) = default;
};

enum class forward_purpose : std::uint8_t {
    open,    // place a new flow at the least loaded of the candidates
    deliver, // the agent is believed to hold the flow
    search,  // whoever holds the flow delivers it
};

struct forwarded_packet {
    forward_purpose purpose = forward_purpose::deliver;
    std::string service;
    endpoint origin; // the balancer that wants to know where the flow is
    // For `open`: agents to ask next, and how many of them still to compare.
    std::vector<endpoint> candidates;
    std::uint32_t offers_wanted = 0;
    std::optional<load_offer> best_offer;
    // For `open`: the latency that callers of the route want; zero: not known.
    std::chrono::milliseconds objective{};
    std::uint32_t priority = 0; // of the route; 0 is the most urgent
    // For `open`: slots of an upstream of the service, for agents that do not know their own yet;
    // 0: not known.
    std::uint32_t default_slots = 0;
    std::string packet; // as the caller sent it

    friend bool operator==(forwarded_packet const&, forwarded_packet const&) = default;
};

enum class flow_report : std::uint8_t {
    held,           // the flow is at the sender
    not_held,       // it is not; `packet` comes back if it was not delivered
    refused_by_all, // none of the candidates could open it
    other_service,  // the sender's upstream serves another service
};
char const* to_string(flow_report report);

struct flow_notice {
    flow_report report = flow_report::held;
    packet_flow flow;
    std::uint32_t caller_expects = 0; // sequence number of the next byte, for a reset
    std::string packet;

    friend bool operator==(flow_notice const&, flow_notice const&) = default;
};

// Asks an agent which of some flows its upstream holds.
struct holder_query {
    std::uint32_t number = 0; // comes back in the answer
    endpoint origin;          // where the answer goes
    std::vector<packet_flow> flows;

    friend bool operator==(holder_query const&, holder_query const&) = default;
};

enum class holder_state : std::uint8_t {
    not_held, // not held, for certain
    held,
    unknown, // only the upstream knows: send the packet
};

struct holder_answer {
    std::uint32_t number = 0;
    std::vector<holder_state> states; // one for each flow, in the order of the query

    friend bool operator==(holder_answer const&, holder_answer const&) = default;
};

using forwarded_message = std::variant<forwarded_packet, flow_notice, holder_query, holder_answer>;

} // namespace toucanusher
