// Parses log lines and sorts them across processes whose wall clocks may be stepped.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanusher/process/clock.h"

namespace toucanusher {

struct event_record {
    std::string process; // writer of the line
    std::string event;
    std::map<std::string, std::string> fields;
    std::chrono::milliseconds time_of_day{};    // as written, since midnight
    std::chrono::milliseconds since_boot{};     // by the boot-time clock of the writer's host
    std::chrono::milliseconds corrected_time{}; // time of day, corrected for clock steps

    [[nodiscard]] std::string field(std::string const& key) const;
};

// Parses one line: an optional prefix, a log header and event=NAME key=value ... Returns nothing if
// the line has any other form. `process` names the writer if the prefix does not.
std::optional<event_record> parse_event_record(std::string_view line, std::string const& process);

// Sets `corrected_time` and sorts by it. A host's boot time has no steps, so the corrected
// time is the boot time plus the median difference between time of day and boot time over the lines
// of the process, which is that of most lines. Lines of one process keep their order.
void sort_records(std::vector<event_record>& records);

} // namespace toucanusher
