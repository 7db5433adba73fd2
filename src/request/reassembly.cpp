#include "toucanusher/request/reassembly.h"

namespace toucanusher {

reassembly::reassembly(request_part const& first) : parts_(first.parts) {}

bool reassembly::add(request_part const& part) {
    if (part.parts != parts_.size() || part.part >= parts_.size())
        return false;
    auto& slot = parts_[part.part];
    if (slot)
        return *slot == part.payload;
    slot = part.payload;
    bytes_ += part.payload.size();
    ++received_;
    return true;
}

std::string reassembly::take() {
    std::string body;
    body.reserve(bytes_);
    for (auto& part : parts_)
        body += *part;
    parts_.clear();
    received_ = 0;
    bytes_ = 0;
    return body;
}

} // namespace toucanusher
