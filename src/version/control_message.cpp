#include "toucanusher/version/control_message.h"

namespace toucanusher {

char const* to_string(daemon_role role) {
    switch (role) {
    case daemon_role::balancer:
        return "balancer";
    case daemon_role::agent:
        return "agent";
    case daemon_role::control:
        return "control";
    }
    return "invalid";
}

char const* to_string(control_refusal reason) {
    switch (reason) {
    case control_refusal::none:
        return "none";
    case control_refusal::not_leader:
        return "not_leader";
    case control_refusal::no_leader:
        return "no_leader";
    case control_refusal::not_authorised:
        return "not_authorised";
    case control_refusal::malformed:
        return "malformed";
    case control_refusal::busy:
        return "busy";
    case control_refusal::lost_leadership:
        return "lost_leadership";
    case control_refusal::host_change_refused:
        return "host_change_refused";
    }
    return "invalid";
}

} // namespace toucanusher
