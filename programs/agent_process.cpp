#include "programs/agent_process.h"

#include <atomic>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>

#include "programs/agent_channel.h"
#include "programs/control_session.h"
#include "programs/hosted_upstream.h"
#include "programs/upstream_http.h"
#include "src/process/io/udp_port.h"
#include "toucanusher/process/fair_ring.h"

namespace toucanusher {

namespace {

constexpr std::size_t events_per_lane = 8192;
constexpr std::size_t sends_per_port = 8192;
// Lanes of the event ring; upstream i uses first_session_lane + i.
constexpr std::uint32_t control_lane = 0;
constexpr std::uint32_t peer_lane = 1;
constexpr std::uint32_t http_lane = 2;
constexpr std::uint32_t first_session_lane = 3;
constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr duration probe_interval = std::chrono::milliseconds{500};
constexpr std::uint32_t session_source_base = (127U << 24U) | (64U << 16U); // 127.64.0.0
constexpr std::uint32_t session_source_count = 1U << 22U;

struct session_packet {
    std::size_t upstream = 0;
    std::uint32_t slot = 0;
    std::string payload;
};
struct probe_done {
    std::size_t upstream = 0;
    probe_result result;
};
struct attempt_done {
    std::size_t upstream = 0;
    std::optional<upstream_ref> started_by; // incarnation that started the attempt
    attempt_result result;
};
struct cancel_done {
    std::size_t upstream = 0;
    request_id id;
    std::uint32_t attempt = 0;
    cancel_result_kind kind = cancel_result_kind::no_answer;
};
using agent_event = std::variant<control_view, agent_message, session_packet, probe_done,
                                 attempt_done, cancel_done>;

// One upstream with its HTTP calls and its session port.
struct upstream_entry {
    std::unique_ptr<hosted_upstream> hosted;
    std::unique_ptr<upstream_http> http;
    std::unique_ptr<udp_port> sessions;
    bool probe_pending = false;
};

class agent_process final : public daemon_process {
  public:
    explicit agent_process(process_context& context)
        : context_(context), udp_(sends_per_port), events_(events_per_lane),
          flow_replicas_(context.process_instance) {}

    ~agent_process() override {
        admin_.reset();
        control_.reset();
        http_.reset();
        events_.close();
        decide_.reset();
        peers_.reset();
        upstreams_.clear();
        udp_.close();
    }
    agent_process(agent_process const&) = delete;
    agent_process& operator=(agent_process const&) = delete;

