// Implements the codec hooks of the deciding code with the MessagePack codec.
#pragma once

#include "toucanusher/version/state_follower.h"

namespace toucanusher {

state_codec make_state_codec();

} // namespace toucanusher
