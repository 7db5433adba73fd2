// Selects the control host that a daemon connects to and the next one to try.
//
// Does no I/O: the control session reports what it received. Hosts of the directory are tried
// before the configured seeds. Seeds may be stale, but are kept because they may be the only
// addresses that still work. Each host is tried once before one that failed is tried again.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/log_types.h"

namespace toucanusher {

class control_host_selector {
  public:
    // For this time a host that failed is tried after all others.
    static constexpr duration failure_retention = std::chrono::seconds{30};

    // `seeds` must not be empty. `start` selects the first seed and the first host of a directory,
    // modulo their number, so that daemons spread over them.
    control_host_selector(std::vector<endpoint> seeds, std::size_t start);

    [[nodiscard]] endpoint current() const { return current_; }
    // Returns the newest directory that a control host sent; empty if there was none.
    [[nodiscard]] std::vector<endpoint> const& directory() const { return directory_; }
    // Log index of the membership in directory().
    [[nodiscard]] log_index directory_version() const { return directory_version_; }

    void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }
    // Replaces the directory by a newer one, or by any once every host of it has failed. The
    // current host stays in use.
    void set_directory(std::vector<endpoint> hosts, log_index version);
    // Selects the next host because the current one failed: it does not answer or has no leader.
    void switch_host(time_point now);
    // Records that the current host serves.
    void on_served() { failed_at_.erase(current_); }
    // Returns whether there is another host that has not failed within failure_retention.
    [[nodiscard]] bool has_untried(time_point now) const;
    // Sets the directory that a process without state sent, and selects the next host. Returns
    // false if `hosts` names none but the current one, or if no host is untried.
    [[nodiscard]] bool follow_directory(time_point now, std::vector<endpoint> hosts,
                                        log_index version);

  private:
    [[nodiscard]] std::vector<endpoint> others() const;
    [[nodiscard]] time_point failure_time(time_point now, endpoint host) const;

    std::size_t start_;
    std::vector<endpoint> seeds_;
    std::vector<endpoint> directory_;
    log_index directory_version_ = 0;
    endpoint current_;
    std::map<endpoint, time_point> failed_at_; // within failure_retention
};

} // namespace toucanusher
