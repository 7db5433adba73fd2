#include "toucanusher/connection/flow_replicator.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

namespace {

std::uint64_t replica_score(upstream_ref holder, upstream_ref replica) {
    std::uint64_t const pair = (std::uint64_t{value_of(holder.id)} << 32U) | value_of(replica.id);
    return XXH3_64bits(&pair, sizeof pair);
}

// Ranks agents in another availability zone first, then by rendezvous score.
std::vector<upstream_record const*> rank_replicas(fleet_state const& state, service_id service,
                                                  upstream_ref self) {
    upstream_record const* const holder = state.upstream(self);
    std::vector<upstream_record const*> ranked;
    for (upstream_record const* record : state.upstreams())
        if (record->service == service && record->ref != self)
            ranked.push_back(record);
    std::sort(ranked.begin(), ranked.end(), [&](auto const* a, auto const* b) {
        auto const order = [&](upstream_record const* r) {
            bool const same_zone =
                holder != nullptr && r->announcement.zone == holder->announcement.zone;
            return std::pair{!same_zone, replica_score(self, r->ref)};
        };
        return order(a) > order(b);
    });
    return ranked;
}

} // namespace

flow_replicator::flow_replicator(replicator_options options, upstream_ref self, endpoint self_agent,
                                 std::uint64_t process_instance)
    : options_(options), self_(self), self_agent_(self_agent), process_instance_(process_instance) {
}

void flow_replicator::apply_state(time_point now, fleet_state const& state, service_id service,
                                  flow_table& table) {
    auto ranked = rank_replicas(state, service, self_);
    ranked.resize(std::min<std::size_t>(ranked.size(), options_.replicas));
    std::set<upstream_ref> chosen;
    for (auto const* record : ranked)
        chosen.insert(record->ref);
    std::erase_if(replicas_, [&](auto const& item) { return !chosen.contains(item.first); });
    for (auto const* record : ranked) {
        auto const [at, added] = replicas_.try_emplace(record->ref);
        at->second.agent = record->announcement.agent;
        if (added) {
            at->second.last_sent = now;
            resync(at->second, table);
        }
    }
    for (auto& [slot, waiting] : unconfirmed_slots_) {
        std::erase_if(waiting.unconfirmed_by,
                      [&](upstream_ref ref) { return !replicas_.contains(ref); });
        if (waiting.unconfirmed_by.empty())
            confirmed_.push_back(slot);
    }
    std::erase_if(unconfirmed_slots_,
                  [](auto const& item) { return item.second.unconfirmed_by.empty(); });
}

bool flow_replicator::on_opened(time_point now, flow_copy const& copy, flow_actions& actions) {
    if (replicas_.empty())
        return true;
    unconfirmed_slot& waiting = unconfirmed_slots_[copy.slot];
    waiting = {{}, now};
    for (auto& [ref, peer] : replicas_) {
        waiting.unconfirmed_by.insert(ref);
        peer.to_open.push_back(copy);
        // New flows are urgent and bypass max_unconfirmed_batches.
        send_batch(now, ref, peer, actions);
    }
    return false;
}

void flow_replicator::on_closed(std::uint32_t slot) {
    unconfirmed_slots_.erase(slot);
    for (auto& [ref, peer] : replicas_) {
        std::erase_if(peer.to_open, [&](flow_copy const& copy) { return copy.slot == slot; });
        peer.to_close.push_back(slot);
    }
}

void flow_replicator::on_replica_restarted(upstream_ref replica, flow_table& table) {
    auto const found = replicas_.find(replica);
    if (found == replicas_.end())
        return;
    found->second.process_instance.reset();
    resync(found->second, table);
}

