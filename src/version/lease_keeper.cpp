#include "toucanusher/version/lease_keeper.h"

#include <algorithm>

namespace toucanusher {

void lease_keeper::restart(time_point now) {
    restarted_ = now;
}

void lease_keeper::renew(time_point now, daemon_report const& report) {
    for (upstream_ref const ref : report.upstreams)
        upstreams_[ref] = now;
    if (report.balancer_life)
        balancers_[{report.name, *report.balancer_life}] = now;
}

std::vector<fleet_command> lease_keeper::expired(time_point now, fleet_state const& state) {
    std::vector<fleet_command> commands;
    for (upstream_record const* record : state.upstreams())
        if (lapsed(now, upstreams_.try_emplace(record->ref, now).first->second,
                   record->said.knows_flows ? std::max(lease_, carried_flows_lease) : lease_))
            commands.emplace_back(forget_upstream{record->ref, {}});
    for (auto const& [name, record] : state.balancers())
        if (lapsed(now, balancers_.try_emplace({name, record.life}, now).first->second, lease_))
            commands.emplace_back(forget_balancer{name, record.life});
    // Members that are no longer in the state need no lease.
    std::erase_if(upstreams_, [&](auto const& item) {
        return state.upstream(item.first) == nullptr && now - item.second > lease_;
    });
    std::erase_if(balancers_, [&](auto const& item) { return now - item.second > 2 * lease_; });
    return commands;
}

bool lease_keeper::lapsed(time_point now, time_point& heard, duration lease) const {
    heard = std::max(heard, restarted_);
    return now - heard > lease;
}

} // namespace toucanusher
