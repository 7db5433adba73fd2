// Tests the search for the holder of a flow that a balancer does not know: which agents it queries,
// how many messages that costs, and when the flow counts as ended.
#include "toucanusher/connection/flow_search.h"

#include <algorithm>
#include <functional>
#include <set>

#include <doctest/doctest.h>

#include "src/connection/forwarded_codec.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours{1}};
constexpr endpoint route_address{200, 443};

packet_flow flow_of(std::uint16_t port) {
    return {{1, port}, route_address};
}

upstreams_by_service make_upstreams(std::uint32_t count) {
    upstreams_by_service upstreams;
    for (std::uint32_t i = 0; i < count; ++i)
        upstreams["batch"].push_back({"u" + std::to_string(i), {100 + i, 1}, "a", i % 7 == 0});
    upstreams["artwork"].push_back({"art", {99, 1}, "a", false});
    return upstreams;
}

// Simulates the agents of a fleet in ticks of a millisecond. An agent answers a message in the tick
// in which it is sent.
class simulated_fleet {
  public:
    using answer_hook = std::function<std::optional<holder_state>(endpoint, packet_flow const&)>;

    // `hook` returns what an agent answers for a flow, or nullopt if the agent does not answer.
    simulated_fleet(std::uint32_t upstreams, answer_hook hook)
        : answer_hook_(std::move(hook)), search(flow_search_options{.self = {5, 5}}) {
        search.on_control_contact(start);
        search.set_upstreams(start, make_upstreams(upstreams));
    }

    void begin(std::uint16_t port) {
        CHECK(search.begin(now, flow_of(port), {"batch"}, "data", 900, {}));
    }

    void run_for(duration span) {
        for (time_point const end = now + span; now < end; now += milliseconds{1}) {
            search.on_tick(now);
            search_output out = search.take_output();
            packets += out.packets.size();
            queries += out.queries.size();
            surveys += out.surveys.size();
            for (search_result& item : out.results)
                results.push_back(std::move(item));
            for (forward_to_agent const& packet : out.packets)
                answer_packet(packet);
            for (query_agent const& query : out.queries)
                answer_query(query);
            for (request_survey const& survey : out.surveys)
                answer_survey(survey);
        }
    }

    [[nodiscard]] std::size_t count(search_result::outcome status) const {
        std::size_t found = 0;
        for (search_result const& item : results)
            found += item.status == status ? 1 : 0;
        return found;
    }

  private:
    // Passes an empty flow for a packet: an agent's answer to a packet applies to all flows.
    void answer_packet(forward_to_agent const& packet) {
        auto const state = answer_hook_(packet.agent, {});
        for (std::uint16_t port = 1; port <= 400; ++port)
            if (state == holder_state::not_held && search.is_searching(flow_of(port)))
                search.on_not_held(now, packet.agent, flow_of(port));
    }
    void answer_query(query_agent const& query) {
        holder_answer answer{query.message.number, {}};
        for (packet_flow const& flow : query.message.flows) {
            auto const state = answer_hook_(query.agent, flow);
            if (!state)
                return;
            answer.states.push_back(*state);
        }
        search.on_answer(now, query.agent, answer);
    }

    // The surveying agent always works.
    void answer_survey(request_survey const& request) {
        survey_result result{request.message.number, {}, {}, {}};
        for (endpoint const agent : request.message.agents) {
            bool unsure = false;
            bool silent = false;
            for (std::uint32_t i = 0; i < request.message.flows.size(); ++i) {
                auto const state = answer_hook_(agent, request.message.flows[i]);
                silent = silent || !state;
                unsure = unsure || state == holder_state::unknown;
                if (state == holder_state::held)
                    result.holders.push_back({i, agent});
            }
            if (silent)
                result.silent.push_back(agent);
            else if (unsure)
                result.unsure.push_back(agent);
        }
        search.on_survey_result(now, request.agent, result);
    }

    answer_hook answer_hook_;

  public:
    flow_search search;
    time_point now = start;
    std::size_t packets = 0;
    std::size_t queries = 0;
    std::size_t surveys = 0;
    std::vector<search_result> results;
};

simulated_fleet::answer_hook every_agent(std::optional<holder_state> state) {
    return [state](endpoint, packet_flow const&) { return state; };
}

} // namespace

