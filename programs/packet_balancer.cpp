#include "programs/packet_balancer.h"

#include <atomic>
#include <optional>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/control_session.h"
#include "src/connection/forwarded_codec.h"
#include "src/process/io/udp_port.h"
#include "toucanusher/connection/packet_router.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring_size = 8192;
constexpr std::size_t send_ring_size = 8192;
constexpr duration max_idle_wait = std::chrono::seconds{1};

struct received_datagram {
    bool from_caller = false;
    datagram message;
};
struct stop_request {
    time_point at{};
};
using balancer_event = std::variant<received_datagram, control_view, stop_request>;

class packet_balancer final : public daemon_process {
  public:
    packet_balancer(process_context& context, front_end front)
        : context_(context), config_(*context.config.packets), front_end_(std::move(front)),
          events_(event_ring_size), udp_(send_ring_size),
          router_(router_options(context), context.clock.now()) {}

    ~packet_balancer() override {
        readiness_.reset();
        admin_.reset();
        if (session_)
            session_->close();
        caller_socket_.reset();
        forwarding_socket_.reset();
        events_.close();
        decide_.reset();
        udp_.close();
    }
    packet_balancer(packet_balancer const&) = delete;
    packet_balancer& operator=(packet_balancer const&) = delete;

    absl::Status start() {
        context_.events->info(event_line("serving")
                                  .add("callers", to_string(config_.callers))
                                  .add("carrier", to_string(config_.forwarding)));
        session_ = std::make_unique<control_session>(
            context_, daemon_role::balancer, [this](control_view view) {
                if (!events_.try_push(std::move(view)))
                    context_.counters.count_refusal("balancer", "ring_full");
            });
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        for (bool const from_caller : {false, true}) {
            endpoint const bind = from_caller ? config_.callers : config_.forwarding;
            auto port = udp_port::open(udp_, {.bind = bind}, [this, from_caller](datagram in) {
                if (!events_.try_push(received_datagram{from_caller, std::move(in)}))
                    context_.counters.count_refusal("balancer", "ring_full");
            });
            if (!port.ok())
                return port.status();
            (from_caller ? caller_socket_ : forwarding_socket_) = *std::move(port);
        }
        auto const ready = [this] { return ready_.load() && !stopping_.load(); };
        auto readiness = http_server::open(config_.readiness, front_end_.readiness(ready));
        if (!readiness.ok())
            return readiness.status();
        readiness_ = *std::move(readiness);
        auto admin = open_admin(context_, ready, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    // The fabric stops sending once it has seen that this balancer is not ready. Packets that
    // arrive until then are forwarded.
    void begin_stop() override {
        stopping_ = true;
        if (!events_.try_push(stop_request{context_.clock.now() + config_.linger}))
            context_.on_stopped();
    }
    void set_seeds(std::vector<endpoint> seeds) override { session_->set_seeds(std::move(seeds)); }
    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    static packet_router_options router_options(process_context const& context) {
        packet_router_options options;
        options.self = context.config.packets->forwarding;
        options.zone = context.config.zone;
        constexpr double bytes_per_megabit = 1e6 / 8;
        options.link_bytes_per_second =
            static_cast<std::uint64_t>(context.config.packets->link_megabits * bytes_per_megabit);
        return options;
    }

    void run() {
        while (!events_.finished()) {
            time_point const idle = context_.clock.now() + max_idle_wait;
            auto event = events_.pop_until(
                std::min({router_.next_due().value_or(idle), stops_at_.value_or(idle), idle}));
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            execute_output(router_.on_tick(now));
            if (stops_at_ && now >= *stops_at_) {
                stops_at_.reset();
                context_.on_stopped();
            }
        }
    }

    void on_event(time_point /*now*/, stop_request& stop) { stops_at_ = stop.at; }

    void on_event(time_point now, control_view& view) {
        bool const has_routes = view.state->routes()->number > 0;
        if (view.confirmed && has_routes && !ready_) {
            ready_ = true;
            context_.events->info(
                event_line("ready").add("configuration", view.state->routes()->number));
        }
        router_.on_control_contact(view.last_leader_contact);
        if (state_ == view.state && confirmed_ == view.confirmed)
            return;
        confirmed_ = view.confirmed;
        if (!state_ || state_->routes()->number != view.state->routes()->number)
            context_.events->info(event_line("configuration_in_force")
                                      .add("confirmed", view.confirmed ? 1 : 0)
                                      .add("number", view.state->routes()->number)
                                      .add("routes", view.state->routes()->routes.size())
                                      .add("version", value_of(view.state->version())));
        state_ = std::move(view.state);
        execute_output(router_.set_view(now, make_view(*state_, confirmed_)));
    }

    void on_event(time_point now, received_datagram& in) {
        if (in.from_caller)
            on_caller_bytes(now, std::move(in.message.bytes));
        else
            on_agent_bytes(now, in.message);
    }

    void on_caller_bytes(time_point now, std::string bytes) {
        auto const head = front_end_.packets.decode(bytes, packet_direction::to_upstream);
        if (!head.ok()) {
            refuse_malformed("caller", head.status());
            return;
        }
        execute_output(router_.on_packet(now, *head, std::move(bytes)));
    }

    void on_agent_bytes(time_point now, datagram const& in) {
        auto const message = decode_forwarded_message(in.bytes);
        if (auto const* answer = message.ok() ? std::get_if<holder_answer>(&*message) : nullptr) {
            execute_output(router_.on_answer(now, in.peer, *answer));
            return;
        }
        if (auto const* result = message.ok() ? std::get_if<survey_result>(&*message) : nullptr) {
            execute_output(router_.on_survey_result(now, in.peer, *result));
            return;
        }
        auto const* notice = message.ok() ? std::get_if<flow_notice>(&*message) : nullptr;
        if (notice == nullptr) {
            refuse_malformed("carrier", message.status());
            return;
        }
        execute_output(router_.on_notice(now, in.peer, *notice));
    }

    static router_view make_view(fleet_state const& state, bool confirmed) {
        router_view view{state.routes(), {}, confirmed};
        for (upstream_record const* record : state.upstreams())
            if (record->announcement.reports_flows)
                view.upstreams[record->announcement.service].push_back(
                    {absl::StrCat(record->announcement.name, "/",
                                  value_of(record->ref.incarnation)),
                     record->announcement.agent, record->announcement.zone,
                     record->announcement.draining, record->announcement.slots});
        return view;
    }

    void execute_output(router_output output) {
        for (router_action& action : output.actions)
            std::visit([this](auto& body) { execute(body); }, action);
        for (router_decision const& decision : output.decisions)
            record_event(decision);
    }

    void execute(forward_to_agent& out) {
        send(forwarding_socket_, {out.agent, {}, encode_forwarded_message(out.message)});
    }
    void execute(query_agent const& out) {
        send(forwarding_socket_, {out.agent, {}, encode_forwarded_message(out.message)});
    }
    void execute(request_survey const& out) {
        send(forwarding_socket_, {out.agent, {}, encode_forwarded_message(out.message)});
    }
    void execute(refuse_flow const& out) {
        send(caller_socket_, {{out.flow.caller.address, config_.callers.port},
                              {},
                              front_end_.packets.encode_reset(out.flow, out.sequence)});
    }

    void send(std::unique_ptr<udp_port> const& port, datagram message) {
        if (!port || !port->send(std::move(message)))
            context_.counters.count_refusal("balancer", "send_ring_full");
    }

    void record_event(router_decision const& decision) {
        context_.counters.count(absl::StrCat("flow_", to_string(decision.event)));
        if (decision.elapsed)
            context_.counters.observe_seconds(
                "placed", std::chrono::duration<double>(*decision.elapsed).count());
        if (decision.event == router_event::delivered)
            return;
        context_.events->info(event_line("flow")
                                  .add("what", to_string(decision.event))
                                  .add("caller", to_string(decision.flow.caller))
                                  .add("route", to_string(decision.flow.route))
                                  .add("agent", to_string(decision.agent))
                                  .add("configuration", state_ ? state_->routes()->number : 0));
    }

    void refuse_malformed(char const* source, absl::Status const& error) {
        context_.counters.count_refusal(source, "malformed");
        context_.events->rate_limited_warning(event_line("malformed_packet")
                                                  .add("from", source)
                                                  .add("reason", std::string(error.message())));
    }

    [[nodiscard]] std::string status() const {
        return absl::StrCat("{\"role\":\"balancer\",\"ready\":", ready_ ? "true" : "false",
                            ",\"version\":", value_of(session_->applied()), "}\n");
    }

    process_context& context_;
    forwarding_config config_;
    front_end front_end_;
    ring<balancer_event> events_;
    udp_duties udp_;
    packet_router router_; // used by the decide duty only, as the next two members
    std::shared_ptr<fleet_state const> state_; // null before the first update
    bool confirmed_ = false;
    std::optional<time_point> stops_at_;
    std::atomic<bool> ready_{false}; // stays true once set
    std::atomic<bool> stopping_{false};
    std::unique_ptr<udp_port> caller_socket_;
    std::unique_ptr<udp_port> forwarding_socket_;
    std::unique_ptr<control_session> session_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> admin_;
    std::unique_ptr<duty> decide_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>> make_packet_balancer(process_context& context,
                                                                     front_end const& front) {
    auto process = std::make_unique<packet_balancer>(context, front);
    if (auto const status = process->start(); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
