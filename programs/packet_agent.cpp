#include "programs/packet_agent.h"

#include <array>
#include <optional>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/control_session.h"
#include "src/connection/forwarded_codec.h"
#include "src/process/io/udp_port.h"
#include "toucanusher/connection/holder_surveyor.h"
#include "toucanusher/connection/upstream_flows.h"
#include "toucanusher/process/overloaded.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring_size = 4096;
constexpr std::size_t send_ring_size = 4096;
constexpr std::uint64_t first_heartbeat_sequence = 1;
constexpr duration max_idle_wait = std::chrono::seconds{1};
constexpr duration query_report_interval = std::chrono::seconds{1};
// An upstream that has announced its end still has to exit. Its callers must not receive a reset
// before it exits.
constexpr duration flow_end_delay = std::chrono::milliseconds{300};

struct received_datagram {
    bool from_upstream = false;
    datagram message;
};
struct heartbeat_call {
    upstream_heartbeat heartbeat;
    std::function<void(heartbeat_effect)> respond;
};
struct leave_call {
    std::string name;
    std::function<void()> respond;
};
using agent_event = std::variant<received_datagram, heartbeat_call, leave_call>;

class packet_agent final : public daemon_process {
  public:
    packet_agent(process_context& context, front_end front)
        : context_(context), config_(*context.config.packets), front_end_(std::move(front)),
          events_(event_ring_size), udp_(send_ring_size), incarnation_(config_.service),
          flows_(flow_options(config_), context.clock.now()),
          surveyor_({.self = config_.forwarding}) {}

    ~packet_agent() override {
        announcements_.reset();
        readiness_.reset();
        admin_.reset();
        if (session_)
            session_->close();
        forwarding_socket_.reset();
        upstream_socket_.reset();
        events_.close();
        decide_.reset();
        udp_.close();
    }
    packet_agent(packet_agent const&) = delete;
    packet_agent& operator=(packet_agent const&) = delete;

    absl::Status start() {
        context_.events->info(event_line("serving")
                                  .add("carrier", to_string(config_.forwarding))
                                  .add("upstream", to_string(config_.upstream))
                                  .add("service", config_.service));
        session_ = std::make_unique<control_session>(context_, daemon_role::agent,
                                                     [](control_view const&) {});
        heartbeat initial;
        initial.follows_state = false;
        session_->announce(std::move(initial));
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        for (bool const from_upstream : {false, true}) {
            endpoint const bind = from_upstream ? config_.from_upstream : config_.forwarding;
            auto port = udp_port::open(udp_, {.bind = bind}, [this, from_upstream](datagram in) {
                if (!events_.try_push(received_datagram{from_upstream, std::move(in)}))
                    context_.counters.count_refusal("agent", "ring_full");
            });
            if (!port.ok())
                return port.status();
            (from_upstream ? upstream_socket_ : forwarding_socket_) = *std::move(port);
        }
        return open_http();
    }

    // The upstream keeps running and holds the flows, so an immediate stop interrupts them for the
    // shortest time.
    void begin_stop() override { context_.on_stopped(); }
    void set_seeds(std::vector<endpoint> seeds) override { session_->set_seeds(std::move(seeds)); }
    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    static upstream_flows_options flow_options(forwarding_config const& config) {
        upstream_flows_options options;
        options.service = config.service;
        options.self = config.forwarding;
        return options;
    }

