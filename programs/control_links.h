// Links from one control host to the others, opened when there is something to send and closed
// when there has been nothing for a while.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "programs/process_context.h"
#include "src/process/io/link.h"

namespace toucanusher {

// Not thread-safe.
class control_links {
  public:
    explicit control_links(process_context& context) : context_(context) {}

    void send(time_point now, endpoint address, std::string const& sealed);
    // Records that a message from the host at this address has arrived.
    void record_contact(endpoint address);
    // Replaces links that stay unanswered and closes idle ones.
    void on_tick(time_point now);

  private:
    struct peer {
        std::unique_ptr<link_client> link;
        time_point last_sent{};
        std::optional<time_point> unanswered_since;
    };

    process_context& context_;
    std::map<endpoint, peer> peers_;
};

} // namespace toucanusher
