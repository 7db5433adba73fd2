#include "src/connection/carried_codec.h"

#include "src/process/archive_codec.h"

namespace toucanusher {

inline bool is_valid(carry_purpose value) {
    return value <= carry_purpose::search;
}
inline bool is_valid(flow_report value) {
    return value <= flow_report::other_service;
}

inline bool is_valid(holder_state value) {
    return value <= holder_state::unsure;
}

template <typename Archive>
auto fields(Archive& archive, packet_flow& value) {
    return detail::list_fields(archive, value.caller, value.route);
}
template <typename Archive>
auto fields(Archive& archive, load_offer& value) {
    return detail::list_fields(archive, value.agent, value.load);
}
template <typename Archive>
auto fields(Archive& archive, carried_packet& value) {
    return detail::list_fields(archive, value.purpose, value.service, value.origin,
                               value.candidates, value.offers_wanted, value.best, value.objective,
                               value.priority, value.usual_slots, value.packet);
}
template <typename Archive>
auto fields(Archive& archive, flow_notice& value) {
    return detail::list_fields(archive, value.report, value.flow, value.caller_expects,
                               value.packet);
}

template <typename Archive>
auto fields(Archive& archive, holder_query& value) {
    return detail::list_fields(archive, value.number, value.origin, value.flows);
}
template <typename Archive>
auto fields(Archive& archive, holder_answer& value) {
    return detail::list_fields(archive, value.number, value.states);
}

std::string encode_carried_message(carried_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<carried_message> decode_carried_message(std::string_view bytes) {
    return detail::decode<carried_message>(bytes);
}

} // namespace toucanusher
