#include "toucanusher/version/update_delivery.h"

#include <algorithm>

namespace toucanusher {

void update_delivery::on_report(time_point now, version_number applied) {
    last_report_ = now;
    if (applied > reported_) {
        reported_ = applied;
        last_progress_ = now;
    }
    while (!unreported_.empty() && unreported_.front().version <= reported_)
        unreported_.pop_front();
    sent_ = std::max(sent_, reported_);
}

bool update_delivery::repeat_if_due(time_point now) {
    if (unreported_.empty())
        return false;
    update const& oldest = unreported_.front();
    // Nothing is repeated to a daemon that has been silent since.
    if (last_report_ <= oldest.sent_at)
        return false;
    if (now - std::max(oldest.sent_at, last_progress_) <
        options_.report_timeout + oldest.transfer_time)
        return false;
    unreported_.clear();
    sent_ = reported_;
    return true;
}

void update_delivery::on_sent(time_point now, version_number version, std::size_t bytes) {
    auto const transfer_time = std::chrono::duration<double>(
        static_cast<double>(bytes) / static_cast<double>(options_.min_transfer_rate));
    unreported_.push_back({version, now, std::chrono::duration_cast<duration>(transfer_time)});
    sent_ = version;
}

} // namespace toucanusher
