// What a control host has heard of the others: identities, addresses and when they last spoke.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/host_plan.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

class host_contacts {
  public:
    // A message of `host` came from `where`.
    void record_contact(time_point now, host_id host, endpoint address);
    // Addresses at which hosts may be found: from settings files or other hosts.
    void set_seeds(std::vector<endpoint> seeds);
    void add_addresses(std::vector<endpoint> const& hosts);
    // Starts silence anew, for a host that begins to lead.
    void reset_contacts(time_point now, log_members const& members);

    [[nodiscard]] std::optional<endpoint> address_of(host_id host,
                                                     log_members const& members) const;
    // Every address that may answer, without `self`.
    [[nodiscard]] std::set<endpoint> known_addresses(endpoint self,
                                                     log_members const& members) const;
    // Known hosts with how long they are silent; `caught_up` is left to the caller.
    [[nodiscard]] std::vector<host_status> statuses(time_point now) const;

  private:
    struct contact {
        endpoint address;
        time_point last_contact{};
    };

    static constexpr std::size_t max_learned = 64; // addresses

    std::map<host_id, contact> contacts_;
    std::vector<endpoint> seeds_;
    std::set<endpoint> learned_; // at most max_learned
};

} // namespace toucanusher
