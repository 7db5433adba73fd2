#include "toucanusher/connection/path_monitor.h"

namespace toucanusher {

void path_monitor::on_sent(time_point now, endpoint peer) {
    path& known = peers_[peer];
    known.last_sent = now;
    if (known.awaiting_contact)
        return;
    known.awaiting_contact = true;
    known.first_unanswered = now;
}

void path_monitor::on_received(time_point /*now*/, endpoint peer) {
    auto const known = peers_.find(peer);
    if (known == peers_.end())
        return;
    known->second.awaiting_contact = false;
    known->second.probes = 0;
    known->second.replacements = 0;
}

path_steps path_monitor::on_tick(time_point now) {
    path_steps steps;
    std::erase_if(peers_, [&](auto const& item) {
        return now - item.second.last_sent > options_.peer_retention;
    });
    for (auto& [peer, known] : peers_) {
        bool const timed_out =
            known.awaiting_contact && now - known.first_unanswered >= options_.receive_timeout;
        if (!timed_out || now - known.last_probe < options_.probe_interval)
            continue;
        if (known.probes >= options_.probes_before_replacement) {
            if (known.replacements >= options_.max_replacements)
                continue; // the peer itself has failed; a membership change removes it
            known.probes = 0;
            ++known.replacements;
            steps.replace_port = true;
        }
        known.last_probe = now;
        ++known.probes;
        steps.probe.push_back(peer);
    }
    return steps;
}

} // namespace toucanusher
