#include "toucanusher/connection/flow_holder.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

flow_holder::flow_holder(flow_holder_options options, flow_hash hash, flow_faults faults)
    : options_(std::move(options)), hash_(std::move(hash)), faults_(faults), table_(options_.table),
      replicator_(options_.replication, options_.self, options_.self_agent,
                  options_.process_instance),
      fences_(buckets_per_service) {}

flow_actions flow_holder::apply_state(time_point now, std::shared_ptr<fleet_state const> state) {
    flow_actions actions;
    if (state_ && state->version() <= state_->version())
        return actions;
    bool const first_membership = !service_;
    state_ = std::move(state);
    upstream_record const* const record = state_->upstream(options_.self);
    service_ = record == nullptr ? std::nullopt : std::optional{record->service};
    if (!service_)
        return actions;
    replicator_.apply_state(now, *state_, *service_, table_);
    deliver_confirmed(now, replicator_.take_confirmed(), actions);
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

void flow_holder::start_recovery() {
    recovering_ = !faults_.skip_recovery;
}

void flow_holder::drain(time_point now) {
    if (!draining_since_)
        draining_since_ = now;
}

flow_actions flow_holder::on_packet(time_point now, flow_packet packet) {
    flow_actions actions;
    if (auto const reason = check_target(packet.target, packet.flow);
        reason != flow_refusal::none) {
        refuse(packet, reason, actions);
        return actions;
    }
    if (deliver_if_held(now, packet, actions))
        return actions;
    if (recovering_) {
        drop(flow_refusal::recovering, actions);
        return actions;
    }
    if (auto const holder = redirects_.find(packet.flow); holder != redirects_.end()) {
        send_query(holder->second, packet, steering()->owned_since(bucket_of(packet.flow)),
                   actions);
        return actions;
    }
    if (owns(bucket_of(packet.flow)) || faults_.open_without_ownership)
        open_or_query(now, std::move(packet), actions);
    else
        relay(std::move(packet), actions);
    return actions;
}

flow_actions flow_holder::on_query(time_point now, flow_query query) {
    flow_actions actions;
    flow_packet& packet = query.packet;
    if (auto const reason = check_target(packet.target, packet.flow);
        reason != flow_refusal::none) {
        drop(reason, actions);
        return actions;
    }
    if (recovering_) {
        // Without an answer the bucket owner retries; a wrong "not held" could not be revoked.
        drop(flow_refusal::recovering, actions);
        return actions;
    }
    bucket_number const bucket = bucket_of(packet.flow);
    flow_answer answer{packet.flow, bucket, options_.self, query.owner, false, query.epoch};
    if (deliver_if_held(now, packet, actions)) {
        answer.held = true;
    } else if (!faults_.skip_fence) {
        version_number& fence = fences_[value_of(bucket)];
        fence = std::max(fence, query.epoch);
    }
    actions.push_back(send_message{query.owner_agent, answer});
    return actions;
}

flow_actions flow_holder::on_answer(time_point now, flow_answer const& answer) {
    flow_actions actions;
    if (answer.target != options_.self) {
        drop(flow_refusal::wrong_upstream, actions);
        return actions;
    }
    auto const pending = pending_.find(answer.flow);
    if (pending == pending_.end()) {
        auto const holder = redirects_.find(answer.flow);
        if (holder == redirects_.end())
            drop(flow_refusal::unexpected_answer, actions);
        else if (!answer.held && holder->second == answer.from)
            redirects_.erase(holder);
        return actions;
    }
    if (answer.held)
        add_redirect(answer.flow, answer.from, actions);
    else if (answer.fence >= pending->second.epoch)
        on_predecessor_cleared(now, answer.flow, answer.from, actions);
    return actions;
}

flow_actions flow_holder::on_replication_ack(time_point now, replication_ack const& ack) {
    flow_actions actions;
    replicator_.on_replication_ack(now, ack, table_);
    deliver_confirmed(now, replicator_.take_confirmed(), actions);
    return actions;
}

flow_actions flow_holder::on_recovery_request(time_point now, recovery_request const& request) {
    flow_actions actions;
    if (request.after_slot > 0)
        return actions; // later page of the same recovery
    replicator_.on_replica_restarted(request.holder, table_);
    deliver_confirmed(now, replicator_.on_tick(now, actions), actions);
    return actions;
}

flow_actions flow_holder::on_recovery_page(time_point now, recovery_page const& page) {
    flow_actions actions;
    auto const source = recovery_.find(page.replica);
    if (!recovering_ || page.holder != options_.self ||
        page.holder_process != options_.process_instance || source == recovery_.end())
        return actions;
    recovery_progress& progress = source->second;
    if (progress.done || page.after_slot != progress.after_slot)
        return actions;
    for (flow_copy const& copy : page.flows) {
        table_.restore(now, copy.flow, bucket_of(copy.flow), copy.slot);
        progress.after_slot = std::max(progress.after_slot, copy.slot);
    }
    progress.done = page.last;
    progress.requested_at = {};
    continue_recovery(now, actions);
    return actions;
}

flow_actions flow_holder::on_upstream_packet(time_point now, std::uint32_t slot,
                                             std::string payload) {
    flow_actions actions;
    flow_entry* const entry = table_.entry_at(slot);
    if (entry == nullptr) {
        drop(flow_refusal::unknown_flow, actions);
        return actions;
    }
    entry->last_packet = now;
    entry->balancer = live_balancer(entry->flow, entry->balancer);
    actions.push_back(
        send_message{entry->balancer, flow_reply{entry->flow, options_.self, std::move(payload)}});
    return actions;
}

flow_actions flow_holder::reply(time_point now, flow_key const& flow, endpoint fallback,
                                std::string payload) {
    if (auto const slot = table_.slot_of(flow))
        return on_upstream_packet(now, *slot, std::move(payload));
    flow_actions actions;
    endpoint const balancer = state_ ? live_balancer(flow, fallback) : fallback;
    actions.push_back(send_message{balancer, flow_reply{flow, options_.self, std::move(payload)}});
    return actions;
}

flow_actions flow_holder::on_tick(time_point now) {
    flow_actions actions;
    if (!service_)
        return actions;
    if (recovering_)
        continue_recovery(now, actions);
    deliver_confirmed(now, replicator_.on_tick(now, actions), actions);
    retry_pending(now, actions);
    close_idle(now, actions);
    if (!last_release_ || now - *last_release_ >= options_.release_interval)
        report_empty_buckets(now, actions);
    return actions;
}

void flow_holder::close_flow(time_point now, flow_key const& flow) {
    auto const slot = table_.slot_of(flow);
    if (!slot || unconfirmed_.contains(*slot))
        return;
    table_.close(now, *slot);
    replicator_.on_closed(*slot);
}

bool flow_holder::holds(flow_key const& flow) const {
    return table_.slot_of(flow).has_value();
}

std::size_t flow_holder::owned_buckets() const {
    return service_ ? steering()->buckets_of(options_.self) : 0;
}

flow_refusal flow_holder::check_target(upstream_ref target, flow_key const& flow) const {
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

flow_refusal flow_holder::check_open(time_point now, bucket_number bucket) const {
    bool const fenced = fences_[value_of(bucket)] > steering()->owned_since(bucket);
    if (fenced && !faults_.skip_fence)
        return flow_refusal::stale_epoch;
    bool const grace_over = draining_since_ && now - *draining_since_ > options_.drain_grace;
    if (grace_over && !faults_.ignore_drain)
        return flow_refusal::draining;
    return flow_refusal::none;
}

bucket_number flow_holder::bucket_of(flow_key const& flow) const {
    return bucket_number{static_cast<std::uint32_t>(hash_(flow) % buckets_per_service)};
}

steering_table const* flow_holder::steering() const {
    return state_->service(*service_)->table.get();
}

bool flow_holder::owns(bucket_number bucket) const {
    upstream_ref const* const owner = steering()->owner(bucket);
    return owner != nullptr && *owner == options_.self;
}

endpoint flow_holder::live_balancer(flow_key const& flow, endpoint preferred) const {
    std::vector<endpoint> others;
    for (auto const& [name, balancer] : state_->balancers()) {
        if (balancer.reply_address == preferred && !balancer.draining)
            return preferred;
        if (!balancer.draining)
            others.push_back(balancer.reply_address);
    }
    if (others.empty())
        return preferred;
    return others[hash_(flow) % others.size()];
}

void flow_holder::drop(flow_refusal reason, flow_actions& actions) const {
    actions.push_back(count_refusal{reason});
}

void flow_holder::refuse(flow_packet const& packet, flow_refusal reason,
                         flow_actions& actions) const {
    drop(reason, actions);
    version_number const version = state_ ? state_->version() : version_number{};
    actions.push_back(
        send_message{packet.balancer, refusal_notice{packet.flow, packet.target, reason, version}});
}

// Returns true if the flow is held here; the packet is then delivered, or buffered until the
// replicas confirm.
bool flow_holder::deliver_if_held(time_point now, flow_packet& packet, flow_actions& actions) {
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
        drop(flow_refusal::too_many_pending, actions);
    }
    return true;
}

void flow_holder::open_or_query(time_point now, flow_packet packet, flow_actions& actions) {
    bucket_number const bucket = bucket_of(packet.flow);
    if (auto const reason = check_open(now, bucket); reason != flow_refusal::none) {
        refuse(packet, reason, actions);
        return;
    }
    if (steering()->predecessors(bucket).empty() || faults_.skip_predecessors)
        open(now, bucket, {std::move(packet)}, actions);
    else
        add_pending(now, std::move(packet), actions);
}

void flow_holder::open(time_point now, bucket_number bucket, std::vector<flow_packet> packets,
                       flow_actions& actions) {
    flow_key const flow = packets.front().flow;
    auto const slot = table_.open(now, flow, bucket);
    if (!slot) {
        refuse(packets.front(), flow_refusal::too_many_flows, actions);
        return;
    }
    unconfirmed_[*slot];
    for (flow_packet& packet : packets)
        deliver_if_held(now, packet, actions);
    if (replicator_.on_opened(now, {flow, *slot}, actions))
        deliver_confirmed(now, {*slot}, actions);
}

void flow_holder::relay(flow_packet packet, flow_actions& actions) const {
    if (packet.hops >= options_.max_hops) {
        refuse(packet, flow_refusal::hop_limit, actions);
        return;
    }
    upstream_ref const* const owner = steering()->owner(bucket_of(packet.flow));
    upstream_record const* const record = owner == nullptr ? nullptr : state_->upstream(*owner);
    if (record == nullptr) {
        refuse(packet, flow_refusal::no_upstream, actions);
        return;
    }
    ++packet.hops;
    packet.target = *owner;
    packet.version = state_->version();
    actions.push_back(send_message{record->announcement.agent, std::move(packet)});
}

void flow_holder::send_query(upstream_ref predecessor, flow_packet const& packet,
                             version_number epoch, flow_actions& actions) const {
    upstream_record const* const record = state_->upstream(predecessor);
    if (record == nullptr)
        return;
    flow_query query{packet, options_.self, options_.self_agent, epoch};
    query.packet.target = predecessor;
    actions.push_back(send_message{record->announcement.agent, std::move(query)});
}

void flow_holder::add_pending(time_point now, flow_packet packet, flow_actions& actions) {
    auto const known = pending_.find(packet.flow);
    if (known != pending_.end()) {
        if (known->second.packets.size() < options_.max_packets_per_pending)
            known->second.packets.push_back(std::move(packet));
        else
            drop(flow_refusal::too_many_pending, actions);
        return;
    }
    if (pending_.size() >= options_.max_pending_flows) {
        refuse(packet, flow_refusal::too_many_pending, actions);
        return;
    }
    bucket_number const bucket = bucket_of(packet.flow);
    pending_flow entry{
        steering()->owned_since(bucket), steering()->predecessors(bucket), {}, now, now};
    for (upstream_ref const predecessor : entry.unanswered)
        send_query(predecessor, packet, entry.epoch, actions);
    flow_key const flow = packet.flow;
    entry.packets.push_back(std::move(packet));
    pending_.emplace(flow, std::move(entry));
}

void flow_holder::on_predecessor_cleared(time_point now, flow_key const& flow,
                                         upstream_ref predecessor, flow_actions& actions) {
    auto const at = pending_.find(flow);
    std::erase(at->second.unanswered, predecessor);
    if (!at->second.unanswered.empty())
        return;
    pending_flow done = std::move(at->second);
    pending_.erase(at);
    bucket_number const bucket = bucket_of(flow);
    if (auto const reason = check_open(now, bucket); reason != flow_refusal::none)
        refuse(done.packets.front(), reason, actions);
    else
        open(now, bucket, std::move(done.packets), actions);
}

void flow_holder::add_redirect(flow_key const& flow, upstream_ref holder, flow_actions& actions) {
    auto const at = pending_.find(flow);
    // The first packet reached the holder with the query.
    for (std::size_t i = 1; i < at->second.packets.size(); ++i)
        send_query(holder, at->second.packets[i], at->second.epoch, actions);
    pending_.erase(at);
    if (redirects_.size() >= options_.max_redirects)
        redirects_.erase(redirects_.begin());
    redirects_[flow] = holder;
}

// Updates pending flows for a new state: predecessors may have left it, and buckets may have new
// owners.
void flow_holder::review_pending(time_point now, flow_actions& actions) {
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
                    open_or_query(now, std::move(packet), actions);
                else
                    relay(std::move(packet), actions);
            continue;
        }
        std::vector<upstream_ref> const unanswered = at->second.unanswered;
        for (upstream_ref const predecessor : unanswered)
            if (!steering()->is_predecessor(predecessor, bucket))
                on_predecessor_cleared(now, flow, predecessor, actions);
    }
}

