#include "programs/control_redirector.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>

#include "programs/control_link_acknowledger.h"
#include "programs/control_links.h"
#include "programs/control_session.h"
#include "src/process/io/link.h"
#include "src/version/control_codec.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/version/host_referral.h"

namespace toucanusher {

namespace {

// A control host answers each heartbeat, one a second. Nothing is redirected to a host that has
// missed two.
constexpr std::chrono::milliseconds host_contact_timeout{2500};
constexpr std::size_t event_ring_size = 1024;

struct received_bytes {
    link_peer peer{};
    std::string bytes;
};

// The control hosts that the session knows. Written by the session's duty, read by the other
// duties.
class control_host_cache {
  public:
    control_host_cache(host_referral_options options, time_point now) : referral_(options, now) {}

    void set(endpoint current, std::vector<endpoint> hosts, log_index version) {
        std::lock_guard const lock(mutex_);
        current_ = current;
        referral_.set_hosts(std::move(hosts), version);
    }
    void on_announcement() {
        std::lock_guard const lock(mutex_);
        referral_.on_announcement();
    }
    [[nodiscard]] endpoint current() const {
        std::lock_guard const lock(mutex_);
        return current_;
    }
    [[nodiscard]] std::pair<std::vector<endpoint>, log_index> directory() const {
        std::lock_guard const lock(mutex_);
        return {referral_.hosts(), referral_.version()};
    }
    [[nodiscard]] std::vector<endpoint> hosts_for(time_point now, endpoint searching_host) {
        std::lock_guard const lock(mutex_);
        return referral_.hosts_for(now, searching_host);
    }

  private:
    mutable std::mutex mutex_;
    endpoint current_;       // empty until a host has answered; guarded by mutex_
    host_referral referral_; // guarded by mutex_
};

host_referral_options make_referral_options(daemon_config const& config) {
    auto const& seeds = config.seeds;
    host_referral_options options;
    options.may_appoint =
        config.discovered_control->may_found && !seeds.empty() &&
        *std::min_element(seeds.begin(), seeds.end()) == config.discovered_control->api;
    return options;
}

class control_redirector final : public daemon_process {
  public:
    control_redirector(process_context& context, operator_api_hook operator_api)
        : context_(context), config_(*context.config.discovered_control),
          operator_api_(std::move(operator_api)),
          control_hosts_(make_referral_options(context.config), context.clock.now()),
          events_(event_ring_size), links_(context), acknowledger_(context) {}

    ~control_redirector() override {
        admin_.reset();
        api_.reset();
        readiness_.reset();
        if (server_)
            server_->close();
        events_.close();
        answer_.reset();
        if (session_)
            session_->close();
    }
    control_redirector(control_redirector const&) = delete;
    control_redirector& operator=(control_redirector const&) = delete;

    absl::Status start() {
        context_.events->info(event_line("control_redirector")
                                  .add("listen", to_string(config_.listen))
                                  .add("api", to_string(config_.api)));
        session_ = std::make_unique<control_session>(
            context_, daemon_role::control, [this](control_view const& view) {
                control_hosts_.set(view.host, view.control_hosts, view.directory_version);
            });
        heartbeat content;
        content.follows_state = false;
        session_->announce(std::move(content));
        auto server = link_server::open(config_.listen, [this](link_peer peer, std::string bytes) {
            if (!events_.try_push({peer, std::move(bytes)}))
                context_.counters.count_refusal("control", "ring_full");
        });
        if (!server.ok())
            return server.status();
        server_ = *std::move(server);
        answer_ = std::make_unique<duty>("answer", [this] {
            while (auto const event = events_.pop())
                on_bytes(event->peer, event->bytes);
        });
        return open_http();
    }

    void set_seeds(std::vector<endpoint> seeds) override { session_->set_seeds(std::move(seeds)); }
    void begin_stop() override { context_.on_stopped(); }
    [[nodiscard]] std::string unfinished_work() const override { return "nothing"; }

  private:
    absl::Status open_http() {
        auto const healthy = [this] { return responsive_host().has_value(); };
        operator_calls const calls{
            [this](configuration const& candidate, configuration_responder const& respond) {
                redirect("write", candidate.number, respond);
            },
            [this](configuration_responder const& respond) { redirect("read", 0, respond); },
            healthy};
        for (auto const& [address, server] :
             {std::pair{config_.api, &api_}, std::pair{config_.readiness, &readiness_}}) {
            auto opened = http_server::open(address, operator_api_(calls, config_.api.port));
            if (!opened.ok())
                return opened.status();
            *server = *std::move(opened);
        }
        auto admin = open_admin(context_, healthy, [this] { return status(); });
        if (!admin.ok())
            return admin.status();
        admin_ = *std::move(admin);
        return absl::OkStatus();
    }

