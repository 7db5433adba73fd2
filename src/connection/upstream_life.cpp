#include "toucanusher/connection/upstream_life.h"

namespace toucanusher {

char const* to_string(beat_effect effect) {
    switch (effect) {
    case beat_effect::renewed:
        return "renewed";
    case beat_effect::new_life:
        return "new_life";
    case beat_effect::late:
        return "late";
    case beat_effect::other_service:
        return "other_service";
    }
    return "invalid";
}

beat_effect upstream_life::on_beat(time_point now, upstream_beat const& beat) {
    if (beat.service != service_)
        return beat_effect::other_service;
    if (ended_ && beat.name == ended_->name && beat.born <= ended_->born)
        return beat_effect::late;
    bool const same = present_ && beat.name == present_->name && beat.born == present_->born;
    // Announcements of the life before may still arrive after its successor has spoken.
    if (present_ && !same && beat.born < present_->born)
        return beat_effect::late;
    if (same && beat.sequence <= present_->sequence)
        return beat_effect::late;
    present_ = beat;
    heard_ = now;
    warm_at_ = now + beat.warmup_left;
    return same ? beat_effect::renewed : beat_effect::new_life;
}

bool upstream_life::on_leave(std::string const& name) {
    if (!present_ || present_->name != name)
        return false;
    ended_ = std::exchange(present_, std::nullopt);
    return true;
}

} // namespace toucanusher
