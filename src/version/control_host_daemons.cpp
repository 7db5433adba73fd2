// The part of control_host that serves daemons: heartbeats, state updates, and the leases of
// members.
#include "toucanusher/version/control_host.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_output control_host::on_heartbeat(time_point now, client_id id, heartbeat const& message) {
    auto const at = clients_.try_emplace(id, options_.delivery).first;
    client& from = at->second;
    if (from.process_instance != message.process_instance || from.name != message.name)
        from = client(options_.delivery);
    from.name = message.name;
    from.role = message.role;
    from.process_instance = message.process_instance;
    from.follows_state = message.follows_state;
    from.last_contact = now;
    from.delivery.on_report(now, message.applied);
    if (from.transfer && message.applied >= from.transfer->version())
        from.transfer.reset();
    else if (from.transfer)
        from.transfer->on_report(now, message.transfer);
    else if (message.transfer && message.transfer->snapshot == checkpoint_snapshot()->id)
        from.transfer.emplace(options_.transfer, checkpoint_snapshot(), now, message.transfer);
    from.report = {message.name, message.role, message.applied, {}, std::nullopt};
    for (upstream_announcement const& announcement : message.upstreams) {
        upstream_record const* const current =
            state_->upstream_named(announcement.service, announcement.name);
        if (current != nullptr && current->announcement.incarnation == announcement.incarnation)
            from.report.upstreams.push_back(current->ref);
        propose_if_needed(now, announce_upstream{announcement, {}});
    }
    for (upstream_announcement const& announcement : message.ended_upstreams) {
        upstream_record const* const current =
            state_->upstream_named(announcement.service, announcement.name);
        if (current != nullptr && current->announcement.incarnation == announcement.incarnation)
            propose_if_needed(now, remove_upstream{current->ref, {}});
    }
    if (message.balancer && message.balancer_leaving)
        propose_if_needed(now, remove_balancer{message.name, message.balancer->incarnation});
    else if (message.balancer)
        propose_if_needed(now, announce_balancer{*message.balancer});
    if (message.balancer)
        from.report.balancer_incarnation = message.balancer->incarnation;
    for (release_buckets const& release : message.releases)
        propose_if_needed(now, release);
    record_report(now, from.report);
    pending_reports_.push_back(from.report);
    if (message.wants_confirmation)
        confirm_client(now, id, from);
    repeat_lost_updates(now, from);
    push_update(now, id, from);
    return take_output();
}

void control_host::push_updates(time_point now) {
    if (now < next_push_at_)
        return;
    for (auto& [id, to] : clients_) {
        repeat_lost_updates(now, to);
        if (to.transfer) {
            push_snapshot_parts(now, id, to);
        } else if (to.follows_state && to.delivery.sent() < state_->version()) {
            push_update(now, id, to);
            next_push_at_ = now + options_.push_interval;
        }
    }
}

void control_host::repeat_lost_updates(time_point now, client& to) {
    version_number const sent = to.transfer ? to.transfer->version() : to.delivery.sent();
    if (to.transfer ? to.transfer->repeat_if_due(now) : to.delivery.repeat_if_due(now))
        output_.repeats.push_back({to.name, to.delivery.sent(), sent});
}

// Sends the missing versions, and the address and the contacts of control hosts with them. The
// parts of a snapshot in transit contain these as well, so nothing is sent beside them.
void control_host::push_update(time_point now, client_id id, client& to) {
    if (to.follows_state && !to.transfer && needs_snapshot(to))
        to.transfer.emplace(options_.transfer, checkpoint_snapshot(), now, std::nullopt);
    if (to.transfer) {
        push_snapshot_parts(now, id, to);
        return;
    }
    state_update update = make_update(now);
    update.base = to.delivery.sent();
    if (to.confirmation_index && applied_index_ >= *to.confirmation_index) {
        update.confirmed_instance = to.process_instance;
        to.confirmation_index.reset();
    }
    if (to.follows_state)
        add_missing_commands(now, to.delivery, update);
    output_.to_clients.push_back({id, std::move(update)});
}

