#include "toucanusher/request/request_executor.h"

#include <algorithm>
#include <utility>

#include "toucanusher/process/overloaded.h"
#include "toucanusher/request/record_replicas.h"

namespace toucanusher {

namespace {

constexpr int service_time_weight = 8; // inverse of the moving average's gain

std::chrono::milliseconds time_left(time_point now, time_point deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
}

bool same_header(request_part const& a, request_part const& b) {
    return a.parts == b.parts && a.kind == b.kind && a.idempotent == b.idempotent &&
           a.team == b.team;
}

} // namespace

request_executor::request_executor(request_executor_options options,
                                   std::optional<time_point> restarted_at,
                                   std::shared_ptr<retry_budget> budget, random_source random,
                                   request_faults faults)
    : options_(std::move(options)), budget_(std::move(budget)), random_(std::move(random)),
      faults_(faults),
      run_records_({options_.self, 2 * options_.dedup_window,
                    run_record_store_options{}.max_records, faults.always_grant},
                   restarted_at && !faults.skip_abstaining
                       ? std::optional{*restarted_at + options_.dedup_window + options_.clock_skew}
                       : std::nullopt) {
    configure();
}

void request_executor::apply_state(time_point /*now*/, std::shared_ptr<fleet_state const> state) {
    state_ = std::move(state);
    upstream_record const* const own = state_->upstream(options_.self);
    if (own == nullptr)
        return;
    settings_ = *state_->service(own->service)->settings;
    configure();
}

request_actions request_executor::on_part(time_point now, wall_time wall, flow_key const& flow,
                                          endpoint balancer, request_part const& part) {
    request_actions actions;
    destination const caller{flow, balancer};
    if (request* const known = find(part.id)) {
        add_caller(*known, flow, balancer);
        if (known->current_phase == phase::finished) {
            send_parts(*known, actions);
            return actions;
        }
        known->header.resend = known->header.resend || part.resend;
        if (known->current_phase != phase::assembling)
            return actions;
        std::size_t const bytes_before = known->parts.bytes();
        if (!same_header(known->header, part) || !known->parts.add(part)) {
            refuse_part(part, caller, request_refusal::inconsistent_parts, false, actions);
            return actions;
        }
        assembly_bytes_ += known->parts.bytes() - bytes_before;
        if (known->parts.complete())
            on_assembled(now, wall, part.id, *known, actions);
        return actions;
    }
    bool const oversized =
        part.parts == 0 || part.parts > max_parts || part.part >= part.parts ||
        part.parts * part_payload_bytes > options_.max_request_bytes + part_payload_bytes ||
        part.payload.size() > part_payload_bytes;
    if (oversized) {
        // Every agent enforces the same limit, so no agent can have run the request.
        refuse_part(part, caller, request_refusal::too_large, true, actions);
        return actions;
    }
    bool const too_old = !part.idempotent && wall - creation_time(part.id) > options_.dedup_window;
    if (too_old) {
        refuse_part(part, caller, request_refusal::too_old, false, actions);
        return actions;
    }
    if (requests_.size() >= options_.max_requests ||
        assembly_bytes_ + part.payload.size() > options_.max_assembly_bytes) {
        refuse_part(part, caller, request_refusal::too_many_requests,
                    part.idempotent && !part.resend, actions);
        return actions;
    }
    request& entry = requests_.try_emplace(part.id, part).first->second;
    entry.header = part;
    entry.header.payload.clear();
    entry.callers.push_back(caller);
    entry.arrived_at = now;
    entry.deadline = now + (part.deadline.count() > 0 ? part.deadline : settings_.deadline);
    entry.timer = now + options_.assembly_timeout;
    if (!entry.parts.add(part))
        return actions;
    assembly_bytes_ += part.payload.size();
    if (entry.parts.complete())
        on_assembled(now, wall, part.id, entry, actions);
    return actions;
}

request_actions request_executor::on_cancel(time_point now, request_id const& id) {
    request_actions actions;
    request* const entry = find(id);
    if (entry == nullptr)
        return actions;
    switch (entry->current_phase) {
    case phase::assembling:
    case phase::waiting:
    case phase::backing_off:
        queue_.remove(id);
        refuse(now, id, *entry, request_refusal::cancelled, actions);
        break;
    case phase::running:
        start_cancel(now, id, *entry, request_refusal::cancelled, actions);
        break;
    case phase::recording:
    case phase::run_elsewhere:
    case phase::cancelling:
    case phase::finished:
        break; // the outcome is pending or already decided
    }
    return actions;
}

request_actions request_executor::on_ack(time_point /*now*/, answer_ack const& ack) {
    request_actions actions;
    request* const entry = find(ack.id);
    if (entry == nullptr || entry->current_phase != phase::finished ||
        entry->answer.unacknowledged() == 0)
        return actions;
    bool const had_more = entry->answer.unacknowledged() > options_.parts_in_flight;
    entry->answer.acknowledge(ack.parts);
    if (had_more)
        send_parts(*entry, actions);
    return actions;
}

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

request_actions request_executor::on_attempt_result(time_point now, attempt_result result) {
    request_actions actions;
    std::uint32_t const concurrent = in_flight_;
    --in_flight_;
    request* entry = find(result.id);
    if (faults_.match_answers_by_order) {
        for (auto& [id, other] : requests_)
            if (other.current_phase == phase::running) {
                result.id = id;
                result.attempt = other.attempts;
                entry = &other;
                break;
            }
    }
    bool const expected =
        entry != nullptr && entry->attempts == result.attempt &&
        (entry->current_phase == phase::running || entry->current_phase == phase::cancelling);
    if (expected) {
        switch (result.kind) {
        case attempt_result_kind::answered: {
            duration const run_time = now - entry->started_at;
            service_time_ = service_time_ == duration{}
                                ? run_time
                                : service_time_ + (run_time - service_time_) / service_time_weight;
            limit_.on_success(concurrent);
            answer_part answer;
            answer.id = result.id;
            answer.outcome = request_outcome::done;
            answer.status = result.status;
            finish(now, *entry, std::move(answer), result.body, actions);
            break;
        }
        case attempt_result_kind::shed:
            limit_.on_shed(now, concurrent);
            retry_or_refuse(now, result.id, *entry, retry_reason::upstream_shed,
                            request_refusal::upstream_shed, result.retry_after, actions);
            break;
        case attempt_result_kind::unreachable:
            retry_or_refuse(now, result.id, *entry, retry_reason::upstream_unreachable,
                            request_refusal::upstream_unreachable, {}, actions);
            break;
        case attempt_result_kind::lost:
            entry->may_have_run = !faults_.timeout_proves_not_run;
            retry_or_refuse(now, result.id, *entry, retry_reason::attempt_lost,
                            request_refusal::attempt_lost, {}, actions);
            break;
        }
    }
    dispatch(now, actions);
    return actions;
}

request_actions request_executor::on_cancel_result(time_point now, request_id const& id,
                                                   std::uint32_t attempt, cancel_result_kind kind) {
    request_actions actions;
    request* const entry = find(id);
    bool const expected =
        entry != nullptr && entry->current_phase == phase::cancelling && entry->attempts == attempt;
    if (!expected || kind == cancel_result_kind::no_answer)
        return actions;
    if (kind == cancel_result_kind::started)
        entry->may_have_run = true;
    refuse(now, id, *entry, entry->cancel_reason, actions);
    return actions;
}

request_actions request_executor::on_tick(time_point now) {
    request_actions actions;
    std::vector<queue_refusal> expired;
    queue_.remove_expired(now, expired);
    for (queue_refusal const& refusal : expired)
        if (request* const entry = find(refusal.id))
            refuse(now, refusal.id, *entry, refusal.reason, actions);
    std::vector<request_id> due;
    for (auto const& [id, entry] : requests_)
        if (entry.timer <= now && entry.current_phase != phase::waiting)
            due.push_back(id);
    for (request_id const& id : due)
        if (request* const entry = find(id))
            run_timer(now, id, *entry, actions);
    run_records_.remove_expired(now);
    dispatch(now, actions);
    return actions;
}

std::size_t request_executor::unfinished() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](auto const& item) {
            return item.second.current_phase != phase::finished ||
                   item.second.answer.unacknowledged() > 0;
        }));
}

