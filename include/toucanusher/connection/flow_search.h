// Search of a balancer for the agent that holds a flow: which agents are queried, in which order,
// and when it is certain that none of them holds the flow.
//
// The first candidates of the flow get the packet itself, since one of them nearly always holds it.
// The next ones in the order of the flow are queried before all others: after a release, the holder
// is still among them. Queries cover many flows, so that the loss of a thousand flows at once, as
// in a power failure, costs each agent a few messages and not a thousand.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/forwarded_message.h"
#include "toucanusher/process/clock.h"

namespace toucanusher {

// An upstream as a balancer sees it when it chooses one.
struct upstream_choice {
    std::string name;
    endpoint agent;
    std::string zone;
    bool draining = false;
    std::uint32_t slots = 0; // 0: unknown

    friend bool operator==(upstream_choice const&, upstream_choice const&) = default;
};
using upstreams_by_service = std::map<std::string, std::vector<upstream_choice>>;

struct flow_search_options {
    endpoint self;                // address to which agents send notices and answers
    std::uint32_t candidates = 2; // of each service; as many as are compared for a new flow
    // Further agents of each service in the order of the flow, which are queried next. Upstreams
    // that joined since the flow was opened precede its holder there, however large the service is.
    std::uint32_t nearest = 6;
    // Agents that cannot tell whether they hold a flow and get its packet as a probe, for each
    // packet of the caller. All agents are in doubt after all of them restarted.
    std::uint32_t max_probes = 8;
    // An agent answers within a round trip between availability zones, a few milliseconds.
    duration answer_timeout = std::chrono::milliseconds{40};
    // Datagrams are lost at times: an agent that does not answer is queried once more, and again
    // with each further packet of the flow. Callers retransmit after 200, 400 and 800 ms.
    std::uint32_t max_retries = 1;
    duration search_timeout = std::chrono::seconds{2}; // callers give up after about as long
    // Flows that are searched for at about the same time share queries.
    duration query_window = std::chrono::milliseconds{4};
    std::size_t max_flows_in_query = 60; // fits a datagram of 1,400 bytes
    // Queries are paced. Answers that queue behind them would arrive after the timeout, and the
    // search would be repeated for ever.
    std::size_t bytes_per_second = 120000;
    // Queries of a scope may follow those of the one before at once, ahead of the pace.
    duration max_ahead = std::chrono::milliseconds{300};
    std::size_t bytes_per_query = 140; // with the answer and the headers of both datagrams
    std::size_t bytes_per_flow = 22;   // with the state in the answer
    // More agents than this are queried by surveys, which other agents make: their links carry
    // more.
    std::size_t max_direct_queries = 16;
    std::size_t max_agents_in_survey = 32;
    std::size_t max_flows_in_survey = 48; // fits a datagram of 1,400 bytes with the agents
    std::size_t bytes_per_surveyed_agent = 9;
    // A search that would need answers of more agents than this never reports that a flow has
    // ended.
    std::size_t max_queried = 1024;
    std::size_t max_searches = 4096;
    std::size_t max_buffered_packets = 16; // per flow: the most that a caller has in flight
    // How long upstreams stay known after they left the fleet state. They leave when their end is
    // certain, but packets in flight may still reach them.
    duration upstream_retention = std::chrono::seconds{5};
    // A balancer without contact for longer, to a control host that can reach the leader, may lack
    // an upstream that started since. Heartbeats are answered once a second.
    duration max_view_age = std::chrono::milliseconds{1500};
};

struct forward_to_agent {
    endpoint agent;
    forwarded_packet message;
};
struct query_agent {
    endpoint agent;
    holder_query message;
};
struct request_survey {
    endpoint agent;
    holder_survey message;
};

// The result of a search.
struct search_result {
    enum class outcome : std::uint8_t {
        found,      // `agent` holds the flow
        not_held,   // no agent holds it
        not_found,  // `agent` did not answer, or too many agents would have to be queried
        stale_view, // no known agent holds it, but the view may be out of date
    };
    outcome status = outcome::not_found;
    packet_flow flow;
    endpoint agent;                    // empty if none
    std::uint32_t caller_expects = 0;  // sequence number of the next byte that the caller expects
    std::vector<std::string> buffered; // undelivered packets; only for `found`
};

struct search_output {
    std::vector<forward_to_agent> packets;
    std::vector<query_agent> queries;
    std::vector<request_survey> surveys;
    std::vector<search_result> results;
};

class flow_search {
  public:
    explicit flow_search(flow_search_options options) : options_(options) {}

    void set_upstreams(time_point now, upstreams_by_service const& upstreams);
    // Records when a control host that can reach the leader last responded.
    void on_control_contact(time_point when) { last_control_contact_ = when; }

