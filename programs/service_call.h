// Sends one request to a request service over UDP, with its parts spread over several balancers.
#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/request/request_caller.h"

namespace toucanusher {

// Blocks until the call has a result. Returns Unavailable if no socket can be opened.
absl::StatusOr<call_result> call_service(std::vector<endpoint> const& addresses,
                                         call_options const& options, std::string const& body,
                                         clock const& clock);

} // namespace toucanusher
