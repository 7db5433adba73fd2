#include "toucanusher/connection/flow_owner.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

flow_owner::flow_owner(flow_owner_options options, flow_hash hash, flow_faults faults)
    : options_(std::move(options)), hash_(std::move(hash)), faults_(faults), table_(options_.table),
      replicator_(options_.replication, options_.self, options_.self_agent, options_.process),
      fences_(buckets_per_service) {}

flow_actions flow_owner::adopt(time_point now, std::shared_ptr<fleet_state const> state) {
    flow_actions actions;
    if (state_ && state->version() <= state_->version())
        return actions;
    bool const first_membership = !service_;
    state_ = std::move(state);
    upstream_record const* const record = state_->upstream(options_.self);
    service_ = record == nullptr ? std::nullopt : std::optional{record->service};
    if (!service_)
        return actions;
    replicator_.adopt(now, *state_, *service_, table_);
    release_confirmed(now, replicator_.take_confirmed(), actions);
    absl::erase_if(redirects_, [&](auto const& item) {
        return !steering()->is_predecessor(item.second, bucket_of(item.first));
    });
    if (recovering_)
        continue_recovery(now, actions);
    review_pending(now, actions);
    if (!first_membership)
        report_empty_buckets(now, actions);
    return actions;
}

void flow_owner::start_recovery() {
    recovering_ = !faults_.skip_recovery;
}

void flow_owner::drain(time_point now) {
    if (!draining_since_)
        draining_since_ = now;
}

flow_actions flow_owner::on_packet(time_point now, flow_packet packet) {
    flow_actions actions;
    if (auto const reason = check_target(packet.target, packet.flow);
        reason != flow_refusal::none) {
        reject(packet, reason, actions);
        return actions;
    }
    if (deliver_known(now, packet, actions))
        return actions;
    if (recovering_) {
        refuse(flow_refusal::recovering, actions);
        return actions;
    }
    if (auto const holder = redirects_.find(packet.flow); holder != redirects_.end()) {
        ask(holder->second, packet, steering()->owned_since(bucket_of(packet.flow)), actions);
        return actions;
    }
    if (owns(bucket_of(packet.flow)) || faults_.open_without_ownership)
        open_or_ask(now, std::move(packet), actions);
    else
        pass_on(std::move(packet), actions);
    return actions;
}

flow_actions flow_owner::on_query(time_point now, flow_query query) {
    flow_actions actions;
    flow_packet& packet = query.packet;
    if (auto const reason = check_target(packet.target, packet.flow);
        reason != flow_refusal::none) {
        refuse(reason, actions);
        return actions;
    }
    if (recovering_) {
        // Silence makes the owner ask again; a wrong "not held" could not be taken back.
        refuse(flow_refusal::recovering, actions);
        return actions;
    }
    bucket_number const bucket = bucket_of(packet.flow);
    flow_answer answer{packet.flow, bucket, options_.self, query.asker, false, query.epoch};
    if (deliver_known(now, packet, actions)) {
        answer.held = true;
    } else if (!faults_.skip_fence) {
        version_number& fence = fences_[value_of(bucket)];
        fence = std::max(fence, query.epoch);
    }
    actions.push_back(send_message{query.asker_agent, answer});
    return actions;
}

flow_actions flow_owner::on_answer(time_point now, flow_answer const& answer) {
    flow_actions actions;
    if (answer.target != options_.self) {
        refuse(flow_refusal::wrong_upstream, actions);
        return actions;
    }
    auto const pending = pending_.find(answer.flow);
    if (pending == pending_.end()) {
        auto const holder = redirects_.find(answer.flow);
        if (holder == redirects_.end())
            refuse(flow_refusal::unexpected_answer, actions);
        else if (!answer.held && holder->second == answer.from)
            redirects_.erase(holder);
        return actions;
    }
    if (answer.held)
        redirect(answer.flow, answer.from, actions);
    else if (answer.fence >= pending->second.epoch)
        predecessor_done(now, answer.flow, answer.from, actions);
    return actions;
}

flow_actions flow_owner::on_stored(time_point now, witness_stored const& stored) {
    flow_actions actions;
    replicator_.on_stored(now, stored, table_);
    release_confirmed(now, replicator_.take_confirmed(), actions);
    return actions;
}

flow_actions flow_owner::on_recovery_request(time_point now, recovery_request const& request) {
    flow_actions actions;
    if (request.after_slot > 0)
        return actions; // a later page of the same recovery
    replicator_.witness_restarted(request.home, table_);
    release_confirmed(now, replicator_.on_tick(now, actions), actions);
    return actions;
}

