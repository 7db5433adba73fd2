// Selects the control host that a daemon connects to and the next one to try.
//
// Does no I/O: the control session reports what it received. Hosts of the directory are tried
// before the configured seeds. Seeds may be stale, but are kept because they may be the only
// addresses that still work.
#pragma once

#include <cstddef>
#include <vector>

#include "toucanusher/process/endpoint.h"

namespace toucanusher {

class control_host_selector {
  public:
    // `seeds` must not be empty. `start` selects the first seed and the first host of a directory,
    // modulo their number, so that daemons spread over them.
    control_host_selector(std::vector<endpoint> seeds, std::size_t start);

    [[nodiscard]] endpoint current() const { return hosts_[current_]; }
    // Returns the last directory that a control host sent; empty if there was none.
    [[nodiscard]] std::vector<endpoint> const& directory() const { return directory_; }

    void set_seeds(std::vector<endpoint> seeds);
    // Replaces the directory by one that a control host sent. The current host stays in use.
    void set_directory(std::vector<endpoint> hosts);
    // Selects the next host because the current one does not answer.
    void switch_host();
    // Selects a host of the directory, other than the current one, and the next one when called
    // again. Returns false, and changes nothing, if it names no other.
    [[nodiscard]] bool follow_directory(std::vector<endpoint> hosts);

  private:
    void rebuild();

    std::size_t next_in_directory_; // advances, since a host of the directory may not answer
    std::vector<endpoint> seeds_;
    std::vector<endpoint> directory_;
    std::vector<endpoint> hosts_; // never empty; contains the current host
    std::size_t current_ = 0;     // index in hosts_
};

} // namespace toucanusher
