// Tests of the decisions of a balancer about packets: choice of the service and the candidates of a
// new flow, hints, searches for the holder of a flow, and refusals.
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
constexpr endpoint artwork_agent{30, 100};

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
    configuration config;
    config.number = number;
    config.services = {{"batch", "/", 10, ""}, {"artwork", "/", 10, ""}};
    route item;
    item.name = "r";
    item.address = route_address;
    item.timeout = seconds{1};
    item.split = std::move(split);
    config.routes = {item};
    return std::make_shared<configuration const>(std::move(config));
}

router_view make_view(std::shared_ptr<configuration const> routes) {
    return {std::move(routes),
            {{"batch", {{"u1", first_agent, "a", false}, {"u2", second_agent, "a", false}}},
             {"artwork", {{"u3", artwork_agent, "a", false}}}},
            true};
}

packet_router make_router(std::vector<weighted_service> split = {{"batch", 1}}) {
    packet_router_options options;
    options.self = {5, 5};
    packet_router router(options, start);
    router.on_control_contact(start);
    (void)router.set_view(start, make_view(make_routes(1, std::move(split))));
    return router;
}

std::vector<forward_to_agent> forwarded(router_output const& output) {
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

std::size_t count_decisions(router_output const& output, router_event event) {
    std::size_t count = 0;
    for (router_decision const& decision : output.decisions)
        count += decision.event == event ? 1 : 0;
    return count;
}

std::vector<query_agent> queries(router_output const& output) {
    std::vector<query_agent> found;
    for (router_action const& action : output.actions)
        if (auto const* body = std::get_if<query_agent>(&action))
            found.push_back(*body);
    return found;
}

// Returns the agents that are queried for a flow, with its packet or without.
std::set<endpoint> queried_agents(router_output const& output) {
    std::set<endpoint> agents;
    for (forward_to_agent const& out : forwarded(output))
        agents.insert(out.agent);
    for (query_agent const& out : queries(output))
        agents.insert(out.agent);
    return agents;
}

// Returns the queries that are sent once the batching window of the search has passed.
router_output tick_after_window(packet_router& router, time_point now) {
    return router.on_tick(now + milliseconds{5});
}

holder_answer answer_to(query_agent const& query, holder_state state) {
    return {query.message.number, std::vector(query.message.flows.size(), state)};
}

flow_notice make_notice(flow_report report, packet_flow const& flow = flow_a) {
    return {report, flow, 900, {}};
}

} // namespace

TEST_CASE("a new flow goes to a candidate of its service, later packets to its holder") {
    packet_router router = make_router();
    auto const placed = forwarded(router.on_packet(start, head_of(flow_a, true), "opening"));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].message.purpose == forward_purpose::open);
    CHECK(placed[0].message.service == "batch");
    CHECK(placed[0].message.candidates.size() == 1);
    (void)router.on_notice(start, second_agent, make_notice(flow_report::held));
    auto const sent = forwarded(router.on_packet(start, head_of(flow_a, false), "data"));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].agent == second_agent);
    CHECK(sent[0].message.purpose == forward_purpose::deliver);
}

TEST_CASE("an unanswered opening packet goes to candidates that were not tried") {
    packet_router router = make_router();
    auto const first = forwarded(router.on_packet(start, head_of(flow_a, true), "opening"));
    // A retransmission has no effect while the attempt is pending.
    CHECK(forwarded(router.on_packet(start + milliseconds{5}, head_of(flow_a, true), "copy"))
              .empty());
    auto const again = forwarded(router.on_tick(start + milliseconds{70}));
    REQUIRE(again.size() == 1);
    CHECK(again[0].agent != first[0].agent);
    (void)router.on_notice(start + milliseconds{71}, again[0].agent,
                           make_notice(flow_report::held));
    CHECK(forwarded(router.on_tick(start + seconds{1})).empty());
}

