#include "toucanusher/request/answer_outbox.h"

#include <utility>

namespace toucanusher {

void answer_outbox::fill(answer_part header, std::string const& body) {
    header_ = std::move(header);
    payloads_ = split_payload(body);
    header_.parts = static_cast<std::uint16_t>(payloads_.size());
    for (std::uint16_t part = 0; part < header_.parts; ++part)
        unacknowledged_.insert(part);
}

std::vector<answer_part> answer_outbox::pending(std::size_t limit) const {
    std::vector<answer_part> parts;
    for (std::uint16_t const number : unacknowledged_) {
        if (parts.size() == limit)
            break;
        answer_part part = header_;
        part.part = number;
        part.payload = payloads_[number];
        parts.push_back(std::move(part));
    }
    return parts;
}

void answer_outbox::acknowledge(std::vector<std::uint16_t> const& parts) {
    for (std::uint16_t const part : parts)
        unacknowledged_.erase(part);
    if (unacknowledged_.empty())
        payloads_.clear();
}

} // namespace toucanusher
