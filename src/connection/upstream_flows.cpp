#include "toucanusher/connection/upstream_flows.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanusher {

namespace {

constexpr duration sweep_interval = std::chrono::seconds{1};
// Interval at which one new flow is tried again after an opening packet timed out.
constexpr duration retry_unresponsive = std::chrono::milliseconds{500};

// An upstream acknowledges the end of flows that it does not hold, so such a packet is useless as a
// probe.
bool only_closes(packet_head const& head) {
    return head.data_bytes == 0 && (head.finishes || head.resets);
}

} // namespace

char const* to_string(flow_event event) {
    switch (event) {
    case flow_event::placed:
        return "placed";
    case flow_event::relayed:
        return "passed_on";
    case flow_event::delivered:
        return "delivered";
    case flow_event::probed:
        return "tried";
    case flow_event::not_held:
        return "not_held";
    case flow_event::refused:
        return "refused";
    case flow_event::other_service:
        return "other_service";
    case flow_event::too_late:
        return "too_late";
    case flow_event::unanswered:
        return "unanswered";
    case flow_event::lost_flow:
        return "lost_flow";
    case flow_event::table_full:
        return "table_full";
    }
    return "invalid";
}

upstream_flows::upstream_flows(upstream_flows_options options, time_point started)
    : options_(std::move(options)), started_(started) {}

agent_output upstream_flows::on_forwarded(time_point now, packet_head const& head,
                                          forwarded_packet message) {
    // A search is for the flow itself and ignores which service the balancer expects here.
    if (message.service != options_.service && message.purpose != forward_purpose::search) {
        record(flow_event::other_service, head.flow);
        if (message.purpose == forward_purpose::open)
            relay(head, std::move(message));
        else
            notify(message.origin, flow_report::other_service, head.flow, std::move(message.packet),
                   head.acknowledged);
        return take_output();
    }
    auto known = flows_.find(head.flow);
    bool const opens = head.opens && !head.acknowledges;
    if (known != flows_.end() && caller_chose_other(now, head, known->second)) {
        erase(now, head.flow);
        known = flows_.end();
    }
    if (known != flows_.end()) {
        deliver(now, head, known->second, std::move(message));
    } else if (opens && message.purpose == forward_purpose::search) {
        // A search asks earlier services of the route too, which take no new flows.
        record(flow_event::not_held, head.flow);
        notify(message.origin, flow_report::not_held, head.flow, std::move(message.packet),
               head.acknowledged);
    } else if (opens) {
        open_flow(now, head, std::move(message));
    } else if (may_be_incomplete(now) && !only_closes(head) && flows_.size() < options_.max_flows) {
        record(flow_event::probed, head.flow);
        flow& fresh = flows_[head.flow];
        fresh.phase = flow_phase::probing;
        deliver(now, head, fresh, std::move(message));
    } else if (!may_be_incomplete(now)) {
        record(flow_event::not_held, head.flow);
        notify(message.origin, flow_report::not_held, head.flow, std::move(message.packet),
               head.acknowledged);
    }
    return take_output();
}

agent_output upstream_flows::on_query(time_point now, holder_query const& query) {
    holder_answer answer{query.number, {}};
    for (packet_flow const& key : query.flows)
        answer.states.push_back(state_of(now, key));
    output_.actions.emplace_back(answer_balancer{query.origin, std::move(answer)});
    return take_output();
}

agent_output upstream_flows::on_upstream_packet(time_point now, packet_head const& head,
                                                std::string packet) {
    unresponsive_since_.reset();
    if (head.returned) {
        on_returned(now, head, std::move(packet));
        return take_output();
    }
    auto const [at, added] = flows_.try_emplace(head.flow);
    flow& known = at->second;
    if (added)
        known.phase = flow_phase::probing;
    track_upstream_packet(now, head, known);
    output_.actions.emplace_back(forward_to_caller{head.flow.caller, std::move(packet)});
    return take_output();
}

agent_output upstream_flows::on_incarnation_ended(time_point now) {
    for (auto const& [key, known] : flows_) {
        if (known.phase == flow_phase::opening && known.opening) {
            packet_head head;
            head.flow = key;
            relay(head, *known.opening);
            continue;
        }
        if (known.phase != flow_phase::open)
            continue;
        record(flow_event::lost_flow, key);
        output_.actions.emplace_back(reset_flow{key, known.caller_expects});
    }
    flows_.clear();
    opening_.clear();
    open_ = 0;
    waiting_ = 0;
    average_waiting(now);
    // All flows of the next incarnation are opened through this agent.
    set_table_complete(now);
    return take_output();
}

