// Links from one control host to the others, opened when there is something to send and closed
// when there has been nothing for a while.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "programs/process_context.h"
#include "src/process/io/link.h"
#include "toucanusher/connection/peer_link_monitor.h"

namespace toucanusher {

// Not thread-safe.
class control_links {
  public:
    explicit control_links(process_context& context) : context_(context) {}

    void send(time_point now, endpoint address, std::string const& sealed);
    // Records that a message from the host at this address has arrived on a link that it opened.
    void record_contact(endpoint address);
    // Replaces links that stay unanswered and closes idle ones.
    void on_tick(time_point now);

  private:
    struct peer {
        peer_link_monitor monitor;
        time_point last_sent{};
        // Set by the receive duty of the link.
        std::shared_ptr<std::atomic<bool>> acknowledged =
            std::make_shared<std::atomic<bool>>(false);
        std::unique_ptr<link_client> link;

        peer();
    };

    process_context& context_;
    std::map<endpoint, peer> peers_;
};

} // namespace toucanusher