// Load pattern: a balancer restarts in a fleet with many upstreams. Each flow that moves to another
// balancer starts a search, all over one link of low bandwidth.
TEST_CASE("the first candidates of a flow are queried first, for any number of upstreams") {
    for (std::uint32_t const upstreams : {7U, 50U, 500U}) {
        simulated_fleet fleet(upstreams, every_agent(std::nullopt));
        for (std::uint16_t port = 1; port <= 100; ++port)
            fleet.begin(port);
        fleet.run_for(milliseconds{2});
        CHECK(fleet.packets == 200);
        CHECK(fleet.queries == 0);
    }
}

TEST_CASE("the first candidates are the agents to which the new flow was offered") {
    simulated_fleet fleet(50, every_agent(std::nullopt));
    packet_flow const flow = flow_of(7);
    std::vector<std::pair<std::uint64_t, endpoint>> candidates;
    upstreams_by_service const upstreams = make_upstreams(50);
    for (upstream_choice const& choice : upstreams.at("batch"))
        candidates.emplace_back(rendezvous_hash(flow, rendezvous_seed(choice.name)), choice.agent);
    std::sort(candidates.begin(), candidates.end());
    fleet.begin(7);
    search_output const out = fleet.search.take_output();
    REQUIRE(out.packets.size() == 2);
    CHECK(out.packets[0].agent == candidates[0].second);
    CHECK(out.packets[1].agent == candidates[1].second);
}

// Load pattern: a power loss ended the incarnation of every upstream. The callers of 200 flows send
// to one balancer again at the same time.
TEST_CASE("finding that many flows ended costs a few messages per agent") {
    simulated_fleet fleet(50, every_agent(holder_state::not_held));
    for (std::uint16_t port = 1; port <= 200; ++port)
        fleet.begin(port);
    fleet.run_for(milliseconds{100});
    CHECK(fleet.count(search_result::outcome::not_held) == 200);
    CHECK(fleet.results.size() == 200);
    CHECK(fleet.packets == 400);
    CHECK(fleet.queries <= 51 * 4); // 200 flows, 60 in each query
    CHECK(fleet.results.front().caller_expects == 900);
}

// Load pattern: after a power loss the callers of 400 flows send again within two seconds, with
// retransmissions, and one agent of 50 does not come back. Querying every agent for one flow takes
// 8 KB.
TEST_CASE("searches stay within their bandwidth limit, and each one ends") {
    constexpr endpoint unreachable_agent{120, 1};
    simulated_fleet fleet(
        50, [&](endpoint agent, packet_flow const&) -> std::optional<holder_state> {
            return agent == unreachable_agent ? std::nullopt
                                              : std::optional{holder_state::not_held};
        });
    for (std::uint16_t port = 1; port <= 400; ++port) {
        if (fleet.search.is_searching(flow_of(port)))
            continue;
        fleet.begin(port);
        fleet.run_for(milliseconds{5});
        if (port > 40) // a retransmission
            (void)fleet.search.buffer(fleet.now, flow_of(static_cast<std::uint16_t>(port - 40)),
                                      "data");
    }
    double const elapsed = std::chrono::duration<double>(fleet.now - start).count();
    flow_search_options const limits;
    double const bytes = static_cast<double>(fleet.queries * limits.bytes_per_query);
    CHECK(bytes <= static_cast<double>(limits.bytes_per_second) * elapsed);
    fleet.run_for(seconds{3});
    CHECK(fleet.count(search_result::outcome::not_found) == 400);
    CHECK(fleet.results.size() == 400);
}

TEST_CASE("an agent that answers late is queried again, one that never answers leaves the flow not "
          "found") {
    constexpr endpoint silent_agent{99, 1}; // queried in the last step
    int silent_agent_queries = 0;
    simulated_fleet fleet(7,
                          [&](endpoint agent, packet_flow const&) -> std::optional<holder_state> {
                              if (agent == silent_agent && ++silent_agent_queries < 3)
                                  return std::nullopt;
                              return holder_state::not_held;
                          });
    fleet.begin(1);
    fleet.run_for(milliseconds{400});
    CHECK(silent_agent_queries == 2);
    CHECK(fleet.results.empty());
    // The caller retransmits its packet: only the agent without an answer is queried.
    std::size_t const queries_before = fleet.queries;
    CHECK(fleet.search.buffer(fleet.now, flow_of(1), "data"));
    fleet.run_for(milliseconds{50});
    CHECK(silent_agent_queries == 3);
    CHECK(fleet.queries == queries_before + 1);
    CHECK(fleet.count(search_result::outcome::not_held) == 1);
    simulated_fleet degraded_fleet(
        7, [&](endpoint agent, packet_flow const&) -> std::optional<holder_state> {
            return agent == silent_agent ? std::nullopt : std::optional{holder_state::not_held};
        });
    degraded_fleet.begin(1);
    degraded_fleet.run_for(seconds{3});
    REQUIRE(degraded_fleet.results.size() == 1);
    CHECK(degraded_fleet.results[0].status == search_result::outcome::not_found);
    CHECK(degraded_fleet.results[0].agent == silent_agent);
}

