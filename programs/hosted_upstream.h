// One upstream of an agent: connects its health watch, flows and requests, and executes their
// actions through hooks. Used by the agent's decide duty only.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "programs/control_session.h"
#include "programs/process_context.h"
#include "src/request/request_codec.h"
#include "toucanusher/connection/flow_holder.h"
#include "toucanusher/connection/flow_replica_store.h"
#include "toucanusher/request/request_executor.h"
#include "toucanusher/version/upstream_watch.h"

namespace toucanusher {

struct upstream_hooks {
    std::function<void(endpoint, agent_message)> send_to_agent; // agent or balancer
    std::function<void(std::uint32_t slot, std::string payload)> deliver_session;
    std::function<void(start_attempt const&)> run;
    std::function<void(cancel_attempt const&)> cancel;
    std::function<void(release_buckets)> release;
};

class hosted_upstream {
  public:
    hosted_upstream(process_context& context, upstream_config config, upstream_hooks hooks,
                    std::shared_ptr<retry_budget> budget, random_source random);

    void on_control_view(time_point now, control_view const& view);
    void on_probe(time_point now, probe_result const& result);
    void on_flow_message(time_point now, flow_message message, flow_replica_store& replicas);
    void on_run_message(time_point now, run_message const& message);
    void on_session_packet(time_point now, std::uint32_t slot, std::string payload);
    void on_attempt_result(time_point now, attempt_result result);
    void on_cancel_result(time_point now, request_id const& id, std::uint32_t attempt,
                          cancel_result_kind kind);
    void on_tick(time_point now);
    // Refuses new requests from now on; open ones are finished.
    void stop(time_point now);

    // True if `ref` names this or an earlier incarnation of the upstream.
    [[nodiscard]] bool is_target(upstream_ref ref) const { return self_ && self_->id == ref.id; }
    // The incarnation that is served now; empty if there is none.
    [[nodiscard]] std::optional<upstream_ref> const& self() const { return self_; }
    [[nodiscard]] std::optional<upstream_announcement> announcement(time_point now) const;
    [[nodiscard]] std::optional<upstream_announcement> const& ended_announcement() const {
        return watch_.ended();
    }
    [[nodiscard]] std::size_t flow_count() const { return flows_ ? flows_->flow_count() : 0; }
    [[nodiscard]] std::size_t unfinished_requests() const;
    [[nodiscard]] upstream_config const& config() const { return config_; }
    [[nodiscard]] std::string status() const; // JSON object

  private:
    void begin_incarnation(time_point now, upstream_record const& record);
    void execute(time_point now, flow_actions actions);
    void execute(time_point now, request_actions actions);
    void on_caller_packet(time_point now, deliver_packet const& packet);
    void close_finished_request_flows(time_point now);
    [[nodiscard]] bool serves_requests() const;

    process_context& context_;
    upstream_config config_;
    upstream_hooks hooks_;
    std::shared_ptr<retry_budget> budget_;
    random_source random_;
    upstream_watch watch_;
    std::shared_ptr<fleet_state const> state_;
    bool confirmed_ = false;
    // Announced by an earlier process of this agent.
    std::optional<incarnation_id> previous_incarnation_;
    std::optional<upstream_ref> self_; // set while flows_ and requests_ are
    std::unique_ptr<flow_holder> flows_;
    std::unique_ptr<request_executor> requests_;
    time_point last_leader_contact_{};
    bool stopping_ = false;
};

} // namespace toucanusher
