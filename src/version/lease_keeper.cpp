#include "toucanusher/version/lease_keeper.h"

#include <algorithm>

namespace toucanusher {

void lease_keeper::restart(time_point now) {
    restarted_at_ = now;
}

void lease_keeper::renew(time_point now, daemon_report const& report) {
    for (upstream_ref const ref : report.upstreams)
        upstreams_[ref] = now;
    if (report.balancer_incarnation)
        balancers_[{report.name, *report.balancer_incarnation}] = now;
}

std::vector<fleet_command> lease_keeper::expired(time_point now, fleet_state const& state) {
    std::vector<fleet_command> commands;
    for (upstream_record const* record : state.upstreams())
        if (is_expired(now, upstreams_.try_emplace(record->ref, now).first->second,
                       record->announcement.reports_flows ? std::max(lease_, forwarded_flows_lease)
                                                          : lease_))
            commands.emplace_back(remove_upstream{record->ref, {}});
    for (auto const& [name, record] : state.balancers())
        if (is_expired(now, balancers_.try_emplace({name, record.incarnation}, now).first->second,
                       lease_))
            commands.emplace_back(remove_balancer{name, record.incarnation});
    // Members that are no longer in the state need no lease.
    std::erase_if(upstreams_, [&](auto const& item) {
        return state.upstream(item.first) == nullptr && now - item.second > lease_;
    });
    std::erase_if(balancers_, [&](auto const& item) { return now - item.second > 2 * lease_; });
    return commands;
}

bool lease_keeper::is_expired(time_point now, time_point& last_contact, duration lease) const {
    last_contact = std::max(last_contact, restarted_at_);
    return now - last_contact > lease;
}

} // namespace toucanusher