TEST_CASE("an agent that does not know whether it holds the flow gets the packet for its upstream "
          "to decide") {
    simulated_fleet fleet(
        7, [](endpoint agent, packet_flow const& flow) -> std::optional<holder_state> {
            if (agent.address == 99)
                return flow.caller.port == 0 ? std::nullopt : std::optional{holder_state::unknown};
            return holder_state::not_held;
        });
    fleet.begin(1);
    fleet.run_for(milliseconds{20});
    CHECK(fleet.packets == 3);
    CHECK(fleet.results.empty());
    fleet.search.on_held({99, 1}, flow_of(1));
    fleet.run_for(milliseconds{2});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::found);
    CHECK(fleet.results[0].buffered.empty());
}

TEST_CASE("a balancer whose view may be stale does not report a flow as ended") {
    simulated_fleet fleet(7, every_agent(holder_state::not_held));
    fleet.now = start + seconds{2}; // since the last contact with a control host
    fleet.begin(1);
    fleet.run_for(milliseconds{100});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::stale_view);
}

TEST_CASE("a flow is not reported as ended if the limits exclude agents from the search") {
    simulated_fleet fleet(1500, every_agent(holder_state::not_held));
    fleet.begin(1);
    fleet.run_for(seconds{3});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::not_found);
    CHECK(fleet.packets + fleet.queries <= 1024);
}

TEST_CASE("answers from other agents, to unknown queries or of the wrong length are ignored") {
    simulated_fleet fleet(2, every_agent(std::nullopt));
    fleet.begin(1);
    fleet.run_for(milliseconds{2});
    for (std::uint32_t i = 0; i < 2; ++i)
        fleet.search.on_not_held(fleet.now, {100 + i, 1}, flow_of(1));
    fleet.search.on_tick(fleet.now + milliseconds{5});
    search_output const out = fleet.search.take_output();
    REQUIRE(out.queries.size() == 1);
    std::uint32_t const number = out.queries[0].message.number;
    fleet.search.on_answer(fleet.now, {100, 1}, {number, {holder_state::not_held}});
    fleet.search.on_answer(fleet.now, out.queries[0].agent, {number, {}});
    fleet.search.on_answer(fleet.now, out.queries[0].agent, {number + 9, {holder_state::not_held}});
    CHECK(fleet.search.take_output().results.empty());
    fleet.search.on_answer(fleet.now, out.queries[0].agent, {number, {holder_state::not_held}});
    CHECK(fleet.search.take_output().results.size() == 1);
}