void flow_replicator::on_replication_ack(time_point /*now*/, replication_ack const& ack,
                                         flow_table& table) {
    auto const found = replicas_.find(ack.replica);
    if (found == replicas_.end() || ack.holder != self_ || ack.holder_process != process_instance_)
        return;
    replica& peer = found->second;
    if (peer.process_instance && *peer.process_instance != ack.replica_process) {
        // The replica restarted and holds only newer entries: send all entries again.
        peer.process_instance = ack.replica_process;
        resync(peer, table);
        return;
    }
    peer.process_instance = ack.replica_process;
    auto const done = peer.unconfirmed.find(ack.batch);
    if (done == peer.unconfirmed.end())
        return;
    confirm(ack.replica, done->second.opened);
    peer.unconfirmed.erase(done);
}

std::vector<std::uint32_t> flow_replicator::on_tick(time_point now, flow_actions& actions) {
    for (auto& [ref, peer] : replicas_) {
        for (auto& [batch_number, content] : peer.unconfirmed) {
            if (now - content.sent_at < options_.resend_interval)
                continue;
            content.sent_at = now;
            send(ref, peer, batch_number, content, actions);
        }
        bool const due = now - peer.last_sent >= options_.check_interval;
        bool const has_work = !peer.to_open.empty() || !peer.to_close.empty();
        while (peer.unconfirmed.size() < options_.max_unconfirmed_batches &&
               (!peer.to_open.empty() || !peer.to_close.empty()))
            send_batch(now, ref, peer, actions);
        if (due && !has_work && peer.unconfirmed.empty())
            send_batch(now, ref, peer, actions);
    }
    for (auto& [slot, waiting] : unconfirmed_slots_) {
        if (now - waiting.started_at < options_.confirm_timeout)
            continue;
        confirmed_.push_back(slot);
        waiting.unconfirmed_by.clear();
        ++confirm_timeouts_;
    }
    std::erase_if(unconfirmed_slots_,
                  [](auto const& item) { return item.second.unconfirmed_by.empty(); });
    return take_confirmed();
}

std::vector<std::uint32_t> flow_replicator::take_confirmed() {
    return std::exchange(confirmed_, {});
}

void flow_replicator::resync(replica& peer, flow_table& table) {
    peer.to_open.clear();
    peer.to_close.clear();
    peer.unconfirmed.clear();
    table.for_each([&](std::uint32_t slot, flow_entry const& entry) {
        peer.to_open.push_back({entry.flow, slot});
    });
}

void flow_replicator::confirm(upstream_ref replica, std::vector<flow_copy> const& copies) {
    for (flow_copy const& copy : copies) {
        auto const waiting = unconfirmed_slots_.find(copy.slot);
        if (waiting == unconfirmed_slots_.end())
            continue;
        waiting->second.unconfirmed_by.erase(replica);
        if (!waiting->second.unconfirmed_by.empty())
            continue;
        confirmed_.push_back(copy.slot);
        unconfirmed_slots_.erase(waiting);
    }
}

void flow_replicator::send_batch(time_point now, upstream_ref ref, replica& peer,
                                 flow_actions& actions) {
    batch content{now, {}, {}};
    while (!peer.to_close.empty() && content.closed.size() < options_.max_batch) {
        content.closed.push_back(peer.to_close.front());
        peer.to_close.pop_front();
    }
    // A slot must not be opened again before its close is replicated.
    if (peer.to_close.empty()) {
        while (!peer.to_open.empty() && content.opened.size() < options_.max_batch) {
            content.opened.push_back(peer.to_open.front());
            peer.to_open.pop_front();
        }
    }
    peer.last_sent = now;
    std::uint64_t const batch_number = next_batch_++;
    batch const& kept = peer.unconfirmed[batch_number] = std::move(content);
    send(ref, peer, batch_number, kept, actions);
}

void flow_replicator::send(upstream_ref ref, replica const& peer, std::uint64_t batch_number,
                           batch const& content, flow_actions& actions) const {
    actions.push_back(
        send_message{peer.agent, replication_batch{self_, ref, self_agent_, process_instance_,
                                                   batch_number, content.opened, content.closed}});
}

} // namespace toucanusher