void flow_holder::retry_pending(time_point now, flow_actions& actions) {
    std::erase_if(pending_, [&](auto const& item) {
        if (now - item.second.started_at <= options_.pending_timeout)
            return false;
        refuse(item.second.packets.front(), flow_refusal::predecessor_silent, actions);
        return true;
    });
    for (auto& [flow, pending] : pending_) {
        if (now - pending.queried_at < options_.retry_interval)
            continue;
        pending.queried_at = now;
        for (upstream_ref const predecessor : pending.unanswered)
            send_query(predecessor, pending.packets.front(), pending.epoch, actions);
    }
}

void flow_holder::deliver_confirmed(time_point /*now*/, std::vector<std::uint32_t> const& slots,
                                    flow_actions& actions) {
    for (std::uint32_t const slot : slots) {
        auto const waiting = unconfirmed_.find(slot);
        flow_entry const* const entry = table_.entry_at(slot);
        if (waiting == unconfirmed_.end() || entry == nullptr)
            continue;
        for (std::string& payload : waiting->second.payloads)
            actions.push_back(deliver_packet{slot, entry->flow, std::move(payload)});
        unconfirmed_.erase(waiting);
    }
}

void flow_holder::close_idle(time_point now, flow_actions& /*actions*/) {
    service_settings const& settings = *state_->service(*service_)->settings;
    duration idle = settings.idle_time;
    if (settings.kind == service_kind::request)
        idle = std::min<duration>(idle, options_.request_idle_time);
    for (std::uint32_t const slot : table_.find_idle(now - idle, options_.idle_scan_budget)) {
        if (unconfirmed_.contains(slot))
            continue;
        table_.close(now, slot);
        replicator_.on_closed(slot);
    }
}

