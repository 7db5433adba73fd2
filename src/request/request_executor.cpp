#include "toucanusher/request/request_executor.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

namespace {

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

// True if only this agent may run the request and no attempt can have started.
bool request_executor::proven_not_run(request const& entry) const {
    bool const exclusive =
        entry.record_granted || (entry.header.idempotent && !entry.header.resend);
    return exclusive && !entry.may_have_run;
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
