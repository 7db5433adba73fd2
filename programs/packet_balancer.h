// The balancer role for forwarded flows, which end at callers and upstreams. Duties: receive,
// decide, send, control link, admin.
#pragma once

#include <memory>

#include "programs/front_end.h"
#include "programs/process_context.h"

namespace toucanusher {

// Returns an error if an address cannot be opened.
absl::StatusOr<std::unique_ptr<daemon_process>> make_packet_balancer(process_context& context,
                                                                     front_end const& front);

} // namespace toucanusher