flow_actions flow_owner::on_recovery_page(time_point now, recovery_page const& page) {
    flow_actions actions;
    auto const source = recovery_.find(page.witness);
    if (!recovering_ || page.home != options_.self || page.home_process != options_.process ||
        source == recovery_.end())
        return actions;
    recovery_progress& progress = source->second;
    if (progress.done || page.after_slot != progress.after_slot)
        return actions;
    for (flow_copy const& copy : page.flows) {
        table_.restore(now, copy.flow, bucket_of(copy.flow), copy.slot);
        progress.after_slot = std::max(progress.after_slot, copy.slot);
    }
    progress.done = page.last;
    progress.asked = {};
    continue_recovery(now, actions);
    return actions;
}

flow_actions flow_owner::on_upstream_packet(time_point now, std::uint32_t slot,
                                            std::string payload) {
    flow_actions actions;
    flow_entry* const entry = table_.at_slot(slot);
    if (entry == nullptr) {
        refuse(flow_refusal::unknown_flow, actions);
        return actions;
    }
    entry->last_packet = now;
    entry->balancer = live_balancer(entry->flow, entry->balancer);
    actions.push_back(
        send_message{entry->balancer, flow_reply{entry->flow, options_.self, std::move(payload)}});
    return actions;
}

flow_actions flow_owner::reply(time_point now, flow_key const& flow, endpoint fallback,
                               std::string payload) {
    if (auto const slot = table_.slot_of(flow))
        return on_upstream_packet(now, *slot, std::move(payload));
    flow_actions actions;
    endpoint const balancer = state_ ? live_balancer(flow, fallback) : fallback;
    actions.push_back(send_message{balancer, flow_reply{flow, options_.self, std::move(payload)}});
    return actions;
}

flow_actions flow_owner::on_tick(time_point now) {
    flow_actions actions;
    if (!service_)
        return actions;
    if (recovering_)
        continue_recovery(now, actions);
    release_confirmed(now, replicator_.on_tick(now, actions), actions);
    retry_pending(now, actions);
    close_idle(now, actions);
    if (!last_release_ || now - *last_release_ >= options_.release_interval)
        report_empty_buckets(now, actions);
    return actions;
}

void flow_owner::close_flow(time_point now, flow_key const& flow) {
    auto const slot = table_.slot_of(flow);
    if (!slot || unconfirmed_.contains(*slot))
        return;
    table_.close(now, *slot);
    replicator_.closed(*slot);
}

bool flow_owner::holds(flow_key const& flow) const {
    return table_.slot_of(flow).has_value();
}

std::size_t flow_owner::owned_buckets() const {
    return service_ ? steering()->buckets_of(options_.self) : 0;
}

flow_refusal flow_owner::check_target(upstream_ref target, flow_key const& flow) const {
    if (!service_)
        return flow_refusal::not_ready;
    if (target.id != options_.self.id)
        return flow_refusal::wrong_upstream;
    if (target.incarnation != options_.self.incarnation && !faults_.accept_stale_incarnation)
        return flow_refusal::stale_incarnation;
    if (flow.service != *service_ && !faults_.accept_wrong_service)
        return flow_refusal::wrong_service;
    return flow_refusal::none;
}

flow_refusal flow_owner::check_open(time_point now, bucket_number bucket) const {
    bool const fenced = fences_[value_of(bucket)] > steering()->owned_since(bucket);
    if (fenced && !faults_.skip_fence)
        return flow_refusal::stale_epoch;
    bool const left = draining_since_ && now - *draining_since_ > options_.drain_grace;
    if (left && !faults_.ignore_drain)
        return flow_refusal::draining;
    return flow_refusal::none;
}

bucket_number flow_owner::bucket_of(flow_key const& flow) const {
    return bucket_number{static_cast<std::uint32_t>(hash_(flow) % buckets_per_service)};
}

steering_table const* flow_owner::steering() const {
    return state_->service(*service_)->table.get();
}

bool flow_owner::owns(bucket_number bucket) const {
    upstream_ref const* const owner = steering()->owner(bucket);
    return owner != nullptr && *owner == options_.self;
}

endpoint flow_owner::live_balancer(flow_key const& flow, endpoint preferred) const {
    std::vector<endpoint> others;
    for (auto const& [name, balancer] : state_->balancers()) {
        if (balancer.replies == preferred && !balancer.draining)
            return preferred;
        if (!balancer.draining)
            others.push_back(balancer.replies);
    }
    if (others.empty())
        return preferred;
    return others[hash_(flow) % others.size()];
}

void flow_owner::refuse(flow_refusal reason, flow_actions& actions) const {
    actions.push_back(count_refusal{reason});
}

void flow_owner::reject(flow_packet const& packet, flow_refusal reason,
                        flow_actions& actions) const {
    refuse(reason, actions);
    version_number const version = state_ ? state_->version() : version_number{};
    actions.push_back(
        send_message{packet.balancer, flow_rejection{packet.flow, packet.target, reason, version}});
}