    // Returns the control host in use, unless its last contact is too long ago.
    [[nodiscard]] std::optional<endpoint> responsive_host() const {
        endpoint const host = control_hosts_.current();
        if (host.empty() || session_->time_since_contact() > host_contact_timeout)
            return std::nullopt;
        return host;
    }

    void redirect(char const* call, std::uint64_t number, configuration_responder const& respond) {
        auto const host = responsive_host();
        context_.events->rate_limited_warning(event_line("call_redirected")
                                                  .add("call", call)
                                                  .add("number", number)
                                                  .add("host", host ? to_string(*host) : "none"));
        configuration_answer answer;
        if (host)
            answer = {0, configuration_verdict::not_leader, host, {}};
        respond(std::move(answer));
    }

    void on_bytes(link_peer peer, std::string const& bytes) {
        auto const opened = context_.sealer->open(bytes);
        if (auto const* refusal = std::get_if<seal_refusal>(&opened)) {
            context_.counters.count_refusal("control", to_string(*refusal));
            return;
        }
        auto const& plain = std::get<opened_message>(opened);
        auto const message = decode_control_message(plain.plaintext);
        if (!message.ok() || !plain.from_fleet())
            context_.counters.count_refusal("control", "malformed");
        else if (std::holds_alternative<heartbeat>(*message))
            answer_daemon(peer);
        else if (auto const* host = std::get_if<host_message>(&*message))
            on_host_message(peer, *host);
        else
            context_.counters.count_refusal("control", "unexpected_message");
    }

    void answer_daemon(link_peer peer) {
        state_update update;
        update.directory_only = true;
        std::tie(update.control_hosts, update.directory_version) = control_hosts_.directory();
        report_directory("daemon", update.control_hosts.size());
        if (!server_->send(peer, context_.sealer->seal(encode_control_message(update))))
            context_.counters.count_refusal("control", "link_send_failed");
    }

    // A control host that sends to this address announces the others or searches for them.
    void on_host_message(link_peer from, host_message const& received) {
        acknowledger_.on_host_message(context_.clock.now(), *server_, from);
        auto const content = decode_control_message(received.content);
        if (!content.ok())
            context_.counters.count_refusal("control", "malformed");
        else if (auto const* announced = std::get_if<join_answer>(&*content))
            on_announcement(*announced);
        answer_host(received.address);
    }

    void on_announcement(join_answer const& announced) {
        control_hosts_.on_announcement();
        session_->add_announced_hosts(announced.hosts, announced.version);
    }

    void answer_host(endpoint address) {
        time_point const now = context_.clock.now();
        join_answer const directory{config_.listen, control_hosts_.hosts_for(now, address)};
        report_directory(to_string(address), directory.hosts.size());
        links_.send(now, address, context_.sealer->seal(encode_control_message(directory)));
        links_.record_contact(address);
        links_.on_tick(now);
    }

    void report_directory(std::string const& requester, std::size_t hosts) {
        context_.counters.count(hosts == 0 ? "directory_empty" : "directory_sent");
        context_.events->rate_limited_warning(event_line("directory_sent")
                                                  .add("what", hosts == 0 ? "empty" : "named")
                                                  .add("requester", requester)
                                                  .add("hosts", hosts));
    }

    [[nodiscard]] std::string status() const {
        return absl::StrCat("{\"role\":\"control\",\"redirects_to\":\"",
                            to_string(control_hosts_.current()),
                            "\",\"hosts\":", control_hosts_.directory().first.size(), "}\n");
    }

    process_context& context_;
    discovered_control_config config_;
    operator_api_hook operator_api_;
    control_host_cache control_hosts_;
    ring<received_bytes> events_;
    control_links links_;                    // used by the answer duty only
    control_link_acknowledger acknowledger_; // likewise
    std::unique_ptr<control_session> session_;
    std::unique_ptr<link_server> server_;
    std::unique_ptr<http_server> api_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> admin_;
    std::unique_ptr<duty> answer_;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>> make_control_redirector(process_context& context,
                                                                        operator_api_hook api) {
    auto process = std::make_unique<control_redirector>(context, std::move(api));
    if (auto const status = process->start(); !status.ok())
        return status;
    return process;
}

} // namespace toucanusher
