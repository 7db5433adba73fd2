#include "toucanusher/process/event_record.h"

#include <algorithm>
#include <cctype>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace toucanusher {

namespace {

using std::chrono::milliseconds;

absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

std::optional<int> read_digits(std::string_view text, std::size_t at, std::size_t count) {
    int value = 0;
    if (at + count > text.size() || !absl::SimpleAtoi(to_absl(text.substr(at, count)), &value))
        return std::nullopt;
    return value;
}

// Log header, such as "I20260227 23:13:58.214239": severity, date and time of day.
struct header {
    std::size_t begin = 0;
    milliseconds time_of_day{};
};
std::optional<header> find_header(std::string_view line) {
    constexpr std::size_t length = 25;
    for (std::size_t at = 0; at + length <= line.size(); ++at) {
        if (std::string_view("IWEF").find(line[at]) == std::string_view::npos ||
            line[at + 9] != ' ' || line[at + 12] != ':' || line[at + 15] != ':' ||
            line[at + 18] != '.')
            continue;
        auto const hours = read_digits(line, at + 10, 2);
        auto const minutes = read_digits(line, at + 13, 2);
        auto const seconds = read_digits(line, at + 16, 2);
        auto const thousandths = read_digits(line, at + 19, 3);
        if (hours && minutes && seconds && thousandths)
            return header{at, std::chrono::hours{*hours} + std::chrono::minutes{*minutes} +
                                  std::chrono::seconds{*seconds} + milliseconds{*thousandths}};
    }
    return std::nullopt;
}

// Returns the last word before the header, where a log collector puts the writer's name.
std::string find_writer(std::string_view before, std::string const& fallback) {
    std::vector<std::string> const words =
        absl::StrSplit(to_absl(before), ' ', absl::SkipWhitespace());
    return words.empty() ? fallback : words.back();
}

// Parses one key=value and removes it from the front; the value may be quoted.
bool take_field(std::string_view& rest, std::string& key, std::string& value) {
    while (!rest.empty() && rest.front() == ' ')
        rest.remove_prefix(1);
    std::size_t const equals = rest.find('=');
    if (equals == std::string_view::npos)
        return false;
    key = std::string(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    if (rest.empty() || rest.front() != '"') {
        std::size_t const end = std::min(rest.find(' '), rest.size());
        value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return true;
    }
    std::size_t end = 1;
    while (end < rest.size() && rest[end] != '"')
        end += rest[end] == '\\' ? 2 : 1;
    if (end >= rest.size())
        return false; // truncated
    bool const readable = absl::CUnescape(to_absl(rest.substr(1, end - 1)), &value);
    rest.remove_prefix(end + 1);
    return readable;
}

std::optional<milliseconds> parse_milliseconds(std::string_view text) {
    milliseconds::rep count = 0;
    if (!absl::SimpleAtoi(to_absl(text), &count))
        return std::nullopt;
    return milliseconds{count};
}

} // namespace

std::string event_record::field(std::string const& key) const {
    auto const found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<event_record> parse_event_record(std::string_view line, std::string const& process) {
    constexpr std::string_view marker = "] event=";
    std::size_t const at = line.find(marker);
    auto const head = find_header(line);
    if (at == std::string_view::npos || !head || head->begin > at)
        return std::nullopt;
    event_record record;
    record.process = find_writer(line.substr(0, head->begin), process);
    record.time_of_day = head->time_of_day;
    std::string_view rest = line.substr(at + 2);
    std::string key;
    std::string value;
    while (take_field(rest, key, value))
        record.fields[key] = value;
    record.event = record.field("event");
    auto const since_boot = parse_milliseconds(record.field("boot_ms"));
    if (!since_boot)
        return std::nullopt; // truncated
    record.since_boot = *since_boot;
    return record;
}

void sort_records(std::vector<event_record>& records) {
    std::map<std::string, std::vector<milliseconds>> offsets;
    for (event_record const& record : records)
        offsets[record.process].push_back(record.time_of_day - record.since_boot);
    for (auto& [process, list] : offsets)
        std::nth_element(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2),
                         list.end());
    for (event_record& record : records) {
        auto const& list = offsets[record.process];
        record.corrected_time = record.since_boot + list[list.size() / 2];
    }
    std::stable_sort(records.begin(), records.end(), [](auto const& left, auto const& right) {
        return left.corrected_time < right.corrected_time;
    });
}

} // namespace toucanusher
