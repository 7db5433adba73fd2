#include "toucanusher/request/concurrency_limit.h"

#include <algorithm>

namespace toucanusher {

namespace {
constexpr double increase_per_round = 0.25; // slots gained per limit() successes at the limit
}

void concurrency_limit::configure(std::uint32_t slots) {
    if (slots == slots_)
        return;
    slots_ = std::max<std::uint32_t>(1, slots);
    limit_ = slots_;
}

void concurrency_limit::on_success(std::uint32_t in_flight) {
    if (in_flight >= limit())
        limit_ = std::min<double>(slots_, limit_ + increase_per_round / limit_);
}

void concurrency_limit::on_shed(time_point now, std::uint32_t in_flight) {
    // A burst of refusals decreases the limit only once.
    if (last_decrease_ != time_point{} && now - last_decrease_ < min_decrease_interval)
        return;
    last_decrease_ = now;
    double const accepted = in_flight > 1 ? in_flight - 1 : 1;
    limit_ = std::clamp(accepted, 1.0, limit_);
}

} // namespace toucanusher
