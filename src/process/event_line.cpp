#include "toucanusher/process/event_line.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace toucanusher {

event_line::event_line(std::string_view event) : event_(event) {
    text_ = absl::StrCat("event=", event_);
}

event_line& event_line::add(std::string_view key, std::string_view value) {
    if (key == "what")
        kind_ = value;
    absl::StrAppend(&text_, " ", absl::string_view(key.data(), key.size()), "=\"",
                    absl::CEscape(absl::string_view(value.data(), value.size())), "\"");
    return *this;
}

event_line& event_line::add(std::string_view key, std::chrono::milliseconds value) {
    return add_number(std::string(key) + "_ms", std::to_string(value.count()));
}

event_line& event_line::add_number(std::string_view key, std::string_view digits) {
    absl::StrAppend(&text_, " ", absl::string_view(key.data(), key.size()), "=",
                    absl::string_view(digits.data(), digits.size()));
    return *this;
}

} // namespace toucanusher
