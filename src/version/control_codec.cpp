#include "src/version/control_codec.h"

#include "src/process/log_fields_codec.h"
#include "src/version/fleet_fields_codec.h"

namespace toucanusher {

inline bool is_valid(daemon_role value) {
    return value <= daemon_role::control;
}
inline bool is_valid(host_change value) {
    return value <= host_change::remove;
}
inline bool is_valid(control_refusal value) {
    return value <= control_refusal::host_change_refused;
}

template <typename Archive>
auto fields(Archive& archive, snapshot_id& value) {
    return detail::list_fields(archive, value.version, value.digest, value.size);
}
template <typename Archive>
auto fields(Archive& archive, snapshot_part& value) {
    return detail::list_fields(archive, value.snapshot, value.offset, value.bytes);
}
template <typename Archive>
auto fields(Archive& archive, snapshot_progress& value) {
    return detail::list_fields(archive, value.snapshot, value.received);
}
template <typename Archive>
auto fields(Archive& archive, heartbeat& value) {
    return detail::list_fields(archive, value.name, value.role, value.process_instance,
                               value.applied, value.wants_confirmation, value.upstreams,
                               value.ended_upstreams, value.balancer, value.balancer_leaving,
                               value.releases, value.follows_state, value.transfer);
}
template <typename Archive>
auto fields(Archive& archive, state_update& value) {
    return detail::list_fields(archive, value.base, value.newest, value.commands, value.snapshot,
                               value.leader_contact_age, value.confirmed_instance,
                               value.control_hosts, value.directory_version, value.directory_only);
}
template <typename Archive>
auto fields(Archive& archive, read_settings& value) {
    return detail::list_fields(archive, value.service, value.key);
}
template <typename Archive>
auto fields(Archive& archive, read_history& value) {
    return detail::list_fields(archive, value.limit);
}
template <typename Archive>
auto fields(Archive& archive, read_status& /*value*/) {
    return detail::list_fields(archive);
}
template <typename Archive>
auto fields(Archive& archive, change_hosts& value) {
    return detail::list_fields(archive, value.change, value.host);
}
template <typename Archive>
auto fields(Archive& archive, operator_request& value) {
    return detail::list_fields(archive, value.id, value.action);
}
template <typename Archive>
auto fields(Archive& archive, setting_claims& value) {
    return detail::list_fields(archive, value.setting, value.claims);
}
template <typename Archive>
auto fields(Archive& archive, settings_view& value) {
    return detail::list_fields(archive, value.version, value.settings);
}
template <typename Archive>
auto fields(Archive& archive, history_view& value) {
    return detail::list_fields(archive, value.records);
}
template <typename Archive>
auto fields(Archive& archive, daemon_view& value) {
    return detail::list_fields(archive, value.name, value.role, value.applied,
                               value.since_last_contact);
}
template <typename Archive>
auto fields(Archive& archive, upstream_view& value) {
    return detail::list_fields(archive, value.record, value.buckets, value.predecessor_buckets);
}
template <typename Archive>
auto fields(Archive& archive, status_view& value) {
    return detail::list_fields(archive, value.answered_by, value.leader, value.term, value.version,
                               value.hosts, value.host_matches, value.commit, value.daemons,
                               value.upstreams, value.balancers);
}
template <typename Archive>
auto fields(Archive& archive, operator_refusal& value) {
    return detail::list_fields(archive, value.reason, value.leader, value.detail);
}
template <typename Archive>
auto fields(Archive& archive, host_change_done& value) {
    return detail::list_fields(archive, value.hosts);
}
template <typename Archive>
auto fields(Archive& archive, operator_reply& value) {
    return detail::list_fields(archive, value.id, value.answer);
}
template <typename Archive>
auto fields(Archive& archive, forwarded_commands& value) {
    return detail::list_fields(archive, value.commands);
}
template <typename Archive>
auto fields(Archive& archive, daemon_report& value) {
    return detail::list_fields(archive, value.name, value.role, value.applied, value.upstreams,
                               value.balancer_incarnation);
}
template <typename Archive>
auto fields(Archive& archive, lease_report& value) {
    return detail::list_fields(archive, value.daemons);
}
template <typename Archive>
auto fields(Archive& archive, index_query& value) {
    return detail::list_fields(archive, value.token);
}
template <typename Archive>
auto fields(Archive& archive, index_answer& value) {
    return detail::list_fields(archive, value.token, value.ok, value.index);
}

template <typename Archive>
auto fields(Archive& archive, host_message& value) {
    return detail::list_fields(archive, value.from, value.address, value.content);
}
template <typename Archive>
auto fields(Archive& archive, join_request& value) {
    return detail::list_fields(archive, value.host, value.address);
}
template <typename Archive>
auto fields(Archive& archive, join_answer& value) {
    return detail::list_fields(archive, value.sender, value.hosts, value.version);
}
template <typename Archive>
auto fields(Archive& archive, link_acknowledgement& /*value*/) {
    return detail::list_fields(archive);
}

std::string encode_control_message(control_message const& message) {
    return detail::encode(message);
}

absl::StatusOr<control_message> decode_control_message(std::string_view bytes) {
    return detail::decode<control_message>(bytes);
}

} // namespace toucanusher
