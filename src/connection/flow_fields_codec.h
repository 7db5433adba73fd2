// Field lists of the messages about flows, for the codecs that encode them.
#pragma once

#include "src/version/fleet_fields_codec.h"
#include "toucanusher/connection/flow_message.h"

namespace toucanusher {

inline bool is_valid(transport value) {
    return value == transport::udp || value == transport::tcp;
}
inline bool is_valid(flow_refusal value) {
    return value <= flow_refusal::unexpected_answer;
}

template <typename Archive>
auto fields(Archive& archive, flow_key& value) {
    return detail::list_fields(archive, value.service, value.protocol, value.caller);
}
template <typename Archive>
auto fields(Archive& archive, flow_packet& value) {
    return detail::list_fields(archive, value.flow, value.bucket, value.version, value.target,
                               value.balancer, value.hops, value.payload);
}
template <typename Archive>
auto fields(Archive& archive, flow_query& value) {
    return detail::list_fields(archive, value.packet, value.owner, value.owner_agent, value.epoch);
}
template <typename Archive>
auto fields(Archive& archive, flow_answer& value) {
    return detail::list_fields(archive, value.flow, value.bucket, value.from, value.target,
                               value.held, value.fence);
}
template <typename Archive>
auto fields(Archive& archive, flow_reply& value) {
    return detail::list_fields(archive, value.flow, value.from, value.payload);
}
template <typename Archive>
auto fields(Archive& archive, refusal_notice& value) {
    return detail::list_fields(archive, value.flow, value.target, value.reason, value.version);
}
template <typename Archive>
auto fields(Archive& archive, flow_copy& value) {
    return detail::list_fields(archive, value.flow, value.slot);
}
template <typename Archive>
auto fields(Archive& archive, replication_batch& value) {
    return detail::list_fields(archive, value.holder, value.target, value.holder_agent,
                               value.holder_process, value.batch, value.opened, value.closed);
}
template <typename Archive>
auto fields(Archive& archive, replication_ack& value) {
    return detail::list_fields(archive, value.holder, value.replica, value.holder_process,
                               value.batch, value.replica_process);
}
template <typename Archive>
auto fields(Archive& archive, recovery_request& value) {
    return detail::list_fields(archive, value.holder, value.target, value.holder_agent,
                               value.holder_process, value.after_slot);
}
template <typename Archive>
auto fields(Archive& archive, recovery_page& value) {
    return detail::list_fields(archive, value.holder, value.replica, value.holder_process,
                               value.after_slot, value.last, value.flows);
}
template <typename Archive>
auto fields(Archive& archive, path_probe& value) {
    return detail::list_fields(archive, value.token, value.answer, value.from);
}

} // namespace toucanusher
