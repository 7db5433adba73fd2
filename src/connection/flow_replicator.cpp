#include "toucanusher/connection/flow_replicator.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

namespace {

std::uint64_t witness_score(upstream_ref home, upstream_ref witness) {
    std::uint64_t const pair = (std::uint64_t{value_of(home.id)} << 32U) | value_of(witness.id);
    return XXH3_64bits(&pair, sizeof pair);
}

// Witnesses in another availability zone come first, then by rendezvous score.
std::vector<upstream_record const*> rank_witnesses(fleet_state const& state, service_id service,
                                                   upstream_ref self) {
    upstream_record const* const home = state.upstream(self);
    std::vector<upstream_record const*> ranked;
    for (upstream_record const* record : state.upstreams())
        if (record->service == service && record->ref != self)
            ranked.push_back(record);
    std::sort(ranked.begin(), ranked.end(), [&](auto const* a, auto const* b) {
        auto const order = [&](upstream_record const* r) {
            bool const same_zone =
                home != nullptr && r->announcement.zone == home->announcement.zone;
            return std::pair{!same_zone, witness_score(self, r->ref)};
        };
        return order(a) > order(b);
    });
    return ranked;
}

} // namespace

flow_replicator::flow_replicator(replicator_options options, upstream_ref self, endpoint self_agent,
                                 std::uint64_t process)
    : options_(options), self_(self), self_agent_(self_agent), process_(process) {}

void flow_replicator::adopt(time_point now, fleet_state const& state, service_id service,
                            flow_table& table) {
    auto ranked = rank_witnesses(state, service, self_);
    ranked.resize(std::min<std::size_t>(ranked.size(), options_.witnesses));
    std::set<upstream_ref> chosen;
    for (auto const* record : ranked)
        chosen.insert(record->ref);
    std::erase_if(witnesses_, [&](auto const& item) { return !chosen.contains(item.first); });
    for (auto const* record : ranked) {
        auto const [at, added] = witnesses_.try_emplace(record->ref);
        at->second.agent = record->announcement.agent;
        if (added) {
            at->second.last_sent = now;
            start_over(at->second, table);
        }
    }
    for (auto& [slot, waiting] : waiting_) {
        std::erase_if(waiting.missing, [&](upstream_ref ref) { return !witnesses_.contains(ref); });
        if (waiting.missing.empty())
            confirmed_.push_back(slot);
    }
    std::erase_if(waiting_, [](auto const& item) { return item.second.missing.empty(); });
}

bool flow_replicator::opened(time_point now, flow_copy const& copy, flow_actions& actions) {
    if (witnesses_.empty())
        return true;
    waiting_slot& waiting = waiting_[copy.slot];
    waiting = {{}, now};
    for (auto& [ref, who] : witnesses_) {
        waiting.missing.insert(ref);
        who.to_open.push_back(copy);
        // New flows are urgent and bypass the limit on catching up.
        send_batch(now, ref, who, actions);
    }
    return false;
}

void flow_replicator::closed(std::uint32_t slot) {
    waiting_.erase(slot);
    for (auto& [ref, who] : witnesses_) {
        std::erase_if(who.to_open, [&](flow_copy const& copy) { return copy.slot == slot; });
        who.to_close.push_back(slot);
    }
}

void flow_replicator::witness_restarted(upstream_ref witness, flow_table& table) {
    auto const found = witnesses_.find(witness);
    if (found == witnesses_.end())
        return;
    found->second.process.reset();
    start_over(found->second, table);
}

void flow_replicator::on_stored(time_point /*now*/, witness_stored const& stored,
                                flow_table& table) {
    auto const found = witnesses_.find(stored.witness);
    if (found == witnesses_.end() || stored.home != self_ || stored.home_process != process_)
        return;
    witness& who = found->second;
    if (who.process && *who.process != stored.process) {
        // The witness restarted and holds only what came after: store everything once more.
        who.process = stored.process;
        start_over(who, table);
        return;
    }
    who.process = stored.process;
    auto const done = who.unconfirmed.find(stored.batch);
    if (done == who.unconfirmed.end())
        return;
    confirm(stored.witness, done->second.opened);
    who.unconfirmed.erase(done);
}

std::vector<std::uint32_t> flow_replicator::on_tick(time_point now, flow_actions& actions) {
    for (auto& [ref, who] : witnesses_) {
        for (auto& [number, content] : who.unconfirmed) {
            if (now - content.sent < options_.resend_after)
                continue;
            content.sent = now;
            send(ref, who, number, content, actions);
        }
        bool const due = now - who.last_sent >= options_.check_interval;
        bool const has_work = !who.to_open.empty() || !who.to_close.empty();
        while (who.unconfirmed.size() < options_.max_unconfirmed_batches &&
               (!who.to_open.empty() || !who.to_close.empty()))
            send_batch(now, ref, who, actions);
        if (due && !has_work && who.unconfirmed.empty())
            send_batch(now, ref, who, actions);
    }
    for (auto& [slot, waiting] : waiting_) {
        if (now - waiting.since < options_.give_up_after)
            continue;
        confirmed_.push_back(slot);
        waiting.missing.clear();
        ++given_up_;
    }
    std::erase_if(waiting_, [](auto const& item) { return item.second.missing.empty(); });
    return take_confirmed();
}

std::vector<std::uint32_t> flow_replicator::take_confirmed() {
    return std::exchange(confirmed_, {});
}

void flow_replicator::start_over(witness& who, flow_table& table) {
    who.to_open.clear();
    who.to_close.clear();
    who.unconfirmed.clear();
    table.for_each([&](std::uint32_t slot, flow_entry const& entry) {
        who.to_open.push_back({entry.flow, slot});
    });
}

void flow_replicator::confirm(upstream_ref witness, std::vector<flow_copy> const& copies) {
    for (flow_copy const& copy : copies) {
        auto const waiting = waiting_.find(copy.slot);
        if (waiting == waiting_.end())
            continue;
        waiting->second.missing.erase(witness);
        if (!waiting->second.missing.empty())
            continue;
        confirmed_.push_back(copy.slot);
        waiting_.erase(waiting);
    }
}

void flow_replicator::send_batch(time_point now, upstream_ref ref, witness& who,
                                 flow_actions& actions) {
    batch content{now, {}, {}};
    while (!who.to_close.empty() && content.closed.size() < options_.max_batch) {
        content.closed.push_back(who.to_close.front());
        who.to_close.pop_front();
    }
    // A slot must not be opened again before its end is stored.
    if (who.to_close.empty()) {
        while (!who.to_open.empty() && content.opened.size() < options_.max_batch) {
            content.opened.push_back(who.to_open.front());
            who.to_open.pop_front();
        }
    }
    who.last_sent = now;
    std::uint64_t const number = next_batch_++;
    batch const& kept = who.unconfirmed[number] = std::move(content);
    send(ref, who, number, kept, actions);
}

void flow_replicator::send(upstream_ref ref, witness const& who, std::uint64_t number,
                           batch const& content, flow_actions& actions) const {
    actions.push_back(
        send_message{who.agent, witness_store{self_, ref, self_agent_, process_, number,
                                              content.opened, content.closed}});
}

} // namespace toucanusher
