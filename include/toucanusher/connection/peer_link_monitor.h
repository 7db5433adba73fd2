// Decides when the link to a peer is replaced although it is open: a connection can stop delivering
// for good while new ones work.
//
// The peer sends its own messages over a connection of its own, so they do not show that this link
// works. Only acknowledgements, which arrive on this link, do. Releases that send none are judged
// by their messages.
#pragma once

#include <optional>

#include "toucanusher/process/clock.h"

namespace toucanusher {

class peer_link_monitor {
  public:
    explicit peer_link_monitor(duration answer_timeout) : answer_timeout_(answer_timeout) {}

    void on_sent(time_point now) {
        if (!unanswered_since_)
            unanswered_since_ = now;
    }
    // Records an acknowledgement that arrived on the link.
    void on_acknowledged() {
        acknowledges_ = true;
        unanswered_since_.reset();
    }
    // Records a message of the peer that arrived on another link.
    void on_contact() {
        if (!acknowledges_)
            unanswered_since_.reset();
    }
    // Returns true if the caller must replace the link.
    [[nodiscard]] bool replace_if_unanswered(time_point now) {
        if (!unanswered_since_ || now - *unanswered_since_ <= answer_timeout_)
            return false;
        unanswered_since_ = now;
        return true;
    }

  private:
    duration answer_timeout_;
    std::optional<time_point> unanswered_since_; // oldest message that is not answered
    bool acknowledges_ = false;                  // the peer has acknowledged messages before
};

} // namespace toucanusher
