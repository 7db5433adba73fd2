#include "toucanusher/request/request_owner.h"

#include <algorithm>
#include <utility>

#include "toucanusher/process/overloaded.h"
#include "toucanusher/request/claim_holders.h"

namespace toucanusher {

namespace {

constexpr int service_time_weight = 8; // a run moves the average by one part in this many

std::chrono::milliseconds time_left(time_point now, time_point deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
}

bool same_header(request_part const& a, request_part const& b) {
    return a.parts == b.parts && a.kind == b.kind && a.idempotent == b.idempotent &&
           a.team == b.team;
}

} // namespace

request_owner::request_owner(request_owner_options options, std::optional<time_point> restarted_at,
                             std::shared_ptr<retry_budget> budget, random_source random,
                             request_faults faults)
    : options_(std::move(options)), budget_(std::move(budget)), random_(std::move(random)),
      faults_(faults),
      ledger_({options_.self, 2 * options_.claim_window, run_ledger_options{}.max_claims,
               faults.forget_claims},
              restarted_at && !faults.skip_abstaining
                  ? std::optional{*restarted_at + options_.claim_window + options_.clock_skew}
                  : std::nullopt) {
    configure();
}

void request_owner::adopt(time_point /*now*/, std::shared_ptr<fleet_state const> state) {
    state_ = std::move(state);
    upstream_record const* const own = state_->upstream(options_.self);
    if (own == nullptr)
        return;
    settings_ = *state_->service(own->service)->settings;
    configure();
}

request_actions request_owner::on_part(time_point now, wall_time wall, flow_key const& flow,
                                       endpoint balancer, request_part const& part) {
    request_actions actions;
    destination const caller{flow, balancer};
    if (request* const known = find(part.id)) {
        add_caller(*known, flow, balancer);
        if (known->at == phase::finished) {
            send_parts(*known, actions);
            return actions;
        }
        known->header.resend = known->header.resend || part.resend;
        if (known->at != phase::assembling)
            return actions;
        std::size_t const before = known->parts.bytes();
        if (!same_header(known->header, part) || !known->parts.add(part)) {
            reject_part(part, caller, request_refusal::inconsistent_parts, false, actions);
            return actions;
        }
        assembly_bytes_ += known->parts.bytes() - before;
        if (known->parts.complete())
            assembled(now, wall, part.id, *known, actions);
        return actions;
    }
    bool const oversized =
        part.parts == 0 || part.parts > max_parts || part.part >= part.parts ||
        part.parts * part_payload_bytes > options_.max_request_bytes + part_payload_bytes ||
        part.payload.size() > part_payload_bytes;
    if (oversized) {
        // The same limit holds at every agent, so nobody can have run it.
        reject_part(part, caller, request_refusal::too_large, true, actions);
        return actions;
    }
    bool const too_old = !part.idempotent && wall - creation_time(part.id) > options_.claim_window;
    if (too_old) {
        reject_part(part, caller, request_refusal::too_old, false, actions);
        return actions;
    }
    if (requests_.size() >= options_.max_requests ||
        assembly_bytes_ + part.payload.size() > options_.max_assembly_bytes) {
        reject_part(part, caller, request_refusal::too_many_requests,
                    part.idempotent && !part.resend, actions);
        return actions;
    }
    request& entry = requests_.try_emplace(part.id, part).first->second;
    entry.header = part;
    entry.header.payload.clear();
    entry.callers.push_back(caller);
    entry.arrived = now;
    entry.deadline = now + (part.deadline.count() > 0 ? part.deadline : settings_.deadline);
    entry.timer = now + options_.assembly_timeout;
    if (!entry.parts.add(part))
        return actions;
    assembly_bytes_ += part.payload.size();
    if (entry.parts.complete())
        assembled(now, wall, part.id, entry, actions);
    return actions;
}

request_actions request_owner::on_cancel(time_point now, request_id const& id) {
    request_actions actions;
    request* const entry = find(id);
    if (entry == nullptr)
        return actions;
    switch (entry->at) {
    case phase::assembling:
    case phase::waiting:
    case phase::backing_off:
        queue_.remove(id);
        refuse(now, id, *entry, request_refusal::cancelled, actions);
        break;
    case phase::running:
        start_cancel(now, id, *entry, request_refusal::cancelled, actions);
        break;
    case phase::claiming:
    case phase::following:
    case phase::cancelling:
    case phase::finished:
        break; // the outcome comes soon, or is there
    }
    return actions;
}

request_actions request_owner::on_ack(time_point /*now*/, answer_ack const& ack) {
    request_actions actions;
    request* const entry = find(ack.id);
    if (entry == nullptr || entry->at != phase::finished || entry->answer.unacknowledged() == 0)
        return actions;
    bool const had_more = entry->answer.unacknowledged() > options_.parts_in_flight;
    entry->answer.acknowledge(ack.parts);
    if (had_more)
        send_parts(*entry, actions);
    return actions;
}

request_actions request_owner::on_run_message(time_point now, wall_time wall,
                                              run_message const& message) {
    request_actions actions;
    std::visit(overloaded{
                   [&](run_claim const& claim) {
                       if (claim.target != options_.self)
                           return;
                       bool const recent = is_recent(member_lists(), claim.version,
                                                     wall - options_.claim_window / 2) &&
                                           !is_cut_off(now);
                       actions.push_back(send_run_message{claim.runner_agent,
                                                          ledger_.decide(now, claim, recent)});
                   },
                   [&](run_claim_answer const& answer) {
                       request* const entry = find(answer.id);
                       if (answer.target != options_.self || entry == nullptr ||
                           entry->at != phase::claiming)
                           return;
                       entry->claim->on_answer(answer);
                       review_claim(now, answer.id, *entry, actions);
                   },
                   [&](run_inquiry const& inquiry) {
                       request* const entry = find(inquiry.id);
                       if (inquiry.target != options_.self)
                           return;
                       if (entry != nullptr) {
                           add_caller(*entry, inquiry.flow, inquiry.balancer);
                           if (entry->at == phase::finished)
                               send_parts(*entry, actions);
                           return;
                       }
                       // The claim was made by this life, but its outcome is no longer remembered.
                       answer_part part;
                       part.id = inquiry.id;
                       part.reason = request_refusal::too_old;
                       actions.push_back(send_answer{inquiry.flow, inquiry.balancer, part});
                   },
               },
               message);
    return actions;
}

request_actions request_owner::on_attempt_result(time_point now, attempt_result result) {
    request_actions actions;
    std::uint32_t const at_once = in_flight_;
    --in_flight_;
    request* entry = find(result.id);
    if (faults_.match_answers_by_order) {
        for (auto& [id, other] : requests_)
            if (other.at == phase::running) {
                result.id = id;
                result.attempt = other.attempts;
                entry = &other;
                break;
            }
    }
    bool const expected = entry != nullptr && entry->attempts == result.attempt &&
                          (entry->at == phase::running || entry->at == phase::cancelling);
    if (expected) {
        switch (result.kind) {
        case attempt_result_kind::answered: {
            duration const took = now - entry->started;
            service_time_ = service_time_ == duration{}
                                ? took
                                : service_time_ + (took - service_time_) / service_time_weight;
            limit_.on_success(at_once);
            answer_part answer;
            answer.id = result.id;
            answer.outcome = request_outcome::done;
            answer.status = result.status;
            finish(now, *entry, std::move(answer), result.body, actions);
            break;
        }
        case attempt_result_kind::shed:
            limit_.on_shed(now, at_once);
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

request_actions request_owner::on_cancel_result(time_point now, request_id const& id,
                                                std::uint32_t attempt, cancel_result_kind kind) {
    request_actions actions;
    request* const entry = find(id);
    bool const expected =
        entry != nullptr && entry->at == phase::cancelling && entry->attempts == attempt;
    if (!expected || kind == cancel_result_kind::no_answer)
        return actions;
    if (kind == cancel_result_kind::started)
        entry->may_have_run = true;
    refuse(now, id, *entry, entry->give_up_reason, actions);
    return actions;
}

request_actions request_owner::on_tick(time_point now) {
    request_actions actions;
    std::vector<queue_refusal> late;
    queue_.drop_late(now, late);
    for (queue_refusal const& refusal : late)
        if (request* const entry = find(refusal.id))
            refuse(now, refusal.id, *entry, refusal.reason, actions);
    std::vector<request_id> due;
    for (auto const& [id, entry] : requests_)
        if (entry.timer <= now && entry.at != phase::waiting)
            due.push_back(id);
    for (request_id const& id : due)
        if (request* const entry = find(id))
            run_timer(now, id, *entry, actions);
    ledger_.purge(now);
    dispatch(now, actions);
    return actions;
}

std::size_t request_owner::unfinished() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](auto const& item) {
            return item.second.at != phase::finished || item.second.answer.unacknowledged() > 0;
        }));
}

