// Explains from log files what happened to one flow or upstream: its log lines in order of time,
// and the causes that they show.
#pragma once

#include <string>
#include <vector>

#include "toucanusher/process/event_record.h"

namespace toucanusher {

struct explain_filter {
    std::string caller;   // address and port; empty: no flow
    std::string upstream; // name; empty: no upstream
};

struct explanation {
    std::vector<event_record> lines; // matching lines, and state changes around them
    std::vector<std::string> causes; // decisions about the flow first; empty if the logs show none
};

explanation explain(std::vector<event_record> records, explain_filter const& filter);

// The `explain` command: reads the files and prints the explanation. Returns the exit code.
int run_explain(std::vector<std::string> const& files, explain_filter const& filter, bool as_json);

} // namespace toucanusher
