#include "toucanusher/process/host_roster.h"

#include <utility>

namespace toucanusher {

void host_roster::heard(time_point now, host_id host, endpoint where) {
    seen_[host] = {where, now};
}

void host_roster::set_seeds(std::vector<endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void host_roster::learn(std::vector<endpoint> const& hosts) {
    for (endpoint const& where : hosts)
        if (learned_.size() < max_learned)
            learned_.insert(where);
}

void host_roster::restart(time_point now, log_members const& members) {
    for (auto const& [id, where] : members.addresses)
        seen_[id] = {where, now};
}

std::optional<endpoint> host_roster::address_of(host_id host, log_members const& members) const {
    if (auto const found = seen_.find(host); found != seen_.end())
        return found->second.where;
    if (auto const found = members.addresses.find(host); found != members.addresses.end())
        return found->second;
    return std::nullopt;
}

std::set<endpoint> host_roster::contacts(endpoint self, log_members const& members) const {
    std::set<endpoint> result(seeds_.begin(), seeds_.end());
    result.insert(learned_.begin(), learned_.end());
    for (auto const& [id, where] : members.addresses)
        result.insert(where);
    result.erase(self);
    return result;
}

std::vector<host_sight> host_roster::sights(time_point now) const {
    std::map<endpoint, host_id> newest;
    for (auto const& [id, known] : seen_) {
        auto const [at, first] = newest.try_emplace(known.where, id);
        if (!first && seen_.at(at->second).heard < known.heard)
            at->second = id;
    }
    std::vector<host_sight> result;
    for (auto const& [id, known] : seen_)
        result.push_back({.id = id,
                          .where = known.where,
                          .silent = now - known.heard,
                          .superseded = newest.at(known.where) != id});
    return result;
}

} // namespace toucanusher
