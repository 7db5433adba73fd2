#include "toucanusher/version/upstream_watch.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

upstream_watch::upstream_watch(upstream_watch_options options, std::uint64_t nonce)
    : options_(std::move(options)), nonce_(nonce) {}

void upstream_watch::on_probe(time_point now, probe_result const& result) {
    if (result.refused) {
        if (++refusals_ == options_.refusals_until_gone && life_)
            end_life();
        return;
    }
    refusals_ = 0;
    if (!result.answered)
        return;
    incarnation_id const life = life_of(result.instance);
    if (life_ && *life_ != life)
        end_life();
    life_ = life;
    if (gone_ && gone_->life == life)
        gone_.reset();
    state_ = result.state;
    if (state_ != upstream_state::ready)
        ready_since_.reset();
    else if (!ready_since_)
        ready_since_ = now;
}

std::optional<upstream_announcement> upstream_watch::announcement(time_point now) const {
    if (!life_)
        return std::nullopt;
    upstream_announcement said = options_.announcement;
    said.life = *life_;
    said.draining = draining();
    said.ready_percent = ready_percent(now);
    return said;
}

void upstream_watch::end_life() {
    gone_ = options_.announcement;
    gone_->life = *life_;
    life_.reset();
    state_ = upstream_state::starting;
    ready_since_.reset();
    ramp_skipped_ = false;
    ++nonce_;
}

incarnation_id upstream_watch::life_of(std::string const& instance) const {
    if (instance.empty())
        return incarnation_id{nonce_};
    return incarnation_id{XXH3_64bits(instance.data(), instance.size())};
}

// Grows in steps, so that a cold start takes a handful of membership changes.
std::uint32_t upstream_watch::ready_percent(time_point now) const {
    constexpr std::uint32_t full = 100;
    constexpr std::uint32_t step = 25;
    if (state_ == upstream_state::draining)
        return full; // draining alone takes the weight away
    if (!ready_since_)
        return 0;
    if (ramp_skipped_ || options_.ramp == duration{})
        return full;
    auto const done = (now - *ready_since_) * full / options_.ramp;
    auto const steps = static_cast<std::uint32_t>(std::min<std::int64_t>(done, full)) / step;
    return std::min(full, (steps + 1) * step);
}

} // namespace toucanusher
