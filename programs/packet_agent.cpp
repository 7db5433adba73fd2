#include "programs/packet_agent.h"

#include <array>
#include <optional>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/control_session.h"
#include "src/connection/carried_codec.h"
#include "src/process/io/udp_port.h"
#include "toucanusher/connection/upstream_flows.h"
#include "toucanusher/process/overloaded.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring = 4096;
constexpr std::size_t send_ring = 4096;
constexpr std::uint64_t first_sequence = 1; // of an upstream's announcements
constexpr duration idle_wake = std::chrono::seconds{1};
// An upstream that announced its end still has to exit; a reset must not reach its callers before.
constexpr duration end_grace = std::chrono::milliseconds{300};

struct received {
    bool from_upstream = false;
    datagram message;
};
struct beat_call {
    upstream_beat beat;
    std::function<void(beat_effect)> respond;
};
struct leave_call {
    std::string name;
    std::function<void()> respond;
};
using agent_event = std::variant<received, beat_call, leave_call>;

class packet_agent final : public daemon_process {
  public:
    packet_agent(process_context& context, front_end front)
        : context_(context), own_(*context.config.packets), front_(std::move(front)),
          events_(event_ring), udp_(send_ring), life_(own_.service),
          flows_(flow_options(own_), context.clock.now()) {}

    ~packet_agent() override {
        announcements_.reset();
        readiness_.reset();
        admin_.reset();
        if (session_)
            session_->close();
        carrier_.reset();
        upstream_.reset();
        events_.close();
        decide_.reset();
        udp_.close();
    }
    packet_agent(packet_agent const&) = delete;
    packet_agent& operator=(packet_agent const&) = delete;

    absl::Status start() {
        context_.events->info(event_line("serving")
                                  .add("carrier", to_string(own_.forwarding))
                                  .add("upstream", to_string(own_.upstream))
                                  .add("service", own_.service));
        session_ = std::make_unique<control_session>(context_, daemon_role::agent,
                                                     [](control_news const&) {});
        heartbeat silent;
        silent.follows_state = false;
        session_->announce(std::move(silent));
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        for (bool const from_upstream : {false, true}) {
            endpoint const bind = from_upstream ? own_.from_upstream : own_.forwarding;
            auto port = udp_port::open(udp_, {.bind = bind}, [this, from_upstream](datagram in) {
                if (!events_.try_push(received{from_upstream, std::move(in)}))
                    context_.counters.count_refusal("agent", "ring_full");
            });
            if (!port.ok())
                return port.status();
            (from_upstream ? upstream_ : carrier_) = *std::move(port);
        }
        return open_http();
    }

    // Flows belong to the upstream, which goes on: a quick end is the shortest gap.
    void begin_stop() override { context_.on_stopped(); }
    void set_seeds(std::vector<endpoint> seeds) override { session_->set_seeds(std::move(seeds)); }
    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    static upstream_flows_options flow_options(forwarding_config const& own) {
        upstream_flows_options options;
        options.service = own.service;
        options.self = own.forwarding;
        return options;
    }

