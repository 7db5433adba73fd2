#include "programs/control_links.h"

#include <utility>

namespace toucanusher {

namespace {

// A link that stays unanswered for this long is reconnected. Spans several heartbeats of the log
// and acknowledgements, and is not longer than the shortest election timeout.
constexpr duration answer_timeout = std::chrono::milliseconds{600};
constexpr duration idle_timeout = std::chrono::seconds{10};

} // namespace

control_links::peer::peer() : monitor(answer_timeout) {}

void control_links::send(time_point now, endpoint address, std::string const& sealed) {
    peer& entry = peers_[address];
    if (!entry.link) {
        // The only messages on a link that this host opened are acknowledgements.
        auto link = link_client::open(address, [acknowledged = entry.acknowledged](
                                                   std::string const&) { *acknowledged = true; });
        if (!link.ok()) {
            context_.events->rate_limited_warning(
                event_line("control_link_failed").add("reason", link.status().ToString()));
            return;
        }
        entry.link = *std::move(link);
    }
    entry.last_sent = now;
    entry.monitor.on_sent(now);
    if (!entry.link->send(sealed))
        context_.counters.count_refusal("control", "link_send_failed");
}

void control_links::record_contact(endpoint address) {
    if (auto const found = peers_.find(address); found != peers_.end())
        found->second.monitor.on_contact();
}

void control_links::on_tick(time_point now) {
    for (auto at = peers_.begin(); at != peers_.end();) {
        peer& entry = at->second;
        if (now - entry.last_sent > idle_timeout) {
            at = peers_.erase(at);
            continue;
        }
        if (entry.acknowledged->exchange(false))
            entry.monitor.on_acknowledged();
        if (entry.link && entry.monitor.replace_if_unanswered(now)) {
            entry.link->reconnect();
            context_.counters.count("link_replaced");
            context_.events->rate_limited_warning(
                event_line("control_peer_silent").add("peer", to_string(at->first)));
        }
        ++at;
    }
}

} // namespace toucanusher