    // Starts a search for the flow, among `services` first. `except` is an agent that has just
    // answered that it does not hold the flow; may be empty. Returns false if too many searches are
    // in progress.
    [[nodiscard]] bool begin(time_point now, packet_flow const& flow,
                             std::vector<std::string> services, std::string packet,
                             std::uint32_t caller_expects, endpoint except);
    [[nodiscard]] bool is_searching(packet_flow const& flow) const {
        return searches_.contains(flow);
    }
    // Buffers another packet of a flow that is searched for. Returns false if the buffer is full.
    [[nodiscard]] bool buffer(time_point now, packet_flow const& flow, std::string packet);

    // Ends the search: the agent holds the flow and has delivered the packet that it got.
    void on_held(endpoint agent, packet_flow const& flow);
    void on_not_held(time_point now, endpoint agent, packet_flow const& flow);
    void on_answer(time_point now, endpoint agent, holder_answer const& answer);
    void on_survey_result(time_point now, endpoint agent, survey_result const& result);
    void on_tick(time_point now);
    // Returns when on_tick() next has work, or nothing if no timer is pending.
    [[nodiscard]] std::optional<time_point> next_due() const;

    // Returns the service of a known agent, else an empty string.
    [[nodiscard]] std::string service_of(endpoint agent) const;
    // Returns and clears the output of the calls since the last take_output().
    search_output take_output();

  private:
    // The scopes of a search, each of which covers more agents than the one before.
    enum class search_scope : std::uint8_t { candidates, nearest, everywhere };
    struct search {
        std::vector<std::string> services;
        std::vector<std::string> buffered; // the first one is sent to candidates
        search_scope scope = search_scope::candidates;
        std::vector<endpoint> queried; // in all scopes
        // Queried agents that have not answered that they do not hold the flow.
        std::vector<endpoint> unanswered;
        std::vector<endpoint> awaited; // of the current scope
        std::vector<endpoint> unsure;  // of unanswered: agents that are to get a probe
        std::uint32_t probes_left = 0; // until the next packet of the caller
        bool truncated = false;        // more than max_queried agents are left
        std::uint32_t retries_left = 0;
        std::uint32_t caller_expects = 0;
        time_point deadline{}; // of the current scope; end of the search while paused
        bool paused = false;   // sends nothing until another packet of the flow arrives
        time_point expires_at{};
    };
    struct known_agent {
        std::string service;
        std::uint64_t seed = 0; // hashed with a flow into the rendezvous order of candidates
        std::optional<time_point> left_at; // unset while in the view
    };
    struct open_survey {
        endpoint surveyor;
        std::vector<endpoint> agents; // sorted
        std::vector<packet_flow> flows;
        time_point expires_at{};
    };
    struct open_query {
        endpoint agent;
        std::vector<packet_flow> flows;
        time_point expires_at{};
    };
    using search_map = absl::flat_hash_map<packet_flow, search>;

    void query_scope(time_point now, packet_flow const& flow, search& entry);
    void retry(time_point now, packet_flow const& flow, search& entry);
    void pause(search& entry);
    void set_deadline(search& entry, time_point when);
    void expire_scopes(time_point now);
    void on_deadline(time_point now, packet_flow const& flow);
    void send_packet(endpoint agent, search const& entry);
    void send_probes(packet_flow const& flow, search& entry);
    [[nodiscard]] std::uint64_t rank_of(packet_flow const& flow, endpoint agent) const;
    void query_agents(time_point now, packet_flow const& flow, std::vector<endpoint> const& agents);
    void schedule_queries(time_point now);
    std::size_t send_surveys(time_point now);
    void add_denials(time_point now, packet_flow const& flow, std::vector<endpoint> const& agents,
                     std::vector<endpoint> const& unsure);
    void send_queries(time_point now);
    void send_query(time_point now, endpoint agent, std::vector<packet_flow> flows);
    void conclude(time_point now, search_map::iterator at);
    void finish(search_map::iterator at, search_result::outcome status, endpoint agent);
    [[nodiscard]] std::vector<endpoint> next_agents(packet_flow const& flow, search& entry) const;
    [[nodiscard]] std::vector<endpoint> agents_of_service(packet_flow const& flow,
                                                          search const& entry,
                                                          std::string const& service) const;

    flow_search_options options_;
    std::map<endpoint, known_agent> agents_; // in the view, or retained
    search_map searches_;                    // at most max_searches
    // Lower bound of the deadlines of all searches.
    time_point earliest_deadline_ = time_point::max();
    std::map<endpoint, std::vector<packet_flow>> pending_queries_;
    std::vector<packet_flow> pending_surveys_;
    // Set while there are pending queries or surveys.
    std::optional<time_point> queries_due_at_;
    time_point link_free_at_{}; // when the share of the link that the queries took is used up
    std::map<std::uint32_t, open_query> queries_;
    std::map<std::uint32_t, open_survey> surveys_;
    std::uint32_t next_query_ = 1; // number of a query or survey
    time_point last_control_contact_{};
    search_output output_;
};

// Returns the position of an upstream in the rendezvous order of a flow; equal in every balancer.
std::uint64_t rendezvous_hash(packet_flow const& flow, std::uint64_t seed);
std::uint64_t rendezvous_seed(std::string const& upstream);

} // namespace toucanusher
