// Reassembles one request from its parts, which may arrive in any order and repeatedly.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "toucanusher/request/request_message.h"

namespace toucanusher {

class reassembly {
  public:
    explicit reassembly(request_part const& first);

    // Returns false if the part is inconsistent with the earlier ones.
    [[nodiscard]] bool add(request_part const& part);
    [[nodiscard]] bool complete() const { return received_ == parts_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    // Returns the assembled body. Requires complete(); may be called once.
    [[nodiscard]] std::string take();

  private:
    std::vector<std::optional<std::string>> parts_;
    std::size_t received_ = 0; // number of parts that hold a value
    std::size_t bytes_ = 0;    // sum of the sizes of received parts
};

} // namespace toucanusher
