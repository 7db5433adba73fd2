// The identity of a control host: a random number made with its disk and kept on it. A host that
// comes back with an empty disk is another host, whatever its address.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "toucanusher/process/ids.h"
#include "toucanusher/process/random.h"

namespace toucanusher {

// Reads the identity from `folder`, or makes one and syncs it there.
absl::StatusOr<host_id> load_host_identity(std::string const& folder, random_source const& random);

} // namespace toucanusher
