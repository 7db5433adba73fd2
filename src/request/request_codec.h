// Encodes and decodes the messages between callers and agents and those between agents and
// balancers. Decoding returns InvalidArgument for malformed input.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

#include "toucanusher/connection/flow_message.h"
#include "toucanusher/request/request_message.h"
#include "toucanusher/request/run_record.h"

namespace toucanusher {

// Message between agents and balancers, sent in sealed datagrams.
using agent_message = std::variant<flow_message, run_message>;

std::string encode_agent_message(agent_message const& message);
absl::StatusOr<agent_message> decode_agent_message(std::string_view bytes);

std::string encode_caller_message(caller_message const& message);
absl::StatusOr<caller_message> decode_caller_message(std::string_view bytes);

std::string encode_answer_part(answer_part const& part);
absl::StatusOr<answer_part> decode_answer_part(std::string_view bytes);

} // namespace toucanusher
