// Tests of the decisions of an agent about the flows of its upstream: opening flows by load,
// probing the upstream after a restart of the agent, and the end of flows.
#include "toucanusher/connection/upstream_flows.h"

#include <doctest/doctest.h>

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr endpoint own_address{10, 100};
constexpr endpoint other_agent{11, 100};
constexpr endpoint third_agent{12, 100};
constexpr endpoint balancer{20, 7};
constexpr packet_flow flow_a{{1, 1000}, {200, 443}};
constexpr packet_flow flow_b{{2, 1000}, {200, 443}};

packet_head head_of(packet_flow const& flow, std::uint16_t data = 0) {
    packet_head head;
    head.flow = flow;
    head.acknowledges = true;
    head.acknowledged = 77;
    head.data_bytes = data;
    return head;
}

packet_head opening_head(packet_flow const& flow) {
    packet_head head;
    head.flow = flow;
    head.opens = true;
    return head;
}

packet_head from_upstream(packet_flow const& flow, bool opens, std::uint16_t data = 0) {
    packet_head head = head_of(flow, data);
    head.direction = packet_direction::to_caller;
    head.opens = opens;
    return head;
}

packet_head returned_head(packet_flow const& flow, bool opens) {
    packet_head head = opens ? opening_head(flow) : head_of(flow, 10);
    head.returned = true;
    return head;
}

forwarded_packet opening_packet(std::vector<endpoint> candidates, std::uint32_t offers) {
    forwarded_packet message;
    message.purpose = forward_purpose::open;
    message.service = "batch";
    message.origin = balancer;
    message.candidates = std::move(candidates);
    message.offers_wanted = offers;
    message.packet = "opening";
    return message;
}

forwarded_packet data_packet(forward_purpose purpose = forward_purpose::deliver) {
    forwarded_packet message;
    message.purpose = purpose;
    message.service = "batch";
    message.origin = balancer;
    message.packet = "data";
    return message;
}

template <typename Action>
std::vector<Action> actions_of(agent_output const& output) {
    std::vector<Action> found;
    for (agent_action const& action : output.actions)
        if (auto const* body = std::get_if<Action>(&action))
            found.push_back(*body);
    return found;
}

upstream_flows make_flows(bool complete = true) {
    upstream_flows_options options;
    options.service = "batch";
    options.self = own_address;
    upstream_flows flows(options, start);
    flows.set_upstream(3, true, start);
    if (complete)
        flows.set_table_complete(start);
    return flows;
}

void open(upstream_flows& flows, packet_flow const& flow, time_point now = start) {
    (void)flows.on_forwarded(now, opening_head(flow), opening_packet({}, 1));
    packet_head accept_head = from_upstream(flow, true);
    accept_head.sequence = 76;
    (void)flows.on_upstream_packet(now, accept_head, "agreed");
    (void)flows.on_forwarded(now, head_of(flow), data_packet());
}

} // namespace

TEST_CASE("a new flow goes to the less loaded of two agents") {
    upstream_flows flows = make_flows();
    auto const first =
        flows.on_forwarded(start, opening_head(flow_a), opening_packet({other_agent}, 2));
    auto const relayed = actions_of<relay_packet>(first);
    REQUIRE(relayed.size() == 1);
    CHECK(relayed[0].agent == other_agent);
    REQUIRE(relayed[0].message.best_offer);
    CHECK(relayed[0].message.best_offer->agent == own_address);
    CHECK(relayed[0].message.offers_wanted == 1);

    forwarded_packet last = opening_packet({}, 1);
    last.best_offer = load_offer{other_agent, load_level{5}};
    CHECK(actions_of<deliver_to_upstream>(flows.on_forwarded(start, opening_head(flow_a), last))
              .size() == 1);
    open(flows, flow_b);
    (void)flows.on_forwarded(start, head_of(flow_b, 10), data_packet());
    packet_flow const third{{3, 1}, {200, 443}};
    auto const relayed_back =
        actions_of<relay_packet>(flows.on_forwarded(start, opening_head(third), last));
    REQUIRE(relayed_back.size() == 1);
    CHECK(relayed_back[0].agent == other_agent);
    CHECK(relayed_back[0].message.offers_wanted == 0);
}

