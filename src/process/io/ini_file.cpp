#include "src/process/io/ini_file.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <ini.h>

namespace toucanusher {

namespace {

// State of one parse. inih does not pass line numbers to its handler, so read_line counts them.
struct parse_state {
    std::istringstream input;
    int line = 0;
};

char* read_line(char* buffer, int size, void* stream) {
    auto& state = *static_cast<parse_state*>(stream);
    std::string text;
    if (!std::getline(state.input, text))
        return nullptr;
    ++state.line;
    if (text.size() + 2 > static_cast<std::size_t>(size))
        text = "line too long"; // invalid syntax, so the parser reports an error for this line
    text += '\n';
    text.copy(buffer, text.size());
    buffer[text.size()] = '\0';
    return buffer;
}

struct parse_target {
    parse_state state;
    std::map<std::string, std::map<std::string, ini_value>> sections;
    std::map<std::string, int> section_lines;
    findings* found = nullptr;
    std::string source;
};

int add_value(void* user, char const* section, char const* key, char const* value) {
    auto& target = *static_cast<parse_target*>(user);
    int const line = target.state.line;
    target.section_lines.try_emplace(section, line);
    auto const [at, added] = target.sections[section].try_emplace(key, ini_value{value, line});
    if (!added)
        target.found->add({target.source, line, key},
                          absl::StrCat("already given in line ", at->second.line));
    return 1;
}

} // namespace

absl::StatusOr<ini_file> ini_file::load(std::string const& path, findings& found) {
    std::ifstream input(path);
    if (!input)
        return absl::NotFoundError(absl::StrCat("cannot read ", path));
    std::ostringstream text;
    text << input.rdbuf();
    return parse(path, text.str(), found);
}

ini_file ini_file::parse(std::string const& source, std::string const& text, findings& found) {
    parse_target target{{std::istringstream(text), 0}, {}, {}, &found, source};
    auto const reader = [](char* buffer, int size, void* stream) {
        return read_line(buffer, size, stream);
    };
    // read_line gets the parse state, add_value the whole target.
    int const error_line = ini_parse_stream(reader, &target.state, &add_value, &target);
    if (error_line > 0)
        found.add({source, error_line, {}}, "expects a section, a key = value line or a comment");
    ini_file file;
    file.source_ = source;
    file.sections_ = std::move(target.sections);
    file.section_lines_ = std::move(target.section_lines);
    return file;
}

std::vector<std::string> ini_file::sections() const {
    std::vector<std::string> names;
    for (auto const& [name, keys] : sections_)
        names.push_back(name);
    return names;
}

std::map<std::string, ini_value> const& ini_file::section(std::string const& name) const {
    static std::map<std::string, ini_value> const none;
    auto const found = sections_.find(name);
    return found == sections_.end() ? none : found->second;
}

source_location ini_file::where(std::string const& section, std::string const& key) const {
    auto const& keys = this->section(section);
    std::string const name = absl::StrCat("[", section, "] ", key);
    if (auto const found = keys.find(key); found != keys.end())
        return {source_, found->second.line, name};
    auto const line = section_lines_.find(section);
    return {source_, line == section_lines_.end() ? 0 : line->second, name};
}

namespace {

// Parses "a.b.c.d:port" or "a.b.c.d:port+n"; the offset is for settings within a given port range.
std::optional<endpoint> parse_shifted_endpoint(std::string const& text) {
    std::vector<std::string> const parts = absl::StrSplit(text, absl::MaxSplits('+', 1));
    auto where = parse_endpoint(parts.front());
    std::uint32_t shift = 0;
    if (!where || parts.size() == 1)
        return where;
    if (!absl::SimpleAtoi(parts.back(), &shift) || shift > 65535U - where->port)
        return std::nullopt;
    where->port = static_cast<std::uint16_t>(where->port + shift);
    return where;
}

} // namespace

section_reader::section_reader(ini_file const& file, std::string section, findings& found)
    : file_(file), section_(std::move(section)), found_(found) {}

std::string section_reader::read_text(std::string const& key, std::optional<std::string> fallback) {
    return read_value(key, !fallback).value_or(fallback.value_or(""));
}

std::uint32_t section_reader::read_number(std::string const& key, std::uint32_t low,
                                          std::uint32_t high,
                                          std::optional<std::uint32_t> fallback) {
    auto const text = read_value(key, !fallback);
    if (!text)
        return fallback.value_or(low);
    std::uint32_t value = 0;
    if (!absl::SimpleAtoi(*text, &value) || value < low || value > high) {
        add_error(key, absl::StrCat("expects a whole number from ", low, " to ", high, ", not \"",
                                    *text, "\""));
        return fallback.value_or(low);
    }
    return value;
}

double section_reader::read_decimal(std::string const& key, double high,
                                    std::optional<double> fallback) {
    auto const text = read_value(key, !fallback);
    if (!text)
        return fallback.value_or(high);
    double value = 0;
    if (!absl::SimpleAtod(*text, &value) || !(value > 0 && value <= high)) {
        add_error(key, absl::StrCat("expects a number above 0 and at most ", high, ", not \"",
                                    *text, "\""));
        return fallback.value_or(high);
    }
    return value;
}

std::chrono::milliseconds
section_reader::read_milliseconds(std::string const& key, std::uint32_t low, std::uint32_t high,
                                  std::optional<std::chrono::milliseconds> fallback) {
    std::optional<std::uint32_t> count;
    if (fallback)
        count = static_cast<std::uint32_t>(fallback->count());
    return std::chrono::milliseconds{read_number(key, low, high, count)};
}

endpoint section_reader::read_address(std::string const& key, std::optional<endpoint> fallback) {
    auto const text = read_value(key, !fallback);
    if (!text)
        return fallback.value_or(endpoint{});
    auto const parsed = parse_shifted_endpoint(*text);
    if (!parsed)
        add_error(key,
                  absl::StrCat("expects an address such as 127.0.0.1:8000, not \"", *text, "\""));
    return parsed.value_or(endpoint{});
}

std::vector<std::string> section_reader::read_list(std::string const& key) {
    std::vector<std::string> items =
        absl::StrSplit(read_value(key, true).value_or(""), ',', absl::SkipWhitespace());
    for (auto& item : items)
        item = std::string(absl::StripAsciiWhitespace(item));
    return items;
}

void section_reader::add_error(std::string const& key, std::string const& message) {
    found_.add(file_.where(section_, key), message);
}

void section_reader::report_unknown_keys() {
    std::vector<std::string> const known(read_keys_.begin(), read_keys_.end());
    for (auto const& [key, value] : file_.section(section_)) {
        if (read_keys_.contains(key))
            continue;
        std::string const near = nearest_name(key, known);
        add_error(key, near.empty() ? "unknown key"
                                    : absl::StrCat("unknown key; did you mean ", near, "?"));
    }
}

std::optional<std::string> section_reader::read_value(std::string const& key, bool required) {
    read_keys_.insert(key);
    auto const& keys = file_.section(section_);
    auto const found = keys.find(key);
    if (found != keys.end() && !found->second.text.empty())
        return found->second.text;
    if (found != keys.end())
        add_error(key, "has no value");
    else if (required)
        add_error(key, "is missing");
    return std::nullopt;
}

} // namespace toucanusher
