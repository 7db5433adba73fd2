#include "toucanusher/connection/upstream_incarnation.h"

namespace toucanusher {

char const* to_string(heartbeat_effect effect) {
    switch (effect) {
    case heartbeat_effect::renewed:
        return "renewed";
    case heartbeat_effect::new_incarnation:
        return "new_life";
    case heartbeat_effect::late:
        return "late";
    case heartbeat_effect::other_service:
        return "other_service";
    }
    return "invalid";
}

heartbeat_effect upstream_incarnation::on_heartbeat(time_point now,
                                                    upstream_heartbeat const& heartbeat) {
    if (heartbeat.service != service_)
        return heartbeat_effect::other_service;
    if (ended_ && heartbeat.name == ended_->name && heartbeat.started_at <= ended_->started_at)
        return heartbeat_effect::late;
    bool const same = current_ && heartbeat.name == current_->name &&
                      heartbeat.started_at == current_->started_at;
    // Heartbeats of the previous incarnation may arrive after those of its successor.
    if (current_ && !same && heartbeat.started_at < current_->started_at)
        return heartbeat_effect::late;
    if (same && heartbeat.sequence <= current_->sequence)
        return heartbeat_effect::late;
    current_ = heartbeat;
    last_contact_ = now;
    warm_at_ = now + heartbeat.warmup_left;
    return same ? heartbeat_effect::renewed : heartbeat_effect::new_incarnation;
}

bool upstream_incarnation::on_leave(std::string const& name) {
    if (!current_ || current_->name != name)
        return false;
    ended_ = std::exchange(current_, std::nullopt);
    return true;
}

} // namespace toucanusher
