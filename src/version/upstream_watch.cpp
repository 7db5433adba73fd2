#include "toucanusher/version/upstream_watch.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

upstream_watch::upstream_watch(upstream_watch_options options, std::uint64_t nonce)
    : options_(std::move(options)), nonce_(nonce) {}

void upstream_watch::on_probe(time_point now, probe_result const& result) {
    if (result.refused) {
        if (++refusals_ == options_.refusals_until_ended && incarnation_)
            end_incarnation();
        return;
    }
    refusals_ = 0;
    if (!result.answered)
        return;
    incarnation_id const current = incarnation_of(result.instance);
    if (incarnation_ && *incarnation_ != current)
        end_incarnation();
    incarnation_ = current;
    if (ended_ && ended_->incarnation == current)
        ended_.reset();
    state_ = result.state;
    if (state_ != upstream_state::ready)
        ready_since_.reset();
    else if (!ready_since_)
        ready_since_ = now;
}

std::optional<upstream_announcement> upstream_watch::announcement(time_point now) const {
    if (!incarnation_)
        return std::nullopt;
    upstream_announcement result = options_.announcement;
    result.incarnation = *incarnation_;
    result.draining = draining();
    result.ready_percent = ready_percent(now);
    return result;
}

void upstream_watch::end_incarnation() {
    ended_ = options_.announcement;
    ended_->incarnation = *incarnation_;
    incarnation_.reset();
    state_ = upstream_state::starting;
    ready_since_.reset();
    ramp_skipped_ = false;
    ++nonce_;
}

incarnation_id upstream_watch::incarnation_of(std::string const& instance) const {
    if (instance.empty())
        return incarnation_id{nonce_};
    return incarnation_id{XXH3_64bits(instance.data(), instance.size())};
}

// Grows in steps of 25 percent, so that a ramp-up causes only a few membership changes.
std::uint32_t upstream_watch::ready_percent(time_point now) const {
    constexpr std::uint32_t full = 100;
    constexpr std::uint32_t step = 25;
    if (state_ == upstream_state::draining)
        return full; // `draining` already sets the weight to 0
    if (!ready_since_)
        return 0;
    if (ramp_skipped_ || options_.ramp == duration{})
        return full;
    auto const elapsed_percent = (now - *ready_since_) * full / options_.ramp;
    auto const steps =
        static_cast<std::uint32_t>(std::min<std::int64_t>(elapsed_percent, full)) / step;
    return std::min(full, (steps + 1) * step);
}

} // namespace toucanusher