    absl::Status open_http() {
        upstream_calls calls{
            [this](upstream_heartbeat heartbeat, std::function<void(heartbeat_effect)> respond) {
                if (!events_.try_push(heartbeat_call{std::move(heartbeat), std::move(respond)}))
                    context_.counters.count_refusal("agent", "ring_full");
            },
            [this](std::string name, std::function<void()> respond) {
                if (!events_.try_push(leave_call{std::move(name), std::move(respond)}))
                    context_.counters.count_refusal("agent", "ring_full");
            }};
        auto announcements =
            http_server::open(config_.announcements, front_end_.upstream_api(calls));
        if (!announcements.ok())
            return announcements.status();
        announcements_ = *std::move(announcements);
        auto readiness =
            http_server::open(config_.readiness, front_end_.readiness([] { return true; }));
        if (!readiness.ok())
            return readiness.status();
        readiness_ = *std::move(readiness);
        auto admin = open_admin(
            context_, [] { return true; }, [] { return std::string("{\"role\":\"agent\"}\n"); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    void run() {
        while (!events_.finished()) {
            time_point const idle = context_.clock.now() + max_idle_wait;
            time_point const due =
                std::min({flows_.next_due().value_or(idle), surveyor_.next_due().value_or(idle),
                          idle, flows_end_at_.value_or(idle)});
            auto event = events_.pop_until(due);
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            if (flows_end_at_ && now >= *flows_end_at_)
                end_incarnation(now);
            execute_output(flows_.on_tick(now));
            execute_output(surveyor_.on_tick(now));
            report_queries(now);
        }
    }

    void on_event(time_point now, received_datagram& in) {
        if (in.from_upstream)
            on_upstream_bytes(now, std::move(in.message.bytes));
        else
            on_forwarded_bytes(now, in.message);
    }

    void on_upstream_bytes(time_point now, std::string bytes) {
        auto const head = front_end_.packets.decode(bytes, packet_direction::to_caller);
        if (!head.ok()) {
            refuse_malformed("upstream", head.status());
            return;
        }
        if (head->returned)
            bytes = front_end_.packets.strip_marks(std::move(bytes));
        execute_output(flows_.on_upstream_packet(now, *head, std::move(bytes)));
    }

    void on_forwarded_bytes(time_point now, datagram const& in) {
        auto message = decode_forwarded_message(in.bytes);
        if (auto const* query = message.ok() ? std::get_if<holder_query>(&*message) : nullptr) {
            execute_output(flows_.on_query(now, *query));
            return;
        }
        if (auto const* survey = message.ok() ? std::get_if<holder_survey>(&*message) : nullptr) {
            execute_output(surveyor_.on_survey(now, *survey));
            return;
        }
        if (auto const* answer = message.ok() ? std::get_if<holder_answer>(&*message) : nullptr) {
            execute_output(surveyor_.on_answer(in.peer, *answer));
            return;
        }
        auto* packet = message.ok() ? std::get_if<forwarded_packet>(&*message) : nullptr;
        if (packet == nullptr) {
            refuse_malformed("carrier", message.status());
            return;
        }
        auto const head = front_end_.packets.decode(packet->packet, packet_direction::to_upstream);
        if (!head.ok()) {
            refuse_malformed("carrier", head.status());
            return;
        }
        execute_output(flows_.on_forwarded(now, *head, std::move(*packet)));
    }

    void on_event(time_point now, heartbeat_call& call) {
        bool const had_incarnation = incarnation_.current().has_value();
        heartbeat_effect const effect = incarnation_.on_heartbeat(now, call.heartbeat);
        if (effect == heartbeat_effect::new_incarnation) {
            context_.events->info(event_line("upstream_life")
                                      .add("name", call.heartbeat.name)
                                      .add("service", call.heartbeat.service)
                                      .add("born", call.heartbeat.started_at.time_since_epoch())
                                      .add("slots", call.heartbeat.slots));
            if (had_incarnation || flows_end_at_)
                end_incarnation(now);
            else if (call.heartbeat.sequence <= first_heartbeat_sequence)
                flows_.set_table_complete(now); // no flow can be older than this heartbeat
        }
        if (effect == heartbeat_effect::new_incarnation || effect == heartbeat_effect::renewed)
            announce();
        context_.counters.count(absl::StrCat("upstream_beat_", to_string(effect)));
        call.respond(effect);
    }

    void on_event(time_point now, leave_call& call) {
        if (incarnation_.on_leave(call.name)) {
            context_.events->info(event_line("upstream_left").add("name", call.name));
            flows_end_at_ = now + flow_end_delay;
            announce();
        }
        call.respond();
    }

    void end_incarnation(time_point now) {
        flows_end_at_.reset();
        execute_output(flows_.on_incarnation_ended(now));
    }

    // Announces the upstream to control if its state has changed.
    void announce() {
        auto const& latest_heartbeat = incarnation_.current();
        flows_.set_upstream(latest_heartbeat ? latest_heartbeat->slots : 1,
                            latest_heartbeat && !latest_heartbeat->draining,
                            incarnation_.warm_at());
        heartbeat content;
        content.follows_state = false;
        if (latest_heartbeat)
            content.upstreams = {make_announcement(*latest_heartbeat)};
        if (last_announced_ &&
            (!latest_heartbeat || last_announced_->name != content.upstreams.front().name ||
             last_announced_->incarnation != content.upstreams.front().incarnation))
            content.ended_upstreams = {*last_announced_};
        auto const announcement =
            latest_heartbeat ? std::optional(content.upstreams.front()) : std::nullopt;
        if (latest_heartbeat && last_announced_ == announcement)
            return;
        if (latest_heartbeat && latest_heartbeat->draining)
            context_.events->info(
                event_line("upstream_drains").add("name", latest_heartbeat->name));
        if (announcement)
            last_announced_ = announcement;
        session_->announce(std::move(content));
    }

    [[nodiscard]] upstream_announcement
    make_announcement(upstream_heartbeat const& latest_heartbeat) const {
        upstream_announcement result;
        result.service = config_.service;
        result.name = latest_heartbeat.name;
        result.incarnation = incarnation_id{
            static_cast<std::uint64_t>(latest_heartbeat.started_at.time_since_epoch().count())};
        result.agent = config_.forwarding;
        result.zone = context_.config.zone;
        result.slots = latest_heartbeat.slots;
        result.draining = latest_heartbeat.draining;
        result.reports_flows = true;
        return result;
    }

    void execute_output(surveyor_output const& output) {
        for (surveyor_output::query const& query : output.queries)
            send(forwarding_socket_, {query.agent, {}, encode_forwarded_message(query.message)});
        for (surveyor_output::result const& result : output.results)
            send(forwarding_socket_,
                 {result.balancer, {}, encode_forwarded_message(result.message)});
    }

    void execute_output(agent_output output) {
        for (agent_action& action : output.actions)
            std::visit([this](auto& body) { execute(body); }, action);
        for (auto const& [event, flow] : output.events)
            record_event(event, flow);
    }

    void execute(deliver_to_upstream& out) {
        send(upstream_socket_, {config_.upstream, {}, std::move(out.packet)});
    }
    void execute(forward_to_caller& out) {
        send(upstream_socket_,
             {{out.caller.address, config_.caller_port}, {}, std::move(out.packet)});
    }
    void execute(relay_packet& out) {
        send(forwarding_socket_, {out.agent, {}, encode_forwarded_message(out.message)});
    }
    void execute(notify_balancer& out) {
        send(forwarding_socket_, {out.balancer, {}, encode_forwarded_message(out.notice)});
    }
    void execute(answer_balancer& out) {
        for (holder_state const state : out.answer.states)
            ++answered_.states[static_cast<std::size_t>(state)];
        ++answered_.queries;
        context_.counters.count("flows_queried", static_cast<double>(out.answer.states.size()));
        send(forwarding_socket_, {out.balancer, {}, encode_forwarded_message(out.answer)});
    }
    // Logs one line for the queries of an interval: after a fault of many hosts, every balancer
    // queries every agent.
    void report_queries(time_point now) {
        if (answered_.queries == 0 || now < next_query_report_)
            return;
        next_query_report_ = now + query_report_interval;
        auto const [not_held, held, unknown] = answered_.states;
        context_.events->info(event_line("holder_queries")
                                  .add("queries", answered_.queries)
                                  .add("denied", not_held)
                                  .add("held", held)
                                  .add("unsure", unknown));
        answered_ = {};
    }
    void execute(reset_flow const& out) {
        send(upstream_socket_, {{out.flow.caller.address, config_.caller_port},
                                {},
                                front_end_.packets.encode_reset(out.flow, out.sequence)});
    }

    void send(std::unique_ptr<udp_port> const& port, datagram message) {
        if (!port || !port->send(std::move(message)))
            context_.counters.count_refusal("agent", "send_ring_full");
    }

    void record_event(flow_event event, packet_flow const& flow) {
        context_.counters.count(absl::StrCat("flow_", to_string(event)));
        if (event == flow_event::delivered)
            return;
        context_.events->info(event_line("flow")
                                  .add("what", to_string(event))
                                  .add("caller", to_string(flow.caller))
                                  .add("route", to_string(flow.route))
                                  .add("open", flows_.open_flows())
                                  .add("waiting", flows_.waiting_flows()));
    }

    void refuse_malformed(char const* source, absl::Status const& error) {
        context_.counters.count_refusal(source, "malformed");
        context_.events->rate_limited_warning(event_line("malformed_packet")
                                                  .add("from", source)
                                                  .add("reason", std::string(error.message())));
    }

    // The queries that were answered since the last report.
    struct query_counts {
        std::size_t queries = 0;
        std::array<std::size_t, 3> states{}; // flows by holder_state
    };

    process_context& context_;
    forwarding_config config_;
    front_end front_end_;
    ring<agent_event> events_;
    udp_duties udp_;
    upstream_incarnation incarnation_; // used by the decide duty only, as the next six members
    upstream_flows flows_;
    holder_surveyor surveyor_;
    query_counts answered_;
    time_point next_query_report_{};
    std::optional<upstream_announcement> last_announced_;
    std::optional<time_point> flows_end_at_; // set once the upstream has announced its end
    std::unique_ptr<udp_port> forwarding_socket_;
    std::unique_ptr<udp_port> upstream_socket_;
    std::unique_ptr<control_session> session_;
    std::unique_ptr<http_server> announcements_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> admin_;
    std::unique_ptr<duty> decide_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>> make_packet_agent(process_context& context,
                                                                  front_end const& front) {
    auto process = std::make_unique<packet_agent>(context, front);
    if (auto const status = process->start(); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