namespace {

// A fleet whose upstreams opened flows under an earlier membership. Agents answer in the
// millisecond in which a message is sent.
class released_fleet {
  public:
    // Every upstream whose number is below `replaced` has been replaced since the flows were
    // opened.
    released_fleet(std::uint32_t upstreams, std::uint32_t replaced, bool agents_restarted)
        : search(flow_search_options{.self = {5, 5}}), agents_restarted_(agents_restarted) {
        upstreams_by_service before;
        upstreams_by_service after;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            upstream_choice const old{"u" + std::to_string(i), {100 + i, 1}, "a"};
            before["batch"].push_back(old);
            if (i >= replaced)
                after["batch"].push_back(old);
            else
                after["batch"].push_back({"new" + std::to_string(i), {100'000 + i, 1}, "a"});
        }
        search.on_control_contact(start);
        search.set_upstreams(start, after);
        for (std::uint16_t port = 1; port <= 2000; ++port)
            if (endpoint const holder = candidate_of(before.at("batch"), port);
                holder.address >= 100 + replaced)
                holders_[port] = holder;
    }

    // Keeps this number of flows, none of which any upstream holds.
    void keep_ended(std::size_t count) {
        while (holders_.size() > count)
            holders_.erase(std::prev(holders_.end()));
        for (auto& [port, holder] : holders_)
            holder = {};
    }

    void run() {
        for (auto const& [port, holder] : holders_)
            CHECK(search.begin(now, flow_of(port), {"batch"}, std::to_string(port), 900, {}));
        for (time_point const end = now + seconds{2}; now < end; now += milliseconds{1}) {
            search.on_tick(now);
            step(search.take_output());
        }
    }

    [[nodiscard]] std::size_t flows() const { return holders_.size(); }
    // Queries and probes for each flow that was searched.
    [[nodiscard]] double messages_per_flow() const {
        return static_cast<double>(messages_) / static_cast<double>(flows());
    }

    flow_search search;
    time_point now = start;
    std::size_t found = 0;
    std::size_t wrong = 0;
    std::size_t ended = 0;
    duration ended_after{};      // until the last report of a flow that ended
    std::size_t query_bytes = 0; // of queries and surveys

  private:
    // The first or second candidate took the flow, whichever was less loaded.
    static endpoint candidate_of(std::vector<upstream_choice> const& choices, std::uint16_t port) {
        std::vector<std::pair<std::uint64_t, endpoint>> ranked;
        for (upstream_choice const& choice : choices)
            ranked.emplace_back(rendezvous_hash(flow_of(port), rendezvous_seed(choice.name)),
                                choice.agent);
        std::partial_sort(ranked.begin(), ranked.begin() + 2, ranked.end());
        return ranked[port % 2].second;
    }

    void step(search_output const& out) {
        for (query_agent const& query : out.queries)
            query_bytes += encode_forwarded_message(query.message).size();
        for (request_survey const& survey : out.surveys)
            query_bytes += encode_forwarded_message(survey.message).size();
        for (search_result const& item : out.results) {
            if (item.status == search_result::outcome::not_held) {
                ++ended;
                ended_after = now - start;
                continue;
            }
            bool const is_right = item.status == search_result::outcome::found &&
                                  item.agent == holders_.at(item.flow.caller.port);
            ++(is_right ? found : wrong);
        }
        for (forward_to_agent const& packet : out.packets) {
            ++messages_;
            auto const port = static_cast<std::uint16_t>(std::stoi(packet.message.packet));
            if (holders_.at(port) == packet.agent)
                search.on_held(packet.agent, flow_of(port));
            else
                search.on_not_held(now, packet.agent, flow_of(port));
        }
        for (query_agent const& query : out.queries) {
            messages_ += query.message.flows.size();
            holder_answer answer{query.message.number, {}};
            for (packet_flow const& flow : query.message.flows)
                answer.states.push_back(agents_restarted_ ? holder_state::unknown
                                        : holders_.at(flow.caller.port) == query.agent
                                            ? holder_state::held
                                            : holder_state::not_held);
            search.on_answer(now, query.agent, answer);
        }
        for (request_survey const& survey : out.surveys)
            answer_survey(survey);
    }

    void answer_survey(request_survey const& request) {
        survey_result result{request.message.number, {}, {}, {}};
        messages_ += request.message.flows.size() * request.message.agents.size();
        if (agents_restarted_)
            result.unsure = request.message.agents;
        for (std::uint32_t i = 0; i < request.message.flows.size(); ++i)
            for (endpoint const agent : request.message.agents)
                if (!agents_restarted_ &&
                    holders_.at(request.message.flows[i].caller.port) == agent)
                    result.holders.push_back({i, agent});
        search.on_survey_result(now, request.agent, result);
    }

    std::map<std::uint16_t, endpoint> holders_;
    bool agents_restarted_;
    std::size_t messages_ = 0;
};

} // namespace

// Load pattern: a release has replaced half of a service, then balancers restart and lose all
// hints.
TEST_CASE(
    "the holder of a flow is found after a release in few messages for any number of agents") {
    for (std::uint32_t const upstreams : {61U, 217U, 1000U}) {
        CAPTURE(upstreams);
        released_fleet fleet(upstreams, upstreams / 2, false);
        fleet.run();
        CHECK(fleet.found == fleet.flows());
        CHECK(fleet.messages_per_flow() < 10);
        MESSAGE(fleet.messages_per_flow(), " messages a flow");
    }
}

// Load pattern: all processes are killed at once and restart, so that no agent has a complete
// table.
TEST_CASE("the holder of a flow is found after all agents restarted in few messages") {
    for (std::uint32_t const upstreams : {61U, 217U, 1000U}) {
        CAPTURE(upstreams);
        released_fleet fleet(upstreams, upstreams / 3, true);
        fleet.run();
        CHECK(fleet.wrong == 0);
        CHECK(fleet.found >= fleet.flows() * 99 / 100);
        CHECK(fleet.messages_per_flow() < 20);
        MESSAGE(fleet.messages_per_flow(), " messages a flow");
    }
}

TEST_CASE(
    "agents that cannot tell get no more probes than the limit for each packet of the caller") {
    simulated_fleet fleet(200, every_agent(std::nullopt));
    fleet.begin(1);
    auto const answer_all = [&] {
        std::size_t probes = 0;
        for (int i = 0; i < 300; ++i, fleet.now += milliseconds{1}) {
            fleet.search.on_tick(fleet.now);
            search_output const out = fleet.search.take_output();
            probes += out.packets.size();
            for (query_agent const& query : out.queries)
                fleet.search.on_answer(
                    fleet.now, query.agent,
                    {query.message.number,
                     std::vector(query.message.flows.size(), holder_state::unknown)});
            for (request_survey const& survey : out.surveys)
                fleet.search.on_survey_result(
                    fleet.now, survey.agent,
                    {survey.message.number, {}, survey.message.agents, {}});
        }
        return probes;
    };
    flow_search_options const limits;
    CHECK(answer_all() <= limits.candidates + limits.max_probes);
    CHECK(fleet.search.buffer(fleet.now, flow_of(1), "data"));
    CHECK(answer_all() <= limits.max_probes);
    fleet.run_for(seconds{3});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::not_found); // no reset while in doubt
}

// Load pattern: all upstreams lost power. The callers of 50 flows return to each of many balancers
// within a moment, over links of 2 Mbit/s, of which searches use a quarter.
TEST_CASE("flows that ended are reported within a retransmission, over a link of low bandwidth") {
    released_fleet fleet(217, 0, false);
    fleet.keep_ended(50);
    fleet.run();
    CHECK(fleet.ended == 50);
    CHECK(fleet.ended_after < milliseconds{200});
    MESSAGE((fleet.ended_after / milliseconds{1}), " ms, ", fleet.query_bytes, " bytes of queries");
    constexpr std::size_t link_bytes_in_time = 250'000 / 5 / 4;
    CHECK(fleet.query_bytes < link_bytes_in_time);
}

TEST_CASE("a survey tells the holder of a flow") {
    constexpr endpoint holder{150, 1};
    simulated_fleet fleet(217, [&](endpoint agent, packet_flow const&) {
        return std::optional{agent == holder ? holder_state::held : holder_state::not_held};
    });
    fleet.begin(1);
    fleet.run_for(milliseconds{100});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::found);
    CHECK(fleet.results[0].agent == holder);
    CHECK(fleet.surveys > 0);
}

