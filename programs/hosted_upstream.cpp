#include "programs/hosted_upstream.h"

#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/flow_hashing.h"
#include "toucanusher/process/overloaded.h"

namespace toucanusher {

namespace {

wall_time wall_now() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

upstream_watch_options watch_options(process_context const& context,
                                     upstream_config const& config) {
    upstream_watch_options options;
    options.announcement.service = config.service;
    options.announcement.name = config.name;
    options.announcement.agent = context.config.agent;
    options.announcement.zone = context.config.zone;
    options.announcement.slots = config.slots;
    options.ramp = config.ramp;
    return options;
}

} // namespace

hosted_upstream::hosted_upstream(process_context& context, upstream_config config,
                                 upstream_hooks hooks, std::shared_ptr<retry_budget> budget,
                                 random_source random)
    : context_(context), config_(std::move(config)), hooks_(std::move(hooks)),
      budget_(std::move(budget)), random_(std::move(random)),
      watch_(watch_options(context, config_), context.process_instance) {}

void hosted_upstream::on_control_view(time_point now, control_view const& view) {
    last_leader_contact_ = view.last_leader_contact;
    if (requests_)
        requests_->set_control_contact(last_leader_contact_);
    if (!view.confirmed)
        return;
    if (!confirmed_) {
        // This process has announced nothing yet, so an earlier one announced the record.
        confirmed_ = true;
        if (auto const* record = view.state->upstream_named(config_.service, config_.name))
            previous_incarnation_ = record->ref.incarnation;
    }
    if (state_ && view.state->version() == state_->version())
        return;
    state_ = view.state;
    auto const* record = state_->upstream_named(config_.service, config_.name);
    bool const current =
        record != nullptr && watch_.current_incarnation() == record->ref.incarnation;
    if (current && (!self_ || *self_ != record->ref))
        begin_incarnation(now, *record);
    if (!flows_)
        return;
    execute(now, flows_->apply_state(now, state_));
    requests_->apply_state(now, state_);
}

void hosted_upstream::on_probe(time_point now, probe_result const& result) {
    auto const before = watch_.current_incarnation();
    watch_.on_probe(now, result);
    if (confirmed_ && watch_.current_incarnation() &&
        watch_.current_incarnation() == previous_incarnation_)
        watch_.skip_ramp();
    if (before && watch_.current_incarnation() != before) {
        context_.events->warning(event_line("upstream_life_ended").add("upstream", config_.name));
        flows_.reset();
        requests_.reset();
        self_.reset();
    }
    if (watch_.draining() && flows_ && !flows_->draining()) {
        flows_->drain(now);
        context_.events->info(event_line("upstream_drains").add("upstream", config_.name));
    }
    auto const* record = state_ ? state_->upstream_named(config_.service, config_.name) : nullptr;
    if (!self_ && record != nullptr && watch_.current_incarnation() == record->ref.incarnation) {
        begin_incarnation(now, *record);
        execute(now, flows_->apply_state(now, state_));
        requests_->apply_state(now, state_);
    }
}

void hosted_upstream::on_flow_message(time_point now, flow_message message,
                                      flow_replica_store& replicas) {
    if (!flows_) {
        context_.counters.count_refusal("agent", to_string(flow_refusal::not_ready));
        return;
    }
    std::visit(
        overloaded{
            [&](flow_packet& packet) { execute(now, flows_->on_packet(now, std::move(packet))); },
            [&](flow_query& query) { execute(now, flows_->on_query(now, std::move(query))); },
            [&](flow_answer const& answer) { execute(now, flows_->on_answer(now, answer)); },
            [&](replication_batch const& store) {
                if (auto const stored = replicas.store(store))
                    hooks_.send_to_agent(store.holder_agent, flow_message{*stored});
            },
            [&](replication_ack const& stored) {
                execute(now, flows_->on_replication_ack(now, stored));
            },
            [&](recovery_request const& request) {
                hooks_.send_to_agent(request.holder_agent, flow_message{replicas.page(request)});
                execute(now, flows_->on_recovery_request(now, request));
            },
            [&](recovery_page const& page) { execute(now, flows_->on_recovery_page(now, page)); },
            [&](auto const&) { context_.counters.count_refusal("agent", "unexpected_message"); },
        },
        message);
}

void hosted_upstream::on_run_message(time_point now, run_message const& message) {
    if (requests_)
        execute(now, requests_->on_run_message(now, wall_now(), message));
}

void hosted_upstream::on_session_packet(time_point now, std::uint32_t slot, std::string payload) {
    if (flows_)
        execute(now, flows_->on_upstream_packet(now, slot, std::move(payload)));
}

void hosted_upstream::on_attempt_result(time_point now, attempt_result result) {
    if (requests_)
        execute(now, requests_->on_attempt_result(now, std::move(result)));
}

void hosted_upstream::on_cancel_result(time_point now, request_id const& id, std::uint32_t attempt,
                                       cancel_result_kind kind) {
    if (requests_)
        execute(now, requests_->on_cancel_result(now, id, attempt, kind));
}

void hosted_upstream::on_tick(time_point now) {
    if (!flows_)
        return;
    execute(now, flows_->on_tick(now));
    execute(now, requests_->on_tick(now));
    if (flows_->draining() && serves_requests())
        close_finished_request_flows(now);
}

void hosted_upstream::stop(time_point /*now*/) {
    stopping_ = true;
}

std::optional<upstream_announcement> hosted_upstream::announcement(time_point now) const {
    // Before the state is confirmed, an announcement could replace an earlier process's record.
    return confirmed_ ? watch_.announcement(now) : std::nullopt;
}

std::size_t hosted_upstream::unfinished_requests() const {
    return requests_ ? requests_->unfinished() : 0;
}

std::string hosted_upstream::status() const {
    std::string text = absl::StrCat("{\"name\":\"", config_.name, "\",\"service\":\"",
                                    config_.service, "\",\"flows\":", flow_count());
    if (flows_)
        absl::StrAppend(&text, ",\"buckets\":", flows_->owned_buckets(),
                        ",\"recovering\":", flows_->recovering() ? "true" : "false");
    if (requests_)
        absl::StrAppend(&text, ",\"running\":", requests_->in_flight(),
                        ",\"waiting\":", requests_->waiting(), ",\"limit\":", requests_->limit());
    return absl::StrCat(text, "}");
}

void hosted_upstream::begin_incarnation(time_point now, upstream_record const& record) {
    self_ = record.ref;
    bool const resumed = previous_incarnation_ == record.ref.incarnation;
    if (resumed)
        watch_.skip_ramp();
    flow_holder_options flows;
    flows.self = record.ref;
    flows.service = config_.service;
    flows.self_agent = context_.config.agent;
    flows.process_instance = context_.process_instance;
    flows_ = std::make_unique<flow_holder>(flows, make_flow_hash(*context_.keys->get()));
    if (resumed)
        flows_->start_recovery();
    request_executor_options requests;
    requests.self = record.ref;
    requests.self_agent = context_.config.agent;
    requests.process_instance = context_.process_instance;
    requests.service = config_.service;
    requests_ = std::make_unique<request_executor>(
        requests, resumed ? std::optional{now} : std::nullopt, budget_, random_);
    requests_->set_control_contact(last_leader_contact_);
    context_.events->info(event_line("upstream_joined")
                              .add("upstream", config_.name)
                              .add("service", config_.service)
                              .add("resumed", static_cast<int>(resumed)));
}

void hosted_upstream::execute(time_point now, flow_actions actions) {
    for (flow_action& action : actions) {
        std::visit(
            overloaded{
                [&](deliver_packet& packet) {
                    if (serves_requests())
                        on_caller_packet(now, packet);
                    else
                        hooks_.deliver_session(packet.slot, std::move(packet.payload));
                },
                [&](send_message& out) { hooks_.send_to_agent(out.to, std::move(out.message)); },
                [&](count_refusal const& refusal) {
                    context_.counters.count_refusal("agent", to_string(refusal.reason));
                },
                [&](report_release& report) { hooks_.release(std::move(report.command)); },
            },
            action);
    }
}

void hosted_upstream::execute(time_point now, request_actions actions) {
    for (request_action& action : actions) {
        std::visit(
            overloaded{
                [&](start_attempt const& attempt) { hooks_.run(attempt); },
                [&](cancel_attempt const& attempt) { hooks_.cancel(attempt); },
                [&](send_answer const& answer) {
                    execute(now, flows_->reply(now, answer.flow, answer.balancer,
                                               encode_answer_part(answer.part)));
                },
                [&](send_run_message const& out) { hooks_.send_to_agent(out.agent, out.message); },
                [&](count_request_refusal const& refusal) {
                    context_.counters.count_refusal("request", to_string(refusal.reason));
                },
                [&](count_retry const& retry) {
                    context_.counters.count_retry(to_string(retry.reason));
                },
                [&](count_outcome const& outcome) {
                    context_.counters.count(absl::StrCat("outcome_", to_string(outcome.outcome)));
                    if (outcome.was_run)
                        context_.counters.observe_seconds(
                            to_string(outcome.outcome),
                            std::chrono::duration<double>(outcome.latency).count());
                },
            },
            action);
    }
}

void hosted_upstream::on_caller_packet(time_point now, deliver_packet const& packet) {
    auto const message = decode_caller_message(packet.payload);
    if (!message.ok()) {
        context_.counters.count_refusal("request", "malformed");
        return;
    }
    endpoint const balancer{}; // empty: replies go to the flow's latest balancer
    if (auto const* part = std::get_if<request_part>(&*message)) {
        if (stopping_ && !requests_->contains(part->id)) {
            // The caller resends, and the next agent process takes the request.
            context_.counters.count_refusal("request", to_string(request_refusal::draining));
            return;
        }
        execute(now, requests_->on_part(now, wall_now(), packet.flow, balancer, *part));
    } else if (auto const* cancel = std::get_if<request_cancel>(&*message)) {
        execute(now, requests_->on_cancel(now, cancel->id));
    } else {
        execute(now, requests_->on_ack(now, std::get<answer_ack>(*message)));
    }
}

// Closes the flows of callers without open requests on a draining upstream, so that they move to
// another flow holder.
void hosted_upstream::close_finished_request_flows(time_point now) {
    std::vector<flow_key> done;
    flows_->table().for_each([&](std::uint32_t, flow_entry const& entry) {
        if (!requests_->has_open_requests(entry.flow))
            done.push_back(entry.flow);
    });
    for (flow_key const& flow : done)
        flows_->close_flow(now, flow);
}

bool hosted_upstream::serves_requests() const {
    auto const* service = state_ ? state_->service_named(config_.service) : nullptr;
    return service != nullptr && service->settings->kind == service_kind::request;
}

} // namespace toucanusher
