// Messages between callers and agents of request services, with their outcomes and refusal reasons.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "toucanusher/process/clock.h"

namespace toucanusher {

// Chosen by the caller and repeated by resends. The upper 48 bits of `high` are the creation time
// in milliseconds since the Unix epoch; the remaining bits are random.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(request_id const&, request_id const&) = default;

    template <typename H>
    friend H AbslHashValue(H state, request_id const& id) {
        return H::combine(std::move(state), id.high, id.low);
    }
};

request_id make_request_id(wall_time created, std::uint64_t random_high, std::uint64_t random_low);
wall_time creation_time(request_id const& id);
std::string to_string(request_id const& id);

enum class request_class : std::uint8_t { urgent, normal, bulk };
inline constexpr std::size_t request_class_count = 3;
char const* to_string(request_class kind);

// Part `part` of `parts` of one request. Every part repeats the header.
struct request_part {
    request_id id;
    std::uint16_t part = 0; // 0-based
    std::uint16_t parts = 1;
    request_class kind = request_class::normal;
    bool idempotent = false;
    bool resend = false;                  // this id was sent before and is unanswered
    std::chrono::milliseconds deadline{}; // time left at sending; 0: the service's default
    std::string team;
    std::string payload;
};

struct request_cancel {
    request_id id;
};

// Acknowledges parts of the answer that the caller has received.
struct answer_ack {
    request_id id;
    std::vector<std::uint16_t> parts;
};

using caller_message = std::variant<request_part, request_cancel, answer_ack>;

enum class request_outcome : std::uint8_t {
    done,            // the service's complete answer
    refused_not_run, // did not run and will not run under this id
    unknown,         // may have run
};
char const* to_string(request_outcome outcome);

enum class request_refusal : std::uint8_t {
    none,
    too_large,            // exceeds the maximum request size
    too_many_requests,    // the agent's request or assembly limit is reached
    inconsistent_parts,   // parts of the same id contradict each other
    assembly_timeout,     // not all parts arrived in time
    too_old,              // the id is older than the deduplication window
    deadline_infeasible,  // the expected wait exceeds the deadline
    deadline_passed,      // the deadline passed before an answer
    queue_full,           // the queue has reached its configured length
    displaced,            // removed in favour of a class below its share
    cancelled,            // cancelled by the caller
    draining,             // the upstream is draining
    upstream_shed,        // the upstream refused to start it
    upstream_unreachable, // no connection to the upstream
    retry_budget_spent,   // a retry was possible but exceeded the retry budget
    cut_off,              // no recent contact with control, so a single run is not ensured
    claim_unavailable,    // no majority of record replicas granted the run
    runner_lost,          // the recorded runner has ended or did not answer
    attempt_lost,         // the upstream did not answer; the request may have run
};
inline constexpr std::size_t request_refusal_count =
    static_cast<std::size_t>(request_refusal::attempt_lost) + 1;
char const* to_string(request_refusal reason);

// Part `part` of `parts` of the answer. Resent until acknowledged or expired.
struct answer_part {
    request_id id;
    request_outcome outcome = request_outcome::unknown;
    request_refusal reason = request_refusal::none;
    std::uint16_t status = 0; // status of the service's answer, if done
    std::chrono::milliseconds retry_after{};
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    std::string payload;
};

inline constexpr std::size_t part_payload_bytes =
    1100; // with seals and headers, a datagram stays below 1500
inline constexpr std::size_t max_parts = 16384;

// Splits `bytes` into payloads of at most part_payload_bytes. Returns one empty payload if `bytes`
// is empty.
std::vector<std::string> split_payload(std::string const& bytes);

} // namespace toucanusher