agent_output upstream_flows::on_tick(time_point now) {
    while (!opening_.empty()) {
        packet_flow const key = opening_.front();
        auto const at = flows_.find(key);
        bool const waits = at != flows_.end() && at->second.phase == flow_phase::opening;
        if (waits && now < at->second.open_deadline)
            break;
        opening_.erase(opening_.begin());
        if (!waits)
            continue;
        record(flow_event::unanswered, key);
        unresponsive_since_ = now;
        packet_head head;
        head.flow = key;
        if (at->second.opening)
            relay(head, *std::exchange(at->second.opening, std::nullopt));
        // The upstream may still accept; the caller then chooses one of the two upstreams.
        set_phase(now, at->second, flow_phase::probing);
    }
    if (now >= next_sweep_)
        sweep(now);
    return take_output();
}

void upstream_flows::set_upstream(std::uint32_t slots, bool accepts_new, time_point warm_at) {
    slots_ = std::max(slots, 1U);
    accepts_new_ = accepts_new;
    warm_at_ = warm_at;
}

load_level upstream_flows::load(time_point now) const {
    double const average = decayed_average(now);
    double const work = average * options_.average_weight +
                        static_cast<double>(waiting_) * options_.waiting_weight +
                        static_cast<double>(open_) * options_.open_weight;
    double const warmup = now < warm_at_ ? options_.warmup_weight : 0;
    return load_level{static_cast<std::uint32_t>(work / slots_ + warmup)};
}

duration upstream_flows::expected_answer_time() const {
    std::size_t const queued = waiting_ >= slots_ ? waiting_ - slots_ + 1 : 0;
    return service_time_ + service_time_ * queued / slots_;
}

// Exponential moving average: the present value gains weight with the share of the window that has
// passed.
double upstream_flows::decayed_average(time_point now) const {
    using seconds = std::chrono::duration<double>;
    double const elapsed_windows = seconds(now - averaged_at_) / seconds(options_.averaging_window);
    double const kept = std::exp(-std::max(elapsed_windows, 0.0));
    return average_waiting_ * kept + static_cast<double>(waiting_) * (1 - kept);
}

void upstream_flows::average_waiting(time_point now) {
    average_waiting_ = decayed_average(now);
    averaged_at_ = now;
}

std::optional<time_point> upstream_flows::next_due() const {
    std::optional<time_point> due;
    if (!flows_.empty())
        due = next_sweep_;
    if (!opening_.empty())
        if (auto const at = flows_.find(opening_.front()); at != flows_.end())
            due = std::min(due.value_or(at->second.open_deadline), at->second.open_deadline);
    return due;
}

void upstream_flows::open_flow(time_point now, packet_head const& head, forwarded_packet message) {
    if (!accepts_new_)
        slots_ = std::max(message.default_slots, 1U);
    if (!accepts_new(now, message)) {
        relay(head, std::move(message));
        return;
    }
    if (!meets_objective(now, message)) {
        record(flow_event::too_late, head.flow);
        message.offers_wanted = std::max(message.offers_wanted, 1U) - 1;
        relay(head, std::move(message));
        return;
    }
    load_level const own = load(now);
    if (message.best_offer && message.best_offer->agent != options_.self &&
        message.best_offer->load < own && message.offers_wanted <= 1) {
        endpoint const best = message.best_offer->agent;
        message.best_offer.reset();
        message.offers_wanted = 0;
        record(flow_event::relayed, head.flow);
        output_.actions.emplace_back(relay_packet{best, std::move(message)});
        return;
    }
    if (message.offers_wanted > 1 && !message.candidates.empty()) {
        --message.offers_wanted;
        if (!message.best_offer || own < message.best_offer->load)
            message.best_offer = load_offer{options_.self, own};
        endpoint const next = message.candidates.front();
        message.candidates.erase(message.candidates.begin());
        record(flow_event::relayed, head.flow);
        output_.actions.emplace_back(relay_packet{next, std::move(message)});
        return;
    }
    open_here(now, head, std::move(message));
}

void upstream_flows::open_here(time_point now, packet_head const& head, forwarded_packet message) {
    if (flows_.size() >= options_.max_flows) {
        record(flow_event::table_full, head.flow);
        relay(head, std::move(message));
        return;
    }
    record(flow_event::placed, head.flow);
    flow& fresh = flows_[head.flow];
    fresh.phase = flow_phase::opening;
    fresh.open_deadline = now + options_.open_timeout;
    fresh.origin = message.origin;
    fresh.last_seen = now;
    opening_.push_back(head.flow);
    output_.actions.emplace_back(deliver_to_upstream{message.packet});
    message.best_offer.reset();
    fresh.opening = std::move(message);
}

