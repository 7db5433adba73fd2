// Answer of one finished request, split into parts. Tracks which parts are unacknowledged and must
// be resent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "toucanusher/request/request_message.h"

namespace toucanusher {

class answer_outbox {
  public:
    // Sets the answer. `header` provides every field except the part numbers and the payload.
    void fill(answer_part header, std::string const& body);
    // Returns the first `limit` unacknowledged parts.
    [[nodiscard]] std::vector<answer_part> pending(std::size_t limit) const;
    // Marks parts as acknowledged; frees the payloads once all are.
    void acknowledge(std::vector<std::uint16_t> const& parts);
    [[nodiscard]] std::size_t unacknowledged() const { return unacknowledged_.size(); }

  private:
    answer_part header_;
    std::vector<std::string> payloads_;      // by part number; empty once all are acknowledged
    std::set<std::uint16_t> unacknowledged_; // part numbers
};

} // namespace toucanusher