bool request_executor::has_open_requests(flow_key const& flow) const {
    return std::any_of(requests_.begin(), requests_.end(), [&](auto const& item) {
        request const& entry = item.second;
        bool const open =
            entry.current_phase != phase::finished || entry.answer.unacknowledged() > 0;
        return open && std::any_of(entry.callers.begin(), entry.callers.end(),
                                   [&](destination const& d) { return d.flow == flow; });
    });
}

request_executor::request* request_executor::find(request_id const& id) {
    auto const found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void request_executor::add_caller(request& entry, flow_key const& flow, endpoint balancer) const {
    for (destination& known : entry.callers) {
        if (known.flow != flow)
            continue;
        known.balancer = balancer;
        return;
    }
    constexpr std::size_t max_callers = 4; // a caller may change its port between resends
    if (entry.callers.size() >= max_callers)
        entry.callers.erase(entry.callers.begin());
    entry.callers.push_back({flow, balancer});
}

void request_executor::on_assembled(time_point now, wall_time wall, request_id const& id,
                                    request& entry, request_actions& actions) {
    assembly_bytes_ -= entry.parts.bytes();
    entry.body = std::make_shared<std::string const>(entry.parts.take());
    budget_->on_request();
    if (entry.header.idempotent || faults_.skip_run_records) {
        entry.record_granted = faults_.skip_run_records;
        admit(now, id, entry, actions);
    } else {
        start_recording(now, wall, id, entry, actions);
    }
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

void request_executor::admit(time_point now, request_id const& id, request& entry,
                             request_actions& actions) {
    if (draining_) {
        refuse(now, id, entry, request_refusal::draining, actions);
        return;
    }
    entry.current_phase = phase::waiting;
    waiting_request const waiting{id, entry.header.kind, entry.header.team, entry.deadline};
    if (auto const refused = queue_.push(now, waiting, service_time_, limit_.limit())) {
        request* const victim = find(refused->id);
        refuse(now, refused->id, *victim, refused->reason, actions);
    }
    dispatch(now, actions);
}

void request_executor::dispatch(time_point now, request_actions& actions) {
    std::vector<queue_refusal> expired;
    while (in_flight_ < limit_.limit()) {
        auto const next = queue_.pop(now, service_time_, expired);
        if (!next)
            break;
        if (request* const entry = find(next->id))
            begin_attempt(now, next->id, *entry, actions);
    }
    for (queue_refusal const& refusal : expired)
        if (request* const entry = find(refusal.id))
            refuse(now, refusal.id, *entry, refusal.reason, actions);
}

void request_executor::begin_attempt(time_point now, request_id const& id, request& entry,
                                     request_actions& actions) {
    entry.current_phase = phase::running;
    entry.started_at = now;
    entry.timer = entry.deadline;
    ++entry.attempts;
    ++in_flight_;
    actions.push_back(start_attempt{id, entry.attempts, entry.header.kind, entry.header.idempotent,
                                    time_left(now, entry.deadline), entry.body});
}

void request_executor::retry_or_refuse(time_point now, request_id const& id, request& entry,
                                       retry_reason reason, request_refusal refusal,
                                       std::chrono::milliseconds retry_after,
                                       request_actions& actions) {
    if (entry.current_phase == phase::cancelling) {
        refuse(now, id, entry, entry.cancel_reason, actions);
        return;
    }
    bool const may_retry =
        entry.header.idempotent || !entry.may_have_run || faults_.retry_lost_non_idempotent;
    if (!may_retry || entry.attempts >= options_.max_attempts || draining_) {
        refuse(now, id, entry, refusal, actions, retry_after);
        return;
    }
    duration const backoff =
        std::max<duration>(retry_after, jittered_backoff(entry.attempts, options_.backoff_base,
                                                         options_.backoff_cap, random_));
    if (now + backoff + service_time_ >= entry.deadline) {
        actions.push_back(count_retry{retry_reason::held_by_deadline});
        refuse(now, id, entry, refusal, actions, retry_after);
        return;
    }
    if (!budget_->try_spend(now)) {
        actions.push_back(count_retry{retry_reason::held_by_budget});
        refuse(now, id, entry, request_refusal::retry_budget_spent, actions, retry_after);
        return;
    }
    actions.push_back(count_retry{reason});
    entry.current_phase = phase::backing_off;
    entry.timer = now + backoff;
}

void request_executor::refuse(time_point now, request_id const& id, request& entry,
                              request_refusal reason, request_actions& actions,
                              std::chrono::milliseconds retry_after) {
    bool const proven = proven_not_run(entry) || faults_.refuse_without_proof;
    actions.push_back(count_request_refusal{reason});
    answer_part answer;
    answer.id = id;
    answer.outcome = proven ? request_outcome::refused_not_run : request_outcome::unknown;
    answer.reason = reason;
    answer.retry_after = retry_after;
    finish(now, entry, std::move(answer), {}, actions);
}

void request_executor::finish(time_point now, request& entry, answer_part header,
                              std::string const& body, request_actions& actions) {
    if (entry.current_phase == phase::assembling && !entry.body)
        assembly_bytes_ -= entry.parts.bytes();
    entry.current_phase = phase::finished;
    entry.body.reset();
    entry.record_round.reset();
    entry.resend_interval = options_.answer_resend_interval;
    entry.timer = now + entry.resend_interval;
    entry.deadline = now + options_.answer_retention; // reused: time at which the entry is removed
    actions.push_back(count_outcome{header.outcome, entry.header.kind, now - entry.arrived_at,
                                    entry.attempts > 0});
    entry.answer.fill(std::move(header), body);
    send_parts(entry, actions);
}

// Sends the first unacknowledged parts, at most options_.parts_in_flight, to every caller.
void request_executor::send_parts(request const& entry, request_actions& actions) const {
    for (answer_part const& part : entry.answer.pending(options_.parts_in_flight))
        for (destination const& caller : entry.callers)
            actions.push_back(send_answer{caller.flow, caller.balancer, part});
}

void request_executor::start_cancel(time_point now, request_id const& id, request& entry,
                                    request_refusal reason, request_actions& actions) {
    entry.current_phase = phase::cancelling;
    entry.cancel_reason = reason;
    entry.timer = now + options_.cancel_timeout;
    actions.push_back(cancel_attempt{id, entry.attempts});
}

void request_executor::run_timer(time_point now, request_id const& id, request& entry,
                                 request_actions& actions) {
    switch (entry.current_phase) {
    case phase::assembling:
        refuse(now, id, entry, request_refusal::assembly_timeout, actions);
        return;
    case phase::recording:
        if (now - entry.started_at > options_.record_timeout || now >= entry.deadline)
            refuse(now, id, entry, request_refusal::claim_unavailable, actions);
        else
            send_record_requests(now, id, entry, actions);
        return;
    case phase::run_elsewhere:
        refuse(now, id, entry, request_refusal::runner_lost, actions);
        return;
    case phase::running:
        start_cancel(now, id, entry, request_refusal::deadline_passed, actions);
        return;
    case phase::cancelling:
        entry.may_have_run = !faults_.timeout_proves_not_run;
        refuse(now, id, entry, entry.cancel_reason, actions);
        return;
    case phase::backing_off:
        admit(now, id, entry, actions);
        return;
    case phase::waiting:
        return;
    case phase::finished:
        break;
    }
    if (now >= entry.deadline) {
        requests_.erase(id);
        return;
    }
    entry.resend_interval =
        std::min(2 * entry.resend_interval, options_.max_answer_resend_interval);
    entry.timer = entry.answer.unacknowledged() == 0 ? entry.deadline : now + entry.resend_interval;
    send_parts(entry, actions);
}

void request_executor::refuse_part(request_part const& part, destination const& caller,
                                   request_refusal reason, bool proven,
                                   request_actions& actions) const {
    actions.push_back(count_request_refusal{reason});
    answer_part answer;
    answer.id = part.id;
    answer.outcome = proven ? request_outcome::refused_not_run : request_outcome::unknown;
    answer.reason = reason;
    actions.push_back(send_answer{caller.flow, caller.balancer, std::move(answer)});
}

std::vector<member_list> const& request_executor::member_lists() const {
    static std::vector<member_list> const none;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? none : *state_->service(own->service)->member_lists;
}

// True if only this agent may run the request and no attempt can have started.
bool request_executor::proven_not_run(request const& entry) const {
    bool const exclusive =
        entry.record_granted || (entry.header.idempotent && !entry.header.resend);
    return exclusive && !entry.may_have_run;
}

bool request_executor::is_cut_off(time_point now) const {
    return now - last_control_contact_ > options_.control_timeout && !faults_.ignore_cut_off;
}

std::uint32_t request_executor::slots() const {
    if (settings_.slots > 0)
        return settings_.slots;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? 1 : std::max<std::uint32_t>(1, own->announcement.slots);
}

void request_executor::configure() {
    admission_options admission;
    admission.queue_length = settings_.queue_length;
    admission.shares = {settings_.urgent_share, settings_.normal_share, settings_.bulk_share};
    admission.first_come_first_served = options_.first_come_first_served;
    admission.check_deadlines = options_.check_deadlines;
    queue_.configure(admission);
    limit_.configure(slots());
    retry_budget_options budget;
    budget.percent = settings_.retry_percent;
    budget_->configure(budget);
}

} // namespace toucanusher