// Relays the opening packet to the agent with the best offer or to the next candidate. Without
// either, notifies the balancer that all refused.
void upstream_flows::relay(packet_head const& head, forwarded_packet message) {
    if (message.best_offer && message.best_offer->agent != options_.self) {
        endpoint const best = message.best_offer->agent;
        message.best_offer.reset();
        message.offers_wanted = 0;
        output_.actions.emplace_back(relay_packet{best, std::move(message)});
    } else if (!message.candidates.empty()) {
        endpoint const next = message.candidates.front();
        message.candidates.erase(message.candidates.begin());
        output_.actions.emplace_back(relay_packet{next, std::move(message)});
    } else {
        record(flow_event::refused, head.flow);
        notify(message.origin, flow_report::refused_by_all, head.flow, {});
        return;
    }
    record(flow_event::relayed, head.flow);
}

// Several upstreams may have accepted a flow; the next packet of the caller acknowledges the one
// that it chose. Returns true if that is not this upstream.
bool upstream_flows::caller_chose_other(time_point now, packet_head const& head, flow& known) {
    if (known.phase != flow_phase::accepted || head.opens || !head.acknowledges)
        return false;
    // The accepting packet takes one byte of sequence space with some peers and none with others.
    if (head.acknowledged - known.accept_sequence > 1)
        return true;
    set_phase(now, known, flow_phase::open);
    return false;
}

void upstream_flows::deliver(time_point now, packet_head const& head, flow& known,
                             forwarded_packet message) {
    bool const moved = known.origin != message.origin;
    known.origin = message.origin;
    track_caller_packet(now, head, known);
    bool const certain = known.phase == flow_phase::open;
    if (certain && (moved || message.purpose != forward_purpose::deliver))
        notify(message.origin, flow_report::held, head.flow, {});
    output_.actions.emplace_back(deliver_to_upstream{std::move(message.packet)});
}

void upstream_flows::on_returned(time_point now, packet_head const& head, std::string packet) {
    auto const at = flows_.find(head.flow);
    if (at == flows_.end())
        return;
    flow const known = std::move(at->second);
    erase(now, head.flow);
    if (known.phase == flow_phase::opening && known.opening) {
        relay(head, *known.opening);
    } else if (known.phase == flow_phase::open) {
        record(flow_event::lost_flow, head.flow);
        output_.actions.emplace_back(reset_flow{head.flow, known.caller_expects});
    } else if (known.phase == flow_phase::probing && !head.opens) {
        record(flow_event::not_held, head.flow);
        notify(known.origin, flow_report::not_held, head.flow, std::move(packet),
               head.acknowledged);
    }
}

void upstream_flows::track_caller_packet(time_point now, packet_head const& head, flow& known) {
    known.last_seen = now;
    if (head.acknowledges)
        known.caller_expects = head.acknowledged;
    if (head.data_bytes > 0)
        track_caller_data(now, head, known);
    known.caller_finished = known.caller_finished || head.finishes;
    if (head.resets || (known.caller_finished && known.upstream_finished))
        set_phase(now, known, flow_phase::closed);
}

// A retransmission may arrive after the answer and is not a new request.
void upstream_flows::track_caller_data(time_point now, packet_head const& head, flow& known) {
    std::uint32_t const end = head.sequence + head.data_bytes;
    bool const repeat =
        known.caller_data_end && static_cast<std::int32_t>(end - *known.caller_data_end) <= 0;
    if (repeat)
        return;
    known.caller_data_end = end;
    set_waiting(now, known, true);
}

void upstream_flows::track_upstream_packet(time_point now, packet_head const& head, flow& known) {
    known.last_seen = now;
    // Only an upstream that holds the flow accepts it or sends data for it.
    bool const confirms = !head.resets && (head.opens || head.data_bytes > 0);
    bool const first = known.phase == flow_phase::opening || known.phase == flow_phase::probing;
    if (first && confirms) {
        known.opening.reset();
        known.accept_sequence = head.sequence;
        set_phase(now, known, head.opens ? flow_phase::accepted : flow_phase::open);
        if (!known.origin.empty())
            notify(known.origin, flow_report::held, head.flow, {});
    }
    if (head.data_bytes > 0 || head.finishes)
        set_waiting(now, known, false);
    known.upstream_finished = known.upstream_finished || head.finishes;
    if (head.resets || (known.caller_finished && known.upstream_finished))
        set_phase(now, known, flow_phase::closed);
}

void upstream_flows::set_phase(time_point now, flow& known, flow_phase phase) {
    if (known.phase == flow_phase::open)
        --open_;
    known.phase = phase;
    if (phase == flow_phase::open)
        ++open_;
    if (phase == flow_phase::closed)
        stop_waiting(now, known);
}

