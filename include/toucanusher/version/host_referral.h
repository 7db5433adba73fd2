// Decides which control hosts a redirector, a control process without a disk, names to processes
// that ask it.
//
// On the first start of a fleet nobody knows a control host. The redirector at the lowest seed
// address then appoints the first host that asks to join: it names that host to everybody, and the
// host founds the log. It waits before it appoints, so that the hosts of a running fleet can
// announce themselves if only the redirector has restarted.
#pragma once

#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

struct host_referral_options {
    bool may_appoint = false; // the fleet starts for the first time, at the lowest seed
    duration appointment_delay = std::chrono::seconds{1}; // several announcements
};

class host_referral {
  public:
    host_referral(host_referral_options options, time_point now)
        : options_(options), appoints_at_(now + options.appointment_delay) {}

    // Sets the hosts that a control host named in its answer, and the version of its directory.
    void set_hosts(std::vector<endpoint> hosts, log_index version) {
        hosts_ = std::move(hosts);
        version_ = version;
    }
    // Records that control hosts announced themselves, so that none is appointed.
    void on_announcement() { options_.may_appoint = false; }
    // Returns the hosts to name to a daemon.
    [[nodiscard]] std::vector<endpoint> const& hosts() const { return hosts_; }
    // Log index of the membership in hosts().
    [[nodiscard]] log_index version() const { return version_; }
    // Returns the hosts to name to a control host that searches the others.
    [[nodiscard]] std::vector<endpoint> hosts_for(time_point now, endpoint searching_host);

  private:
    host_referral_options options_;
    time_point appoints_at_;
    std::vector<endpoint> hosts_;
    log_index version_ = 0;
    std::optional<endpoint> appointed_; // never changes once set
};

} // namespace toucanusher
