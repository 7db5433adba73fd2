#include "toucanusher/process/endpoint.h"

#include <charconv>

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

constexpr std::uint32_t max_octet = 255;
constexpr std::uint32_t max_port = 65535;

// Parses a decimal number and the separator after it and removes both from the front of `text`.
std::optional<std::uint32_t> take_number(std::string_view& text, char separator,
                                         std::uint32_t limit) {
    std::uint32_t number = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || number > limit)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    if (separator == '\0')
        return text.empty() ? std::optional{number} : std::nullopt;
    if (text.empty() || text.front() != separator)
        return std::nullopt;
    text.remove_prefix(1);
    return number;
}

} // namespace

std::string to_string(endpoint const& value) {
    auto const octet = [&](unsigned shift) { return (value.address >> shift) & max_octet; };
    return absl::StrCat(octet(24), ".", octet(16), ".", octet(8), ".", octet(0), ":", value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    endpoint result;
    for (char const separator : {'.', '.', '.', ':'}) {
        auto const octet = take_number(text, separator, max_octet);
        if (!octet)
            return std::nullopt;
        result.address = (result.address << 8U) | *octet;
    }
    auto const port = take_number(text, '\0', max_port);
    if (!port)
        return std::nullopt;
    result.port = static_cast<std::uint16_t>(*port);
    return result;
}

} // namespace toucanusher
