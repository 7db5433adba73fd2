#include "programs/explain.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace toucanusher {

namespace {

using std::chrono::milliseconds;

constexpr int exit_explained = 0;
constexpr int exit_nothing_found = 1;
constexpr int exit_unreadable = 2;
// State changes up to this long before and after the matching lines are part of the explanation.
constexpr milliseconds context_window{5000};

bool matches(event_record const& record, explain_filter const& filter) {
    bool const caller = !filter.caller.empty() && record.field("caller") == filter.caller;
    bool const upstream = !filter.upstream.empty() && record.field("name") == filter.upstream;
    return caller || upstream;
}

bool is_state_change(event_record const& record) {
    static std::set<std::string> const events = {"upstream_life",
                                                 "upstream_left",
                                                 "upstream_drains",
                                                 "upstream_silent",
                                                 "started",
                                                 "stopping",
                                                 "stopped",
                                                 "ready",
                                                 "leads",
                                                 "follows",
                                                 "disk_failed",
                                                 "disk_recovered",
                                                 "control_silent",
                                                 "control_session",
                                                 "founds",
                                                 "control_peer_silent",
                                                 "update_gap",
                                                 "updates_repeated",
                                                 "configuration_in_force"};
    return events.contains(record.event);
}

// Returns the log names of the agents and balancers that took part; agents are found by address
// too.
std::set<std::string> find_participants(std::vector<event_record> const& records,
                                        explain_filter const& filter) {
    std::set<std::string> names;
    std::set<std::string> agents;
    for (event_record const& record : records)
        if (matches(record, filter)) {
            names.insert(record.process);
            agents.insert(record.field("agent"));
        }
    for (event_record const& record : records)
        if (record.event == "serving" && agents.contains(record.field("carrier")))
            names.insert(record.process);
    return names;
}

std::string describe(event_record const& record) {
    std::string text = record.event;
    for (auto const& [key, value] : record.fields)
        if (key != "event" && key != "boot_ms")
            absl::StrAppend(&text, " ", key, "=", value);
    return text;
}

// Returns the cause that a decision about a flow shows; empty for a decision in regular service.
std::string find_flow_cause(event_record const& record) {
    std::string const what = record.field("what");
    std::string const agent = record.field("agent");
    if (what == "no_route")
        return absl::StrCat("configuration ", record.field("configuration"), " has no route at ",
                            record.field("route"));
    if (what == "nobody_takes" || what == "refused")
        return "no upstream accepted the new flow: each was draining, full or did not answer";
    if (what == "no_upstream")
        return "the service had no upstream that accepts new flows";
    if (what == "flow_is_over")
        return "every agent answered that its upstream does not hold the flow: the upstream that "
               "held it has ended or restarted";
    if (what == "lost_flow")
        return absl::StrCat("the incarnation of the upstream at agent ", record.process,
                            " ended while the flow was open");
    if (what == "not_found" && agent != "0.0.0.0:0")
        return absl::StrCat("the agent ", agent, " did not answer");
    if (what == "not_found")
        return "no agent answered the query for the flow in time";
    if (what == "old_view")
        return "every agent that the balancer knew answered that it does not hold the flow, but "
               "the balancer had no contact with a control host for a while, so it did not reset "
               "the flow";
    if (what == "next_service")
        return "the service chosen by weight could not serve the flow in time; the route's "
               "next one was tried";
    if (what == "too_late")
        return absl::StrCat("the upstream at agent ", record.process,
                            " had too much work: ", record.field("waiting"),
                            " requests in progress");
    if (what == "unanswered")
        return absl::StrCat("the upstream at agent ", record.process,
                            " did not answer an opening packet");
    if (what == "early")
        return "the balancer had no configuration yet";
    if (what == "overflow")
        return "the balancer had too many searches or queued packets";
    return {};
}

std::string find_context_cause(event_record const& record) {
    if (record.event == "upstream_left")
        return absl::StrCat("upstream ", record.field("name"), " announced its end");
    if (record.event == "upstream_silent")
        return absl::StrCat("upstream ", record.field("name"), " stopped responding");
    if (record.event == "disk_failed")
        return absl::StrCat("the disk of ", record.process, " could not complete a write");
    if (record.event == "stopping")
        return absl::StrCat(record.process, " was stopped");
    return {};
}

} // namespace

explanation explain(std::vector<event_record> records, explain_filter const& filter) {
    sort_records(records);
    explanation result;
    auto const first = std::find_if(records.begin(), records.end(),
                                    [&](auto const& r) { return matches(r, filter); });
    if (first == records.end())
        return result;
    auto const last = std::find_if(records.rbegin(), records.rend(),
                                   [&](auto const& r) { return matches(r, filter); });
    std::set<std::string> const participants = find_participants(records, filter);
    for (event_record const& record : records) {
        bool const in_window = record.corrected_time >= first->corrected_time - context_window &&
                               record.corrected_time <= last->corrected_time + context_window;
        bool const is_context =
            in_window && is_state_change(record) && participants.contains(record.process);
        if (matches(record, filter) || is_context)
            result.lines.push_back(record);
    }
    std::set<std::string> seen;
    auto const add_cause = [&](std::string const& cause) {
        if (!cause.empty() && seen.insert(cause).second)
            result.causes.push_back(cause);
    };
    for (event_record const& record : result.lines)
        if (matches(record, filter))
            add_cause(find_flow_cause(record));
    if (!result.causes.empty() || !filter.upstream.empty())
        for (event_record const& record : result.lines)
            add_cause(find_context_cause(record));
    return result;
}

int run_explain(std::vector<std::string> const& files, explain_filter const& filter, bool as_json) {
    std::vector<event_record> records;
    for (std::string const& path : files) {
        std::ifstream input(path);
        if (!input) {
            std::fprintf(stderr, "cannot read %s\n", path.c_str());
            return exit_unreadable;
        }
        std::string line;
        while (std::getline(input, line))
            if (auto record = parse_event_record(line, path))
                records.push_back(*std::move(record));
    }
    explanation const result = explain(std::move(records), filter);
    if (as_json) {
        nlohmann::json answer = {{"causes", result.causes}, {"lines", nlohmann::json::array()}};
        for (event_record const& record : result.lines)
            answer["lines"].push_back({{"at_ms", record.corrected_time.count()},
                                       {"process", record.process},
                                       {"fields", record.fields}});
        std::cout << answer.dump() << "\n";
    } else {
        for (event_record const& record : result.lines)
            std::cout << record.corrected_time.count() << " " << record.process << " "
                      << describe(record) << "\n";
        for (std::string const& cause : result.causes)
            std::cout << "cause: " << cause << "\n";
        if (result.lines.empty())
            std::cout << "no matching log lines\n";
    }
    return result.lines.empty() ? exit_nothing_found : exit_explained;
}

} // namespace toucanusher
