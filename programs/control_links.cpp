#include "programs/control_links.h"

#include <utility>

namespace toucanusher {

namespace {

// A link that stays unanswered for this long is reconnected: a connection can stop delivering for
// good while new ones work. Spans several heartbeats of the log and is well below an election.
constexpr duration answer_timeout = std::chrono::milliseconds{600};
constexpr duration idle_timeout = std::chrono::seconds{10};

} // namespace

void control_links::send(time_point now, endpoint address, std::string const& sealed) {
    peer& entry = peers_[address];
    if (!entry.link) {
        auto link = link_client::open(address, [](std::string const&) {});
        if (!link.ok()) {
            context_.events->rate_limited_warning(
                event_line("control_link_failed").add("reason", link.status().ToString()));
            return;
        }
        entry.link = *std::move(link);
    }
    entry.last_sent = now;
    if (!entry.unanswered_since)
        entry.unanswered_since = now;
    if (!entry.link->send(sealed))
        context_.counters.count_refusal("control", "link_send_failed");
}

void control_links::record_contact(endpoint address) {
    if (auto const found = peers_.find(address); found != peers_.end())
        found->second.unanswered_since.reset();
}

void control_links::on_tick(time_point now) {
    for (auto at = peers_.begin(); at != peers_.end();) {
        peer& entry = at->second;
        if (now - entry.last_sent > idle_timeout) {
            at = peers_.erase(at);
            continue;
        }
        if (entry.unanswered_since && now - *entry.unanswered_since > answer_timeout) {
            entry.unanswered_since = now;
            entry.link->reconnect();
            context_.counters.count("link_replaced");
            context_.events->rate_limited_warning(
                event_line("control_peer_silent").add("peer", to_string(at->first)));
        }
        ++at;
    }
}

} // namespace toucanusher
