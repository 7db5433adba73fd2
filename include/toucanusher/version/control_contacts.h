// Which control host a daemon speaks with, and whom it tries next.
//
// Pure: the session tells what it heard. Hosts that control names come first; seeds may be stale,
// but may also be all that is left.
#pragma once

#include <cstddef>
#include <vector>

#include "toucanusher/process/endpoint.h"

namespace toucanusher {

class control_contacts {
  public:
    // `seeds` must not be empty. Daemons spread over them by `start`.
    control_contacts(std::vector<endpoint> seeds, std::size_t start);

    [[nodiscard]] endpoint current() const { return hosts_[current_]; }
    // The hosts that control named last; empty if it never did.
    [[nodiscard]] std::vector<endpoint> const& directory() const { return directory_; }

    void set_seeds(std::vector<endpoint> seeds);
    // A control host named the present ones. The current one stays in use.
    void set_directory(std::vector<endpoint> hosts);
    // The current one is silent.
    void switch_host();
    // The current one keeps no state and names those that do. False if it names nobody else; then
    // it is of no use, and counts as silent.
    [[nodiscard]] bool follow_directory(std::vector<endpoint> hosts);

  private:
    void rebuild();

    std::vector<endpoint> seeds_;
    std::vector<endpoint> directory_;
    std::vector<endpoint> hosts_; // never empty; contains the one in use
    std::size_t current_ = 0;     // index in hosts_
};

} // namespace toucanusher
