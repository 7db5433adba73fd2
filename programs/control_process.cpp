#include "programs/control_process.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>

#include "programs/control_link_acknowledger.h"
#include "programs/control_links.h"
#include "src/process/io/host_identity.h"
#include "src/process/io/link.h"
#include "src/process/io/log_store.h"
#include "src/version/control_codec.h"
#include "src/version/state_codec.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/version/control_host.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring_size = 8192;
constexpr std::size_t disk_ring_size = 4096;
constexpr std::size_t max_client_keys = 4096; // bounds client_keys_
constexpr duration tick_interval = std::chrono::milliseconds{10};
// Between surveys of the control hosts, for the log and the metrics.
constexpr duration survey_interval = std::chrono::seconds{1};
// Delay before a failed disk write is retried. Until it succeeds, this host acknowledges nothing.
constexpr duration disk_retry_interval = std::chrono::milliseconds{250};
// The timeouts tolerate a process that shares a core with others and stalls for a tenth of a
// second.
constexpr duration automatic_heartbeat_interval = std::chrono::milliseconds{100};
constexpr duration automatic_election_timeout = std::chrono::milliseconds{600};
// The first election starts early, since nothing is served without a leader. A campaign takes about
// 30 ms.
constexpr duration automatic_first_election_timeout = std::chrono::milliseconds{60};

struct received_bytes {
    link_peer peer{};
    std::string bytes;
};
// Wakes the decide duty, which reads synced_sequence_.
struct writes_synced {};
struct configuration_write {
    configuration candidate;
    configuration_responder respond;
};
struct configuration_read {
    configuration_responder respond;
};
struct seed_update {
    std::vector<endpoint> links;
};
using control_event = std::variant<received_bytes, writes_synced, configuration_write,
                                   configuration_read, seed_update>;

class control_process final : public daemon_process {
  public:
    control_process(process_context& context, operator_api_hook operator_api)
        : context_(context), operator_api_(std::move(operator_api)), events_(event_ring_size),
          writes_(disk_ring_size), disk_retry_stop_(1), links_(context), acknowledger_(context) {}

    ~control_process() override {
        admin_.reset();
        api_.reset();
        readiness_.reset();
        if (server_)
            server_->close();
        events_.close();
        decide_.reset();
        writes_.close();
        disk_retry_stop_.close();
        disk_.reset();
    }
    control_process(control_process const&) = delete;
    control_process& operator=(control_process const&) = delete;

    absl::Status start(log_start mode) {
        if (auto const status = open_store(); !status.ok())
            return status;
        durable_log stored = store_->contents();
        if (auto const status = initialize_log(mode, stored); !status.ok())
            return status;
        if (store_->truncated_bytes() > 0)
            context_.events->warning(
                event_line("log_tail_dropped").add("bytes", store_->truncated_bytes()));
        host_ =
            std::make_unique<control_host>(make_options(), make_state_codec(), std::move(stored),
                                           context_.clock.now(), make_system_random());
        host_->set_seeds(seed_link_addresses(context_.config));
        if (auto const status = open_server(); !status.ok())
            return status;
        disk_ = std::make_unique<duty>("disk", [this] { sync_writes(); });
        decide_ = std::make_unique<duty>("decide", [this] { run(); });
        return open_http();
    }

    void set_seeds(std::vector<endpoint> seeds) override {
        if (!events_.try_push(seed_update{std::move(seeds)}))
            context_.counters.count_refusal("control", "ring_full");
    }

    void begin_stop() override {
        // Accepted writes are durable already, and the other hosts keep serving.
        context_.on_stopped();
    }

    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    absl::Status open_store() {
        std::string const& folder = context_.config.data_folder;
        auto store = log_store::open(folder);
        if (!store.ok() && absl::IsDataLoss(store.status()) && context_.config.discovered_control) {
            // Votes and entries that this host acknowledged are lost, so it must not take part
            // under its old identity again.
            context_.events->error(
                event_line("disk_damaged").add("reason", store.status().ToString()));
            if (auto const status = log_store::discard(folder); !status.ok())
                return status;
            store = log_store::open(folder);
        }
        if (!store.ok())
            return store.status();
        store_ = *std::move(store);
        if (!context_.config.discovered_control)
            return absl::OkStatus();
        auto const identity = load_host_identity(folder, make_system_random());
        if (!identity.ok())
            return identity.status();
        context_.config.id = *identity;
        return absl::OkStatus();
    }

