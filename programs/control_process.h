// The control role: one host of the replicated log. Duties: link receive, decide, disk, admin, and
// HTTP on automatic hosts.
#pragma once

#include <memory>

#include "programs/front_end.h"
#include "programs/process_context.h"

namespace toucanusher {

enum class log_start : std::uint8_t {
    existing,    // the data folder holds a log
    new_cluster, // the folder is empty; every configured control host starts a new log
    join,        // the folder is empty; an operator adds this host to a running log
};

// Returns an error if the data folder does not match `start` or an address cannot be opened.
absl::StatusOr<std::unique_ptr<daemon_process>>
make_control_process(process_context& context, log_start start, operator_api_hook api);

} // namespace toucanusher
