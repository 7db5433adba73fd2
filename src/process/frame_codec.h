// Frames of a byte stream: a length of four bytes in network byte order, then as many bytes.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace toucanusher {

constexpr std::size_t frame_header_bytes = 4;

// `body` must not be empty and must be shorter than 4 GiB.
std::string encode_frame(std::string_view body);

// Separates the frames of one stream. Memory grows with the bytes that have arrived, not with the
// announced length.
class frame_decoder {
  public:
    using frame_hook = std::function<void(std::string)>;

    explicit frame_decoder(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

    // Takes the next bytes of the stream and calls the hook for each frame that they complete.
    // Returns false if a frame announces no bytes or more than the maximum; the rest of the stream
    // cannot be decoded then.
    [[nodiscard]] bool decode(std::string_view bytes, frame_hook const& on_frame);

  private:
    std::size_t max_body_bytes_;
    std::array<char, frame_header_bytes> header_{};
    std::size_t header_size_ = 0; // bytes of header_ that have arrived
    std::size_t body_size_ = 0;   // announced; valid once the header is complete
    std::string body_;            // shorter than body_size_ between calls
};

} // namespace toucanusher