    control_options make_options() const {
        control_options options;
        options.log.self = context_.config.id;
        options.member_lease = context_.config.member_lease;
        options.wall_clock = [] {
            return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
        };
        if (auto const& automatic = context_.config.discovered_control) {
            options.automatic_hosts.emplace();
            options.automatic_hosts->voters = 2 * automatic->tolerated_losses + 1;
            options.self_address = automatic->listen;
            options.may_found = automatic->may_found && store_->was_empty();
            options.log.heartbeat_interval = automatic_heartbeat_interval;
            options.log.election_timeout = automatic_election_timeout;
            options.log.first_election_timeout = automatic_first_election_timeout;
        }
        return options;
    }

    absl::Status initialize_log(log_start mode, durable_log& stored) {
        return context_.config.discovered_control ? initialize_automatic_log(stored)
                                                  : initialize_configured_log(mode, stored);
    }

    // The host at the lowest seed address creates the log with itself as its only voter; the others
    // join it. If a redirector has that address, it appoints a host to create the log. The log is
    // created only once: a host that loses its disk later joins as well.
    absl::Status initialize_automatic_log(durable_log& stored) {
        auto const& seeds = context_.config.seeds;
        discovered_control_config const& automatic = *context_.config.discovered_control;
        bool const founds_fleet = store_->was_empty() && automatic.may_found && !seeds.empty() &&
                                  *std::min_element(seeds.begin(), seeds.end()) == automatic.api;
        context_.events->info(event_line("control_host")
                                  .add("id", value_of(context_.config.id))
                                  .add("empty", store_->was_empty() ? 1 : 0)
                                  .add("founds", founds_fleet ? 1 : 0));
        if (!founds_fleet)
            return absl::OkStatus();
        log_members& members = stored.snapshot.members;
        members.voters = {context_.config.id};
        members.addresses[context_.config.id] = automatic.listen;
        return write_initial_members(stored);
    }

    // A host that lost its disk must not vote again under its old id, so an empty folder requires
    // --new-cluster or --join.
    absl::Status initialize_configured_log(log_start mode, durable_log& stored) {
        bool const empty = store_->was_empty();
        if (mode == log_start::existing && empty)
            return absl::FailedPreconditionError(
                absl::StrCat(context_.config.data_folder,
                             " is empty: start with --new-cluster, or with --join under a new id"));
        if (mode != log_start::existing && !empty)
            return absl::FailedPreconditionError(
                absl::StrCat(context_.config.data_folder, " already holds a log"));
        if (mode != log_start::new_cluster)
            return absl::OkStatus();
        for (auto const& [id, address] : context_.config.control_hosts)
            stored.snapshot.members.voters.push_back(id);
        return write_initial_members(stored);
    }

    absl::Status write_initial_members(durable_log const& stored) {
        disk_write initial;
        initial.snapshot = stored.snapshot;
        return store_->append({initial});
    }

    [[nodiscard]] endpoint own_address() const {
        return context_.config.discovered_control
                   ? context_.config.discovered_control->listen
                   : context_.config.control_hosts.at(context_.config.id);
    }

    absl::Status open_server() {
        auto server = link_server::open(own_address(), [this](link_peer peer, std::string bytes) {
            if (!events_.try_push(received_bytes{peer, std::move(bytes)}))
                context_.counters.count_refusal("control", "ring_full");
        });
        if (!server.ok())
            return server.status();
        server_ = *std::move(server);
        return absl::OkStatus();
    }