    absl::Status start() {
        http_ = std::make_unique<http_client>("http-client");
        control_ = std::make_unique<control_session>(
            context_, daemon_role::agent,
            [this](control_view view) { enqueue(control_lane, std::move(view)); });
        auto const budget = std::make_shared<retry_budget>();
        for (std::size_t i = 0; i < context_.config.upstreams.size(); ++i)
            if (auto const status = add_upstream(i, budget); !status.ok())
                return status;
        auto peers = agent_channel::open(
            context_, udp_, "agent", context_.config.agent,
            [this](agent_message message) { enqueue(peer_lane, std::move(message)); });
        if (!peers.ok())
            return peers.status();
        peers_ = *std::move(peers);
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        auto admin = open_admin(
            context_, [this] { return ready_ && !stopping_; }, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    void begin_stop() override { stopping_ = true; }

    [[nodiscard]] std::string unfinished_work() const override {
        return absl::StrCat(unfinished_.load(), " requests");
    }

  private:
    absl::Status add_upstream(std::size_t index, std::shared_ptr<retry_budget> const& budget) {
        upstream_config const& config = context_.config.upstreams[index];
        auto entry = std::make_unique<upstream_entry>();
        entry->http = std::make_unique<upstream_http>(config.http, *http_);
        auto const lane = first_session_lane + static_cast<std::uint32_t>(index);
        auto sessions = udp_port::open(
            udp_, {.bind = {0, config.source_port}, .any_local_address = true},
            [this, index, lane, from = config.session](datagram d) {
                if (d.peer == from && d.local.address > session_source_base)
                    enqueue(lane, session_packet{index, d.local.address - session_source_base,
                                                 std::move(d.bytes)});
                else
                    context_.counters.count_refusal("agent", "not_the_upstream");
            });
        if (!sessions.ok())
            return sessions.status();
        entry->sessions = *std::move(sessions);
        entry->hosted = std::make_unique<hosted_upstream>(context_, config, make_hooks(index),
                                                          budget, make_system_random());
        upstreams_.push_back(std::move(entry));
        return absl::OkStatus();
    }

    upstream_hooks make_hooks(std::size_t index) {
        upstream_hooks hooks;
        hooks.send_to_agent = [this](endpoint to, agent_message const& message) {
            send(to, message);
        };
        hooks.deliver_session = [this, index](std::uint32_t slot, std::string payload) {
            upstream_entry& entry = *upstreams_[index];
            endpoint const source{session_source_base + slot % session_source_count, 0};
            if (!entry.sessions->send({entry.hosted->config().session, source, std::move(payload)}))
                context_.counters.count_refusal("agent", "send_ring_full");
        };
        hooks.run = [this, index](start_attempt const& attempt) {
            auto const started_by = upstreams_[index]->hosted->self();
            upstreams_[index]->http->run(attempt, [this, index, started_by](attempt_result result) {
                enqueue(http_lane, attempt_done{index, started_by, std::move(result)});
            });
        };
        hooks.cancel = [this, index](cancel_attempt const& attempt) {
            upstreams_[index]->http->cancel(
                attempt,
                [this, index](request_id id, std::uint32_t number, cancel_result_kind kind) {
                    enqueue(http_lane, cancel_done{index, id, number, kind});
                });
        };
        hooks.release = [this](release_buckets command) { control_->release(std::move(command)); };
        return hooks;
    }

    void enqueue(std::uint32_t lane, agent_event event) {
        if (!events_.try_push(lane, std::move(event)))
            context_.counters.count_refusal("agent", "ring_full");
    }

    void send(endpoint to, agent_message const& message) {
        peers_->send(context_.clock.now(), to, message);
    }

    void run() {
        time_point next_tick = context_.clock.now();
        time_point next_probe = next_tick;
        while (!events_.finished()) {
            auto event = events_.pop_until(next_tick);
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto& body) { on_event(now, body); }, *event);
            if (now < next_tick)
                continue;
            next_tick = now + tick_interval;
            peers_->on_tick(now);
            for (auto const& entry : upstreams_)
                entry->hosted->on_tick(now);
            if (now >= next_probe) {
                next_probe = now + probe_interval;
                probe_all();
            }
            announce(now);
            publish_progress(now);
        }
    }

    void on_event(time_point now, control_view& view) {
        ready_ = view.confirmed;
        flow_replicas_.apply_state(*view.state);
        for (auto const& entry : upstreams_)
            entry->hosted->on_control_view(now, view);
    }

    void on_event(time_point now, agent_message& message) {
        record_sender(now, message);
        auto const* flow_part = std::get_if<flow_message>(&message);
        if (auto const* probe =
                flow_part == nullptr ? nullptr : std::get_if<path_probe>(flow_part)) {
            peers_->on_probe(now, *probe);
            return;
        }
        upstream_ref const target = find_target(message);
        for (auto const& entry : upstreams_) {
            if (!entry->hosted->is_target(target))
                continue;
            if (auto* flow = std::get_if<flow_message>(&message))
                entry->hosted->on_flow_message(now, std::move(*flow), flow_replicas_);
            else
                entry->hosted->on_run_message(now, std::get<run_message>(message));
            return;
        }
        refuse_unknown_target(message);
    }

    void on_event(time_point now, session_packet& packet) {
        upstreams_[packet.upstream]->hosted->on_session_packet(now, packet.slot,
                                                               std::move(packet.payload));
    }

    void on_event(time_point now, probe_done& done) {
        upstreams_[done.upstream]->probe_pending = false;
        upstreams_[done.upstream]->hosted->on_probe(now, done.result);
        announce(now);
    }

    void on_event(time_point now, attempt_done& done) {
        hosted_upstream& hosted = *upstreams_[done.upstream]->hosted;
        if (hosted.self() == done.started_by)
            hosted.on_attempt_result(now, std::move(done.result));
    }

    void on_event(time_point now, cancel_done& done) {
        upstreams_[done.upstream]->hosted->on_cancel_result(now, done.id, done.attempt, done.kind);
    }

