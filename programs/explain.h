// What the logs say about one flow or upstream, in the order in which it happened, and the cause.
#pragma once

#include <string>
#include <vector>

#include "toucanusher/process/event_record.h"

namespace toucanusher {

struct explain_filter {
    std::string caller;   // address and port; empty: any
    std::string upstream; // name; empty: any
};

struct explanation {
    std::vector<event_record> lines; // about the question, and what changed around them
    std::vector<std::string> causes; // the most telling first; empty if the logs show none
};

explanation explain(std::vector<event_record> records, explain_filter const& filter);

// The `explain` command: reads the files and prints. Returns the exit code.
int run_explain(std::vector<std::string> const& files, explain_filter const& filter, bool as_json);

} // namespace toucanusher
