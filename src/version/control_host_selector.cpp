#include "toucanusher/version/control_host_selector.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_host_selector::control_host_selector(std::vector<endpoint> seeds, std::size_t start)
    : next_in_directory_(start), seeds_(std::move(seeds)), hosts_(seeds_),
      current_(start % hosts_.size()) {}

void control_host_selector::set_seeds(std::vector<endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void control_host_selector::set_directory(std::vector<endpoint> hosts) {
    if (hosts.empty() || hosts == directory_)
        return;
    directory_ = std::move(hosts);
    rebuild();
}

void control_host_selector::switch_host() {
    rebuild();
    current_ = (current_ + 1) % hosts_.size();
}

bool control_host_selector::follow_directory(std::vector<endpoint> hosts) {
    std::vector<endpoint> others = hosts;
    std::erase(others, current());
    if (others.empty())
        return false;
    directory_ = std::move(hosts);
    rebuild();
    endpoint const next = others[next_in_directory_++ % others.size()];
    current_ =
        static_cast<std::size_t>(std::find(hosts_.begin(), hosts_.end(), next) - hosts_.begin());
    return true;
}

void control_host_selector::rebuild() {
    endpoint const in_use = current();
    std::vector<endpoint> hosts = directory_;
    for (endpoint const& seed : seeds_)
        if (std::find(hosts.begin(), hosts.end(), seed) == hosts.end())
            hosts.push_back(seed);
    auto const at = std::find(hosts.begin(), hosts.end(), in_use);
    current_ = static_cast<std::size_t>(at - hosts.begin());
    if (at == hosts.end()) {
        hosts.insert(hosts.begin(), in_use);
        current_ = 0;
    }
    hosts_ = std::move(hosts);
}

} // namespace toucanusher
