// State machine of an agent for the requests of its upstream: reassembles, records, admits, runs,
// retries, cancels and answers them. Performs no I/O: each event returns the actions to execute.
//
// A request is reported as refused_not_run only if this agent alone may run it and no attempt was
// sent, or every attempt is known not to have started. Any other failure is reported as unknown.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/flow_key.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/process/random.h"
#include "toucanusher/request/admission_queue.h"
#include "toucanusher/request/answer_outbox.h"
#include "toucanusher/request/concurrency_limit.h"
#include "toucanusher/request/run_record_round.h"

#include "toucanusher/request/reassembly.h"
#include "toucanusher/request/request_message.h"
#include "toucanusher/request/retry_budget.h"
#include "toucanusher/request/run_record.h"
#include "toucanusher/request/run_record_store.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {

struct request_executor_options {
    upstream_ref self;
    endpoint self_agent;
    std::uint64_t process_instance = 0; // random; changes with each start of the agent
    std::string service;
    std::chrono::milliseconds dedup_window =
        std::chrono::seconds{30}; // older non-idempotent requests are refused
    std::chrono::milliseconds clock_skew =
        std::chrono::seconds{2}; // maximum difference between the hosts' wall clocks
    duration control_timeout = std::chrono::seconds{3}; // must be shorter than a member's lease
    duration assembly_timeout = std::chrono::seconds{5};
    duration record_retry_interval = std::chrono::milliseconds{20};
    duration record_timeout = std::chrono::milliseconds{400};
    duration cancel_timeout = std::chrono::milliseconds{200};
    duration answer_resend_interval = std::chrono::milliseconds{60};
    duration max_answer_resend_interval = std::chrono::seconds{1};
    duration answer_retention = std::chrono::seconds{30};
    duration backoff_base = std::chrono::milliseconds{10};
    duration backoff_cap = std::chrono::milliseconds{500};
    std::uint32_t max_attempts = 3;
    std::size_t max_requests = 20000;
    std::size_t max_assembly_bytes = 64U << 20U; // sum over all requests being assembled
    std::size_t max_request_bytes = 8U << 20U;
    std::size_t parts_in_flight = 64;
    bool first_come_first_served = false; // for experiments only
    bool check_deadlines = true;          // for experiments only
};

// Fault injection for tests: each switch disables one rule, to show that the checks detect its
// absence. Production code uses the defaults.
struct request_faults {
    bool skip_run_records = false;
    bool always_grant = false; // a record replica grants every run
    bool retry_lost_non_idempotent = false;
    bool timeout_proves_not_run = false;
    bool refuse_without_proof = false;
    bool match_answers_by_order = false;
    bool ignore_cut_off = false;
    bool skip_abstaining = false; // a restarted record replica grants at once
};

// Sends the request to the upstream. Exactly one call of on_attempt_result must follow.
struct start_attempt {
    request_id id;
    std::uint32_t attempt = 0;
    request_class kind = request_class::normal;
    bool idempotent = false;
    std::chrono::milliseconds deadline{}; // time left
    std::shared_ptr<std::string const> body;
};
// Asks the upstream to cancel the attempt. At most one call of on_cancel_result follows.
struct cancel_attempt {
    request_id id;
    std::uint32_t attempt = 0;
};
struct send_answer {
    flow_key flow;
    endpoint balancer;
    answer_part part;
};
struct send_run_message {
    endpoint agent;
    run_message message;
};
struct count_request_refusal {
    request_refusal reason = request_refusal::none;
};
struct count_retry {
    retry_reason reason = retry_reason::upstream_shed;
};
// Reports the outcome of a request when it is decided.
struct count_outcome {
    request_outcome outcome = request_outcome::unknown;
    request_class kind = request_class::normal;
    duration latency{};
    bool was_run = false;
};

using request_action = std::variant<start_attempt, cancel_attempt, send_answer, send_run_message,
                                    count_request_refusal, count_retry, count_outcome>;
using request_actions = std::vector<request_action>;

enum class attempt_result_kind : std::uint8_t {
    answered,    // an answer of the service, with any status
    shed,        // refused by the upstream before it started
    unreachable, // no connection was established
    lost,        // no answer; the attempt may have run
};
struct attempt_result {
    request_id id;
    std::uint32_t attempt = 0;
    attempt_result_kind kind = attempt_result_kind::lost;
    std::uint16_t status = 0;
    std::string body;
    std::chrono::milliseconds retry_after{};
};
enum class cancel_result_kind : std::uint8_t { not_started, started, no_answer };

class request_executor {
  public:
    // `restarted_at` is set if the upstream was already running when this process started.
    // `budget` may be shared with other owners.
    request_executor(request_executor_options options, std::optional<time_point> restarted_at,
                     std::shared_ptr<retry_budget> budget, random_source random,
                     request_faults faults = {});

