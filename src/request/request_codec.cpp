#include "src/request/request_codec.h"

#include "src/connection/flow_fields_codec.h"

namespace toucanusher {

inline bool is_valid(request_class value) {
    return value <= request_class::bulk;
}
inline bool is_valid(request_outcome value) {
    return value <= request_outcome::unknown;
}
inline bool is_valid(request_refusal value) {
    return value <= request_refusal::attempt_lost;
}
inline bool is_valid(run_record_reply_kind value) {
    return value <= run_record_reply_kind::abstained;
}

template <typename Archive>
auto fields(Archive& archive, request_id& value) {
    return detail::list_fields(archive, value.high, value.low);
}
template <typename Archive>
auto fields(Archive& archive, request_part& value) {
    return detail::list_fields(archive, value.id, value.part, value.parts, value.kind,
                               value.idempotent, value.resend, value.deadline, value.team,
                               value.payload);
}
template <typename Archive>
auto fields(Archive& archive, request_cancel& value) {
    return detail::list_fields(archive, value.id);
}
template <typename Archive>
auto fields(Archive& archive, answer_ack& value) {
    return detail::list_fields(archive, value.id, value.parts);
}
template <typename Archive>
auto fields(Archive& archive, answer_part& value) {
    return detail::list_fields(archive, value.id, value.outcome, value.reason, value.status,
                               value.retry_after, value.part, value.parts, value.payload);
}
template <typename Archive>
auto fields(Archive& archive, run_record_request& value) {
    return detail::list_fields(archive, value.target, value.runner, value.runner_process,
                               value.runner_agent, value.id, value.version);
}
template <typename Archive>
auto fields(Archive& archive, run_record_reply& value) {
    return detail::list_fields(archive, value.target, value.replica, value.id, value.kind,
                               value.runner);
}
template <typename Archive>
auto fields(Archive& archive, outcome_query& value) {
    return detail::list_fields(archive, value.target, value.id, value.flow, value.balancer);
}

std::string encode_agent_message(agent_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<agent_message> decode_agent_message(std::string_view bytes) {
    return detail::decode<agent_message>(bytes);
}

std::string encode_caller_message(caller_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<caller_message> decode_caller_message(std::string_view bytes) {
    return detail::decode<caller_message>(bytes);
}

std::string encode_answer_part(answer_part const& part) {
    return detail::encode(part);
}

absl::StatusOr<answer_part> decode_answer_part(std::string_view bytes) {
    return detail::decode<answer_part>(bytes);
}

} // namespace toucanusher
