// Log lines read back: parsed, and put in order across processes whose times of day may be stepped.
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
    std::string process; // who wrote it
    std::string event;
    std::map<std::string, std::string> fields;
    std::chrono::milliseconds time_of_day{};    // time of day that was written, since its day began
    std::chrono::milliseconds since_boot{};     // of the writer's host
    std::chrono::milliseconds corrected_time{}; // time of day without the writer's clock steps

    [[nodiscard]] std::string field(std::string const& key) const;
};

// Reads one line: anything, then a log header, then event=NAME key=value ... Nothing if the line is
// of another kind. `process` names the writer if the line itself does not.
std::optional<event_record> parse_event_record(std::string_view line, std::string const& process);

// Sets `at`: a host's boot time runs evenly, so each process gets the one difference between its
// time of day and its boot time that most of its lines have. Then sorts by it; lines of one process
// keep their order.
void sort_records(std::vector<event_record>& records);

} // namespace toucanusher
