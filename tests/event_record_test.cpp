// Tests the parser of log lines, their order across clock steps, and the causes that `explain`
// derives from them.
#include "toucanusher/process/event_record.h"

#include <doctest/doctest.h>

#include "programs/explain.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;

std::string line(std::string const& process, std::string const& time, std::string const& rest) {
    return "   1.0 " + process + " I20260227 " + time + "  12 event_log.cpp:51] event=" + rest;
}

explanation explain_lines(std::vector<std::string> const& lines, explain_filter const& filter) {
    std::vector<event_record> records;
    for (std::string const& text : lines)
        if (auto record = parse_event_record(text, "file"))
            records.push_back(*std::move(record));
    return explain(std::move(records), filter);
}

bool has_cause(explanation const& found, std::string const& part) {
    for (std::string const& cause : found.causes)
        if (cause.find(part) != std::string::npos)
            return true;
    return false;
}

} // namespace

TEST_CASE("lines are parsed with their fields, truncated ones are skipped") {
    auto const record = parse_event_record(
        line("edge-1", "23:13:58.214239", R"(flow what="placing" caller="1.2.3.4:5" boot_ms=77)"),
        "file");
    REQUIRE(record);
    CHECK(record->process == "edge-1");
    CHECK(record->event == "flow");
    CHECK(record->field("caller") == "1.2.3.4:5");
    CHECK(record->since_boot == milliseconds{77});
    CHECK_FALSE(parse_event_record("some other line", "file"));
    CHECK_FALSE(parse_event_record(line("e", "23:13:58.214239", R"(flow what="pla)"), "file"));
    auto const bare = parse_event_record(
        "I20260227 00:00:01.500000 12 x.cpp:1] event=started boot_ms=5", "agent.log");
    REQUIRE(bare);
    CHECK(bare->process == "agent.log");
}

TEST_CASE("a step of the wall clock does not reorder the lines of a process") {
    std::vector<event_record> records;
    for (auto const& text :
         {line("a", "10:00:00.000000", "started boot_ms=1000"),
          line("a", "10:00:01.000000", "ready boot_ms=2000"),
          line("a", "09:59:50.000000", "stopping boot_ms=3000"), // the clock stepped back by 12 s
          line("b", "10:00:01.500000", "started boot_ms=700")})
        records.push_back(*parse_event_record(text, "f"));
    sort_records(records);
    CHECK(records[0].event == "started");
    CHECK(records[1].event == "ready");
    CHECK(records[2].process == "b");
    CHECK(records[3].event == "stopping");
}

TEST_CASE("explain: no upstream accepted a new flow") {
    auto const found = explain_lines(
        {line(
             "edge", "10:00:00.000000",
             R"(flow what="placing" caller="1.2.3.4:5" route="9.9.9.9:1" agent="10.0.0.1:7" boot_ms=1)"),
         line("side", "10:00:00.001000",
              R"(flow what="too_late" caller="1.2.3.4:5" route="9.9.9.9:1" waiting=15 boot_ms=1)"),
         line(
             "edge", "10:00:00.002000",
             R"(flow what="nobody_takes" caller="1.2.3.4:5" route="9.9.9.9:1" agent="10.0.0.1:7" boot_ms=3)")},
        {"1.2.3.4:5", ""});
    CHECK(found.lines.size() == 3);
    CHECK(has_cause(found, "no upstream accepted the new flow"));
    CHECK(has_cause(found, "too much work"));
}

TEST_CASE("explain: the upstream of an open flow ended") {
    auto const found = explain_lines(
        {line("side", "10:00:00.000000", R"(serving carrier="10.0.0.1:7" service="s" boot_ms=1)"),
         line("side", "10:00:03.000000", R"(upstream_left name="i-1" boot_ms=3001)"),
         line("side", "10:00:03.300000",
              R"(flow what="lost_flow" caller="1.2.3.4:5" route="9.9.9.9:1" boot_ms=3301)")},
        {"1.2.3.4:5", ""});
    CHECK(has_cause(found, "ended while the flow was open"));
    CHECK(has_cause(found, "i-1 announced its end"));
}

TEST_CASE(
    "explain: a flow tried on the route's next service, and one left unanswered by a balancer "
    "without control contact") {
    auto const found = explain_lines(
        {line(
             "edge", "10:00:00.000000",
             R"(flow what="next_service" caller="1.2.3.4:5" route="9.9.9.9:1" agent="10.0.0.1:7" boot_ms=1)"),
         line("edge", "10:00:05.000000",
              R"(flow what="old_view" caller="1.2.3.4:5" route="9.9.9.9:1" boot_ms=5001)")},
        {"1.2.3.4:5", ""});
    CHECK(has_cause(found, "next one was tried"));
    CHECK(has_cause(found, "no contact with a control host"));
}

TEST_CASE("explain: packets without a route, and a filter that matches no line") {
    auto const found = explain_lines(
        {line(
            "edge", "10:00:00.000000",
            R"(flow what="no_route" caller="1.2.3.4:5" route="9.9.9.9:1" configuration=7 boot_ms=1)")},
        {"1.2.3.4:5", ""});
    CHECK(has_cause(found, "configuration 7 has no route at 9.9.9.9:1"));
    CHECK(explain_lines({}, {"1.2.3.4:5", ""}).lines.empty());
}

} // namespace toucanusher