TEST_CASE("a flow without a hint is searched in its services first, then in all") {
    packet_router router = make_router();
    auto const narrow_search = router.on_packet(start, head_of(flow_a, false), "data");
    CHECK(queried_agents(narrow_search) == std::set<endpoint>{first_agent, second_agent});
    time_point const later = start + milliseconds{50};
    (void)router.on_tick(later);
    auto const wide_queries = queries(tick_after_window(router, later));
    REQUIRE(wide_queries.size() == 1);
    CHECK(wide_queries[0].agent == artwork_agent);
    CHECK(wide_queries[0].message.flows == std::vector{flow_a});
    (void)router.on_packet(later + milliseconds{6}, head_of(flow_a, false), "more");
    auto const out = router.on_answer(later + milliseconds{7}, artwork_agent,
                                      answer_to(wide_queries[0], holder_state::held));
    CHECK(count_decisions(out, router_event::found) == 1);
    auto const found = forwarded(out);
    REQUIRE(found.size() == 2); // no packet was delivered before the answer
    CHECK(found[0].message.packet == "data");
    CHECK(found[1].message.packet == "more");
    CHECK(found[1].message.service == "artwork");
    CHECK(found[1].message.purpose == forward_purpose::deliver);
}

TEST_CASE("the holder has delivered the packet of the search; buffered packets follow") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.on_packet(start, head_of(flow_a, false), "more");
    auto const out = router.on_notice(start, second_agent, make_notice(flow_report::held));
    CHECK(count_decisions(out, router_event::found) == 1);
    auto const found = forwarded(out);
    REQUIRE(found.size() == 1);
    CHECK(found[0].agent == second_agent);
    CHECK(found[0].message.packet == "more");
}

// Scenario hunt-9581-43: the configuration changes during a search. The route gains the service
// that holds the flow after the services of the route were queried and before the rest. A search
// that skips the holder in both steps resets an open flow.
TEST_CASE("a search queries every agent although the route changes during it") {
    packet_router router = make_router({{"batch", 1}});
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.set_view(start, make_view(make_routes(2, {{"batch", 1}, {"artwork", 1}})));
    (void)router.on_notice(start, first_agent, make_notice(flow_report::not_held));
    CHECK(
        refused(router.on_notice(start, second_agent, make_notice(flow_report::not_held))).empty());
    auto const wide_search = tick_after_window(router, start);
    CHECK(refused(wide_search).empty());
    REQUIRE(queries(wide_search).size() == 1);
    CHECK(queries(wide_search)[0].agent == artwork_agent);
    (void)router.on_answer(start, artwork_agent,
                           answer_to(queries(wide_search)[0], holder_state::held));
    CHECK(forwarded(router.on_packet(start, head_of(flow_a, false), "more"))[0].agent ==
          artwork_agent);
}

TEST_CASE("a flow is reset at its caller only after every agent answered that it is not held") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    CHECK(
        refused(router.on_notice(start, first_agent, make_notice(flow_report::not_held))).empty());
    CHECK(
        refused(router.on_notice(start, second_agent, make_notice(flow_report::not_held))).empty());
    auto const wide_search = tick_after_window(router, start);
    CHECK(refused(wide_search).empty());
    REQUIRE(queries(wide_search).size() == 1);
    auto const resets = refused(router.on_answer(
        start, artwork_agent, answer_to(queries(wide_search)[0], holder_state::not_held)));
    REQUIRE(resets.size() == 1);
    CHECK(resets[0].sequence == 900);
}

// After a loss of power, callers send packets of flows that no upstream holds. The route names
// every service, so no agent is left for the last step of the search, which must not wait for an
// answer.
TEST_CASE("an ended flow is reset without delay where the route names all services") {
    packet_router router = make_router({{"batch", 1}, {"artwork", 1}});
    (void)router.on_packet(start, head_of(flow_a, false), "data");
    (void)router.on_notice(start, first_agent, make_notice(flow_report::not_held));
    (void)router.on_notice(start, second_agent, make_notice(flow_report::not_held));
    auto const resets =
        refused(router.on_notice(start, artwork_agent, make_notice(flow_report::not_held)));
    CHECK(resets.size() == 1);
}

