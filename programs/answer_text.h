// Formats operators' answers as text or as JSON.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "toucanusher/request/request_caller.h"
#include "toucanusher/version/control_message.h"

namespace toucanusher {

nlohmann::json to_json(operator_answer const& answer);
std::string to_text(operator_answer const& answer);
// Formats the upstreams of a status as a table.
std::string upstream_table(status_view const& status);
nlohmann::json to_json(call_result const& result);

} // namespace toucanusher
