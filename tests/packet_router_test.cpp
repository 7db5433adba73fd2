// A balancer's decisions about packets: services, candidates, hints, searches and refusals.
#include "toucanusher/connection/packet_router.h"

#include <set>

#include <doctest/doctest.h>

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr endpoint route_address{200, 443};
constexpr packet_flow flow_a{{1, 1000}, route_address};
constexpr endpoint first_agent{10, 100};
constexpr endpoint second_agent{11, 100};
constexpr endpoint art_agent{30, 100};

packet_head head_of(packet_flow const& flow, bool opens) {
    packet_head head;
    head.flow = flow;
    head.opens = opens;
    head.acknowledges = !opens;
    head.acknowledged = opens ? 0 : 900;
    head.data_bytes = opens ? 0 : 5;
    return head;
}

std::shared_ptr<configuration const> make_routes(std::uint64_t number,
                                                 std::vector<weighted_service> split) {
    configuration made;
    made.number = number;
    made.services = {{"batch", "/", 10, ""}, {"artwork", "/", 10, ""}};
    route item;
    item.name = "r";
    item.address = route_address;
    item.timeout = seconds{1};
    item.split = std::move(split);
    made.routes = {item};
    return std::make_shared<configuration const>(std::move(made));
}

router_view make_view(std::shared_ptr<configuration const> routes) {
    return {std::move(routes),
            {{"batch", {{"u1", first_agent, "a", false}, {"u2", second_agent, "a", false}}},
             {"artwork", {{"u3", art_agent, "a", false}}}}};
}

packet_router make_router(std::vector<weighted_service> split = {{"batch", 1}}) {
    packet_router_options options;
    options.self = {5, 5};
    packet_router router(options, start);
    router.on_control_contact(start);
    (void)router.set_view(start, make_view(make_routes(1, std::move(split))));
    return router;
}

std::vector<forward_to_agent> carried(router_output const& output) {
    std::vector<forward_to_agent> found;
    for (router_action const& action : output.actions)
        if (auto const* body = std::get_if<forward_to_agent>(&action))
            found.push_back(*body);
    return found;
}

std::vector<refuse_flow> refused(router_output const& output) {
    std::vector<refuse_flow> found;
    for (router_action const& action : output.actions)
        if (auto const* body = std::get_if<refuse_flow>(&action))
            found.push_back(*body);
    return found;
}

std::size_t count_notes(router_output const& output, router_event what) {
    std::size_t count = 0;
    for (router_decision const& note : output.decisions)
        count += note.event == what ? 1 : 0;
    return count;
}

std::vector<query_agent> queries(router_output const& output) {
    std::vector<query_agent> found;
    for (router_action const& action : output.actions)
        if (auto const* body = std::get_if<query_agent>(&action))
            found.push_back(*body);
    return found;
}

// Agents that are asked for a flow, with its packet or without.
std::set<endpoint> agents_of(router_output const& output) {
    std::set<endpoint> agents;
    for (forward_to_agent const& out : carried(output))
        agents.insert(out.agent);
    for (query_agent const& out : queries(output))
        agents.insert(out.agent);
    return agents;
}

// What is asked once the flows that came in the meantime have been put together.
router_output after_window(packet_router& router, time_point now) {
    return router.on_tick(now + milliseconds{5});
}

holder_answer answer_to(query_agent const& query, holder_state state) {
    return {query.message.number, std::vector(query.message.flows.size(), state)};
}

flow_notice notice_of(flow_report report, packet_flow const& flow = flow_a) {
    return {report, flow, 900, {}};
}

} // namespace

TEST_CASE("a new flow goes to a candidate of its service, later packets where it is held") {
    packet_router router = make_router();
    auto const placed = carried(router.on_packet(start, head_of(flow_a, true), "opening"));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].message.purpose == forward_purpose::open);
    CHECK(placed[0].message.service == "batch");
    CHECK(placed[0].message.candidates.size() == 1);
    (void)router.on_notice(start, second_agent, notice_of(flow_report::held));
    auto const sent = carried(router.on_packet(start, head_of(flow_a, false), "data"));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].agent == second_agent);
    CHECK(sent[0].message.purpose == forward_purpose::deliver);
}

TEST_CASE("an opening packet that is not placed goes to candidates that were not asked") {
    packet_router router = make_router();
    auto const first = carried(router.on_packet(start, head_of(flow_a, true), "opening"));
    // A copy changes nothing while the attempt is under way.
    CHECK(
        carried(router.on_packet(start + milliseconds{5}, head_of(flow_a, true), "copy")).empty());
    auto const again = carried(router.on_tick(start + milliseconds{70}));
    REQUIRE(again.size() == 1);
    CHECK(again[0].agent != first[0].agent);
    (void)router.on_notice(start + milliseconds{71}, again[0].agent, notice_of(flow_report::held));
    CHECK(carried(router.on_tick(start + seconds{1})).empty());
}

