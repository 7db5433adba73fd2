// The part of request_executor that admits requests and runs them: dispatch, attempts at the
// upstream, retries and cancellation.
#include "toucanusher/request/request_executor.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

namespace {

constexpr int service_time_weight = 8; // inverse of the moving average's gain

std::chrono::milliseconds time_left(time_point now, time_point deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
}

} // namespace

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

void request_executor::start_cancel(time_point now, request_id const& id, request& entry,
                                    request_refusal reason, request_actions& actions) {
    entry.current_phase = phase::cancelling;
    entry.cancel_reason = reason;
    entry.timer = now + options_.cancel_timeout;
    actions.push_back(cancel_attempt{id, entry.attempts});
}

std::uint32_t request_executor::slots() const {
    if (settings_.slots > 0)
        return settings_.slots;
    upstream_record const* const own = state_ ? state_->upstream(options_.self) : nullptr;
    return own == nullptr ? 1 : std::max<std::uint32_t>(1, own->announcement.slots);
}

} // namespace toucanusher
