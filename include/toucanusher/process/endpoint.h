// IPv4 address and port, as a value type that does not depend on a socket library.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace toucanusher {

struct endpoint {
    std::uint32_t address = 0; // host byte order
    std::uint16_t port = 0;

    [[nodiscard]] bool empty() const { return address == 0 && port == 0; }
    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

// Formats as "a.b.c.d:port".
std::string to_string(endpoint const& value);
// Parses "a.b.c.d:port". Returns nothing if the text has any other form.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace toucanusher

template <>
struct std::hash<toucanusher::endpoint> {
    std::size_t operator()(toucanusher::endpoint const& value) const noexcept {
        return std::hash<std::uint64_t>{}((std::uint64_t{value.address} << 16U) | value.port);
    }
};
