// Hooks between the roles of the daemon and a front end that speaks the words of one platform. The
// front end turns bytes and calls into these types and back, and decides nothing.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "src/process/io/http_server.h"
#include "toucanusher/connection/caller_packet.h"
#include "toucanusher/connection/upstream_life.h"
#include "toucanusher/version/configuration_queue.h"

namespace toucanusher {

using configuration_responder = std::function<void(configuration_answer)>;

// What an operator may ask of a control host. Callable from any thread; each responder is called
// once, from any thread.
struct operator_calls {
    std::function<void(configuration, configuration_responder)> write;
    std::function<void(configuration_responder)> read;
    std::function<bool()> ready;
};
// Serves operators over HTTP. `api_port` is where every control host serves them.
using operator_api_hook = std::function<http_handler(operator_calls, std::uint16_t api_port)>;

// What an upstream may tell its agent. `respond` says whether it was understood as its own.
struct upstream_calls {
    std::function<void(upstream_beat, std::function<void(beat_effect)>)> announce;
    std::function<void(std::string name, std::function<void()>)> leave;
};
using upstream_api_hook = std::function<http_handler(upstream_calls)>;
// Serves the fabric's question whether new work may be sent here.
using readiness_hook = std::function<http_handler(std::function<bool()> ready)>;

// The form of callers' packets.
struct packet_codec {
    // What stands in the head of a packet; an error names what is wrong with it.
    std::function<absl::StatusOr<packet_head>(std::string_view, packet_direction)> decode;
    // The packet without the marks that an upstream adds when it returns it.
    std::function<std::string(std::string)> strip_marks;
    // Tells the caller that its flow is over.
    std::function<std::string(packet_flow const&, std::uint32_t sequence)> encode_reset;
};

struct front_end {
    operator_api_hook operator_api;
    upstream_api_hook upstream_api;
    readiness_hook readiness;
    packet_codec packets;
};

} // namespace toucanusher