TEST_CASE("a silent agent in a survey leaves the flow not found") {
    constexpr endpoint silent{150, 1};
    simulated_fleet fleet(
        217, [&](endpoint agent, packet_flow const&) -> std::optional<holder_state> {
            return agent == silent ? std::nullopt : std::optional{holder_state::not_held};
        });
    fleet.begin(1);
    fleet.run_for(seconds{3});
    REQUIRE(fleet.results.size() == 1);
    CHECK(fleet.results[0].status == search_result::outcome::not_found);
    CHECK(fleet.results[0].agent == silent);
}

TEST_CASE("results of unknown surveys, or of other agents, are ignored") {
    simulated_fleet fleet(40, every_agent(std::nullopt));
    fleet.begin(1);
    std::vector<request_survey> surveys;
    for (int i = 0; i < 200 && surveys.empty(); ++i, fleet.now += milliseconds{1}) {
        fleet.search.on_tick(fleet.now);
        surveys = fleet.search.take_output().surveys;
    }
    REQUIRE(!surveys.empty());
    request_survey const& sent = surveys.front();
    survey_result const forged{sent.message.number, {{0, {7, 7}}}, {}, {}};
    fleet.search.on_survey_result(fleet.now, {9, 9}, forged);
    fleet.search.on_survey_result(fleet.now, sent.agent,
                                  {sent.message.number + 9, {{0, {7, 7}}}, {}, {}});
    fleet.search.on_survey_result(fleet.now, sent.agent,
                                  {sent.message.number, {{5, {7, 7}}}, {}, {}});
    CHECK(fleet.search.take_output().results.empty());
}

} // namespace toucanusher
