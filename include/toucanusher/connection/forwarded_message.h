// Messages between balancers and agents about forwarded flows, which end at caller and upstream.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/connection/caller_packet.h"

namespace toucanusher {

// Load of an upstream per slot, in thousandths: its flows that await an answer, and its open flows.
enum class load_level : std::uint32_t {};

// An agent that could open a new flow, with its load.
struct load_offer {
    endpoint agent;
    load_level load{};

    friend bool operator==(load_offer const&, load_offer const&) = default;
};

enum class forward_purpose : std::uint8_t {
    open,    // open a new flow at the least loaded of the candidates
    deliver, // the agent is expected to hold the flow
    search,  // deliver if the agent's upstream holds the flow, or may hold it
};

struct forwarded_packet {
    forward_purpose purpose = forward_purpose::deliver;
    std::string service;
    endpoint origin; // balancer that is notified of the outcome
    // For `open`: agents to try next, and how many loads are still to be compared.
    std::vector<endpoint> candidates;
    std::uint32_t offers_wanted = 0;
    std::optional<load_offer> best_offer;
    // For `open`: latency objective of the route; zero: unknown.
    std::chrono::milliseconds objective{};
    std::uint32_t priority = 0; // of the route; 0 is the most urgent
    // For `open`: slots of an upstream of the service, for agents whose upstream has sent no
    // heartbeat yet; 0: unknown.
    std::uint32_t default_slots = 0;
    std::string packet; // as the caller sent it

    friend bool operator==(forwarded_packet const&, forwarded_packet const&) = default;
};

enum class flow_report : std::uint8_t {
    held,           // the sender holds the flow
    not_held,       // the sender does not hold it; `packet` is returned if undelivered
    refused_by_all, // no candidate could open the flow
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

// Queries an agent which of the flows its upstream holds.
struct holder_query {
    std::uint32_t number = 0; // echoed in the answer
    endpoint origin;          // address for the answer
    std::vector<packet_flow> flows;

    friend bool operator==(holder_query const&, holder_query const&) = default;
};

enum class holder_state : std::uint8_t {
    not_held, // certainly not held
    held,
    unknown, // the agent cannot tell; its upstream must receive the packet
};

struct holder_answer {
    std::uint32_t number = 0;
    std::vector<holder_state> states; // one per flow, in the order of the query

    friend bool operator==(holder_answer const&, holder_answer const&) = default;
};

// Requests an agent to query other agents, possibly itself among them, which of the flows they
// hold.
struct holder_survey {
    std::uint32_t number = 0; // echoed in the result
    endpoint origin;          // address for the result
    std::vector<endpoint> agents;
    std::vector<packet_flow> flows;

    friend bool operator==(holder_survey const&, holder_survey const&) = default;
};

// The agents of the survey that are neither unsure nor silent hold no other flows of it than those
// listed.
struct survey_result {
    struct holder {
        std::uint32_t flow = 0; // position in the survey
        endpoint agent;

        friend bool operator==(holder const&, holder const&) = default;
    };

    std::uint32_t number = 0;
    std::vector<holder> holders;
    std::vector<endpoint> unsure; // agents that cannot tell for some of the flows
    std::vector<endpoint> silent; // agents that did not answer in time

    friend bool operator==(survey_result const&, survey_result const&) = default;
};

using forwarded_message = std::variant<forwarded_packet, flow_notice, holder_query, holder_answer,
                                       holder_survey, survey_result>;

} // namespace toucanusher
