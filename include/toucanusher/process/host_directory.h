// Host directory of a control host: the ids, addresses and last contact times of its peers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/host_plan.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

class host_directory {
  public:
    // Records that a message of `host` arrived from `address`.
    void record_contact(time_point now, host_id host, endpoint address);
    // Addresses at which hosts may be reached: set_seeds takes those of the settings files,
    // add_addresses those that other hosts report, of which the newest are kept.
    void set_seeds(std::vector<endpoint> seeds);
    void add_addresses(std::vector<endpoint> const& hosts);
    [[nodiscard]] std::vector<endpoint> const& seeds() const { return seeds_; }
    // Sets the last contact of every member to `now`, so that a new leader measures contacts from
    // its election.
    void reset_contacts(time_point now, log_members const& members);

    [[nodiscard]] std::optional<endpoint> address_of(host_id host,
                                                     log_members const& members) const;
    // Returns every known address of a control host except `self`.
    [[nodiscard]] std::set<endpoint> known_addresses(endpoint self,
                                                     log_members const& members) const;
    // Returns the status of every known host; the caller sets `caught_up`.
    [[nodiscard]] std::vector<host_status> statuses(time_point now) const;

  private:
    struct contact {
        endpoint address;
        time_point last_contact{};
    };

    static constexpr std::size_t max_learned = 64; // addresses

    std::map<host_id, contact> contacts_;
    std::vector<endpoint> seeds_;
    std::deque<endpoint> learned_; // without duplicates, newest last; at most max_learned
};

} // namespace toucanusher
