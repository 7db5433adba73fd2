#include "toucanusher/connection/flow_replica_store.h"

#include <algorithm>

namespace toucanusher {

std::optional<replication_ack> flow_replica_store::store(replication_batch const& request) {
    holder_flows& holder = holders_[request.holder];
    if (request.holder_process < holder.holder_process)
        return std::nullopt;
    holder.holder_process = request.holder_process;
    for (std::uint32_t const slot : request.closed)
        holder.slots.erase(slot);
    for (flow_copy const& copy : request.opened)
        holder.slots[copy.slot] = copy.flow;
    return replication_ack{request.holder, request.target, request.holder_process, request.batch,
                           process_instance_};
}

recovery_page flow_replica_store::page(recovery_request const& request) {
    recovery_page result{request.holder,     request.target, request.holder_process,
                         request.after_slot, true,           {}};
    holder_flows& holder = holders_[request.holder];
    holder.holder_process = std::max(holder.holder_process, request.holder_process);
    for (auto at = holder.slots.upper_bound(request.after_slot); at != holder.slots.end(); ++at) {
        if (result.flows.size() == flows_per_page) {
            result.last = false;
            break;
        }
        result.flows.push_back({at->second, at->first});
    }
    return result;
}

void flow_replica_store::apply_state(fleet_state const& state) {
    std::erase_if(holders_,
                  [&](auto const& holder) { return state.upstream(holder.first) == nullptr; });
}

std::size_t flow_replica_store::size() const {
    std::size_t total = 0;
    for (auto const& [ref, holder] : holders_)
        total += holder.slots.size();
    return total;
}

} // namespace toucanusher
