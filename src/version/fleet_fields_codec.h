// Field lists of the types of the replicated state, for the codecs that encode them. Their order is
// part of the encoding.
#pragma once

#include "src/process/archive_codec.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

inline bool is_valid(claim_verdict value) {
    return value <= claim_verdict::refused;
}

template <typename Archive>
auto fields(Archive& archive, upstream_ref& value) {
    return detail::list_fields(archive, value.id, value.incarnation);
}
template <typename Archive>
auto fields(Archive& archive, setting_id& value) {
    return detail::list_fields(archive, value.service, value.key);
}
template <typename Archive>
auto fields(Archive& archive, setting_path& value) {
    return detail::list_fields(archive, value.team, value.setting);
}
template <typename Archive>
auto fields(Archive& archive, claim& value) {
    return detail::list_fields(archive, value.team, value.value, value.loudness, value.accepted,
                               value.changed);
}
template <typename Archive>
auto fields(Archive& archive, claim_result& value) {
    return detail::list_fields(archive, value.verdict, value.version, value.winner, value.reason);
}
template <typename Archive>
auto fields(Archive& archive, claim_record& value) {
    return detail::list_fields(archive, value.request, value.path, value.value, value.loudness,
                               value.result);
}
template <typename Archive>
auto fields(Archive& archive, write_claim& value) {
    return detail::list_fields(archive, value.request, value.path, value.value, value.loudness,
                               value.expected);
}
template <typename Archive>
auto fields(Archive& archive, withdraw_claim& value) {
    return detail::list_fields(archive, value.request, value.path, value.expected);
}
template <typename Archive>
auto fields(Archive& archive, upstream_announcement& value) {
    return detail::list_fields(archive, value.service, value.name, value.incarnation, value.agent,
                               value.zone, value.slots, value.ready_percent, value.draining,
                               value.reports_flows);
}
template <typename Archive>
auto fields(Archive& archive, member_list::member& value) {
    return detail::list_fields(archive, value.ref, value.zone);
}
template <typename Archive>
auto fields(Archive& archive, member_list& value) {
    return detail::list_fields(archive, value.since, value.proposed_at, value.members);
}
template <typename Archive>
auto fields(Archive& archive, upstream_record& value) {
    return detail::list_fields(archive, value.ref, value.service, value.announcement);
}
template <typename Archive>
auto fields(Archive& archive, balancer_record& value) {
    return detail::list_fields(archive, value.name, value.incarnation, value.reply_address,
                               value.zone, value.draining);
}
template <typename Archive>
auto fields(Archive& archive, announce_upstream& value) {
    return detail::list_fields(archive, value.announcement, value.proposed_at);
}
template <typename Archive>
auto fields(Archive& archive, remove_upstream& value) {
    return detail::list_fields(archive, value.ref, value.proposed_at);
}
template <typename Archive>
auto fields(Archive& archive, announce_balancer& value) {
    return detail::list_fields(archive, value.balancer);
}
template <typename Archive>
auto fields(Archive& archive, remove_balancer& value) {
    return detail::list_fields(archive, value.name, value.incarnation);
}
template <typename Archive>
auto fields(Archive& archive, release_buckets& value) {
    return detail::list_fields(archive, value.ref, value.service, value.fence, value.buckets);
}
template <typename Archive>
auto fields(Archive& archive, claim_book::contents& value) {
    return detail::list_fields(archive, value.claims, value.history);
}
template <typename Archive>
auto fields(Archive& archive, steering_table::contents& value) {
    detail::packed_list owners(value.owners);
    detail::packed_list epochs(value.epochs);
    detail::packed_list predecessors(value.predecessors);
    return detail::list_fields(archive, value.version, value.members, owners, epochs,
                               value.epoch_versions, predecessors);
}
inline bool is_valid(request_kind value) {
    return value <= request_kind::download;
}
template <typename Archive>
auto fields(Archive& archive, weighted_service& value) {
    return detail::list_fields(archive, value.service, value.weight);
}
template <typename Archive>
auto fields(Archive& archive, route& value) {
    return detail::list_fields(archive, value.name, value.address, value.kind, value.timeout,
                               value.objective, value.priority, value.split, value.document);
}
template <typename Archive>
auto fields(Archive& archive, routed_service& value) {
    return detail::list_fields(archive, value.name, value.health_path, value.max_connections,
                               value.document);
}
template <typename Archive>
auto fields(Archive& archive, configuration& value) {
    return detail::list_fields(archive, value.number, value.routes, value.services,
                               value.idle_timeout, value.document);
}
template <typename Archive, typename T>
auto fields(Archive& archive, list_step<T>& value) {
    return detail::list_fields(archive, value.first, value.count, value.added);
}
template <typename Archive>
auto fields(Archive& archive, edit_configuration& value) {
    return detail::list_fields(archive, value.base, value.number, value.routes, value.services,
                               value.idle_timeout, value.document);
}
template <typename Archive>
auto fields(Archive& archive, fleet_state::contents& value) {
    return detail::list_fields(archive, value.version, value.next_service, value.next_upstream,
                               value.claims, value.services, value.tables, value.member_lists,
                               value.upstreams, value.upstream_ids, value.balancers, value.routes);
}

} // namespace toucanusher
