#include "src/connection/forwarded_codec.h"

#include "src/process/archive_codec.h"

namespace toucanusher {

inline bool is_valid(forward_purpose value) {
    return value <= forward_purpose::search;
}
inline bool is_valid(flow_report value) {
    return value <= flow_report::other_service;
}

inline bool is_valid(holder_state value) {
    return value <= holder_state::unknown;
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
auto fields(Archive& archive, forwarded_packet& value) {
    return detail::list_fields(archive, value.purpose, value.service, value.origin,
                               value.candidates, value.offers_wanted, value.best_offer,
                               value.objective, value.priority, value.default_slots, value.packet);
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

template <typename Archive>
auto fields(Archive& archive, holder_survey& value) {
    return detail::list_fields(archive, value.number, value.origin, value.agents, value.flows);
}
template <typename Archive>
auto fields(Archive& archive, survey_result::holder& value) {
    return detail::list_fields(archive, value.flow, value.agent);
}
template <typename Archive>
auto fields(Archive& archive, survey_result& value) {
    return detail::list_fields(archive, value.number, value.holders, value.unsure, value.silent);
}

std::string encode_forwarded_message(forwarded_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<forwarded_message> decode_forwarded_message(std::string_view bytes) {
    return detail::decode<forwarded_message>(bytes);
}

} // namespace toucanusher
