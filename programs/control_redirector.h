// The control role on a host without a disk: stores nothing, and redirects operators, daemons and
// joining hosts to the control hosts that store the log. Duties: control session, link receive,
// answer, HTTP.
#pragma once

#include <memory>

#include "programs/front_end.h"
#include "programs/process_context.h"

namespace toucanusher {

// Returns an error if an address cannot be opened.
absl::StatusOr<std::unique_ptr<daemon_process>> make_control_redirector(process_context& context,
                                                                        operator_api_hook api);

} // namespace toucanusher