    absl::Status open_http() {
        upstream_calls calls{
            [this](upstream_beat beat, std::function<void(beat_effect)> respond) {
                if (!events_.try_push(beat_call{std::move(beat), std::move(respond)}))
                    context_.counters.count_refusal("agent", "ring_full");
            },
            [this](std::string name, std::function<void()> respond) {
                if (!events_.try_push(leave_call{std::move(name), std::move(respond)}))
                    context_.counters.count_refusal("agent", "ring_full");
            }};
        auto announcements = http_server::open(own_.announcements, front_.upstream_api(calls));
        if (!announcements.ok())
            return announcements.status();
        announcements_ = *std::move(announcements);
        auto readiness = http_server::open(own_.readiness, front_.readiness([] { return true; }));
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
            time_point const idle = context_.clock.now() + idle_wake;
            time_point const due =
                std::min({flows_.next_due().value_or(idle), idle, ended_at_.value_or(idle)});
            auto event = events_.pop_until(due);
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            if (ended_at_ && now >= *ended_at_)
                end_life(now);
            carry_out(flows_.on_tick(now));
        }
    }

    void on_event(time_point now, received& in) {
        if (in.from_upstream)
            on_upstream_bytes(now, std::move(in.message.bytes));
        else
            on_carried_bytes(now, in.message);
    }

    void on_upstream_bytes(time_point now, std::string bytes) {
        auto const head = front_.packets.decode(bytes, packet_direction::to_caller);
        if (!head.ok()) {
            refuse_malformed("upstream", head.status());
            return;
        }
        if (head->returned)
            bytes = front_.packets.without_marks(std::move(bytes));
        carry_out(flows_.on_upstream_packet(now, *head, std::move(bytes)));
    }

    void on_carried_bytes(time_point now, datagram const& in) {
        auto message = decode_carried_message(in.bytes);
        if (auto const* query = message.ok() ? std::get_if<holder_query>(&*message) : nullptr) {
            carry_out(flows_.on_query(now, *query));
            return;
        }
        auto* packet = message.ok() ? std::get_if<carried_packet>(&*message) : nullptr;
        if (packet == nullptr) {
            refuse_malformed("carrier", message.status());
            return;
        }
        auto const head = front_.packets.decode(packet->packet, packet_direction::to_upstream);
        if (!head.ok()) {
            refuse_malformed("carrier", head.status());
            return;
        }
        carry_out(flows_.on_carried(now, *head, std::move(*packet)));
    }

    void on_event(time_point now, beat_call& call) {
        bool const had_life = life_.present().has_value();
        beat_effect const effect = life_.on_beat(now, call.beat);
        if (effect == beat_effect::new_life) {
            context_.events->info(event_line("upstream_life")
                                      .add("name", call.beat.name)
                                      .add("service", call.beat.service)
                                      .add("born", call.beat.born.time_since_epoch())
                                      .add("slots", call.beat.slots));
            if (had_life || ended_at_)
                end_life(now);
            else if (call.beat.sequence <= first_sequence)
                flows_.set_complete(now); // no flow can be older than this announcement
        }
        if (effect == beat_effect::new_life || effect == beat_effect::renewed)
            announce();
        context_.counters.count(absl::StrCat("upstream_beat_", to_string(effect)));
        call.respond(effect);
    }

    void on_event(time_point now, leave_call& call) {
        if (life_.on_leave(call.name)) {
            context_.events->info(event_line("upstream_left").add("name", call.name));
            ended_at_ = now + end_grace;
            announce();
        }
        call.respond();
    }

    void end_life(time_point now) {
        ended_at_.reset();
        carry_out(flows_.on_life_ended(now));
    }

    // Tells control what should be true of this upstream, when that has changed.
    void announce() {
        auto const& beat = life_.present();
        flows_.set_upstream(beat ? beat->slots : 1, beat && !beat->draining, life_.warm_at());
        heartbeat content;
        content.follows_state = false;
        if (beat)
            content.upstreams = {make_announcement(*beat)};
        if (announced_ && (!beat || announced_->life != content.upstreams.front().life))
            content.gone = {*announced_};
        auto const fresh = beat ? std::optional(content.upstreams.front()) : std::nullopt;
        if (beat && announced_ == fresh)
            return;
        if (beat && beat->draining)
            context_.events->info(event_line("upstream_drains").add("name", beat->name));
        if (fresh)
            announced_ = fresh;
        session_->announce(std::move(content));
    }

    [[nodiscard]] upstream_announcement make_announcement(upstream_beat const& beat) const {
        upstream_announcement said;
        said.service = own_.service;
        said.name = beat.name;
        said.life = incarnation{static_cast<std::uint64_t>(beat.born.time_since_epoch().count())};
        said.agent = own_.forwarding;
        said.zone = context_.config.zone;
        said.slots = beat.slots;
        said.draining = beat.draining;
        said.knows_flows = true;
        return said;
    }

    void carry_out(agent_output output) {
        for (agent_action& action : output.actions)
            std::visit([this](auto& body) { perform(body); }, action);
        for (auto const& [event, flow] : output.events)
            note(event, flow);
    }

    void perform(deliver_to_upstream& out) {
        send(upstream_, {own_.upstream, {}, std::move(out.packet)});
    }
    void perform(answer_caller& out) {
        send(upstream_, {{out.caller.address, own_.caller_port}, {}, std::move(out.packet)});
    }
    void perform(pass_on_packet& out) {
        send(carrier_, {out.agent, {}, encode_carried_message(out.message)});
    }
    void perform(notify_balancer& out) {
        send(carrier_, {out.balancer, {}, encode_carried_message(out.notice)});
    }
    void perform(answer_balancer& out) {
        std::array<std::size_t, 3> counts{};
        for (holder_state const state : out.answer.states)
            ++counts[static_cast<std::size_t>(state)];
        auto const [denied, held, unsure] = counts;
        context_.counters.count("flows_queried", static_cast<double>(out.answer.states.size()));
        context_.events->info(event_line("holder_query")
                                  .add("balancer", to_string(out.balancer))
                                  .add("denied", denied)
                                  .add("held", held)
                                  .add("unsure", unsure));
        send(carrier_, {out.balancer, {}, encode_carried_message(out.answer)});
    }
    void perform(reset_flow const& out) {
        send(upstream_, {{out.flow.caller.address, own_.caller_port},
                         {},
                         front_.packets.encode_reset(out.flow, out.sequence)});
    }

    void send(std::unique_ptr<udp_port> const& port, datagram message) {
        if (!port || !port->send(std::move(message)))
            context_.counters.count_refusal("agent", "send_ring_full");
    }

    void note(flow_event event, packet_flow const& flow) {
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

    void refuse_malformed(char const* where, absl::Status const& why) {
        context_.counters.count_refusal(where, "malformed");
        context_.events->rate_limited_warning(event_line("malformed_packet")
                                                  .add("from", where)
                                                  .add("reason", std::string(why.message())));
    }

    process_context& context_;
    forwarding_config own_;
    front_end front_;
    ring<agent_event> events_;
    udp_duties udp_;
    upstream_life life_; // only the decide duty touches it, as what follows
    upstream_flows flows_;
    std::optional<upstream_announcement> announced_;
    std::optional<time_point> ended_at_; // when the flows of a life that said its end are over
    std::unique_ptr<udp_port> carrier_;
    std::unique_ptr<udp_port> upstream_;
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