// True if the flow's home is here; the packet is then delivered or waits for witnesses.
bool flow_owner::deliver_known(time_point now, flow_packet& packet, flow_actions& actions) {
    flow_entry* const entry = table_.find(packet.flow);
    if (entry == nullptr)
        return false;
    entry->last_packet = now;
    entry->balancer = packet.balancer;
    std::uint32_t const slot = *table_.slot_of(packet.flow);
    auto const waiting = unconfirmed_.find(slot);
    if (waiting == unconfirmed_.end()) {
        actions.push_back(deliver_packet{slot, packet.flow, std::move(packet.payload)});
    } else if (waiting->second.payloads.size() < options_.max_packets_per_pending) {
        waiting->second.payloads.push_back(std::move(packet.payload));
    } else {
        refuse(flow_refusal::too_many_pending, actions);
    }
    return true;
}

void flow_owner::open_or_ask(time_point now, flow_packet packet, flow_actions& actions) {
    bucket_number const bucket = bucket_of(packet.flow);
    if (auto const reason = check_open(now, bucket); reason != flow_refusal::none) {
        reject(packet, reason, actions);
        return;
    }
    if (steering()->predecessors(bucket).empty() || faults_.skip_predecessors)
        open(now, bucket, {std::move(packet)}, actions);
    else
        add_pending(now, std::move(packet), actions);
}

void flow_owner::open(time_point now, bucket_number bucket, std::vector<flow_packet> packets,
                      flow_actions& actions) {
    flow_key const flow = packets.front().flow;
    auto const slot = table_.open(now, flow, bucket);
    if (!slot) {
        reject(packets.front(), flow_refusal::too_many_flows, actions);
        return;
    }
    unconfirmed_[*slot];
    for (flow_packet& packet : packets)
        deliver_known(now, packet, actions);
    if (replicator_.opened(now, {flow, *slot}, actions))
        release_confirmed(now, {*slot}, actions);
}

void flow_owner::pass_on(flow_packet packet, flow_actions& actions) const {
    if (packet.hops >= options_.max_hops) {
        reject(packet, flow_refusal::hop_limit, actions);
        return;
    }
    upstream_ref const* const owner = steering()->owner(bucket_of(packet.flow));
    upstream_record const* const record = owner == nullptr ? nullptr : state_->upstream(*owner);
    if (record == nullptr) {
        reject(packet, flow_refusal::no_upstream, actions);
        return;
    }
    ++packet.hops;
    packet.target = *owner;
    packet.version = state_->version();
    actions.push_back(send_message{record->said.agent, std::move(packet)});
}

void flow_owner::ask(upstream_ref predecessor, flow_packet const& packet, version_number epoch,
                     flow_actions& actions) const {
    upstream_record const* const record = state_->upstream(predecessor);
    if (record == nullptr)
        return;
    flow_query query{packet, options_.self, options_.self_agent, epoch};
    query.packet.target = predecessor;
    actions.push_back(send_message{record->said.agent, std::move(query)});
}

void flow_owner::add_pending(time_point now, flow_packet packet, flow_actions& actions) {
    auto const known = pending_.find(packet.flow);
    if (known != pending_.end()) {
        if (known->second.packets.size() < options_.max_packets_per_pending)
            known->second.packets.push_back(std::move(packet));
        else
            refuse(flow_refusal::too_many_pending, actions);
        return;
    }
    if (pending_.size() >= options_.max_pending_flows) {
        reject(packet, flow_refusal::too_many_pending, actions);
        return;
    }
    bucket_number const bucket = bucket_of(packet.flow);
    pending_flow made{
        steering()->owned_since(bucket), steering()->predecessors(bucket), {}, now, now};
    for (upstream_ref const predecessor : made.waiting)
        ask(predecessor, packet, made.epoch, actions);
    flow_key const flow = packet.flow;
    made.packets.push_back(std::move(packet));
    pending_.emplace(flow, std::move(made));
}

void flow_owner::predecessor_done(time_point now, flow_key const& flow, upstream_ref predecessor,
                                  flow_actions& actions) {
    auto const at = pending_.find(flow);
    std::erase(at->second.waiting, predecessor);
    if (!at->second.waiting.empty())
        return;
    pending_flow done = std::move(at->second);
    pending_.erase(at);
    bucket_number const bucket = bucket_of(flow);
    if (auto const reason = check_open(now, bucket); reason != flow_refusal::none)
        reject(done.packets.front(), reason, actions);
    else
        open(now, bucket, std::move(done.packets), actions);
}

void flow_owner::redirect(flow_key const& flow, upstream_ref holder, flow_actions& actions) {
    auto const at = pending_.find(flow);
    // The holder has the first packet already; it came with the question.
    for (std::size_t i = 1; i < at->second.packets.size(); ++i)
        ask(holder, at->second.packets[i], at->second.epoch, actions);
    pending_.erase(at);
    if (redirects_.size() >= options_.max_redirects)
        redirects_.erase(redirects_.begin());
    redirects_[flow] = holder;
}

