// Messages about flows between balancers and agents. Each is sealed in one datagram.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/connection/flow_key.h"

namespace toucanusher {

// A packet from a caller to the holder of its flow. Only the incarnation `target` accepts it; all
// others refuse it, which keeps services apart when an address is reused.
struct flow_packet {
    flow_key flow;
    bucket_number bucket{};
    version_number version{}; // of the sender's state
    upstream_ref target;
    endpoint balancer;     // receives the replies
    std::uint8_t hops = 0; // agents that relayed it
    std::string payload;

    friend bool operator==(flow_packet const&, flow_packet const&) = default;
};

// Sent by a bucket owner to find out whether a predecessor holds the flow. A predecessor that holds
// it delivers the packet.
struct flow_query {
    flow_packet packet; // target: the predecessor
    upstream_ref owner;
    endpoint owner_agent;
    version_number epoch{}; // version at which the owner got the bucket

    friend bool operator==(flow_query const&, flow_query const&) = default;
};

// If not held: the sender opens no flow of the bucket for an epoch below `fence`.
struct flow_answer {
    flow_key flow;
    bucket_number bucket{};
    upstream_ref from;
    upstream_ref target; // the bucket owner
    bool held = false;
    version_number fence{};

    friend bool operator==(flow_answer const&, flow_answer const&) = default;
};

// A packet from an upstream back to the caller.
struct flow_reply {
    flow_key flow;
    upstream_ref from;
    std::string payload;

    friend bool operator==(flow_reply const&, flow_reply const&) = default;
};

enum class flow_refusal : std::uint8_t {
    none,
    unknown_service,    // no service in force at this address
    not_admitted,       // the settings admit no work for the service
    not_served_here,    // the settings name other balancers for the service
    rate_limited,       // above the packet rate in the settings
    no_upstream,        // the bucket has no owner
    wrong_upstream,     // sent to another upstream than the one here
    wrong_service,      // sent for another service than the one here
    stale_incarnation,  // sent to an earlier incarnation of the upstream
    stale_epoch,        // fenced: this upstream answered a newer owner that it opens no flow
    hop_limit,          // relayed too often
    draining,           // the upstream drains and opens no flow
    not_ready,          // the upstream does not accept work yet
    recovering,         // flows of an earlier agent process are being recovered
    too_many_flows,     // the flow table is full
    too_many_pending,   // too many flows await answers of predecessors
    predecessor_silent, // a predecessor did not answer in time
    unknown_flow,       // a reply for a flow that is not held here
    unexpected_answer,  // an answer without an open query
};

char const* to_string(flow_refusal reason);
inline constexpr std::size_t flow_refusal_count =
    static_cast<std::size_t>(flow_refusal::unexpected_answer) + 1;

// Tells the sender of a packet that it was refused, so that the sender can look for a newer
// version.
struct refusal_notice {
    flow_key flow;
    upstream_ref target;
    flow_refusal reason = flow_refusal::none;
    version_number version{}; // of the refusing agent's state

    friend bool operator==(refusal_notice const&, refusal_notice const&) = default;
};

// A flow entry as replicas store it for the flow holder.
struct flow_copy {
    flow_key flow;
    std::uint32_t slot = 0;

    friend bool operator==(flow_copy const&, flow_copy const&) = default;
};

// Request to another upstream's agent to store flow entries of `holder`.
struct replication_batch {
    upstream_ref holder;
    upstream_ref target; // the replica
    endpoint holder_agent;
    std::uint64_t holder_process = 0; // of the holder's agent; higher for later processes
    std::uint64_t batch = 0;
    std::vector<flow_copy> opened;
    std::vector<std::uint32_t> closed; // slots

    friend bool operator==(replication_batch const&, replication_batch const&) = default;
};

struct replication_ack {
    upstream_ref holder;
    upstream_ref replica;
    std::uint64_t holder_process = 0;
    std::uint64_t batch = 0;
    std::uint64_t replica_process = 0; // of the replica's agent; a new process has no entries

    friend bool operator==(replication_ack const&, replication_ack const&) = default;
};

// Requests the next page of flow entries, after an agent restarted while its upstream kept running.
struct recovery_request {
    upstream_ref holder;
    upstream_ref target; // the replica
    endpoint holder_agent;
    std::uint64_t holder_process = 0; // pages for an earlier process are ignored
    std::uint32_t after_slot = 0;     // slots up to this one are recovered; 0 at first

    friend bool operator==(recovery_request const&, recovery_request const&) = default;
};

struct recovery_page {
    upstream_ref holder;
    upstream_ref replica;
    std::uint64_t holder_process = 0;
    std::uint32_t after_slot = 0;
    bool last = false;
    std::vector<flow_copy> flows; // by ascending slot

    friend bool operator==(recovery_page const&, recovery_page const&) = default;
};

// Checks that a path still works; the answer echoes the token.
struct path_probe {
    std::uint64_t token = 0;
    bool answer = false;
    endpoint from; // address on which the sender receives

    friend bool operator==(path_probe const&, path_probe const&) = default;
};

using flow_message =
    std::variant<flow_packet, flow_query, flow_answer, flow_reply, refusal_notice,
                 replication_batch, replication_ack, recovery_request, recovery_page, path_probe>;

} // namespace toucanusher
