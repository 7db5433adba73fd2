// Decisions of a balancer that has a packet of a flow but does not know which agent holds it: whom
// to ask, in which order, and when it is certain that nobody holds the flow.
//
// The flow's first candidates get the packet itself, since one of them nearly always holds it. All
// others are asked about many flows in one message, so that the end of a thousand flows at once (a
// loss of power) costs each agent a few messages and not a thousand.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/carried_message.h"
#include "toucanusher/process/clock.h"

namespace toucanusher {

// An upstream as a balancer may choose it.
struct upstream_choice {
    std::string name;
    endpoint agent;
    std::string zone;
    bool draining = false;
    std::uint32_t slots = 0; // 0: not known

    friend bool operator==(upstream_choice const&, upstream_choice const&) = default;
};
using upstreams_by_service = std::map<std::string, std::vector<upstream_choice>>;

struct flow_search_options {
    endpoint self;                // where agents send notices and answers
    std::uint32_t candidates = 2; // of each service; as many as were compared for the flow
    // An agent answers within a round trip between availability zones, a few milliseconds.
    duration answer_timeout = std::chrono::milliseconds{40};
    // Datagrams are lost now and then; an agent that stays silent is asked again once, and with
    // each packet that comes of the flow. Callers repeat one after 200, 400 and 800 ms.
    std::uint32_t max_retries = 1;
    duration search_timeout =
        std::chrono::seconds{2}; // of a search; callers' patience is about as long
    // Flows that are searched at about the same time share the messages.
    duration query_window = std::chrono::milliseconds{4};
    std::size_t max_flows_in_query = 60; // fits a datagram of 1,400 bytes
    // Queries wait while they would take more than a quarter of the thinnest link, 3.9 Mbit/s:
    // answers that queue behind them come too late, and the search would be repeated for ever.
    std::size_t bytes_per_second = 120000;
    std::size_t bytes_per_query = 140; // with its answer and the heads of both datagrams
    std::size_t bytes_per_flow = 22;   // with its state in the answer
    // Nobody is told that a flow is over on the word of more agents than this.
    std::size_t max_queried = 1024;
    std::size_t max_searches = 4096;
    std::size_t max_buffered_packets = 16; // of one flow: what a caller has in flight at most
    // Upstreams leave the fleet's state when their end is certain; packets that are under way may
    // still reach them.
    duration upstream_retention = std::chrono::seconds{5};
    // A balancer that heard no control host in touch with a leader for longer may miss an upstream
    // that started since. Heartbeats are answered once a second.
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

// How a search ended.
struct search_result {
    enum class outcome : std::uint8_t {
        found,      // `agent` holds the flow
        not_held,   // nobody holds it
        not_found,  // `agent` did not answer, or too many would have to be asked
        stale_view, // nobody holds it who is known, but what is known may be old
    };
    outcome status = outcome::not_found;
    packet_flow flow;
    endpoint agent;                    // empty if none
    std::uint32_t caller_expects = 0;  // sequence number that the caller waits for
    std::vector<std::string> buffered; // packets that were not delivered; for `found`
};

struct search_output {
    std::vector<forward_to_agent> packets;
    std::vector<query_agent> queries;
    std::vector<search_result> results;
};

class flow_search {
  public:
    explicit flow_search(flow_search_options options) : options_(options) {}

    void set_upstreams(time_point now, upstreams_by_service const& upstreams);
    // When a control host in touch with a leader was last heard.
    void on_control_contact(time_point when) { last_control_contact_ = when; }

    // Searches for the flow among `services` first. `except` denied it a moment ago; may be empty.
    // False if too many searches are open.
    [[nodiscard]] bool begin(time_point now, packet_flow const& flow,
                             std::vector<std::string> services, std::string packet,
                             std::uint32_t caller_expects, endpoint except);
    [[nodiscard]] bool is_searching(packet_flow const& flow) const {
        return searches_.contains(flow);
    }
    // Another packet of a flow that is searched. False if too many wait.
    [[nodiscard]] bool buffer(time_point now, packet_flow const& flow, std::string packet);

    // The agent holds the flow and has delivered the packet that it got.
    void on_held(endpoint agent, packet_flow const& flow);
    void on_not_held(time_point now, endpoint agent, packet_flow const& flow);
    void on_answer(time_point now, endpoint agent, holder_answer const& answer);
    void on_tick(time_point now);
    // When on_tick() has something to do next.
    [[nodiscard]] std::optional<time_point> next_due() const;

    // The service of an agent that is known, else empty.
    [[nodiscard]] std::string service_of(endpoint agent) const;
    // What the calls since the last one led to.
    search_output take_output();

  private:
    // The steps of a search, each asks more agents than the one before.
    enum class search_scope : std::uint8_t { candidates, services, everywhere };
    struct search {
        std::vector<std::string> services;
        std::vector<std::string> buffered; // the first one is what candidates get
        search_scope scope = search_scope::candidates;
        std::vector<endpoint> queried;    // all of them
        std::vector<endpoint> unanswered; // asked ones that did not yet deny that they hold it
        std::vector<endpoint> awaited;    // those of the present step
        bool truncated = false;           // more agents would have to be asked than may be
        std::uint32_t retries_left = 0;
        std::uint32_t caller_expects = 0;
        time_point deadline{}; // of the present step; of the search while it rests
        bool paused = false;   // asks nobody until another packet comes
        time_point expires_at{};
    };
    struct known_agent {
        std::string service;
        std::uint64_t seed = 0;            // of its upstream's place in the order of candidates
        std::optional<time_point> left_at; // when it left the view
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
    void add_to_query(time_point now, endpoint agent, packet_flow const& flow);
    void send_queries(time_point now);
    void send_query(time_point now, endpoint agent, std::vector<packet_flow> flows);
    void conclude(time_point now, search_map::iterator at);
    void finish(search_map::iterator at, search_result::outcome status, endpoint agent);
    [[nodiscard]] std::vector<endpoint> next_agents(packet_flow const& flow, search& entry) const;
    [[nodiscard]] std::vector<endpoint> agents_of_service(packet_flow const& flow,
                                                          search const& entry,
                                                          std::string const& service) const;

    flow_search_options options_;
    std::map<endpoint, known_agent> agents_; // in the view, or remembered
    search_map searches_;                    // at most max_searches
    // No search has an earlier deadline; it may be earlier than all of them.
    time_point earliest_deadline_ = time_point::max();
    std::map<endpoint, std::vector<packet_flow>> pending_queries_;
    std::optional<time_point> queries_due_at_; // set while next_queries_ is not empty
    time_point link_free_at_{};                // the last queries have had their share of the link
    std::map<std::uint32_t, open_query> queries_;
    std::uint32_t next_query_ = 1;
    time_point last_control_contact_{};
    search_output output_;
};

// Where an upstream stands in the flow's own random order; the same in every balancer.
std::uint64_t rendezvous_hash(packet_flow const& flow, std::uint64_t seed);
std::uint64_t rendezvous_seed(std::string const& upstream);

} // namespace toucanusher
