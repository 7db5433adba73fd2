// The control role on a host without a disk: keeps nothing, sends operators, daemons and joining
// hosts to the control hosts that do. Duties: control session, link receive, answer, HTTP.
#pragma once

#include <memory>

#include "programs/front_end.h"
#include "programs/process_context.h"

namespace toucanusher {

absl::StatusOr<std::unique_ptr<daemon_process>> make_control_redirector(process_context& context,
                                                                        operator_api_hook api);

} // namespace toucanusher
