#include "programs/control_link_acknowledger.h"

#include "src/version/control_codec.h"

namespace toucanusher {

namespace {

// At most one acknowledgement a link within this time.
constexpr duration acknowledgement_interval = std::chrono::milliseconds{150};
constexpr std::size_t max_links = 256;

} // namespace

void control_link_acknowledger::on_host_message(time_point now, link_server& server,
                                                link_peer from) {
    auto const [at, is_new] = acknowledged_at_.try_emplace(from, now);
    if (!is_new && now - at->second < acknowledgement_interval)
        return;
    at->second = now;
    if (!server.send(from, context_.sealer->seal(encode_control_message(link_acknowledgement{}))))
        context_.counters.count_refusal("control", "link_send_failed");
    // An open link whose entry is evicted gets one acknowledgement early.
    if (acknowledged_at_.size() > max_links)
        acknowledged_at_.erase(acknowledged_at_.begin());
}

} // namespace toucanusher