    void apply_state(time_point now, std::shared_ptr<fleet_state const> state);
    // Sets the last time at which the control leader is known to have been in contact.
    void set_control_contact(time_point when) { last_control_contact_ = when; }
    void drain() { draining_ = true; }

    request_actions on_part(time_point now, wall_time wall, flow_key const& flow, endpoint balancer,
                            request_part const& part);
    request_actions on_cancel(time_point now, request_id const& id);
    request_actions on_ack(time_point now, answer_ack const& ack);
    request_actions on_run_message(time_point now, wall_time wall, run_message const& message);
    request_actions on_attempt_result(time_point now, attempt_result result);
    request_actions on_cancel_result(time_point now, request_id const& id, std::uint32_t attempt,
                                     cancel_result_kind kind);
    request_actions on_tick(time_point now);

    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] std::size_t request_count() const { return requests_.size(); }
    [[nodiscard]] bool contains(request_id const& id) const { return requests_.contains(id); }
    // Returns the number of requests whose outcome is undecided or not fully acknowledged.
    [[nodiscard]] std::size_t unfinished() const;
    [[nodiscard]] bool has_open_requests(flow_key const& flow) const;
    [[nodiscard]] std::uint32_t limit() const { return limit_.limit(); }

  private:
    enum class phase : std::uint8_t {
        assembling,
        recording,
        run_elsewhere, // another agent is recorded as the runner
        waiting,
        running,
        cancelling,
        backing_off,
        finished,
    };
    struct destination {
        flow_key flow;
        endpoint balancer;
    };
    struct request {
        phase current_phase = phase::assembling;
        request_part header; // without payload
        reassembly parts;
        std::vector<destination> callers; // never empty
        time_point arrived_at{};
        time_point deadline{};
        time_point timer{}; // expiry of the current phase
        std::shared_ptr<std::string const> body;
        std::optional<run_record_round> record_round;
        bool record_granted = false; // a majority of each replica set granted
        std::uint32_t attempts = 0;
        bool may_have_run = false; // an attempt was lost or found started
        request_refusal cancel_reason = request_refusal::none; // set while cancelling
        time_point started_at{}; // of the recording or of the newest attempt
        answer_outbox answer;    // filled once finished
        duration resend_interval{};

        explicit request(request_part const& first) : parts(first) {}
    };

    request* find(request_id const& id);
    void add_caller(request& entry, flow_key const& flow, endpoint balancer) const;
    void on_assembled(time_point now, wall_time wall, request_id const& id, request& entry,
                      request_actions& actions);
    void start_recording(time_point now, wall_time wall, request_id const& id, request& entry,
                         request_actions& actions);
    void send_record_requests(time_point now, request_id const& id, request& entry,
                              request_actions& actions);
    void check_record_round(time_point now, request_id const& id, request& entry,
                            request_actions& actions);
    void admit(time_point now, request_id const& id, request& entry, request_actions& actions);
    void dispatch(time_point now, request_actions& actions);
    void begin_attempt(time_point now, request_id const& id, request& entry,
                       request_actions& actions);
    void retry_or_refuse(time_point now, request_id const& id, request& entry, retry_reason reason,
                         request_refusal refusal, std::chrono::milliseconds retry_after,
                         request_actions& actions);
    void refuse(time_point now, request_id const& id, request& entry, request_refusal reason,
                request_actions& actions, std::chrono::milliseconds retry_after = {});
    void finish(time_point now, request& entry, answer_part header, std::string const& body,
                request_actions& actions);
    void send_parts(request const& entry, request_actions& actions) const;
    void start_cancel(time_point now, request_id const& id, request& entry, request_refusal reason,
                      request_actions& actions);
    void run_timer(time_point now, request_id const& id, request& entry, request_actions& actions);
    void refuse_part(request_part const& part, destination const& caller, request_refusal reason,
                     bool proven, request_actions& actions) const;
    [[nodiscard]] std::vector<member_list> const& member_lists() const;
    [[nodiscard]] bool proven_not_run(request const& entry) const;
    [[nodiscard]] bool is_cut_off(time_point now) const;
    [[nodiscard]] std::uint32_t slots() const;
    void configure();

    request_executor_options options_;
    std::shared_ptr<retry_budget> budget_;
    random_source random_;
    request_faults faults_;
    std::shared_ptr<fleet_state const> state_;
    service_settings settings_;

    run_record_store run_records_;
    admission_queue queue_;
    concurrency_limit limit_{1};
    std::map<request_id, request> requests_; // at most options_.max_requests
    std::size_t assembly_bytes_ = 0;         // sum over the requests being assembled
    std::uint32_t in_flight_ = 0;            // attempts that have no result yet
    duration service_time_{};                // moving average; 0 before the first run
    time_point last_control_contact_{};
    bool draining_ = false;
};

} // namespace toucanusher
