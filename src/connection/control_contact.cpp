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

bool control_contact::loses_leader() const {
    return !leader_contact_age_ || *leader_contact_age_ >= options_.leader_contact_warning;
}

contact_step control_contact::on_update(time_point now, state_update const& update) {
    // A sender without state that names no other host counts as unresponsive.
    if (update.directory_only)
        return follow_directory(now, update.control_hosts, update.directory_version);
    selector_.set_directory(update.control_hosts, update.directory_version);
    leader_contact_age_ = update.leader_contact_age;
    answered_ = true;
    if (!has_leader())
        return on_answer_without_leader(now);
    served_ = true;
    selector_.on_served();
    monitor_.on_received(now);
    return contact_step::keep;
}

// A host that has served on this link and reports no contact at all has restarted; it gets the time
// of an election. If every other host has failed as well, none is left before its timeout, so that
// the search keeps its pace while there is no leader.
contact_step control_contact::on_answer_without_leader(time_point now) {
    bool const may_recover = served_ && !leader_contact_age_;
    if (may_recover || !selector_.has_untried(now))
        return contact_step::keep;
    selector_.switch_host(now);
    monitor_.restart(now);
    begin_contact();
    return contact_step::connect;
}

contact_step control_contact::on_announcement(time_point now, std::vector<endpoint> hosts,
                                              log_index version) {
    bool const names_current = std::find(hosts.begin(), hosts.end(), host()) != hosts.end();
    if (has_leader() || names_current)
        return contact_step::keep;
    return follow_directory(now, std::move(hosts), version);
}

contact_step control_contact::follow_directory(time_point now, std::vector<endpoint> hosts,
                                               log_index version) {
    if (!selector_.follow_directory(now, std::move(hosts), version))
        return contact_step::keep;
    monitor_.restart(now);
    begin_contact();
    return contact_step::connect;
}

contact_step control_contact::on_tick(time_point now) {
    link_step const step = monitor_.on_tick(now);
    if (step == link_step::keep)
        return contact_step::keep;
    if (step == link_step::next_peer)
        selector_.switch_host(now);
    begin_contact();
    return contact_step::connect;
}

void control_contact::begin_contact() {
    answered_ = false;
    served_ = false;
    leader_contact_age_.reset();
}

} // namespace toucanusher