TEST_CASE(
    "an upstream removed a moment ago is still queried, and no flow is reset without its answer") {
    packet_router router = make_router();
    router_view view = make_view(make_routes(1, {{"batch", 1}}));
    view.upstreams["batch"].pop_back();
    (void)router.set_view(start, view);
    time_point now = start + seconds{1};
    auto const narrow_search = router.on_packet(now, head_of(flow_a, false), "data");
    CHECK(queried_agents(narrow_search) == std::set<endpoint>{first_agent, second_agent});
    (void)router.on_notice(now, first_agent, make_notice(flow_report::not_held));
    std::size_t repeated_queries = 0;
    for (int i = 0; i < 100; ++i, now += milliseconds{5}) {
        auto const out = router.on_tick(now);
        CHECK(refused(out).empty());
        for (query_agent const& query : queries(out)) {
            repeated_queries += query.agent == second_agent ? 1 : 0;
            if (query.agent == artwork_agent)
                CHECK(refused(router.on_answer(now, artwork_agent,
                                               answer_to(query, holder_state::not_held)))
                          .empty());
        }
    }
    CHECK(repeated_queries == 1);
}

TEST_CASE("open flows stay at their upstream when a route moves to another service") {
    packet_router router = make_router({{"artwork", 1}});
    (void)router.set_view(start, make_view(make_routes(2, {{"batch", 1}})));
    auto const queried = queried_agents(router.on_packet(start, head_of(flow_a, false), "data"));
    CHECK(queried.contains(artwork_agent));
}

// A caller may use the port of an ended flow again, whose hint outlasts the flow.
TEST_CASE("a reused caller port does not open a flow at the service of an older configuration") {
    packet_router router = make_router({{"batch", 1}});
    auto const before = forwarded(router.on_packet(start, head_of(flow_a, true), "opening"));
    REQUIRE(before.size() == 1);
    (void)router.on_notice(start, before[0].agent, make_notice(flow_report::held));
    packet_head end = head_of(flow_a, false);
    end.finishes = true;
    (void)router.on_packet(start + seconds{1}, end, "end");
    (void)router.set_view(start + seconds{2}, make_view(make_routes(2, {{"artwork", 1}})));
    auto const after =
        forwarded(router.on_packet(start + seconds{10}, head_of(flow_a, true), "opening again"));
    REQUIRE(after.size() == 1);
    CHECK(after[0].agent == artwork_agent);
    CHECK(after[0].message.service == "artwork");
    CHECK(after[0].message.purpose == forward_purpose::open);
}

TEST_CASE("a reused caller port does not open a flow at an upstream that is draining or gone") {
    for (bool const gone : {false, true}) {
        CAPTURE(gone);
        packet_router router = make_router({{"batch", 1}});
        auto const before = forwarded(router.on_packet(start, head_of(flow_a, true), "opening"));
        REQUIRE(before.size() == 1);
        endpoint const agent = before[0].agent;
        (void)router.on_notice(start, agent, make_notice(flow_report::held));
        router_view view = make_view(make_routes(1, {{"batch", 1}}));
        for (upstream_choice& choice : view.upstreams["batch"])
            choice.draining = choice.agent == agent;
        if (gone)
            std::erase_if(view.upstreams["batch"],
                          [&](upstream_choice const& choice) { return choice.agent == agent; });
        (void)router.set_view(start + seconds{2}, view);
        auto const after = forwarded(
            router.on_packet(start + seconds{10}, head_of(flow_a, true), "opening again"));
        REQUIRE(after.size() == 1);
        CHECK(after[0].agent != agent);
        CHECK(after[0].message.purpose == forward_purpose::open);
    }
}

TEST_CASE("packets of a removed route are dropped, also those of flows with a hint") {
    packet_router router = make_router();
    (void)router.on_notice(start, first_agent, make_notice(flow_report::held));
    auto empty = std::make_shared<configuration>();
    empty->number = 9;
    (void)router.set_view(start, {empty, {}});
    CHECK(router.on_packet(start, head_of(flow_a, false), "data").actions.empty());
    CHECK(router.on_packet(start, head_of(flow_a, true), "opening").actions.empty());
}

