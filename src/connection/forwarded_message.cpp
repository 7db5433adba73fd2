#include "toucanusher/connection/forwarded_message.h"

namespace toucanusher {

char const* to_string(flow_report report) {
    switch (report) {
    case flow_report::held:
        return "held";
    case flow_report::not_held:
        return "not_held";
    case flow_report::refused_by_all:
        return "nobody_takes";
    case flow_report::other_service:
        return "other_service";
    }
    return "invalid";
}

} // namespace toucanusher