TEST_CASE("a draining upstream takes no new flow and keeps its open ones") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    flows.set_upstream(3, false, start);
    auto const relayed = actions_of<relay_packet>(
        flows.on_forwarded(start, opening_head(flow_b), opening_packet({other_agent}, 2)));
    CHECK(relayed.size() == 1);
    CHECK(actions_of<deliver_to_upstream>(
              flows.on_forwarded(start, head_of(flow_a, 5), data_packet()))
              .size() == 1);
    auto const refused = actions_of<notify_balancer>(
        flows.on_forwarded(start, opening_head(flow_b), opening_packet({}, 0)));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].notice.report == flow_report::refused_by_all);
}

TEST_CASE("packets for another service are never delivered") {
    upstream_flows flows = make_flows();
    forwarded_packet message = data_packet();
    message.service = "artwork";
    auto const output = flows.on_forwarded(start, head_of(flow_a, 5), message);
    CHECK(actions_of<deliver_to_upstream>(output).empty());
    REQUIRE(actions_of<notify_balancer>(output).size() == 1);
    CHECK(actions_of<notify_balancer>(output)[0].notice.report == flow_report::other_service);
    forwarded_packet opening = opening_packet({third_agent}, 2);
    opening.service = "artwork";
    CHECK(
        actions_of<relay_packet>(flows.on_forwarded(start, opening_head(flow_a), opening)).size() ==
        1);
}

TEST_CASE("a search finds a flow although the balancer expects another service") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    forwarded_packet search = data_packet(forward_purpose::search);
    search.service = "artwork";
    auto const output = flows.on_forwarded(start, head_of(flow_a, 5), search);
    CHECK(actions_of<deliver_to_upstream>(output).size() == 1);
    REQUIRE(actions_of<notify_balancer>(output).size() == 1);
    CHECK(actions_of<notify_balancer>(output)[0].notice.report == flow_report::held);
}

// A search also asks services that the route no longer has.
TEST_CASE("a search opens no flow") {
    for (bool const complete : {true, false}) {
        upstream_flows flows = make_flows(complete);
        forwarded_packet search = opening_packet({}, 1);
        search.purpose = forward_purpose::search;
        auto const output = flows.on_forwarded(start, opening_head(flow_a), search);
        CHECK(actions_of<deliver_to_upstream>(output).empty());
        REQUIRE(actions_of<notify_balancer>(output).size() == 1);
        CHECK(actions_of<notify_balancer>(output)[0].notice.report == flow_report::not_held);
    }
}

TEST_CASE("an opening packet that the upstream returns or does not answer is relayed") {
    upstream_flows flows = make_flows();
    (void)flows.on_forwarded(start, opening_head(flow_a), opening_packet({other_agent}, 1));
    auto const returned = flows.on_upstream_packet(start, returned_head(flow_a, true), "opening");
    CHECK(actions_of<relay_packet>(returned).size() == 1);

    (void)flows.on_forwarded(start, opening_head(flow_b), opening_packet({third_agent}, 1));
    REQUIRE(flows.next_due());
    CHECK(flows.on_tick(start + milliseconds{10}).actions.empty());
    auto const late = actions_of<relay_packet>(flows.on_tick(start + milliseconds{40}));
    REQUIRE(late.size() == 1);
    CHECK(late[0].agent == third_agent);
    // Until the upstream sends a packet, its agent relays new flows without delay.
    CHECK(actions_of<deliver_to_upstream>(flows.on_forwarded(start + milliseconds{41},
                                                             opening_head(flow_a),
                                                             opening_packet({third_agent}, 1)))
              .empty());
}

TEST_CASE("an agent that restarted beside a running upstream probes it for its flows") {
    upstream_flows flows = make_flows(false);
    auto const probed =
        flows.on_forwarded(start, head_of(flow_a, 5), data_packet(forward_purpose::search));
    CHECK(actions_of<deliver_to_upstream>(probed).size() == 1);
    CHECK(actions_of<notify_balancer>(probed).empty());
    auto const found = flows.on_upstream_packet(start, from_upstream(flow_a, false, 100), "answer");
    REQUIRE(actions_of<notify_balancer>(found).size() == 1);
    CHECK(actions_of<notify_balancer>(found)[0].notice.report == flow_report::held);
    CHECK(actions_of<forward_to_caller>(found).size() == 1);

    (void)flows.on_forwarded(start, head_of(flow_b, 5), data_packet(forward_purpose::search));
    auto const returned = flows.on_upstream_packet(start, returned_head(flow_b, false), "data");
    REQUIRE(actions_of<notify_balancer>(returned).size() == 1);
    CHECK(actions_of<notify_balancer>(returned)[0].notice.report == flow_report::not_held);
    CHECK(actions_of<reset_flow>(returned).empty()); // another upstream may hold the flow
}

