#include "toucanusher/process/host_directory.h"

#include <utility>

namespace toucanusher {

void host_directory::record_contact(time_point now, host_id host, endpoint address) {
    contacts_[host] = {address, now};
}

void host_directory::set_seeds(std::vector<endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void host_directory::add_addresses(std::vector<endpoint> const& hosts) {
    for (endpoint const& address : hosts) {
        std::erase(learned_, address);
        learned_.push_back(address);
        if (learned_.size() > max_learned)
            learned_.pop_front();
    }
}

void host_directory::reset_contacts(time_point now, log_members const& members) {
    for (auto const& [id, address] : members.addresses)
        contacts_[id] = {address, now};
}

std::optional<endpoint> host_directory::address_of(host_id host, log_members const& members) const {
    if (auto const found = contacts_.find(host); found != contacts_.end())
        return found->second.address;
    if (auto const found = members.addresses.find(host); found != members.addresses.end())
        return found->second;
    return std::nullopt;
}

std::set<endpoint> host_directory::known_addresses(endpoint self,
                                                   log_members const& members) const {
    std::set<endpoint> result(seeds_.begin(), seeds_.end());
    result.insert(learned_.begin(), learned_.end());
    for (auto const& [id, known] : contacts_)
        result.insert(known.address);
    for (auto const& [id, address] : members.addresses)
        result.insert(address);
    result.erase(self);
    return result;
}

std::vector<host_status> host_directory::statuses(time_point now) const {
    std::map<endpoint, host_id> newest;
    for (auto const& [id, known] : contacts_) {
        auto const [position, first] = newest.try_emplace(known.address, id);
        if (!first && contacts_.at(position->second).last_contact < known.last_contact)
            position->second = id;
    }
    std::vector<host_status> result;
    for (auto const& [id, known] : contacts_)
        result.push_back({.id = id,
                          .address = known.address,
                          .since_contact = now - known.last_contact,
                          .superseded = newest.at(known.address) != id});
    return result;
}

} // namespace toucanusher