TEST_CASE("a flow whose hint is lost is searched, first in its services, then in all") {
    packet_router router = make_router();
    auto const near = router.on_packet(start, head_of(flow_a, false), "data");
    CHECK(agents_of(near) == std::set<endpoint>{first_agent, second_agent});
    time_point const later = start + milliseconds{50};
    (void)router.on_tick(later);
    auto const wide = queries(after_window(router, later));
    REQUIRE(wide.size() == 1);
    CHECK(wide[0].agent == art_agent);
    CHECK(wide[0].message.flows == std::vector{flow_a});
    (void)router.on_packet(later + milliseconds{6}, head_of(flow_a, false), "more");
    auto const out = router.on_answer(later + milliseconds{7}, art_agent,
                                      answer_to(wide[0], holder_state::held));
    CHECK(count_notes(out, router_event::found) == 1);
    auto const found = carried(out);
    REQUIRE(found.size() == 2); // nothing was delivered yet
    CHECK(found[0].message.packet == "data");
    CHECK(found[1].message.packet == "more");
    CHECK(found[1].message.service == "artwork");
    CHECK(found[1].message.purpose == forward_purpose::deliver);
}

TEST_CASE("a candidate that holds the flow has delivered the first packet; the others follow") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.on_packet(start, head_of(flow_a, false), "more");
    auto const out = router.on_notice(start, second_agent, notice_of(flow_report::held));
    CHECK(count_notes(out, router_event::found) == 1);
    auto const found = carried(out);
    REQUIRE(found.size() == 1);
    CHECK(found[0].agent == second_agent);
    CHECK(found[0].message.packet == "more");
}

// Replays a change of the configuration in the middle of a search (hunt-9581-43): the route gains
// the service that holds the flow, after the services of the route were asked and before the rest.
TEST_CASE("a flow is not over while an agent was never asked, whatever its route names meanwhile") {
    packet_router router = make_router({{"batch", 1}});
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.set_view(start, make_view(make_routes(2, {{"batch", 1}, {"artwork", 1}})));
    (void)router.on_notice(start, first_agent, notice_of(flow_report::not_held));
    CHECK(refused(router.on_notice(start, second_agent, notice_of(flow_report::not_held))).empty());
    auto const wide = after_window(router, start);
    CHECK(refused(wide).empty());
    REQUIRE(queries(wide).size() == 1);
    CHECK(queries(wide)[0].agent == art_agent);
    (void)router.on_answer(start, art_agent, answer_to(queries(wide)[0], holder_state::held));
    CHECK(carried(router.on_packet(start, head_of(flow_a, false), "more"))[0].agent == art_agent);
}

TEST_CASE("a caller is told that its flow is over only when every agent denies it") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    CHECK(refused(router.on_notice(start, first_agent, notice_of(flow_report::not_held))).empty());
    CHECK(refused(router.on_notice(start, second_agent, notice_of(flow_report::not_held))).empty());
    auto const wide = after_window(router, start);
    CHECK(refused(wide).empty());
    REQUIRE(queries(wide).size() == 1);
    auto const over = refused(
        router.on_answer(start, art_agent, answer_to(queries(wide)[0], holder_state::not_held)));
    REQUIRE(over.size() == 1);
    CHECK(over[0].sequence == 900);
}

// Replays the minutes after a loss of power: the route names every service, so that no agent is
// left for the last step of the search.
TEST_CASE("a flow that is over is told at once where the route names all services") {
    packet_router router = make_router({{"batch", 1}, {"artwork", 1}});
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.on_notice(start, first_agent, notice_of(flow_report::not_held));
    (void)router.on_notice(start, second_agent, notice_of(flow_report::not_held));
    auto const over = refused(router.on_notice(start, art_agent, notice_of(flow_report::not_held)));
    CHECK(over.size() == 1);
}

