#include "toucanusher/connection/flow_message.h"

namespace toucanusher {

char const* to_string(flow_refusal reason) {
    switch (reason) {
    case flow_refusal::none:
        return "none";
    case flow_refusal::unknown_service:
        return "unknown_service";
    case flow_refusal::not_admitted:
        return "not_admitted";
    case flow_refusal::not_served_here:
        return "not_served_here";
    case flow_refusal::rate_limited:
        return "rate_limited";
    case flow_refusal::no_upstream:
        return "no_upstream";
    case flow_refusal::wrong_upstream:
        return "wrong_upstream";
    case flow_refusal::wrong_service:
        return "wrong_service";
    case flow_refusal::stale_incarnation:
        return "stale_incarnation";
    case flow_refusal::stale_epoch:
        return "stale_epoch";
    case flow_refusal::hop_limit:
        return "hop_limit";
    case flow_refusal::draining:
        return "draining";
    case flow_refusal::not_ready:
        return "not_ready";
    case flow_refusal::recovering:
        return "recovering";
    case flow_refusal::too_many_flows:
        return "too_many_flows";
    case flow_refusal::too_many_pending:
        return "too_many_pending";
    case flow_refusal::predecessor_silent:
        return "predecessor_silent";
    case flow_refusal::unknown_flow:
        return "unknown_flow";
    case flow_refusal::unexpected_answer:
        return "unexpected_answer";
    }
    return "invalid";
}

} // namespace toucanusher