// After a new state: some predecessors may be gone, and some buckets may have moved on.
void flow_owner::review_pending(time_point now, flow_actions& actions) {
    std::vector<flow_key> flows;
    for (auto const& [flow, pending] : pending_)
        flows.push_back(flow);
    for (flow_key const& flow : flows) {
        auto const at = pending_.find(flow);
        bucket_number const bucket = bucket_of(flow);
        if (!owns(bucket) || steering()->owned_since(bucket) != at->second.epoch) {
            pending_flow moved = std::move(at->second);
            pending_.erase(at);
            for (flow_packet& packet : moved.packets)
                if (owns(bucket))
                    open_or_ask(now, std::move(packet), actions);
                else
                    pass_on(std::move(packet), actions);
            continue;
        }
        std::vector<upstream_ref> const waiting = at->second.waiting;
        for (upstream_ref const predecessor : waiting)
            if (!steering()->is_predecessor(predecessor, bucket))
                predecessor_done(now, flow, predecessor, actions);
    }
}

void flow_owner::retry_pending(time_point now, flow_actions& actions) {
    std::erase_if(pending_, [&](auto const& item) {
        if (now - item.second.since <= options_.pending_timeout)
            return false;
        reject(item.second.packets.front(), flow_refusal::predecessor_silent, actions);
        return true;
    });
    for (auto& [flow, pending] : pending_) {
        if (now - pending.asked < options_.ask_again_after)
            continue;
        pending.asked = now;
        for (upstream_ref const predecessor : pending.waiting)
            ask(predecessor, pending.packets.front(), pending.epoch, actions);
    }
}

void flow_owner::release_confirmed(time_point /*now*/, std::vector<std::uint32_t> const& slots,
                                   flow_actions& actions) {
    for (std::uint32_t const slot : slots) {
        auto const waiting = unconfirmed_.find(slot);
        flow_entry const* const entry = table_.at_slot(slot);
        if (waiting == unconfirmed_.end() || entry == nullptr)
            continue;
        for (std::string& payload : waiting->second.payloads)
            actions.push_back(deliver_packet{slot, entry->flow, std::move(payload)});
        unconfirmed_.erase(waiting);
    }
}

void flow_owner::close_idle(time_point now, flow_actions& /*actions*/) {
    service_settings const& settings = *state_->service(*service_)->settings;
    duration idle = settings.idle_time;
    if (settings.kind == service_kind::request)
        idle = std::min<duration>(idle, options_.request_idle_time);
    for (std::uint32_t const slot : table_.find_idle(now - idle, options_.idle_scan_budget)) {
        if (unconfirmed_.contains(slot))
            continue;
        table_.close(now, slot);
        replicator_.closed(slot);
    }
}

void flow_owner::report_empty_buckets(time_point now, flow_actions& actions) {
    if (recovering_)
        return;
    auto buckets = empty_predecessor_buckets();
    last_release_ = now;
    if (buckets.empty())
        return;
    actions.push_back(
        report_release{{options_.self, *service_, state_->version(), std::move(buckets)}});
}

// Asks every other agent of the service, since earlier witnesses may have been any of them.
void flow_owner::continue_recovery(time_point now, flow_actions& actions) {
    for (upstream_record const* record : state_->upstreams())
        if (record->service == *service_ && record->ref != options_.self)
            recovery_.try_emplace(record->ref);
    std::erase_if(recovery_,
                  [&](auto const& item) { return state_->upstream(item.first) == nullptr; });
    bool all_done = true;
    for (auto& [ref, progress] : recovery_) {
        if (progress.done)
            continue;
        all_done = false;
        if (now - progress.asked < options_.ask_again_after)
            continue;
        progress.asked = now;
        actions.push_back(send_message{state_->upstream(ref)->said.agent,
                                       recovery_request{options_.self, ref, options_.self_agent,
                                                        options_.process, progress.after_slot}});
    }
    if (!all_done)
        return;
    recovering_ = false;
    recovery_.clear();
}

std::vector<bucket_number> flow_owner::empty_predecessor_buckets() const {
    std::vector<bool> busy(buckets_per_service, false);
    for (auto const& [flow, pending] : pending_)
        busy[value_of(bucket_of(flow))] = true;
    std::vector<bucket_number> result;
    for (std::uint32_t raw = 0; raw < buckets_per_service; ++raw) {
        bucket_number const bucket{raw};
        bool const listed = steering()->is_predecessor(options_.self, bucket);
        bool const empty = table_.flows_in(bucket) == 0 && !busy[raw];
        if (listed && (empty || faults_.release_with_flows))
            result.push_back(bucket);
    }
    return result;
}

} // namespace toucanusher
