// Hooks between the daemon's roles and a front end for one platform's protocols. The front end
// translates bytes and calls to these types and back, and makes no decisions.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "src/process/io/http_server.h"
#include "toucanusher/connection/caller_packet.h"
#include "toucanusher/connection/upstream_incarnation.h"
#include "toucanusher/version/configuration_queue.h"

namespace toucanusher {

using configuration_responder = std::function<void(configuration_answer)>;

// Calls of operators to a control host. Callable from any thread; each responder is called once,
// from any thread.
struct operator_calls {
    std::function<void(configuration, configuration_responder)> write;
    std::function<void(configuration_responder)> read;
    std::function<bool()> ready;
};
// Makes the HTTP handler for operators. `api_port` is the port of the API on every control host.
using operator_api_hook = std::function<http_handler(operator_calls, std::uint16_t api_port)>;

// Calls of an upstream to its agent: `announce` responds with the effect of the announcement,
// `leave` announces the end of the upstream with this name.
struct upstream_calls {
    std::function<void(upstream_heartbeat, std::function<void(heartbeat_effect)>)> announce;
    std::function<void(std::string name, std::function<void()>)> leave;
};
using upstream_api_hook = std::function<http_handler(upstream_calls)>;
// Makes the HTTP handler for the fabric's readiness check.
using readiness_hook = std::function<http_handler(std::function<bool()> ready)>;

// Encoding of callers' packets.
struct packet_codec {
    // Returns the head of a packet, or an error that names the fault of a malformed one.
    std::function<absl::StatusOr<packet_head>(std::string_view, packet_direction)> decode;
    // Removes the marks that an upstream adds to a packet that it returns.
    std::function<std::string(std::string)> strip_marks;
    // Returns the packet that resets the flow at its caller.
    std::function<std::string(packet_flow const&, std::uint32_t sequence)> encode_reset;
};

struct front_end {
    operator_api_hook operator_api;
    upstream_api_hook upstream_api;
    readiness_hook readiness;
    packet_codec packets;
};

} // namespace toucanusher