    // Records contact with the sender if the message names its address.
    void record_sender(time_point now, agent_message const& message) {
        auto const* flow = std::get_if<flow_message>(&message);
        if (flow == nullptr)
            return;
        if (auto const* packet = std::get_if<flow_packet>(flow))
            peers_->record_contact(now, packet->balancer);
        if (auto const* query = std::get_if<flow_query>(flow))
            peers_->record_contact(now, query->owner_agent);
        if (auto const* store = std::get_if<replication_batch>(flow))
            peers_->record_contact(now, store->holder_agent);
    }

    // Returns the upstream that a message is addressed to; an empty reference if it names none.
    static upstream_ref find_target(agent_message const& message) {
        auto const find_in_body = [](auto const& body) -> upstream_ref {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, flow_query>)
                return body.packet.target;
            else if constexpr (std::is_same_v<body_type, replication_ack> ||
                               std::is_same_v<body_type, recovery_page>)
                return body.holder;
            else if constexpr (requires { body.target; })
                return body.target;
            else
                return {};
        };
        return std::visit(
            [&](auto const& group) {
                return std::visit([&](auto const& body) { return find_in_body(body); }, group);
            },
            message);
    }

    // Refuses a message for an upstream that is not served here: the address belonged to another
    // upstream before, or the target's announcement is not applied yet.
    void refuse_unknown_target(agent_message const& message) {
        context_.counters.count_refusal("agent", to_string(flow_refusal::wrong_upstream));
        auto const* flow = std::get_if<flow_message>(&message);
        auto const* packet = flow == nullptr ? nullptr : std::get_if<flow_packet>(flow);
        if (packet != nullptr)
            send(packet->balancer,
                 flow_message{refusal_notice{packet->flow, packet->target,
                                             flow_refusal::wrong_upstream, control_->applied()}});
    }

    void probe_all() {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i]->probe_pending)
                continue;
            upstreams_[i]->probe_pending = true;
            upstreams_[i]->http->probe([this, i](probe_result result) {
                enqueue(http_lane, probe_done{i, std::move(result)});
            });
        }
    }

    void announce(time_point now) {
        heartbeat content;
        for (auto const& entry : upstreams_) {
            if (auto const announcement = entry->hosted->announcement(now))
                content.upstreams.push_back(*announcement);
            if (auto const& ended = entry->hosted->ended_announcement())
                content.ended_upstreams.push_back(*ended);
        }
        if (last_announced_ && *last_announced_ == content)
            return;
        last_announced_ = content;
        control_->announce(std::move(content));
    }

    void publish_progress(time_point now) {
        std::size_t unfinished = 0;
        std::string upstream_status;
        for (auto const& entry : upstreams_) {
            unfinished += entry->hosted->unfinished_requests();
            absl::StrAppend(&upstream_status, upstream_status.empty() ? "" : ",",
                            entry->hosted->status());
            context_.counters.set(absl::StrCat("flows_", entry->hosted->config().name),
                                  static_cast<double>(entry->hosted->flow_count()));
        }
        {
            std::lock_guard const lock(mutex_);
            upstream_status_ = std::move(upstream_status);
        }
        unfinished_ = unfinished;
        if (!stopping_)
            return;
        for (auto const& entry : upstreams_)
            entry->hosted->stop(now);
        if (unfinished == 0 && !stopped_.exchange(true))
            context_.on_stopped();
    }

    [[nodiscard]] std::string status() const {
        std::lock_guard const lock(mutex_);
        return absl::StrCat("{\"role\":\"agent\",\"version\":", value_of(control_->applied()),
                            ",\"control_silence_ms\":", control_->time_since_contact().count(),
                            ",\"upstreams\":[", upstream_status_, "]}\n");
    }

    process_context& context_;
    udp_duties udp_;
    fair_ring<agent_event> events_;
    flow_replica_store flow_replicas_; // used by the decide duty only
    std::vector<std::unique_ptr<upstream_entry>> upstreams_;
    std::unique_ptr<agent_channel> peers_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<control_session> control_;
    std::unique_ptr<http_server> admin_;
    std::optional<heartbeat> last_announced_; // used by the decide duty only
    mutable std::mutex mutex_;
    std::string upstream_status_; // guarded by mutex_
    std::atomic<std::size_t> unfinished_{0};
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> stopped_{false};
    std::unique_ptr<duty> decide_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>> make_agent_process(process_context& context) {
    auto process = std::make_unique<agent_process>(context);
    if (auto const status = process->start(); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
