// Actions that the flow decisions of an agent request from their driver.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/version/fleet_command.h"

namespace toucanusher {

// Delivers a caller's packet to the upstream, from the source address of `slot`.
struct deliver_packet {
    std::uint32_t slot = 0;
    flow_key flow;
    std::string payload;
};

struct send_message {
    endpoint to;
    flow_message message;
};

// Counts a refusal. The packet, if any, was dropped.
struct count_refusal {
    flow_refusal reason = flow_refusal::none;
};

// Reports to control that buckets hold no more flows of this upstream.
struct report_release {
    release_buckets command;
};

using flow_action = std::variant<deliver_packet, send_message, count_refusal, report_release>;
using flow_actions = std::vector<flow_action>;

} // namespace toucanusher