TEST_CASE("a bare acknowledgement does not prove that a flow is held") {
    upstream_flows flows = make_flows(false);
    (void)flows.on_forwarded(start, head_of(flow_a, 5), data_packet(forward_purpose::search));
    auto const answer = flows.on_upstream_packet(start, from_upstream(flow_a, false), "ack");
    CHECK(actions_of<notify_balancer>(answer).empty());
    CHECK(actions_of<forward_to_caller>(answer).size() == 1);
    // A packet of the flow that is returned later causes no reset either.
    CHECK(actions_of<reset_flow>(
              flows.on_upstream_packet(start, returned_head(flow_a, false), "data"))
              .empty());
}

TEST_CASE("when an incarnation ends, its flows are reset and no others") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    (void)flows.on_forwarded(start, head_of(flow_a, 5), data_packet());
    auto const resets = actions_of<reset_flow>(flows.on_incarnation_ended(start + seconds{1}));
    REQUIRE(resets.size() == 1);
    CHECK(resets[0].flow == flow_a);
    CHECK(resets[0].sequence == 77);
    CHECK(flows.open_flows() == 0);
    CHECK(flows.waiting_flows() == 0);
    // The table of the new incarnation is complete, so the agent answers not_held for unknown flows
    // without probing the upstream.
    auto const unknown = flows.on_forwarded(start + seconds{1}, head_of(flow_b, 5), data_packet());
    CHECK(actions_of<deliver_to_upstream>(unknown).empty());
    REQUIRE(actions_of<notify_balancer>(unknown).size() == 1);
    CHECK(actions_of<notify_balancer>(unknown)[0].notice.report == flow_report::not_held);
}

TEST_CASE("an open flow whose packet the upstream returns is reset") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    auto const output = flows.on_upstream_packet(start, returned_head(flow_a, false), "data");
    CHECK(actions_of<reset_flow>(output).size() == 1);
}

// A busy upstream accepts a flow late, after another upstream has, and later returns the packets of
// the caller. Taking the return for the end of the flow would reset it at the other upstream.
TEST_CASE("an upstream that accepted a flow but was not chosen causes no reset") {
    upstream_flows flows = make_flows();
    (void)flows.on_forwarded(start, opening_head(flow_a), opening_packet({other_agent}, 1));
    (void)flows.on_tick(start + milliseconds{40}); // relayed to the other agent
    packet_head late = from_upstream(flow_a, true);
    late.sequence = 5000;
    (void)flows.on_upstream_packet(start + milliseconds{60}, late, "agreed");
    auto const output =
        flows.on_forwarded(start + milliseconds{70}, head_of(flow_a, 5), data_packet());
    CHECK(actions_of<deliver_to_upstream>(output).empty());
    REQUIRE(actions_of<notify_balancer>(output).size() == 1);
    CHECK(actions_of<notify_balancer>(output)[0].notice.report == flow_report::not_held);
    CHECK(actions_of<notify_balancer>(output)[0].notice.packet == "data");
    auto const returned =
        flows.on_upstream_packet(start + milliseconds{80}, returned_head(flow_a, false), "data");
    CHECK(actions_of<reset_flow>(returned).empty());
    (void)flows.on_forwarded(start, opening_head(flow_b), opening_packet({}, 1));
    (void)flows.on_upstream_packet(start, from_upstream(flow_b, true), "agreed");
    CHECK(actions_of<reset_flow>(flows.on_incarnation_ended(start + seconds{1})).empty());
}

TEST_CASE("load rises with requests in progress and decays after them") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    auto const idle = flows.load(start);
    (void)flows.on_forwarded(start, head_of(flow_a, 5), data_packet());
    CHECK(flows.waiting_flows() == 1);
    CHECK(flows.load(start) > idle);
    CHECK(flows.load(start + seconds{2}) > flows.load(start));
    (void)flows.on_upstream_packet(start + seconds{2}, from_upstream(flow_a, false, 50), "answer");
    CHECK(flows.waiting_flows() == 0);
    CHECK(flows.load(start + seconds{12}) <= idle);
}

