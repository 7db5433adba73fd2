// The balancer role: sends callers' datagrams to agents in sealed packets and returns the replies.
// Duties: UDP receive, steer, UDP send, control link, admin.
#pragma once

#include <memory>

#include "programs/process_context.h"

namespace toucanusher {

// Returns an error if an address cannot be opened.
absl::StatusOr<std::unique_ptr<daemon_process>> make_balancer_process(process_context& context);

} // namespace toucanusher
