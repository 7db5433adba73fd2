#include "src/process/frame_codec.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace toucanusher {

namespace {

constexpr unsigned bits_per_byte = 8;

std::size_t decode_length(std::array<char, frame_header_bytes> const& header) {
    std::size_t length = 0;
    for (char const byte : header)
        length = (length << bits_per_byte) | static_cast<unsigned char>(byte);
    return length;
}

} // namespace

std::string encode_frame(std::string_view body) {
    std::string frame;
    frame.reserve(frame_header_bytes + body.size());
    for (unsigned i = frame_header_bytes; i-- > 0;)
        frame.push_back(static_cast<char>((body.size() >> (i * bits_per_byte)) & 0xffU));
    frame.append(body);
    return frame;
}

bool frame_decoder::decode(std::string_view bytes, frame_hook const& on_frame) {
    while (!bytes.empty()) {
        if (header_size_ < frame_header_bytes) {
            std::size_t const count = std::min(bytes.size(), frame_header_bytes - header_size_);
            std::copy_n(bytes.begin(), count, header_.begin() + header_size_);
            header_size_ += count;
            bytes.remove_prefix(count);
            if (header_size_ < frame_header_bytes)
                return true;
            body_size_ = decode_length(header_);
            if (body_size_ == 0 || body_size_ > max_body_bytes_)
                return false;
        }
        std::size_t const count = std::min(bytes.size(), body_size_ - body_.size());
        body_.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        if (body_.size() < body_size_)
            return true;
        header_size_ = 0;
        on_frame(std::exchange(body_, {}));
    }
    return true;
}

} // namespace toucanusher
