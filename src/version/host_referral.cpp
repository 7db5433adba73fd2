#include "toucanusher/version/host_referral.h"

namespace toucanusher {

std::vector<endpoint> host_referral::hosts_for(time_point now, endpoint searching_host) {
    if (!hosts_.empty())
        return hosts_;
    if (!appointed_ && options_.may_appoint && now >= appoints_at_)
        appointed_ = searching_host;
    return appointed_ ? std::vector{*appointed_} : hosts_;
}

} // namespace toucanusher
