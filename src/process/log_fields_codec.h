// Field lists of the replicated log's types, for the codecs that encode them.
#pragma once

#include "src/process/archive_codec.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

inline bool is_valid(entry_kind value) {
    return value <= entry_kind::members;
}

template <typename Archive>
auto fields(Archive& archive, log_members& value) {
    detail::omitted_if_empty next_voters{value.next_voters};
    return detail::list_fields(archive, value.voters, value.learners, value.addresses, next_voters);
}
template <typename Archive>
auto fields(Archive& archive, log_entry& value) {
    return detail::list_fields(archive, value.term, value.index, value.kind, value.payload,
                               value.members);
}
template <typename Archive>
auto fields(Archive& archive, hard_state& value) {
    return detail::list_fields(archive, value.term, value.vote);
}
template <typename Archive>
auto fields(Archive& archive, log_snapshot& value) {
    return detail::list_fields(archive, value.index, value.term, value.members, value.state);
}
template <typename Archive>
auto fields(Archive& archive, vote_request& value) {
    return detail::list_fields(archive, value.term, value.last_index, value.last_term,
                               value.pre_vote);
}
template <typename Archive>
auto fields(Archive& archive, vote_reply& value) {
    return detail::list_fields(archive, value.term, value.granted, value.pre_vote);
}
template <typename Archive>
auto fields(Archive& archive, append_request& value) {
    return detail::list_fields(archive, value.term, value.previous_index, value.previous_term,
                               value.commit, value.round, value.entries);
}
template <typename Archive>
auto fields(Archive& archive, append_reply& value) {
    return detail::list_fields(archive, value.term, value.accepted, value.match, value.round);
}
template <typename Archive>
auto fields(Archive& archive, snapshot_request& value) {
    return detail::list_fields(archive, value.term, value.round, value.snapshot);
}
template <typename Archive>
auto fields(Archive& archive, log_message& value) {
    return detail::list_fields(archive, value.from, value.to, value.body);
}
template <typename Archive>
auto fields(Archive& archive, disk_write& value) {
    return detail::list_fields(archive, value.sequence, value.state, value.snapshot,
                               value.truncate_from, value.entries);
}

} // namespace toucanusher
