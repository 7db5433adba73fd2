#include "toucanusher/version/control_host.h"

#include <algorithm>
#include <utility>

#include "toucanusher/process/overloaded.h"

namespace toucanusher {

namespace {

// Sets the proposal time of a membership change; other commands have none.
void set_proposal_time(fleet_command& command, wall_time at) {
    if (auto* announce = std::get_if<announce_upstream>(&command))
        announce->proposed_at = at;
    if (auto* removal = std::get_if<remove_upstream>(&command))
        removal->proposed_at = at;
}

fleet_command without_proposal_time(fleet_command command) {
    set_proposal_time(command, {});
    return command;
}

std::chrono::milliseconds to_milliseconds(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

} // namespace

control_host::control_host(control_options options, state_codec codec, durable_log stored,
                           time_point now, random_source random, log_faults log_faults,
                           claim_faults claim_faults)
    : options_(options), codec_(std::move(codec)),
      log_(options.log, stored, now, std::move(random), log_faults),
      state_(std::make_shared<fleet_state>(claim_faults)),
      checkpoint_(std::make_shared<fleet_state const>(*state_)), leases_(options.member_lease),
      configurations_(options.configuration_timeout), last_leader_contact_(now) {
    if (stored.snapshot.index > 0 && !stored.snapshot.state.empty())
        restore(stored.snapshot);
}

control_output control_host::on_tick(time_point now) {
    apply_log_output(now, log_.on_tick(now));
    update_leadership(now);
    if (now >= next_report_at_) {
        next_report_at_ = now + options_.report_interval;
        send_reports(now);
        expire_members(now);
        std::erase_if(clients_, [&](auto const& item) {
            return now - item.second.last_contact > options_.client_timeout;
        });
        std::erase_if(proposed_at_, [&](auto const& item) {
            return now - item.second > options_.proposal_retry_interval;
        });
    }
    if (options_.automatic_hosts) {
        request_join(now);
        announce_hosts(now);
        propose_host_plan(now);
    }
    expire_configuration_reads(now);
    serve_configurations(now);
    push_updates(now);
    return take_output();
}

control_output control_host::on_synced(time_point now, std::uint64_t sequence) {
    apply_log_output(now, log_.on_synced(now, sequence));
    serve_configurations(now);
    push_updates(now);
    return take_output();
}

control_output control_host::on_host_message(time_point now, host_id from,
                                             control_message message) {
    if (auto const* log = std::get_if<log_message>(&message)) {
        if (log->from == from)
            apply_log_output(now, log_.on_message(now, *log));
        update_leadership(now);
    } else if (auto const* forwarded = std::get_if<forwarded_commands>(&message)) {
        for (fleet_command const& command : forwarded->commands)
            propose_if_needed(now, command);
    } else if (auto const* report = std::get_if<lease_report>(&message)) {
        for (daemon_report const& daemon : report->daemons)
            record_report(now, daemon);
    } else if (auto const* query = std::get_if<index_query>(&message)) {
        std::uint64_t const token = next_token_++;
        pending_reads_[token] = {std::pair{from, query->token}, std::nullopt};
        apply_log_output(now, log_.read(now, token));
    } else if (auto const* answer = std::get_if<index_answer>(&message)) {
        auto const read = pending_reads_.find(answer->token);
        if (read != pending_reads_.end() && answer->ok)
            read->second.index = answer->index;
        else if (read != pending_reads_.end())
            pending_reads_.erase(read);
    } else if (auto const* request = std::get_if<join_request>(&message)) {
        on_join_request(now, from, *request);
    } else if (auto const* directory = std::get_if<join_answer>(&message)) {
        directory_.add_addresses(directory->hosts);
    }
    serve_configurations(now);
    answer_reads(now);
    push_updates(now);
    return take_output();
}

control_output control_host::on_operator(time_point now, client_id from, std::string const& team,
                                         operator_request request) {
    bool const writes = std::holds_alternative<write_claim>(request.action) ||
                        std::holds_alternative<withdraw_claim>(request.action);
    if (log_.role() != log_role::leader) {
        if (std::holds_alternative<read_status>(request.action) && !log_.leader())
            reply(from, request.id, view_status(now)); // status is readable without a leader
        else
            refuse(from, request.id,
                   log_.leader() ? control_refusal::not_leader : control_refusal::no_leader, {});
        return take_output();
    }
    if (writes && pending_writes_.size() >= options_.max_pending_writes) {
        refuse(from, request.id, control_refusal::busy, {});
        return take_output();
    }
    std::visit(
        overloaded{
            [&](write_claim const& c) { write(now, from, team, request, c, c.path.team); },
            [&](withdraw_claim const& c) { write(now, from, team, request, c, c.path.team); },
            [&](change_hosts const& c) {
                if (team.empty())
                    run_host_change(now, from, request.id, c);
                else
                    refuse(from, request.id, control_refusal::not_authorised,
                           "changing the control hosts requires the fleet's key");
            },
            [&](auto const&) {
                std::uint64_t const token = next_token_++;
                pending_reads_[token] = {std::pair{from, request}, std::nullopt};
                apply_log_output(now, log_.read(now, token));
                answer_reads(now);
            },
        },
        request.action);
    return take_output();
}

control_output control_host::take_output() {
    return std::exchange(output_, {});
}

void control_host::apply_log_output(time_point now, log_output output) {
    for (log_message& message : output.messages)
        output_.to_hosts.push_back({message.to, std::move(message)});
    for (disk_write& write : output.writes)
        output_.writes.push_back(std::move(write));
    if (output.restored)
        restore(*output.restored);
    for (log_entry const& entry : output.committed)
        apply(now, entry);
    for (read_result const& result : output.reads) {
        auto const read = pending_reads_.find(result.request);
        if (read == pending_reads_.end())
            continue;
        if (result.ok) {
            read->second.index = result.index;
            continue;
        }
        if (auto const* host =
                std::get_if<std::pair<host_id, std::uint64_t>>(&read->second.requester))
            output_.to_hosts.push_back({host->first, index_answer{host->second, false, 0}});
        if (auto const* op =
                std::get_if<std::pair<client_id, operator_request>>(&read->second.requester))
            refuse(op->first, op->second.id, control_refusal::no_leader, {});
        if (auto const* reader = std::get_if<configuration_reader>(&read->second.requester))
            output_.configurations.push_back({.call = reader->call});
        pending_reads_.erase(read);
    }
    compact_if_due();
    answer_reads(now);
}

void control_host::apply(time_point /*now*/, log_entry const& entry) {
    applied_index_ = entry.index;
    std::optional<claim_result> result;
    if (entry.kind == entry_kind::command) {
        auto const command = codec_.decode_command(entry.payload);
        // Every host decodes the same bytes, so all of them skip a command that fails to decode.
        if (command.ok()) {
            result = state_->apply(*command);
            bytes_since_compaction_ += entry.payload.size();
            auto const* edit = std::get_if<edit_configuration>(&*command);
            if (edit != nullptr)
                configurations_.on_edit_applied();
            retain_command(edit == nullptr ? entry.payload
                                           : codec_.encode_command(without_documents(*edit)));
            if (edit != nullptr ||
                value_of(state_->version()) % options_.commands_per_checkpoint == 0)
                set_checkpoint();
            proposed_at_.erase(codec_.encode_command(without_proposal_time(*command)));
        }
    }
    auto const waiting = pending_writes_.find(entry.index);
    if (waiting == pending_writes_.end())
        return;
    pending_write const done = waiting->second;
    pending_writes_.erase(waiting);
    if (done.term == entry.term && done.changes_hosts)
        reply(done.client, done.request, host_change_done{*entry.members});
    else if (done.term != entry.term || !result)
        refuse(done.client, done.request, control_refusal::lost_leadership, {});
    else
        reply(done.client, done.request, *result);
}

void control_host::retain_command(std::string command) {
    command_bytes_ += command.size();
    commands_.push_back(std::move(command));
    while (commands_.size() > options_.retained_commands ||
           command_bytes_ > options_.retained_command_bytes) {
        command_bytes_ -= commands_.front().size();
        commands_.pop_front();
    }
}

void control_host::restore(log_snapshot const& snapshot) {
    auto state = codec_.decode_state(snapshot.state);
    if (!state.ok()) {
        return;
    }
    state_ = std::make_shared<fleet_state>(*std::move(state));
    applied_index_ = snapshot.index;
    compacted_index_ = snapshot.index;
    commands_.clear();
    command_bytes_ = 0;
    bytes_since_compaction_ = 0;
    set_checkpoint();
}

void control_host::set_checkpoint() {
    checkpoint_ = std::make_shared<fleet_state const>(*state_);
    checkpoint_snapshot_.reset();
}

void control_host::update_leadership(time_point now) {
    bool const leads = log_.role() == log_role::leader;
    if (auto const age = log_.leader_contact_age(now))
        last_leader_contact_ = std::max(last_leader_contact_, now - *age);
    if (leads && !was_leader_) {
        leases_.restart(now);
        directory_.reset_contacts(now, log_.members());
        leader_since_ = now;
    }
    if (!leads && was_leader_) {
        for (configuration_answer& answer : configurations_.fail_pending())
            output_.configurations.push_back(std::move(answer));
        for (auto const& [index, waiting] : pending_writes_)
            refuse(waiting.client, waiting.request, control_refusal::lost_leadership, {});
        pending_writes_.clear();
    }
    was_leader_ = leads;
}

void control_host::propose(time_point now, fleet_command command) {
    set_proposal_time(command, options_.wall_clock());
    log_output output;
    if (log_.propose(now, codec_.encode_command(command), output).ok())
        apply_log_output(now, std::move(output));
}

// Proposes a command or forwards it to the leader if it would change the state. Heartbeats repeat
// such commands, so each is proposed at most once per retry interval.
void control_host::propose_if_needed(time_point now, fleet_command const& command) {
    if (!changes_state(command))
        return;
    std::string const key = codec_.encode_command(without_proposal_time(command));
    auto const [at, is_new] = proposed_at_.try_emplace(key, now);
    if (!is_new && now - at->second < options_.proposal_retry_interval)
        return;
    at->second = now;
    if (log_.role() == log_role::leader)
        propose(now, command);
    else if (log_.leader())
        output_.to_hosts.push_back({*log_.leader(), forwarded_commands{{command}}});
}

bool control_host::changes_state(fleet_command const& command) const {
    if (auto const* announce = std::get_if<announce_upstream>(&command)) {
        upstream_record const* const current =
            state_->upstream_named(announce->announcement.service, announce->announcement.name);
        return current == nullptr || current->announcement != announce->announcement;
    }
    if (auto const* removal = std::get_if<remove_upstream>(&command))
        return state_->upstream(removal->ref) != nullptr;
    if (auto const* announce = std::get_if<announce_balancer>(&command)) {
        balancer_record const* const current = state_->balancer(announce->balancer.name);
        return current == nullptr || *current != announce->balancer;
    }
    if (auto const* removal = std::get_if<remove_balancer>(&command)) {
        balancer_record const* const current = state_->balancer(removal->name);
        return current != nullptr && current->incarnation == removal->incarnation;
    }
    if (auto const* release = std::get_if<release_buckets>(&command)) {
        service_record const* const service = state_->service(release->service);
        if (service == nullptr)
            return false;
        return std::any_of(release->buckets.begin(), release->buckets.end(), [&](auto bucket) {
            if (value_of(bucket) >= buckets_per_service)
                return false;
            return service->table->is_predecessor(release->ref, bucket);
        });
    }
    return true;
}

void control_host::compact_if_due() {
    if (applied_index_ < compacted_index_ + options_.entries_per_snapshot &&
        bytes_since_compaction_ < options_.command_bytes_per_snapshot)
        return;
    compacted_index_ = applied_index_;
    bytes_since_compaction_ = 0;
    log_output output = log_.compact(applied_index_, codec_.encode_state(*state_));
    for (disk_write& write : output.writes)
        output_.writes.push_back(std::move(write));
}

void control_host::answer_reads(time_point now) {
    for (auto at = pending_reads_.begin(); at != pending_reads_.end();) {
        bool const for_host =
            std::holds_alternative<std::pair<host_id, std::uint64_t>>(at->second.requester);
        bool const ready = at->second.index && (for_host || applied_index_ >= *at->second.index);
        if (!ready) {
            ++at;
            continue;
        }
        pending_read const read = std::move(at->second);
        at = pending_reads_.erase(at);
        answer_read(now, read);
    }
}

void control_host::answer_read(time_point now, pending_read const& read) {
    std::visit(overloaded{
                   [&](std::pair<client_id, operator_request> const& op) {
                       reply(op.first, op.second.id, read_answer(now, op.second.action));
                   },
                   [&](std::pair<host_id, std::uint64_t> const& host) {
                       output_.to_hosts.push_back(
                           {host.first, index_answer{host.second, true, *read.index}});
                   },
                   [&](client_id id) {
                       auto const at = clients_.find(id);
                       if (at == clients_.end())
                           return;
                       at->second.confirmation_index = *read.index;
                       push_update(now, id, at->second);
                   },
                   [&](configuration_reader const& reader) {
                       output_.configurations.push_back(
                           {reader.call, configuration_verdict::current, {}, state_->routes()});
                   },
               },
               read.requester);
}

void control_host::write(time_point now, client_id from, std::string const& team,
                         operator_request const& request, fleet_command const& command,
                         std::string const& path_team) {
    if (team != path_team) {
        refuse(from, request.id, control_refusal::not_authorised,
               "a team may write only below its own path");
        return;
    }
    if (!outlives_losses()) {
        refuse(from, request.id, control_refusal::no_leader, "the log has too few voters yet");
        return;
    }
    log_output output;
    auto const index = log_.propose(now, codec_.encode_command(command), output);
    if (!index.ok()) {
        refuse(from, request.id, control_refusal::not_leader, {});
        return;
    }
    pending_writes_[*index] = {from, request.id, log_.term(), false};
    apply_log_output(now, std::move(output));
}

void control_host::refuse(client_id to, std::string const& id, control_refusal reason,
                          std::string detail) {
    output_.refusals.push_back(reason);
    reply(to, id, operator_refusal{reason, log_.leader(), std::move(detail)});
}

void control_host::reply(client_id to, std::string const& id, operator_answer answer) {
    output_.to_clients.push_back({to, operator_reply{id, std::move(answer)}});
}

operator_answer control_host::read_answer(time_point now, operator_action const& action) const {
    if (auto const* settings = std::get_if<read_settings>(&action))
        return view_settings(*settings);
    if (auto const* history = std::get_if<read_history>(&action)) {
        auto const& all = state_->claims().history();
        std::size_t const count = std::min<std::size_t>(history->limit, all.size());
        return history_view{{all.end() - static_cast<std::ptrdiff_t>(count), all.end()}};
    }
    return view_status(now);
}

settings_view control_host::view_settings(read_settings const& what) const {
    settings_view view;
    view.version = state_->version();
    for (setting_id const& setting : state_->claims().claimed_settings()) {
        bool const is_selected = (what.service.empty() || what.service == setting.service) &&
                                 (what.key.empty() || what.key == setting.key);
        if (is_selected)
            view.settings.push_back({setting, state_->claims().claims(setting)});
    }
    return view;
}

status_view control_host::view_status(time_point now) const {
    status_view view;
    view.answered_by = options_.log.self;
    view.leader = log_.leader();
    view.term = log_.term();
    view.version = state_->version();
    view.hosts = log_.members();
    view.commit = log_.commit_index();
    for (auto const* group : {&view.hosts.voters, &view.hosts.learners})
        for (host_id const host : *group)
            view.host_matches.emplace_back(
                host, host == options_.log.self ? log_.last_index() : log_.match_index(host));
    for (auto const& [name, reported] : daemons_)
        view.daemons.push_back({name, reported.report.role, reported.report.applied,
                                to_milliseconds(now - reported.last_contact)});
    for (upstream_record const* record : state_->upstreams()) {
        steering_table const& table = *state_->service(record->service)->table;
        view.upstreams.push_back(
            {*record, static_cast<std::uint32_t>(table.buckets_of(record->ref)),
             static_cast<std::uint32_t>(table.predecessor_buckets_of(record->ref))});
    }
    for (auto const& [name, record] : state_->balancers())
        view.balancers.push_back(record);
    return view;
}

} // namespace toucanusher
