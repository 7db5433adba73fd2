#include "programs/balancer_process.h"

#include <atomic>
#include <map>
#include <utility>
#include <variant>

#include <absl/strings/str_cat.h>

#include "programs/agent_channel.h"
#include "programs/control_session.h"
#include "programs/flow_hashing.h"
#include "src/process/io/udp_port.h"
#include "src/request/request_codec.h"
#include "toucanusher/connection/packet_steering.h"
#include "toucanusher/process/fair_ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t events_per_lane = 4096;
constexpr std::size_t sends_per_port = 4096;
// Lanes of the event ring; each service address gets one of its own.
constexpr std::uint32_t control_lane = 0;
constexpr std::uint32_t agent_lane = 1;
constexpr std::uint32_t first_service_lane = 2;
constexpr duration tick_interval = std::chrono::milliseconds{100};

struct caller_datagram {
    endpoint service_address;
    endpoint caller;
    std::string payload;
};
using balancer_event = std::variant<caller_datagram, agent_message, control_view>;

class balancer_process final : public daemon_process {
  public:
    explicit balancer_process(process_context& context)
        : context_(context), udp_(sends_per_port), events_(events_per_lane),
          steering_({context.config.name, context.config.replies},
                    make_flow_hash(*context.keys->get())) {}

    ~balancer_process() override {
        admin_.reset();
        control_.reset();
        events_.close();
        steer_.reset();
        agents_.reset();
        service_ports_.clear();
        udp_.close();
    }
    balancer_process(balancer_process const&) = delete;
    balancer_process& operator=(balancer_process const&) = delete;

    absl::Status start() {
        auto agents = agent_channel::open(
            context_, udp_, "balancer", context_.config.replies,
            [this](agent_message message) { enqueue(agent_lane, std::move(message)); });
        if (!agents.ok())
            return agents.status();
        agents_ = *std::move(agents);
        control_ = std::make_unique<control_session>(
            context_, daemon_role::balancer,
            [this](control_view view) { enqueue(control_lane, std::move(view)); });
        announce(false);
        steer_ = std::make_unique<duty>("steer", [this] { run(); });
        auto admin = open_admin(
            context_, [this] { return confirmed_ && !stopping_; }, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    void begin_stop() override {
        stopping_ = true;
        announce(true);
    }

    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    void announce(bool leaving) {
        heartbeat content;
        content.balancer =
            balancer_record{context_.config.name, incarnation_id{context_.process_instance},
                            context_.config.replies, context_.config.zone, leaving};
        content.balancer_leaving = leaving;
        control_->announce(std::move(content));
    }

    void enqueue(std::uint32_t lane, balancer_event event) {
        if (!events_.try_push(lane, std::move(event)))
            context_.counters.count_refusal("balancer", "ring_full");
    }

    void run() {
        std::optional<time_point> stop_at;
        time_point next_tick = context_.clock.now();
        while (!events_.finished()) {
            auto event = events_.pop_until(context_.clock.now() + tick_interval);
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            if (now >= next_tick) {
                agents_->on_tick(now);
                next_tick = now + tick_interval;
            }
            if (stopping_ && !stop_at)
                stop_at = now + context_.config.linger;
            if (stop_at && now >= *stop_at && !stopped_.exchange(true))
                context_.on_stopped();
        }
    }

    void on_event(time_point now, caller_datagram& received) {
        auto steered = steering_.steer(now, {received.service_address, received.caller,
                                             transport::udp, std::move(received.payload)});
        if (auto const* refusal = std::get_if<flow_refusal>(&steered)) {
            context_.counters.count_refusal("balancer", to_string(*refusal));
            return;
        }
        auto& packet = std::get<steered_packet>(steered);
        agents_->send(now, packet.agent, flow_message{std::move(packet.packet)});
    }

    void on_event(time_point now, agent_message& message) {
        auto* const flow = std::get_if<flow_message>(&message);
        if (flow == nullptr) {
            context_.counters.count_refusal("balancer", "unexpected_message");
        } else if (auto const* probe = std::get_if<path_probe>(flow)) {
            agents_->on_probe(now, *probe);
        } else if (auto* reply = std::get_if<flow_reply>(flow)) {
            if (auto const agent = steering_.agent_of(reply->from))
                agents_->record_contact(now, *agent);
            send_reply(std::move(*reply));
        } else if (auto const* rejection = std::get_if<refusal_notice>(flow)) {
            context_.counters.count_refusal("agent_said", to_string(rejection->reason));
        } else {
            context_.counters.count_refusal("balancer", "unexpected_message");
        }
    }

    void on_event(time_point now, control_view& view) {
        confirmed_ = view.confirmed;
        if (view.state->version() == steering_.version())
            return;
        steering_.apply_state(now, view.state);
        update_service_ports();
    }

    void send_reply(flow_reply reply) {
        auto answer = steering_.on_reply(std::move(reply));
        if (auto const* refusal = std::get_if<flow_refusal>(&answer)) {
            context_.counters.count_refusal("balancer", to_string(*refusal));
            return;
        }
        auto& out = std::get<caller_reply>(answer);
        auto const port = service_ports_.find(out.service_address);
        if (port == service_ports_.end() ||
            !port->second->send({out.caller, {}, std::move(out.payload)}))
            context_.counters.count_refusal("balancer", "send_ring_full");
    }

    // Opens a port for each service address in force and closes the others.
    void update_service_ports() {
        auto const wanted = steering_.service_addresses();
        std::erase_if(service_ports_, [&](auto const& item) {
            return std::find(wanted.begin(), wanted.end(), item.first) == wanted.end();
        });
        for (endpoint const address : wanted) {
            if (service_ports_.contains(address))
                continue;
            std::uint32_t const lane = next_service_lane_++;
            auto port = udp_port::open(
                udp_, {.bind = bind_address_of(address)}, [this, address, lane](datagram d) {
                    enqueue(lane, caller_datagram{address, d.peer, std::move(d.bytes)});
                });
            if (!port.ok()) {
                context_.counters.count_refusal("balancer", "address_unavailable");
                context_.events->rate_limited_warning(event_line("address_unavailable")
                                                          .add("address", to_string(address))
                                                          .add("reason", port.status().ToString()));
                continue;
            }
            service_ports_[address] = *std::move(port);
        }
    }

    [[nodiscard]] endpoint bind_address_of(endpoint service) const {
        endpoint const& local = context_.config.local;
        return local.empty() ? service : endpoint{local.address, service.port};
    }

    [[nodiscard]] std::string status() const {
        return absl::StrCat("{\"role\":\"balancer\",\"version\":", value_of(control_->applied()),
                            ",\"control_silence_ms\":", control_->time_since_contact().count(),
                            ",\"confirmed\":", confirmed_ ? "true" : "false",
                            ",\"stopping\":", stopping_ ? "true" : "false", "}\n");
    }

    process_context& context_;
    udp_duties udp_;
    fair_ring<balancer_event> events_;
    packet_steering steering_;                                    // used by the steer duty only
    std::map<endpoint, std::unique_ptr<udp_port>> service_ports_; // used by the steer duty only
    std::uint32_t next_service_lane_ = first_service_lane;
    std::unique_ptr<agent_channel> agents_;
    std::unique_ptr<control_session> control_;
    std::unique_ptr<http_server> admin_;
    std::atomic<bool> confirmed_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> stopped_{false};
    std::unique_ptr<duty> steer_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>> make_balancer_process(process_context& context) {
    auto process = std::make_unique<balancer_process>(context);
    if (auto const status = process->start(); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
