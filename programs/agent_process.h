// The agent role: holds the flows and runs the requests of its upstreams. Duties: UDP receive,
// decide, UDP send, HTTP client, control link, admin.
#pragma once

#include <memory>

#include "programs/process_context.h"

namespace toucanusher {

// Returns an error if an address cannot be opened.
absl::StatusOr<std::unique_ptr<daemon_process>> make_agent_process(process_context& context);

} // namespace toucanusher