void flow_holder::report_empty_buckets(time_point now, flow_actions& actions) {
    if (recovering_)
        return;
    auto buckets = empty_predecessor_buckets();
    last_release_ = now;
    if (buckets.empty())
        return;
    actions.push_back(
        report_release{{options_.self, *service_, state_->version(), std::move(buckets)}});
}

// Queries every other agent of the service, since any of them may have been a replica.
void flow_holder::continue_recovery(time_point now, flow_actions& actions) {
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
        if (now - progress.requested_at < options_.retry_interval)
            continue;
        progress.requested_at = now;
        actions.push_back(
            send_message{state_->upstream(ref)->announcement.agent,
                         recovery_request{options_.self, ref, options_.self_agent,
                                          options_.process_instance, progress.after_slot}});
    }
    if (!all_done)
        return;
    recovering_ = false;
    recovery_.clear();
}

std::vector<bucket_number> flow_holder::empty_predecessor_buckets() const {
    std::vector<bool> busy(buckets_per_service, false);
    for (auto const& [flow, pending] : pending_)
        busy[value_of(bucket_of(flow))] = true;
    std::vector<bucket_number> result;
    for (std::uint32_t raw = 0; raw < buckets_per_service; ++raw) {
        bucket_number const bucket{raw};
        bool const is_predecessor = steering()->is_predecessor(options_.self, bucket);
        bool const empty = table_.flows_in(bucket) == 0 && !busy[raw];
        if (is_predecessor && (empty || faults_.release_with_flows))
            result.push_back(bucket);
    }
    return result;
}

} // namespace toucanusher
