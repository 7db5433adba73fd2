// Messages that ensure that a non-idempotent request runs at most once. Before an agent runs it, a
// majority of the request's record replicas must record that agent as the runner. The replicas are
// agents of the same service.
#pragma once

#include <cstdint>
#include <variant>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/request/request_message.h"

namespace toucanusher {

struct run_record_request {
    upstream_ref target; // the record replica
    upstream_ref runner;
    std::uint64_t runner_process = 0; // of the runner's agent; a new one must not run it again
    endpoint runner_agent;
    request_id id;
    version_number version{}; // of the runner's fleet state
};

enum class run_record_reply_kind : std::uint8_t { granted, taken, abstained };

struct run_record_reply {
    upstream_ref target; // the agent that sent the request
    upstream_ref replica;
    request_id id;
    run_record_reply_kind kind = run_record_reply_kind::abstained;
    upstream_ref runner; // the recorded runner, if taken
};

// Sent when a resend reached an agent that does not run the request. The runner then sends the
// outcome to `flow`.
struct outcome_query {
    upstream_ref target; // the runner
    request_id id;
    flow_key flow;
    endpoint balancer;
};

using run_message = std::variant<run_record_request, run_record_reply, outcome_query>;

} // namespace toucanusher