// Under overload, answers take longer than the retransmission timeout of callers, so a
// retransmission arrives after the answer. If it counted as a request, that request would never be
// answered.
TEST_CASE("a retransmission does not count as a second request") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    packet_head request = head_of(flow_a, 10);
    request.sequence = 1000;
    (void)flows.on_forwarded(start, request, data_packet());
    CHECK(flows.waiting_flows() == 1);
    (void)flows.on_upstream_packet(start, from_upstream(flow_a, false, 10), "answer");
    CHECK(flows.waiting_flows() == 0);
    (void)flows.on_forwarded(start, request, data_packet());
    CHECK(flows.waiting_flows() == 0);
    request.sequence = 1010;
    (void)flows.on_forwarded(start, request, data_packet());
    CHECK(flows.waiting_flows() == 1);
}

TEST_CASE("an abandoned request no longer counts as in progress") {
    upstream_flows flows = make_flows();
    open(flows, flow_a);
    (void)flows.on_forwarded(start, head_of(flow_a, 10), data_packet());
    (void)flows.on_tick(start + seconds{3});
    CHECK(flows.waiting_flows() == 1);
    (void)flows.on_tick(start + seconds{6});
    CHECK(flows.waiting_flows() == 0);
    CHECK(flows.open_flows() == 1);
    CHECK(flows.expected_answer_time() == duration::zero()); // no answer, so no sample
}

// An agent restarts beside a full upstream, which refuses the first request immediately; afterwards
// no request finds a free slot. If service time were sampled only for requests with a free slot,
// the estimate would stay at that of the fast refusal.
TEST_CASE("the answer time is estimated also while no request finds a free slot") {
    upstream_flows flows = make_flows();
    constexpr std::uint16_t callers = 15;
    auto const key = [](std::uint16_t number) { return packet_flow{{3, number}, {200, 443}}; };
    std::uint32_t sequence = 0;
    auto const send_request = [&](std::uint16_t number, time_point now) {
        packet_head request = head_of(key(number), 10);
        request.sequence = sequence += 10;
        (void)flows.on_forwarded(now, request, data_packet());
    };
    auto const answer = [&](std::uint16_t number, time_point now) {
        (void)flows.on_upstream_packet(now, from_upstream(key(number), false, 10), "answer");
    };
    for (std::uint16_t number = 1; number <= callers; ++number)
        open(flows, key(number));
    send_request(1, start);
    answer(1, start + milliseconds{1});
    CHECK(flows.expected_answer_time() < milliseconds{10});
    for (std::uint16_t number = 1; number <= callers; ++number)
        send_request(number, start + milliseconds{2});
    // Three slots of 30 ms each; a caller sends its next request as soon as it has an answer.
    time_point now = start + milliseconds{2};
    for (int answered = 0; answered < 200; ++answered) {
        now += milliseconds{10};
        auto const number = static_cast<std::uint16_t>(answered % callers + 1);
        answer(number, now);
        send_request(number, now);
        // The upstream refuses an extra request after every fifth answer.
        if (answered % 5 == 0) {
            auto const extra = static_cast<std::uint16_t>(100 + answered);
            open(flows, key(extra), now);
            send_request(extra, now + milliseconds{1});
            answer(extra, now + milliseconds{2});
        }
    }
    CHECK(flows.waiting_flows() == callers);
    CHECK(flows.expected_answer_time() > milliseconds{130}); // 13 requests ahead, at 10 ms each
    CHECK(flows.expected_answer_time() < milliseconds{180});
    forwarded_packet message = opening_packet({other_agent}, 1);
    message.objective = milliseconds{120};
    auto const out = flows.on_forwarded(now, opening_head(flow_b), message);
    CHECK(actions_of<deliver_to_upstream>(out).empty());
    CHECK(actions_of<relay_packet>(out).size() == 1);
}

// When all agents restart at once, those whose upstreams send the first heartbeats must not get all
// new flows, which stay open for minutes.
TEST_CASE("an agent without a heartbeat opens flows if the balancer knows the slots") {
    upstream_flows_options options;
    options.service = "batch";
    options.self = own_address;
    upstream_flows flows(options, start);
    forwarded_packet message = opening_packet({}, 1);
    CHECK(actions_of<deliver_to_upstream>(flows.on_forwarded(start, opening_head(flow_a), message))
              .empty());
    message.default_slots = 3;
    CHECK(actions_of<deliver_to_upstream>(flows.on_forwarded(start, opening_head(flow_a), message))
              .size() == 1);
    flows.set_upstream(3, false, start); // the first heartbeat says that the upstream drains
    CHECK(actions_of<deliver_to_upstream>(flows.on_forwarded(start, opening_head(flow_b), message))
              .empty());
}

} // namespace toucanusher