bool request_owner::has_open_requests(flow_key const& flow) const {
    return std::any_of(requests_.begin(), requests_.end(), [&](auto const& item) {
        request const& entry = item.second;
        bool const open = entry.at != phase::finished || entry.answer.unacknowledged() > 0;
        return open && std::any_of(entry.callers.begin(), entry.callers.end(),
                                   [&](destination const& d) { return d.flow == flow; });
    });
}

request_owner::request* request_owner::find(request_id const& id) {
    auto const found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void request_owner::add_caller(request& entry, flow_key const& flow, endpoint balancer) const {
    for (destination& known : entry.callers) {
        if (known.flow != flow)
            continue;
        known.balancer = balancer;
        return;
    }
    constexpr std::size_t max_callers = 4; // a caller may change its port a few times
    if (entry.callers.size() >= max_callers)
        entry.callers.erase(entry.callers.begin());
    entry.callers.push_back({flow, balancer});
}

void request_owner::assembled(time_point now, wall_time wall, request_id const& id, request& entry,
                              request_actions& actions) {
    assembly_bytes_ -= entry.parts.bytes();
    entry.body = std::make_shared<std::string const>(entry.parts.take());
    budget_->on_request();
    if (entry.header.idempotent || faults_.skip_claims) {
        entry.claimed = faults_.skip_claims;
        admit(now, id, entry, actions);
    } else {
        start_claim(now, wall, id, entry, actions);
    }
}

void request_owner::start_claim(time_point now, wall_time wall, request_id const& id,
                                request& entry, request_actions& actions) {
    if (is_cut_off(now)) {
        refuse(now, id, entry, request_refusal::cut_off, actions);
        return;
    }
    entry.at = phase::claiming;
    entry.started = now;
    wall_time const window_start = wall - options_.claim_window - options_.clock_skew;
    entry.claim.emplace(holder_sets(member_lists(), window_start, id));
    send_claims(now, id, entry, actions);
    review_claim(now, id, entry, actions);
}

void request_owner::send_claims(time_point now, request_id const& id, request& entry,
                                request_actions& actions) {
    entry.timer = now + options_.claim_retry;
    for (upstream_ref const holder : entry.claim->missing()) {
        run_claim const claim{holder, options_.self,    options_.process, options_.self_agent,
                              id,     state_->version()};
        if (holder == options_.self) {
            entry.claim->on_answer(ledger_.decide(now, claim, true));
            continue;
        }
        if (upstream_record const* const record = state_->upstream(holder))
            actions.push_back(send_run_message{record->announcement.agent, claim});
    }
}

void request_owner::review_claim(time_point now, request_id const& id, request& entry,
                                 request_actions& actions) {
    switch (entry.claim->state()) {
    case claim_state::open:
        return;
    case claim_state::granted:
        entry.claimed = true;
        admit(now, id, entry, actions);
        return;
    case claim_state::unavailable:
        refuse(now, id, entry, request_refusal::claim_unavailable, actions);
        return;
    case claim_state::held:
        break;
    }
    // A claim of this very life was made by an earlier process of this agent.
    upstream_record const* const runner = state_->upstream(*entry.claim->runner());
    if (runner == nullptr || runner->ref == options_.self) {
        refuse(now, id, entry, request_refusal::runner_lost, actions);
        return;
    }
    // The runner answers the callers itself; this entry only remembers that it must not run.
    entry.at = phase::following;
    entry.timer = entry.deadline;
    for (destination const& caller : entry.callers)
        actions.push_back(
            send_run_message{runner->announcement.agent,
                             run_inquiry{runner->ref, id, caller.flow, caller.balancer}});
}

void request_owner::admit(time_point now, request_id const& id, request& entry,
                          request_actions& actions) {
    if (draining_) {
        refuse(now, id, entry, request_refusal::draining, actions);
        return;
    }
    entry.at = phase::waiting;
    waiting_request const waiting{id, entry.header.kind, entry.header.team, entry.deadline};
    if (auto const refused = queue_.push(now, waiting, service_time_, limit_.limit())) {
        request* const victim = find(refused->id);
        refuse(now, refused->id, *victim, refused->reason, actions);
    }
    dispatch(now, actions);
}

void request_owner::dispatch(time_point now, request_actions& actions) {
    std::vector<queue_refusal> late;
    while (in_flight_ < limit_.limit()) {
        auto const next = queue_.pop(now, service_time_, late);
        if (!next)
            break;
        if (request* const entry = find(next->id))
            begin_attempt(now, next->id, *entry, actions);
    }
    for (queue_refusal const& refusal : late)
        if (request* const entry = find(refusal.id))
            refuse(now, refusal.id, *entry, refusal.reason, actions);
}

void request_owner::begin_attempt(time_point now, request_id const& id, request& entry,
                                  request_actions& actions) {
    entry.at = phase::running;
    entry.started = now;
    entry.timer = entry.deadline;
    ++entry.attempts;
    ++in_flight_;
    actions.push_back(start_attempt{id, entry.attempts, entry.header.kind, entry.header.idempotent,
                                    time_left(now, entry.deadline), entry.body});
}

void request_owner::retry_or_refuse(time_point now, request_id const& id, request& entry,
                                    retry_reason reason, request_refusal refusal,
                                    std::chrono::milliseconds retry_after,
                                    request_actions& actions) {
    if (entry.at == phase::cancelling) {
        refuse(now, id, entry, entry.give_up_reason, actions);
        return;
    }
    bool const safe =
        entry.header.idempotent || !entry.may_have_run || faults_.retry_lost_non_idempotent;
    if (!safe || entry.attempts >= options_.max_attempts || draining_) {
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
    entry.at = phase::backing_off;
    entry.timer = now + backoff;
}

void request_owner::refuse(time_point now, request_id const& id, request& entry,
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

void request_owner::finish(time_point now, request& entry, answer_part header,
                           std::string const& body, request_actions& actions) {
    if (entry.at == phase::assembling && !entry.body)
        assembly_bytes_ -= entry.parts.bytes();
    entry.at = phase::finished;
    entry.body.reset();
    entry.claim.reset();
    entry.resend_after = options_.answer_resend;
    entry.timer = now + entry.resend_after;
    entry.deadline = now + options_.keep_answer; // from now on: when the entry is forgotten
    actions.push_back(
        count_outcome{header.outcome, entry.header.kind, now - entry.arrived, entry.attempts > 0});
    entry.answer.fill(std::move(header), body);
    send_parts(entry, actions);
}

// Sends the first unacknowledged parts to every caller of the request.
void request_owner::send_parts(request const& entry, request_actions& actions) const {
    for (answer_part const& part : entry.answer.pending(options_.parts_in_flight))
        for (destination const& caller : entry.callers)
            actions.push_back(send_answer{caller.flow, caller.balancer, part});
}

void request_owner::start_cancel(time_point now, request_id const& id, request& entry,
                                 request_refusal reason, request_actions& actions) {
    entry.at = phase::cancelling;
    entry.give_up_reason = reason;
    entry.timer = now + options_.cancel_timeout;
    actions.push_back(cancel_attempt{id, entry.attempts});
}

void request_owner::run_timer(time_point now, request_id const& id, request& entry,
                              request_actions& actions) {
    switch (entry.at) {
    case phase::assembling:
        refuse(now, id, entry, request_refusal::assembly_timeout, actions);
        return;
    case phase::claiming:
        if (now - entry.started > options_.claim_timeout || now >= entry.deadline)
            refuse(now, id, entry, request_refusal::claim_unavailable, actions);
        else
            send_claims(now, id, entry, actions);
        return;
    case phase::following:
        refuse(now, id, entry, request_refusal::runner_lost, actions);
        return;
    case phase::running:
        start_cancel(now, id, entry, request_refusal::deadline_passed, actions);
        return;
    case phase::cancelling:
        entry.may_have_run = !faults_.timeout_proves_not_run;
        refuse(now, id, entry, entry.give_up_reason, actions);
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
    entry.resend_after = std::min(2 * entry.resend_after, options_.answer_resend_cap);
    entry.timer = entry.answer.unacknowledged() == 0 ? entry.deadline : now + entry.resend_after;
    send_parts(entry, actions);
}

void request_owner::reject_part(request_part const& part, destination const& caller,
                                request_refusal reason, bool proven,
                                request_actions& actions) const {
    actions.push_back(count_request_refusal{reason});
    answer_part answer;
    answer.id = part.id;
    answer.outcome = proven ? request_outcome::refused_not_run : request_outcome::unknown;
    answer.reason = reason;
    actions.push_back(send_answer{caller.flow, caller.balancer, std::move(answer)});
}

std::vector<member_list> const& request_owner::member_lists() const {
    static std::vector<member_list> const none;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? none : *state_->service(own->service)->member_lists;
}

// Only this agent could have run it, and it did not.
bool request_owner::proven_not_run(request const& entry) const {
    bool const only_here = entry.claimed || (entry.header.idempotent && !entry.header.resend);
    return only_here && !entry.may_have_run;
}

bool request_owner::is_cut_off(time_point now) const {
    return now - control_heard_ > options_.max_control_silence && !faults_.ignore_cut_off;
}

std::uint32_t request_owner::slots() const {
    if (settings_.slots > 0)
        return settings_.slots;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? 1 : std::max<std::uint32_t>(1, own->announcement.slots);
}

void request_owner::configure() {
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
