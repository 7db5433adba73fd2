// Acknowledges messages of control hosts on the links on which they arrive, so that their senders
// can tell a working link from a silent one.
#pragma once

#include <map>

#include "programs/process_context.h"
#include "src/process/io/link.h"

namespace toucanusher {

// Not thread-safe.
class control_link_acknowledger {
  public:
    explicit control_link_acknowledger(process_context& context) : context_(context) {}

    void on_host_message(time_point now, link_server& server, link_peer from);

  private:
    process_context& context_;
    std::map<link_peer, time_point> acknowledged_at_; // at most max_links
};

} // namespace toucanusher
