// Formats one log event as key=value pairs, independent of the logging library.
#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace toucanusher {

// Builds `event=NAME key="value" ...`. Numbers are unquoted; text is quoted and escaped.
class event_line {
  public:
    explicit event_line(std::string_view event);

    event_line& add(std::string_view key, std::string_view value);
    event_line& add(std::string_view key, char const* value) {
        return add(key, std::string_view(value));
    }
    event_line& add(std::string_view key, std::integral auto value) {
        return add_number(key, std::to_string(value));
    }
    event_line& add(std::string_view key, std::chrono::milliseconds value);
    [[nodiscard]] std::string const& text() const { return text_; }
    [[nodiscard]] std::string const& event() const { return event_; }
    // Returns the value of the key `what`, which distinguishes lines of the same event; empty if
    // there is none.
    [[nodiscard]] std::string const& kind() const { return kind_; }

  private:
    event_line& add_number(std::string_view key, std::string_view digits);

    std::string event_;
    std::string kind_;
    std::string text_;
};

} // namespace toucanusher
