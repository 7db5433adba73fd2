// Messages that let a non-idempotent request run at most once: before it runs, its runner claims
// it at a majority of its holders, which are agents of the same service.
#pragma once

#include <cstdint>
#include <variant>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/request/request_message.h"

namespace toucanusher {

struct run_record_request {
    upstream_ref target; // the holder
    upstream_ref runner;
    std::uint64_t runner_process = 0; // of the runner's agent; a later one may not run it again
    endpoint runner_agent;
    request_id id;
    version_number version{}; // of the runner's state
};

enum class run_record_reply_kind : std::uint8_t { granted, taken, abstained };

struct run_record_reply {
    upstream_ref target; // who asked
    upstream_ref replica;
    request_id id;
    run_record_reply_kind kind = run_record_reply_kind::abstained;
    upstream_ref runner; // who has the claim, if held
};

// A resend reached an agent that does not run the request: the runner shall answer to `flow`.
struct outcome_query {
    upstream_ref target; // the runner
    request_id id;
    flow_key flow;
    endpoint balancer;
};

using run_message = std::variant<run_record_request, run_record_reply, outcome_query>;

} // namespace toucanusher