void control_host::push_snapshot_parts(time_point now, client_id id, client& to) {
    for (snapshot_part& part : to.transfer->next_parts(now)) {
        state_update update = make_update(now);
        update.snapshot = std::move(part);
        output_.to_clients.push_back({id, std::move(update)});
    }
}

state_update control_host::make_update(time_point now) const {
    state_update update;
    update.newest = state_->version();
    update.leader_contact_age = log_.leader_contact_age(now);
    update.control_hosts = host_addresses();
    update.directory_version = log_.members_index();
    return update;
}

bool control_host::needs_snapshot(client const& to) {
    std::uint64_t const sent = value_of(to.delivery.sent());
    std::uint64_t const oldest = value_of(state_->version()) - commands_.size();
    if (value_of(checkpoint_->version()) < oldest)
        set_checkpoint(); // the commands after the last one are no longer retained
    if (sent >= value_of(checkpoint_->version()))
        return false;
    if (sent < oldest || sent == 0)
        return true;
    std::size_t bytes = 0;
    for (std::size_t i = sent - oldest; i < commands_.size(); ++i)
        bytes += commands_[i].size();
    return bytes > options_.max_command_bytes_per_update &&
           bytes * 100 > checkpoint_snapshot()->bytes.size() * options_.snapshot_percent;
}

std::shared_ptr<encoded_snapshot const> const& control_host::checkpoint_snapshot() {
    if (!checkpoint_snapshot_)
        checkpoint_snapshot_ =
            make_snapshot(checkpoint_->version(), codec_.encode_state(checkpoint_->for_daemons()));
    return checkpoint_snapshot_;
}

// Adds the commands after the last one that was sent.
void control_host::add_missing_commands(time_point now, update_delivery& delivery,
                                        state_update& update) {
    std::uint64_t const oldest = value_of(state_->version()) - commands_.size();
    std::size_t next = value_of(delivery.sent()) - oldest;
    std::size_t bytes = 0;
    while (next < commands_.size() && update.commands.size() < options_.max_commands_per_update &&
           bytes < options_.max_command_bytes_per_update) {
        bytes += commands_[next].size();
        update.commands.push_back(commands_[next++]);
    }
    if (!update.commands.empty())
        delivery.on_sent(now, version_number{oldest + next}, bytes);
}

void control_host::send_reports(time_point /*now*/) {
    auto const reports = std::exchange(pending_reports_, {});
    if (!log_.leader() || log_.role() == log_role::leader || reports.empty())
        return;
    output_.to_hosts.push_back({*log_.leader(), lease_report{reports}});
}

void control_host::record_report(time_point now, daemon_report const& report) {
    daemons_[report.name] = {report, now};
    leases_.renew(now, report);
}

void control_host::expire_members(time_point now) {
    if (log_.role() != log_role::leader || !log_.serves_reads())
        return;
    for (fleet_command const& command : leases_.expired(now, *state_))
        propose_if_needed(now, command);
    constexpr auto silent_daemon_retention = std::chrono::minutes{10};
    std::erase_if(daemons_, [&](auto const& item) {
        return now - item.second.last_contact > silent_daemon_retention;
    });
}

void control_host::confirm_client(time_point now, client_id id, client& /*requester*/) {
    bool const is_pending =
        std::any_of(pending_reads_.begin(), pending_reads_.end(), [&](auto const& item) {
            auto const* requester = std::get_if<client_id>(&item.second.requester);
            return requester != nullptr && *requester == id;
        });
    if (is_pending && log_.role() != log_role::leader && now < next_report_at_)
        return; // a query to the leader is recent
    std::uint64_t const token = next_token_++;
    if (log_.role() == log_role::leader) {
        pending_reads_[token] = {id, std::nullopt};
        apply_log_output(now, log_.read(now, token));
    } else if (log_.leader()) {
        std::erase_if(pending_reads_, [&](auto const& item) {
            auto const* requester = std::get_if<client_id>(&item.second.requester);
            return requester != nullptr && *requester == id;
        });
        pending_reads_[token] = {id, std::nullopt};
        output_.to_hosts.push_back({*log_.leader(), index_query{token}});
    }
}

} // namespace toucanusher