    absl::Status open_http() {
        auto admin = open_admin(
            context_, [this] { return has_leader_.load(); }, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        if (!context_.config.discovered_control)
            return absl::OkStatus();
        operator_calls const calls{
            [this](configuration candidate, configuration_responder respond) {
                enqueue_call(configuration_write{std::move(candidate), respond}, respond);
            },
            [this](configuration_responder respond) {
                enqueue_call(configuration_read{respond}, respond);
            },
            [this] { return has_leader_.load(); }};
        discovered_control_config const& automatic = *context_.config.discovered_control;
        auto api = http_server::open(automatic.api, operator_api_(calls, automatic.api.port));
        if (!api.ok())
            return api.status();
        api_ = *std::move(api);
        auto readiness =
            http_server::open(automatic.readiness, operator_api_(calls, automatic.api.port));
        if (!readiness.ok())
            return readiness.status();
        readiness_ = *std::move(readiness);
        return absl::OkStatus();
    }

    void enqueue_call(control_event event, configuration_responder const& respond) {
        if (events_.try_push(std::move(event)))
            return;
        context_.counters.count_refusal("control", "ring_full");
        respond({});
    }

    void run() {
        time_point next_tick = context_.clock.now();
        while (!events_.finished()) {
            auto event = events_.pop_until(next_tick);
            time_point const now = context_.clock.now();
            if (event)
                std::visit([&](auto const& body) { on_event(now, body); }, *event);
            report_synced_writes(now);
            if (now < next_tick)
                continue;
            next_tick = now + tick_interval;
            execute_output(host_->on_tick(now));
            links_.on_tick(now);
            publish_leadership();
            if (context_.config.discovered_control && now >= next_survey_) {
                next_survey_ = now + survey_interval;
                report_survey(now);
            }
        }
    }

    void on_event(time_point /*now*/, writes_synced const& /*wake*/) {}

    void report_synced_writes(time_point now) {
        std::uint64_t const synced = synced_sequence_.load();
        if (synced == reported_sequence_)
            return;
        reported_sequence_ = synced;
        execute_output(host_->on_synced(now, synced));
    }

    void on_event(time_point now, configuration_write const& write) {
        std::uint64_t const call = next_call_id_++;
        pending_calls_[call] = write.respond;
        context_.events->info(event_line("configuration_offered")
                                  .add("call", call)
                                  .add("number", write.candidate.number)
                                  .add("in_force", host_->state().routes()->number));
        execute_output(host_->on_configuration(now, call, write.candidate));
    }

    void on_event(time_point now, configuration_read const& read) {
        std::uint64_t const call = next_call_id_++;
        pending_calls_[call] = read.respond;
        execute_output(host_->on_configuration_read(now, call));
    }

    void on_event(time_point /*now*/, seed_update const& seeds) { host_->set_seeds(seeds.links); }

    void on_event(time_point now, received_bytes const& received) {
        auto opened = context_.sealer->open(received.bytes);
        if (auto const* refusal = std::get_if<seal_refusal>(&opened)) {
            context_.counters.count_refusal("control", to_string(*refusal));
            return;
        }
        auto const& plain = std::get<opened_message>(opened);
        auto message = decode_control_message(plain.plaintext);
        if (!message.ok()) {
            context_.counters.count_refusal("control", "malformed");
            return;
        }
        client_id const client{static_cast<std::uint32_t>(received.peer)};
        if (auto* request = std::get_if<operator_request>(&*message)) {
            // Evicts the oldest connection, which was closed long ago.
            if (client_keys_.size() >= max_client_keys)
                client_keys_.erase(client_keys_.begin());
            client_keys_[client] = plain.key;
            execute_output(host_->on_operator(now, client, plain.team(), std::move(*request)));
        } else if (!plain.from_fleet()) {
            context_.counters.count_refusal("control", "not_authorised");
        } else if (auto const* daemon_heartbeat = std::get_if<heartbeat>(&*message)) {
            client_keys_.erase(client);
            execute_output(host_->on_heartbeat(now, client, *daemon_heartbeat));
        } else if (auto const* directory = std::get_if<join_answer>(&*message)) {
            links_.record_contact(directory->sender);
            bool const was_member = host_->is_member();
            execute_output(host_->on_referral(now, *directory));
            if (!was_member && host_->is_member())
                context_.events->info(
                    event_line("founds").add("appointed_by", to_string(directory->sender)));
        } else {
            on_peer_message(now, received.peer, *message);
        }
    }

    // Messages of other control hosts are wrapped in a host_message that names their sender.
    void on_peer_message(time_point now, link_peer from, control_message const& message) {
        auto const* wrapped = std::get_if<host_message>(&message);
        if (wrapped == nullptr) {
            context_.counters.count_refusal("control", "unexpected_message");
            return;
        }
        acknowledger_.on_host_message(now, *server_, from);
        auto inner = decode_control_message(wrapped->content);
        if (!inner.ok()) {
            context_.counters.count_refusal("control", "malformed");
            return;
        }
        links_.record_contact(wrapped->address);
        host_->on_host_contact(now, wrapped->from, wrapped->address);
        execute_output(host_->on_host_message(now, wrapped->from, *std::move(inner)));
    }

    void execute_output(control_output output) {
        for (control_refusal const reason : output.refusals)
            context_.counters.count_refusal("control", to_string(reason));
        for (repeated_updates const& repeat : output.repeats)
            record_repeat(repeat);
        if (!output.writes.empty() && !writes_.try_push(std::move(output.writes))) {
            // A host that cannot store writes must not acknowledge any, so it stops.
            stop_with_error("disk_ring_full", "the disk cannot keep up with the log");
        }
        for (send_to_host const& out : output.to_hosts)
            if (auto const address = find_address(out.host))
                send_to_peer(*address, out.message);
        for (send_to_address const& out : output.to_addresses)
            send_to_peer(out.address, out.message);
        for (send_to_client const& out : output.to_clients)
            send_client_message(out);
        for (configuration_answer const& answer : output.configurations)
            answer_call(answer);
    }

    void record_repeat(repeated_updates const& repeat) {
        context_.counters.count("updates_repeated");
        context_.events->rate_limited_warning(event_line("updates_repeated")
                                                  .add("daemon", repeat.daemon)
                                                  .add("applied", value_of(repeat.applied))
                                                  .add("sent", value_of(repeat.sent)));
    }

    [[nodiscard]] std::optional<endpoint> find_address(host_id host) const {
        if (auto const address = host_->address_of(host))
            return address;
        auto const named = context_.config.control_hosts.find(host);
        return named == context_.config.control_hosts.end() ? std::nullopt
                                                            : std::optional{named->second};
    }

    void send_to_peer(endpoint address, control_message const& message) {
        host_message const wrapped{context_.config.id, own_address(),
                                   encode_control_message(message)};
        links_.send(context_.clock.now(), address,
                    context_.sealer->seal(encode_control_message(wrapped)));
    }

    void answer_call(configuration_answer const& answer) {
        auto const pending = pending_calls_.find(answer.call);
        if (pending == pending_calls_.end())
            return;
        if (answer.verdict != configuration_verdict::current)
            context_.events->info(event_line("configuration_answered")
                                      .add("call", answer.call)
                                      .add("verdict", to_string(answer.verdict))
                                      .add("in_force", host_->state().routes()->number)
                                      .add("term", host_->log().term()));
        configuration_responder const respond = std::move(pending->second);
        pending_calls_.erase(pending);
        respond(answer);
    }

    void send_client_message(send_to_client const& out) {
        std::string const bytes = encode_control_message(out.message);
        // An operator's answer is sealed with the key that sealed its request.
        auto const key = client_keys_.find(out.client);
        std::string const sealed = key == client_keys_.end()
                                       ? context_.sealer->seal(bytes)
                                       : context_.sealer->seal_as(key->second, bytes);
        context_.counters.count("control_bytes_sent", static_cast<double>(sealed.size()));
        if (!server_->send(link_peer{static_cast<std::uint32_t>(out.client)}, sealed))
            context_.counters.count_refusal("control", "link_send_failed");
    }

    void sync_writes() {
        while (auto batch = writes_.pop()) {
            // Batches that are queued already share one sync.
            std::vector<disk_write> all = std::move(*batch);
            while (writes_.size() > 0)
                if (auto more = writes_.pop())
                    std::move(more->begin(), more->end(), std::back_inserter(all));
            if (!append_with_retry(all))
                return;
            context_.counters.count("disk_syncs");
            synced_sequence_ = all.back().sequence;
            // If the ring is full, the decide duty reads the sequence after its next event.
            (void)events_.try_push(writes_synced{});
        }
    }

    // Appends the writes, and retries while the disk fails: the other hosts keep serving, and
    // writes that are not synced are never acknowledged. Returns false once the process stops.
    bool append_with_retry(std::vector<disk_write> const& writes) {
        absl::Status status = store_->append(writes);
        if (status.ok())
            return true;
        context_.events->error(event_line("disk_failed").add("reason", status.ToString()));
        while (!status.ok()) {
            (void)disk_retry_stop_.pop_until(context_.clock.now() + disk_retry_interval);
            if (disk_retry_stop_.finished())
                return false;
            status = store_->recover();
            if (status.ok())
                status = store_->append(writes);
        }
        context_.events->info(event_line("disk_recovered"));
        return true;
    }

    void stop_with_error(char const* event, std::string const& reason) {
        context_.events->error(event_line(event).add("reason", reason));
        context_.on_stopped();
    }

    void publish_leadership() {
        has_leader_ = host_->log().leader().has_value();
        version_ = value_of(host_->state().version());
        term_ = host_->log().term();
        bool const is_leader = host_->log().role() == log_role::leader;
        context_.counters.set("leader", is_leader ? 1 : 0);
        context_.counters.set("applied_version", static_cast<double>(version_));
        context_.counters.set("log_entries", static_cast<double>(host_->log().entry_count()));
        if (is_leader != is_leader_)
            context_.events->info(
                event_line(is_leader ? "leads" : "follows").add("term", term_.load()));
        is_leader_ = is_leader;
    }

    // Reports a log without a leader and hosts that are not admitted to it.
    void report_survey(time_point now) {
        auto const leaderless = host_->leaderless_for(now);
        bool const leads = host_->log().role() == log_role::leader;
        if (!leaderless && !leads)
            return; // a follower has contact with the leader only
        host_survey const survey = host_->survey_hosts(now);
        context_.counters.set("control_voters", static_cast<double>(survey.voters));
        context_.counters.set("control_voters_reachable",
                              static_cast<double>(survey.voters_reachable));
        context_.counters.set("control_learners", static_cast<double>(survey.learners));
        context_.counters.set("control_places_free", static_cast<double>(survey.places_free));
        context_.counters.set("control_hosts_waiting", static_cast<double>(survey.waiting.size()));
        auto const add_members = [&](event_line line) {
            return line.add("voters", survey.voters)
                .add("voters_reachable", survey.voters_reachable)
                .add("learners", survey.learners)
                .add("learners_reachable", survey.learners_reachable)
                .add("places_free", survey.places_free);
        };
        if (leaderless)
            context_.events->rate_limited_warning(add_members(
                event_line("no_leader")
                    .add("for", std::chrono::duration_cast<std::chrono::milliseconds>(*leaderless))
                    .add("term", host_->log().term())));
        if (leads && !survey.waiting.empty())
            context_.events->rate_limited_warning(
                add_members(event_line("host_waits")
                                .add("host", value_of(survey.waiting.front().id))
                                .add("address", to_string(survey.waiting.front().address))
                                .add("waiting", survey.waiting.size())));
    }

    [[nodiscard]] std::string status() const {
        return absl::StrCat("{\"role\":\"control\",\"id\":", value_of(context_.config.id),
                            ",\"leads\":", is_leader_ ? "true" : "false",
                            ",\"term\":", term_.load(), ",\"version\":", version_.load(), "}\n");
    }

    process_context& context_;
    operator_api_hook operator_api_;
    ring<control_event> events_;
    ring<std::vector<disk_write>> writes_;
    ring<bool> disk_retry_stop_; // never filled; closing it ends the disk duty's retry delay
    control_links links_;        // used by the decide duty only
    control_link_acknowledger acknowledger_;        // likewise
    std::unique_ptr<log_store> store_;              // after start() used by the disk duty only
    std::unique_ptr<control_host> host_;            // after start() used by the decide duty only
    std::atomic<std::uint64_t> synced_sequence_{0}; // of the newest write that is on disk
    std::uint64_t reported_sequence_ = 0;           // to host_; used by the decide duty only
    std::unique_ptr<link_server> server_;
    std::unique_ptr<http_server> api_;
    std::unique_ptr<http_server> readiness_;
    std::map<std::uint64_t, configuration_responder> pending_calls_; // by call id
    std::uint64_t next_call_id_ = 1;
    time_point next_survey_{};
    std::map<client_id, std::string> client_keys_; // names of the operators' keys
    std::unique_ptr<http_server> admin_;
    std::atomic<bool> has_leader_{false};
    std::atomic<bool> is_leader_{false};
    std::atomic<std::uint64_t> version_{0};
    std::atomic<std::uint64_t> term_{0};
    std::unique_ptr<duty> disk_;
    std::unique_ptr<duty> decide_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>>
make_control_process(process_context& context, log_start start, operator_api_hook api) {
    auto process = std::make_unique<control_process>(context, std::move(api));
    if (auto const status = process->start(start); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
