// The part of request_executor that records runs, so that a request that must not be repeated runs
// at one agent only.
#include "toucanusher/request/request_executor.h"

#include "toucanusher/process/overloaded.h"
#include "toucanusher/request/record_replicas.h"

namespace toucanusher {

request_actions request_executor::on_run_message(time_point now, wall_time wall,
                                                 run_message const& message) {
    request_actions actions;
    std::visit(overloaded{
                   [&](run_record_request const& received) {
                       if (received.target != options_.self)
                           return;
                       bool const recent =
                           is_member_list_recent(member_lists(), received.version,
                                                 wall - options_.dedup_window / 2) &&
                           !is_cut_off(now);
                       actions.push_back(send_run_message{
                           received.runner_agent, run_records_.record_run(now, received, recent)});
                   },
                   [&](run_record_reply const& reply) {
                       request* const entry = find(reply.id);
                       if (reply.target != options_.self || entry == nullptr ||
                           entry->current_phase != phase::recording)
                           return;
                       entry->record_round->on_reply(reply);
                       check_record_round(now, reply.id, *entry, actions);
                   },
                   [&](outcome_query const& query) {
                       request* const entry = find(query.id);
                       if (query.target != options_.self)
                           return;
                       if (entry != nullptr) {
                           add_caller(*entry, query.flow, query.balancer);
                           if (entry->current_phase == phase::finished)
                               send_parts(*entry, actions);
                           return;
                       }
                       // This incarnation recorded the run, but its outcome has expired.
                       answer_part part;
                       part.id = query.id;
                       part.reason = request_refusal::too_old;
                       actions.push_back(send_answer{query.flow, query.balancer, part});
                   },
               },
               message);
    return actions;
}

void request_executor::start_recording(time_point now, wall_time wall, request_id const& id,
                                       request& entry, request_actions& actions) {
    if (is_cut_off(now)) {
        refuse(now, id, entry, request_refusal::cut_off, actions);
        return;
    }
    entry.current_phase = phase::recording;
    entry.started_at = now;
    wall_time const window_start = wall - options_.dedup_window - options_.clock_skew;
    entry.record_round.emplace(record_replica_sets(member_lists(), window_start, id));
    send_record_requests(now, id, entry, actions);
    check_record_round(now, id, entry, actions);
}

void request_executor::send_record_requests(time_point now, request_id const& id, request& entry,
                                            request_actions& actions) {
    entry.timer = now + options_.record_retry_interval;
    for (upstream_ref const replica : entry.record_round->missing()) {
        run_record_request const message{
            replica, options_.self,    options_.process_instance, options_.self_agent,
            id,      state_->version()};
        if (replica == options_.self) {
            entry.record_round->on_reply(run_records_.record_run(now, message, true));
            continue;
        }
        if (upstream_record const* const record = state_->upstream(replica))
            actions.push_back(send_run_message{record->announcement.agent, message});
    }
}

void request_executor::check_record_round(time_point now, request_id const& id, request& entry,
                                          request_actions& actions) {
    switch (entry.record_round->state()) {
    case run_record_state::pending:
        return;
    case run_record_state::granted:
        entry.record_granted = true;
        admit(now, id, entry, actions);
        return;
    case run_record_state::unavailable:
        refuse(now, id, entry, request_refusal::claim_unavailable, actions);
        return;
    case run_record_state::taken:
        break;
    }
    // A record of this incarnation was made by an earlier process of this agent.
    upstream_record const* const runner = state_->upstream(*entry.record_round->runner());
    if (runner == nullptr || runner->ref == options_.self) {
        refuse(now, id, entry, request_refusal::runner_lost, actions);
        return;
    }
    // The runner answers the callers itself; this entry only prevents a second run here.
    entry.current_phase = phase::run_elsewhere;
    entry.timer = entry.deadline;
    for (destination const& caller : entry.callers)
        actions.push_back(
            send_run_message{runner->announcement.agent,
                             outcome_query{runner->ref, id, caller.flow, caller.balancer}});
}

std::vector<member_list> const& request_executor::member_lists() const {
    static std::vector<member_list> const none;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? none : *state_->service(own->service)->member_lists;
}

bool request_executor::is_cut_off(time_point now) const {
    return now - last_control_contact_ > options_.control_timeout && !faults_.ignore_cut_off;
}

} // namespace toucanusher
