#include "toucanusher/connection/upstream_incarnation.h"

#include <algorithm>

namespace toucanusher {

namespace {

constexpr std::size_t max_earlier_incarnations = 16;

} // namespace

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
    identity const id = identity_of(heartbeat);
    bool const same = current_ && id == identity_of(*current_);
    if (same && heartbeat.sequence > current_->sequence) {
        make_current(now, heartbeat);
        return heartbeat_effect::renewed;
    }
    if ((same || !is_surely_new(id)) && !confirm(now, heartbeat))
        return heartbeat_effect::late;
    if (current_)
        earlier_.push_back(identity_of(*current_));
    std::erase(earlier_, id);
    if (earlier_.size() > max_earlier_incarnations)
        earlier_.pop_front();
    make_current(now, heartbeat);
    return heartbeat_effect::new_incarnation;
}

bool upstream_incarnation::on_leave(std::string const& name) {
    if (!current_ || current_->name != name)
        return false;
    earlier_.push_back(identity_of(*current_));
    current_.reset();
    candidate_.reset();
    return true;
}

// A heartbeat of an incarnation that was not seen before is late if a later incarnation has already
// registered. A start time after that of the latest one rules this out.
bool upstream_incarnation::is_surely_new(identity const& id) const {
    if (std::find(earlier_.begin(), earlier_.end(), id) != earlier_.end())
        return false;
    if (current_)
        return id.started_at >= current_->started_at;
    return earlier_.empty() || id.started_at >= earlier_.back().started_at;
}

// Returns whether the sender of this heartbeat has shown that it runs and the current one does not.
bool upstream_incarnation::confirm(time_point now, upstream_heartbeat const& heartbeat) {
    identity const id = identity_of(heartbeat);
    if (!candidate_ || candidate_->id != id) {
        candidate_ = candidate{id, heartbeat.sequence, now};
        return false;
    }
    if (heartbeat.sequence <= candidate_->sequence)
        return false;
    candidate_->sequence = heartbeat.sequence;
    return now - candidate_->first_heard >= incarnation_takeover_delay;
}

void upstream_incarnation::make_current(time_point now, upstream_heartbeat const& heartbeat) {
    current_ = heartbeat;
    candidate_.reset();
    last_contact_ = now;
    warm_at_ = now + heartbeat.warmup_left;
}

} // namespace toucanusher
