#include "toucanusher/version/control_host_selector.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_host_selector::control_host_selector(std::vector<endpoint> seeds, std::size_t start)
    : start_(start), seeds_(std::move(seeds)), current_(seeds_[start % seeds_.size()]) {}

void control_host_selector::set_directory(std::vector<endpoint> hosts, log_index version) {
    bool const all_failed =
        std::all_of(directory_.begin(), directory_.end(),
                    [&](endpoint const& host) { return failed_at_.contains(host); });
    if (hosts.empty() || (version <= directory_version_ && !all_failed))
        return;
    directory_ = std::move(hosts);
    directory_version_ = version;
}

void control_host_selector::switch_host(time_point now) {
    std::erase_if(failed_at_,
                  [&](auto const& item) { return now - item.second >= failure_retention; });
    failed_at_[current_] = now;
    std::vector<endpoint> const candidates = others();
    if (candidates.empty())
        return;
    current_ = *std::min_element(candidates.begin(), candidates.end(),
                                 [&](endpoint const& a, endpoint const& b) {
                                     return failure_time(now, a) < failure_time(now, b);
                                 });
}

bool control_host_selector::has_untried(time_point now) const {
    std::vector<endpoint> const candidates = others();
    return std::any_of(candidates.begin(), candidates.end(), [&](endpoint const& host) {
        return failure_time(now, host) == time_point::min();
    });
}

bool control_host_selector::follow_directory(time_point now, std::vector<endpoint> hosts,
                                             log_index version) {
    bool const names_other = std::any_of(hosts.begin(), hosts.end(),
                                         [&](endpoint const& host) { return host != current_; });
    if (!names_other)
        return false;
    set_directory(std::move(hosts), version);
    if (!has_untried(now))
        return false;
    switch_host(now);
    return true;
}

// Returns the hosts other than the current one in the order in which untried ones are tried.
std::vector<endpoint> control_host_selector::others() const {
    std::vector<endpoint> result;
    for (std::vector<endpoint> const* list : {&directory_, &seeds_})
        for (std::size_t i = 0; i < list->size(); ++i) {
            endpoint const host = (*list)[(start_ + i) % list->size()];
            if (host != current_ && std::find(result.begin(), result.end(), host) == result.end())
                result.push_back(host);
        }
    return result;
}

time_point control_host_selector::failure_time(time_point now, endpoint host) const {
    auto const failed = failed_at_.find(host);
    bool const is_recent = failed != failed_at_.end() && now - failed->second < failure_retention;
    return is_recent ? failed->second : time_point::min();
}

} // namespace toucanusher
