#include "programs/packet_balancer.h"

#include <atomic>
#include <optional>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/control_session.h"
#include "src/connection/carried_codec.h"
#include "src/process/io/udp_port.h"
#include "toucanusher/connection/packet_router.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring = 8192;
constexpr std::size_t send_ring = 8192;
constexpr duration idle_wake = std::chrono::seconds{1};

struct received {
    bool from_caller = false;
    datagram message;
};
struct stop_at {
    time_point when{};
};
using balancer_event = std::variant<received, control_news, stop_at>;

class packet_balancer final : public daemon_process {
  public:
    packet_balancer(process_context& context, front_end front)
        : context_(context), own_(*context.config.packets), front_(std::move(front)),
          events_(event_ring), udp_(send_ring),
          router_(router_options(context), context.clock.now()) {}

    ~packet_balancer() override {
        readiness_.reset();
        admin_.reset();
        if (session_)
            session_->close();
        callers_.reset();
        carrier_.reset();
        events_.close();
        decide_.reset();
        udp_.close();
    }
    packet_balancer(packet_balancer const&) = delete;
    packet_balancer& operator=(packet_balancer const&) = delete;

    absl::Status start() {
        context_.events->info(event_line("serving")
                                  .add("callers", to_string(own_.callers))
                                  .add("carrier", to_string(own_.forwarding)));
        session_ = std::make_unique<control_session>(
            context_, daemon_role::balancer, [this](control_news news) {
                if (!events_.try_push(std::move(news)))
                    context_.counters.count_refusal("balancer", "ring_full");
            });
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        for (bool const from_caller : {false, true}) {
            endpoint const bind = from_caller ? own_.callers : own_.forwarding;
            auto port = udp_port::open(udp_, {.bind = bind}, [this, from_caller](datagram in) {
                if (!events_.try_push(received{from_caller, std::move(in)}))
                    context_.counters.count_refusal("balancer", "ring_full");
            });
            if (!port.ok())
                return port.status();
            (from_caller ? callers_ : carrier_) = *std::move(port);
        }
        auto const ready = [this] { return ready_.load() && !stopping_.load(); };
        auto readiness = http_server::open(own_.readiness, front_.readiness(ready));
        if (!readiness.ok())
            return readiness.status();
        readiness_ = *std::move(readiness);
        auto admin = open_admin(context_, ready, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    // The fabric stops sending once it has seen that this balancer is not ready; packets that
    // still come are carried until then.
    void begin_stop() override {
        stopping_ = true;
        if (!events_.try_push(stop_at{context_.clock.now() + own_.linger}))
            context_.on_stopped();
    }
    void set_seeds(std::vector<endpoint> seeds) override { session_->set_seeds(std::move(seeds)); }
    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    static packet_router_options router_options(process_context const& context) {
        packet_router_options options;
        options.self = context.config.packets->forwarding;
        options.zone = context.config.zone;
        return options;
    }

    void run() {
        while (!events_.finished()) {
            time_point const idle = context_.clock.now() + idle_wake;
            auto event = events_.pop_until(
                std::min({router_.next_due().value_or(idle), stop_at_.value_or(idle), idle}));
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            carry_out(router_.on_tick(now));
            if (stop_at_ && now >= *stop_at_) {
                stop_at_.reset();
                context_.on_stopped();
            }
        }
    }

    void on_event(time_point /*now*/, stop_at& stop) { stop_at_ = stop.when; }

    void on_event(time_point now, control_news& news) {
        bool const has_routes = news.state->routes()->number > 0;
        if (news.confirmed && has_routes && !ready_) {
            ready_ = true;
            context_.events->info(
                event_line("ready").add("configuration", news.state->routes()->number));
        }
        router_.heard_control(news.heard);
        if (state_ == news.state)
            return;
        if (!state_ || state_->routes()->number != news.state->routes()->number)
            context_.events->info(event_line("configuration_in_force")
                                      .add("number", news.state->routes()->number)
                                      .add("routes", news.state->routes()->routes.size())
                                      .add("version", value_of(news.state->version())));
        state_ = std::move(news.state);
        carry_out(router_.set_view(now, make_view(*state_)));
    }

    void on_event(time_point now, received& in) {
        if (in.from_caller)
            on_caller_bytes(now, std::move(in.message.bytes));
        else
            on_carrier_bytes(now, in.message);
    }

    void on_caller_bytes(time_point now, std::string bytes) {
        auto const head = front_.packets.decode(bytes, packet_direction::to_upstream);
        if (!head.ok()) {
            refuse_malformed("caller", head.status());
            return;
        }
        carry_out(router_.on_packet(now, *head, std::move(bytes)));
    }

    void on_carrier_bytes(time_point now, datagram const& in) {
        auto const message = decode_carried_message(in.bytes);
        if (auto const* answer = message.ok() ? std::get_if<holder_answer>(&*message) : nullptr) {
            carry_out(router_.on_answer(now, in.peer, *answer));
            return;
        }
        auto const* notice = message.ok() ? std::get_if<flow_notice>(&*message) : nullptr;
        if (notice == nullptr) {
            refuse_malformed("carrier", message.status());
            return;
        }
        carry_out(router_.on_notice(now, in.peer, *notice));
    }

    static router_view make_view(fleet_state const& state) {
        router_view view{state.routes(), {}};
        for (upstream_record const* record : state.upstreams())
            if (record->said.knows_flows)
                view.upstreams[record->said.service].push_back(
                    {absl::StrCat(record->said.name, "/", value_of(record->ref.life)),
                     record->said.agent, record->said.zone, record->said.draining,
                     record->said.slots});
        return view;
    }

    void carry_out(router_output output) {
        for (router_action& action : output.actions)
            std::visit([this](auto& body) { perform(body); }, action);
        for (router_note const& what : output.notes)
            note(what);
    }

    void perform(carry_to_agent& out) {
        send(carrier_, {out.agent, {}, encode_carried_message(out.message)});
    }
    void perform(query_agent const& out) {
        send(carrier_, {out.agent, {}, encode_carried_message(out.message)});
    }
    void perform(refuse_flow const& out) {
        send(callers_, {{out.flow.caller.address, own_.callers.port},
                        {},
                        front_.packets.encode_reset(out.flow, out.sequence)});
    }

    void send(std::unique_ptr<udp_port> const& port, datagram message) {
        if (!port || !port->send(std::move(message)))
            context_.counters.count_refusal("balancer", "send_ring_full");
    }

    void note(router_note const& decision) {
        context_.counters.count(absl::StrCat("flow_", to_string(decision.what)));
        if (decision.took)
            context_.counters.observe_seconds(
                "placed", std::chrono::duration<double>(*decision.took).count());
        if (decision.what == router_event::delivered)
            return;
        context_.events->info(event_line("flow")
                                  .add("what", to_string(decision.what))
                                  .add("caller", to_string(decision.flow.caller))
                                  .add("route", to_string(decision.flow.route))
                                  .add("agent", to_string(decision.agent))
                                  .add("configuration", state_ ? state_->routes()->number : 0));
    }

    void refuse_malformed(char const* where, absl::Status const& why) {
        context_.counters.count_refusal(where, "malformed");
        context_.events->rate_limited_warning(event_line("malformed_packet")
                                                  .add("from", where)
                                                  .add("reason", std::string(why.message())));
    }

    [[nodiscard]] std::string status() const {
        return absl::StrCat("{\"role\":\"balancer\",\"ready\":", ready_ ? "true" : "false",
                            ",\"version\":", value_of(session_->applied()), "}\n");
    }

    process_context& context_;
    forwarding_config own_;
    front_end front_;
    ring<balancer_event> events_;
    udp_duties udp_;
    packet_router router_;                     // only the decide duty touches it, as what follows
    std::shared_ptr<fleet_state const> state_; // null until control was heard
    std::optional<time_point> stop_at_;
    std::atomic<bool> ready_{false}; // never goes back to false
    std::atomic<bool> stopping_{false};
    std::unique_ptr<udp_port> callers_;
    std::unique_ptr<udp_port> carrier_;
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
