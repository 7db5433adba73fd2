// The agent role for upstreams that hold the ends of their flows: packets pass in both directions,
// the flows are not ended here. Duties: receive, decide, send, control link, announcements, admin.
#pragma once

#include <memory>

#include "programs/front_end.h"
#include "programs/process_context.h"

namespace toucanusher {

absl::StatusOr<std::unique_ptr<daemon_process>> make_packet_agent(process_context& context,
                                                                  front_end const& front);

} // namespace toucanusher
