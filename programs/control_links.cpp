#include "programs/control_links.h"

#include <utility>

namespace toucanusher {

namespace {

// A link whose peer answers nothing for this long gets a new connection: it may be silent for good
// while new ones work. Several heartbeats of the log, well below an election.
constexpr duration replace_after = std::chrono::milliseconds{600};
constexpr duration close_idle_after = std::chrono::seconds{10};

} // namespace

void control_links::send(time_point now, endpoint where, std::string const& sealed) {
    peer& to = peers_[where];
    if (!to.link) {
        auto link = link_client::open(where, [](std::string const&) {});
        if (!link.ok()) {
            context_.events->rate_limited_warning(
                event_line("control_link_failed").add("reason", link.status().ToString()));
            return;
        }
        to.link = *std::move(link);
    }
    to.last_sent = now;
    if (!to.unanswered_since)
        to.unanswered_since = now;
    if (!to.link->send(sealed))
        context_.counters.count_refusal("control", "link_send_failed");
}

void control_links::heard(endpoint where) {
    if (auto const found = peers_.find(where); found != peers_.end())
        found->second.unanswered_since.reset();
}

void control_links::on_tick(time_point now) {
    for (auto at = peers_.begin(); at != peers_.end();) {
        peer& to = at->second;
        if (now - to.last_sent > close_idle_after) {
            at = peers_.erase(at);
            continue;
        }
        if (to.unanswered_since && now - *to.unanswered_since > replace_after) {
            to.unanswered_since = now;
            to.link->reconnect();
            context_.counters.count("link_replaced");
            context_.events->rate_limited_warning(
                event_line("control_peer_silent").add("peer", to_string(at->first)));
        }
        ++at;
    }
}

} // namespace toucanusher