void upstream_flows::set_waiting(time_point now, flow& known, bool waiting) {
    if (known.waiting == waiting)
        return;
    average_waiting(now);
    if (!waiting) {
        stop_waiting(now, known);
        record_answer(now, known);
        return;
    }
    known.waiting = true;
    known.had_free_slot = waiting_ < slots_;
    known.requested_at = now;
    ++waiting_;
}

// Stops counting the flow as awaiting an answer.
void upstream_flows::stop_waiting(time_point now, flow& known) {
    if (!known.waiting)
        return;
    average_waiting(now);
    known.waiting = false;
    --waiting_;
    if (waiting_ < slots_)
        full_since_.reset();
}

// Samples the service time. The answer time of a request that found a free slot is a sample. Under
// sustained overload no request finds one; an upstream that was full since its last answer then
// gives one answer for each slot per service time.
void upstream_flows::record_answer(time_point now, flow const& known) {
    // A request that arrived while all slots were taken, yet was answered before the requests
    // already there, was refused by the upstream.
    bool const refused = !known.had_free_slot && full_since_ && known.requested_at >= *full_since_;
    if (refused)
        return;
    if (known.had_free_slot)
        add_service_time(now - known.requested_at);
    else if (full_since_)
        add_service_time((now - *full_since_) * slots_);
    if (waiting_ >= slots_)
        full_since_ = now;
}

void upstream_flows::add_service_time(duration sample) {
    if (service_time_ == duration::zero())
        service_time_ = sample;
    else
        service_time_ += std::chrono::duration_cast<duration>((sample - service_time_) *
                                                              options_.service_time_smoothing);
}

void upstream_flows::erase(time_point now, packet_flow const& key) {
    auto const at = flows_.find(key);
    if (at == flows_.end())
        return;
    set_phase(now, at->second, flow_phase::closed);
    flows_.erase(at);
}

void upstream_flows::notify(endpoint balancer, flow_report what, packet_flow const& flow,
                            std::string packet, std::uint32_t caller_expects) {
    output_.actions.emplace_back(
        notify_balancer{balancer, {what, flow, caller_expects, std::move(packet)}});
}

void upstream_flows::record(flow_event event, packet_flow const& flow) {
    output_.events.emplace_back(event, flow);
}

void upstream_flows::sweep(time_point now) {
    next_sweep_ = now + sweep_interval;
    std::vector<packet_flow> expired;
    for (auto& [key, known] : flows_) {
        if (known.waiting && now - known.requested_at > options_.answer_timeout)
            stop_waiting(now, known);
        bool const short_lived =
            known.phase != flow_phase::open && known.phase != flow_phase::opening;
        duration const kept = short_lived ? options_.closed_lifetime : options_.idle_lifetime;
        if (now - known.last_seen > kept)
            expired.push_back(key);
    }
    for (packet_flow const& key : expired)
        erase(now, key);
}

bool upstream_flows::accepts_new(time_point now, forwarded_packet const& message) const {
    bool const answers = !unresponsive_since_ || now - *unresponsive_since_ > retry_unresponsive;
    return answers && accepts_new_.value_or(message.default_slots > 0);
}

// Accepts every flow while a slot is free or the averaged load is low: a backlog after an outage is
// served late, which is better for its callers than a refusal.
bool upstream_flows::meets_objective(time_point now, forwarded_packet const& message) const {
    bool const sustained = decayed_average(now) >= slots_ * options_.sustained_load_per_slot;
    if (waiting_ < slots_ || !sustained || message.objective == std::chrono::milliseconds::zero())
        return true;
    std::uint32_t const reduction =
        options_.percent_per_priority * std::min(message.priority, 100U);
    std::uint32_t const percent =
        std::max(options_.min_percent,
                 options_.urgent_percent - std::min(options_.urgent_percent, reduction));
    return expected_answer_time() * 100 <= message.objective * percent;
}

bool upstream_flows::may_be_incomplete(time_point now) const {
    return now - started_ < options_.flow_lifetime;
}

holder_state upstream_flows::state_of(time_point now, packet_flow const& key) const {
    auto const at = flows_.find(key);
    if (at == flows_.end())
        return may_be_incomplete(now) ? holder_state::unknown : holder_state::not_held;
    bool const certain =
        at->second.phase == flow_phase::open || at->second.phase == flow_phase::closed;
    return certain ? holder_state::held : holder_state::unknown;
}

agent_output upstream_flows::take_output() {
    return std::exchange(output_, {});
}

} // namespace toucanusher
