#include "toucanusher/version/settings.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace toucanusher {

namespace {

// Parses `text` into a field. Returns an error message, or nothing on success.
using assign_function =
    std::function<std::optional<std::string>(service_settings&, std::string const& text)>;

struct setting_rule {
    std::string help;
    assign_function assign;
};

assign_function number(std::uint32_t service_settings::*field, std::uint32_t low,
                       std::uint32_t high) {
    return [=](service_settings& settings, std::string const& text) -> std::optional<std::string> {
        std::uint32_t value = 0;
        if (!absl::SimpleAtoi(text, &value) || value < low || value > high)
            return absl::StrCat("expects a whole number from ", low, " to ", high);
        settings.*field = value;
        return std::nullopt;
    };
}

assign_function milliseconds(std::chrono::milliseconds service_settings::*field) {
    constexpr std::int64_t max_milliseconds = 7LL * 24 * 3600 * 1000;
    return [=](service_settings& settings, std::string const& text) -> std::optional<std::string> {
        std::int64_t value = 0;
        if (!absl::SimpleAtoi(text, &value) || value < 1 || value > max_milliseconds)
            return absl::StrCat("expects milliseconds from 1 to ", max_milliseconds);
        settings.*field = std::chrono::milliseconds{value};
        return std::nullopt;
    };
}

assign_function names(std::vector<std::string> service_settings::*field) {
    return [=](service_settings& settings, std::string const& text) -> std::optional<std::string> {
        if (text == "all") {
            (settings.*field).clear();
            return std::nullopt;
        }
        std::vector<std::string> list = absl::StrSplit(text, ',', absl::SkipWhitespace());
        if (list.empty())
            return "expects names separated by commas, or all";
        for (auto& name : list)
            name = std::string(absl::StripAsciiWhitespace(name));
        settings.*field = std::move(list);
        return std::nullopt;
    };
}

std::optional<std::string> assign_kind(service_settings& settings, std::string const& text) {
    if (text != "session" && text != "request")
        return "expects session or request";
    settings.kind = text == "session" ? service_kind::session : service_kind::request;
    return std::nullopt;
}

std::optional<std::string> assign_address(service_settings& settings, std::string const& text) {
    auto const parsed = parse_endpoint(text);
    if (!parsed || parsed->port == 0)
        return "expects an address such as 127.0.0.1:8000";
    settings.address = *parsed;
    return std::nullopt;
}

std::optional<std::string> assign_admit(service_settings& settings, std::string const& text) {
    if (text != "yes" && text != "no")
        return "expects yes or no";
    settings.admit = text == "yes";
    return std::nullopt;
}

std::map<std::string, setting_rule> const& rules() {
    using s = service_settings;
    constexpr std::uint32_t max_count = 1000000;
    constexpr std::uint32_t max_percent = 100;
    static std::map<std::string, setting_rule> const table = {
        {"address", {"address where callers reach the service, IP:PORT", assign_address}},
        {"admit", {"yes or no; no refuses all work of the service (yes)", assign_admit}},
        {"balancers", {"balancers that serve it, names or all (all)", names(&s::balancers)}},
        {"bulk_share",
         {"percent of dispatches for bulk work (10)", number(&s::bulk_share, 1, max_percent)}},
        {"deadline", {"ms for requests that carry no deadline (5000)", milliseconds(&s::deadline)}},
        {"drain_time",
         {"ms that a draining upstream waits for its work (10000)", milliseconds(&s::drain_time)}},
        {"idle_time",
         {"ms without packets after which a session ends (3600000)", milliseconds(&s::idle_time)}},
        {"kind", {"session or request (session)", assign_kind}},
        {"normal_share",
         {"percent of dispatches for normal work (30)", number(&s::normal_share, 1, max_percent)}},
        {"packet_rate",
         {"packets per second per balancer, 0 for no limit (0)",
          number(&s::packet_rate, 0, max_count)}},
        {"queue_length",
         {"requests that wait per upstream (64)", number(&s::queue_length, 1, max_count)}},
        {"retry_percent",
         {"retries per hundred requests (10)", number(&s::retry_percent, 0, max_percent)}},
        {"slots",
         {"concurrent requests per upstream, 0 as announced (0)", number(&s::slots, 0, max_count)}},
        {"upstreams", {"upstreams that may serve, names or all (all)", names(&s::upstreams)}},
        {"urgent_share",
         {"percent of dispatches for urgent work (60)", number(&s::urgent_share, 1, max_percent)}},
    };
    return table;
}

} // namespace

std::vector<std::string> const& setting_keys() {
    static std::vector<std::string> const keys = [] {
        std::vector<std::string> result;
        for (auto const& [key, rule] : rules())
            result.push_back(key);
        return result;
    }();
    return keys;
}

std::string describe_setting(std::string const& key) {
    auto const rule = rules().find(key);
    return rule == rules().end() ? std::string{} : rule->second.help;
}

void assign_setting(service_settings& settings, std::string const& key, std::string const& text,
                    findings& found, source_location const& where) {
    auto const rule = rules().find(key);
    if (rule == rules().end()) {
        std::string const nearest = nearest_name(key, setting_keys());
        found.add(where, nearest.empty()
                             ? "unknown setting"
                             : absl::StrCat("unknown setting; did you mean ", nearest, "?"));
        return;
    }
    if (auto const error = rule->second.assign(settings, text))
        found.add(where, absl::StrCat(*error, ", not \"", text, "\""));
}

} // namespace toucanusher
