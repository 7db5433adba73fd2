#include "toucanusher/version/control_contacts.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_contacts::control_contacts(std::vector<endpoint> seeds, std::size_t start)
    : seeds_(std::move(seeds)), hosts_(seeds_), current_(start % hosts_.size()) {}

void control_contacts::set_seeds(std::vector<endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void control_contacts::learn(std::vector<endpoint> named) {
    if (named.empty() || named == named_)
        return;
    named_ = std::move(named);
    rebuild();
}

void control_contacts::leave_current() {
    rebuild();
    current_ = (current_ + 1) % hosts_.size();
}

bool control_contacts::follow_directory(std::vector<endpoint> named) {
    bool const names_others = std::any_of(named.begin(), named.end(),
                                          [&](endpoint const& host) { return host != current(); });
    if (!names_others)
        return false;
    named_ = std::move(named);
    leave_current();
    return true;
}

void control_contacts::rebuild() {
    endpoint const in_use = current();
    std::vector<endpoint> hosts = named_;
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
