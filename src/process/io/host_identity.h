// The identity of a control host: a random number that is generated once and stored on its disk. A
// host that restarts with an empty disk gets a new identity, even at the same address.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "toucanusher/process/ids.h"
#include "toucanusher/process/random.h"

namespace toucanusher {

// Reads the identity from `folder`, or generates one and stores it there durably.
absl::StatusOr<host_id> load_host_identity(std::string const& folder, random_source const& random);

} // namespace toucanusher