TEST_CASE("an upstream that left the state a moment ago is still asked, and its silence counts") {
    packet_router router = make_router();
    router_view view = make_view(make_routes(1, {{"batch", 1}}));
    view.upstreams["batch"].pop_back();
    (void)router.set_view(start, view);
    time_point now = start + seconds{1};
    auto const near = router.on_packet(now, head_of(flow_a, false), "data");
    CHECK(agents_of(near) == std::set<endpoint>{first_agent, second_agent});
    (void)router.on_notice(now, first_agent, notice_of(flow_report::not_held));
    std::size_t asked_again = 0;
    for (int i = 0; i < 100; ++i, now += milliseconds{5}) {
        auto const out = router.on_tick(now);
        CHECK(refused(out).empty());
        for (query_agent const& query : queries(out)) {
            asked_again += query.agent == second_agent ? 1 : 0;
            if (query.agent == art_agent)
                CHECK(refused(router.on_answer(now, art_agent,
                                               answer_to(query, holder_state::not_held)))
                          .empty());
        }
    }
    CHECK(asked_again == 1);
}

TEST_CASE("a route that moved to another service keeps its open flows where they are") {
    packet_router router = make_router({{"artwork", 1}});
    (void)router.set_view(start, make_view(make_routes(2, {{"batch", 1}})));
    auto const asked = agents_of(router.on_packet(start, head_of(flow_a, false), "data"));
    CHECK(asked.contains(art_agent));
}

TEST_CASE("a dropped route serves nothing, not even flows that are known") {
    packet_router router = make_router();
    (void)router.on_notice(start, first_agent, notice_of(flow_report::held));
    auto empty = std::make_shared<configuration>();
    empty->number = 9;
    (void)router.set_view(start, {empty, {}});
    CHECK(router.on_packet(start, head_of(flow_a, false), "data").actions.empty());
    CHECK(router.on_packet(start, head_of(flow_a, true), "opening").actions.empty());
}

TEST_CASE("packets that come before the first configuration wait for it") {
    packet_router_options options;
    packet_router router(options, start);
    (void)router.on_packet(start, head_of(flow_a, true), "stale");
    time_point const later = start + seconds{2};
    packet_flow const fresh{{7, 7}, route_address};
    CHECK(router.on_packet(later, head_of(fresh, true), "opening").actions.empty());
    CHECK(router.on_packet(later, head_of(fresh, true), "copy").actions.empty());
    auto const out = carried(router.set_view(later, make_view(make_routes(1, {{"batch", 1}}))));
    REQUIRE(out.size() == 1);
    CHECK(out[0].message.packet == "opening");
}

TEST_CASE("only the first opening packet is refused aloud") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, true), "opening");
    CHECK(refused(router.on_notice(start, first_agent, notice_of(flow_report::refused_by_all)))
              .size() == 1);
    packet_head copy = head_of(flow_a, true);
    copy.acknowledged = 1;
    (void)router.on_packet(start + seconds{1}, copy, "copy");
    CHECK(refused(router.on_notice(start + seconds{1}, first_agent,
                                   notice_of(flow_report::refused_by_all)))
              .empty());
}

// Load pattern: after an outage all flows are opened anew, and new weights send them to a service
// with two upstreams, while the seven of the other service idle.
TEST_CASE("a flow that its service cannot serve in time goes to the route's other service") {
    packet_router router = make_router({{"batch", 99}, {"artwork", 1}});
    auto const first = carried(router.on_packet(start, head_of(flow_a, true), "opening"));
    REQUIRE(first.size() == 1);
    CHECK(first[0].message.service == "batch");
    auto const out = router.on_notice(start, first_agent, notice_of(flow_report::refused_by_all));
    CHECK(refused(out).empty());
    REQUIRE(carried(out).size() == 1);
    CHECK(carried(out)[0].message.service == "artwork");
    CHECK(carried(out)[0].agent == art_agent);
    CHECK(refused(router.on_notice(start, art_agent, notice_of(flow_report::refused_by_all)))
              .size() == 1);
}

TEST_CASE("a service without weight takes no flow, not even one that nobody else takes") {
    packet_router router = make_router({{"batch", 1}, {"artwork", 0}});
    (void)router.on_packet(start, head_of(flow_a, true), "opening");
    CHECK(refused(router.on_notice(start, first_agent, notice_of(flow_report::refused_by_all)))
              .size() == 1);
}

TEST_CASE("new flows follow the weights, each of them always the same way") {
    packet_router router = make_router({{"batch", 90}, {"artwork", 10}});
    int artwork = 0;
    for (std::uint16_t port = 1; port <= 2000; ++port) {
        packet_flow const flow{{1, port}, route_address};
        auto const out = carried(router.on_packet(start, head_of(flow, true), "opening"));
        REQUIRE(out.size() == 1);
        artwork += out[0].message.service == "artwork" ? 1 : 0;
    }
    CHECK(artwork > 140);
    CHECK(artwork < 260);
}

} // namespace toucanusher
