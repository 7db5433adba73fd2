#include "toucanusher/connection/control_contact.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_contact::control_contact(control_contact_options options, control_host_selector selector,
                                 time_point now)
    : options_(options), selector_(std::move(selector)), monitor_(options.monitor, now) {}

bool control_contact::has_leader() const {
    return leader_contact_age_ && *leader_contact_age_ < options_.leader_contact_timeout;
}

contact_step control_contact::on_update(time_point now, state_update const& update) {
    // A sender without state that names no other host counts as unresponsive.
    if (update.directory_only)
        return follow_directory(now, update.control_hosts);
    selector_.set_directory(update.control_hosts);
    leader_contact_age_ = update.leader_contact_age;
    if (has_leader())
        monitor_.on_received(now);
    else
        monitor_.on_unusable_answer();
    return contact_step::keep;
}

contact_step control_contact::on_announcement(time_point now, std::vector<endpoint> hosts) {
    bool const names_current = std::find(hosts.begin(), hosts.end(), host()) != hosts.end();
    if (has_leader() || names_current)
        return contact_step::keep;
    return follow_directory(now, std::move(hosts));
}

contact_step control_contact::follow_directory(time_point now, std::vector<endpoint> hosts) {
    if (!selector_.follow_directory(std::move(hosts)))
        return contact_step::keep;
    monitor_.restart(now);
    leader_contact_age_.reset();
    return contact_step::connect;
}

contact_step control_contact::on_tick(time_point now) {
    link_step const step = monitor_.on_tick(now);
    if (step == link_step::keep)
        return contact_step::keep;
    if (step == link_step::next_peer)
        selector_.switch_host();
    leader_contact_age_.reset();
    return contact_step::connect;
}

} // namespace toucanusher