TEST_CASE("packets that arrive before the first configuration are buffered") {
    packet_router_options options;
    packet_router router(options, start);
    (void)router.on_packet(start, head_of(flow_a, true), "stale");
    time_point const later = start + seconds{2};
    packet_flow const new_flow{{7, 7}, route_address};
    CHECK(router.on_packet(later, head_of(new_flow, true), "opening").actions.empty());
    CHECK(router.on_packet(later, head_of(new_flow, true), "copy").actions.empty());
    auto const out = forwarded(router.set_view(later, make_view(make_routes(1, {{"batch", 1}}))));
    REQUIRE(out.size() == 1);
    CHECK(out[0].message.packet == "opening");
}

TEST_CASE("only a refusal of the first opening packet is sent to the caller") {
    packet_router router = make_router();
    (void)router.on_packet(start, head_of(flow_a, true), "opening");
    CHECK(refused(router.on_notice(start, first_agent, make_notice(flow_report::refused_by_all)))
              .size() == 1);
    packet_head copy = head_of(flow_a, true);
    copy.acknowledged = 1;
    (void)router.on_packet(start + seconds{1}, copy, "copy");
    CHECK(refused(router.on_notice(start + seconds{1}, first_agent,
                                   make_notice(flow_report::refused_by_all)))
              .empty());
}

// A restarted balancer gets its first state from a control host that is behind: batch has moved
// away from the upstream that the state names.
TEST_CASE("a restarted balancer routes nothing by a state that control has not confirmed") {
    packet_router_options options;
    options.self = {5, 5};
    packet_router router(options, start);
    router_view old = make_view(make_routes(1, {{"artwork", 1}}));
    old.confirmed = false;
    (void)router.set_view(start, old);
    auto const out = router.on_packet(start, head_of(flow_a, true), "opening");
    CHECK(out.actions.empty());
    CHECK(count_decisions(out, router_event::early) == 1);
    old.routes = make_routes(2, {{"artwork", 1}});
    CHECK(router.set_view(start + milliseconds{10}, old).actions.empty());
    auto const routed = forwarded(
        router.set_view(start + milliseconds{50}, make_view(make_routes(3, {{"batch", 1}}))));
    REQUIRE(routed.size() == 1);
    CHECK(routed[0].message.service == "batch");
}

// After an outage all flows are opened again, and new weights send them to a service with two
// upstreams, while the seven upstreams of the other service are idle.
TEST_CASE("a flow that its service cannot serve in time goes to another service of the route") {
    packet_router router = make_router({{"batch", 99}, {"artwork", 1}});
    auto const first = forwarded(router.on_packet(start, head_of(flow_a, true), "opening"));
    REQUIRE(first.size() == 1);
    CHECK(first[0].message.service == "batch");
    auto const out = router.on_notice(start, first_agent, make_notice(flow_report::refused_by_all));
    CHECK(refused(out).empty());
    REQUIRE(forwarded(out).size() == 1);
    CHECK(forwarded(out)[0].message.service == "artwork");
    CHECK(forwarded(out)[0].agent == artwork_agent);
    CHECK(refused(router.on_notice(start, artwork_agent, make_notice(flow_report::refused_by_all)))
              .size() == 1);
}

TEST_CASE("a service of weight 0 takes no flow, not even one that all others refuse") {
    packet_router router = make_router({{"batch", 1}, {"artwork", 0}});
    (void)router.on_packet(start, head_of(flow_a, true), "opening");
    CHECK(refused(router.on_notice(start, first_agent, make_notice(flow_report::refused_by_all)))
              .size() == 1);
}

TEST_CASE("new flows are split over services by weight, each flow always to the same service") {
    packet_router router = make_router({{"batch", 90}, {"artwork", 10}});
    int artwork = 0;
    for (std::uint16_t port = 1; port <= 2000; ++port) {
        packet_flow const flow{{1, port}, route_address};
        auto const out = forwarded(router.on_packet(start, head_of(flow, true), "opening"));
        REQUIRE(out.size() == 1);
        artwork += out[0].message.service == "artwork" ? 1 : 0;
    }
    CHECK(artwork > 140);
    CHECK(artwork < 260);
}

} // namespace toucanusher
