// A simulated upstream for tests: HTTP for health, load, requests and cancellation, UDP for
// sessions. POST /behave?NAME makes it report that it starts or drains, refuse, stall, respond
// slowly or report a false state while it runs.
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <pthread.h>

#include "src/process/io/envelope.h"
#include "src/process/io/event_log.h"
#include "src/process/io/http_server.h"
#include "src/process/io/udp_port.h"
#include "tools/session_protocol.h"
#include "toucanusher/process/clock.h"

namespace toucanusher::tools {

namespace {

struct behaviour {
    bool draining = false;
    bool starting = false;
    bool sheds = false;           // refuses every request
    bool stalls = false;          // accepts requests and never answers
    bool reports_falsely = false; // health and load pages report ready and no load
    bool health_fails = false;    // health page answers 500 with an empty body
    bool responds_slowly = false; // ten times the service time
};

struct upstream_options {
    std::string name;
    std::string service;
    endpoint http;
    endpoint session;
    unsigned slots = 3;
    std::chrono::milliseconds service_time{20};
};

// Counts of finished and running requests, for the at-most-once check.
struct run_counts {
    std::map<std::string, unsigned> runs; // by request id
    unsigned running = 0;
    unsigned shed = 0;
};

class fake_upstream {
  public:
    fake_upstream(upstream_options options, std::uint64_t instance)
        : options_(std::move(options)), instance_(instance), udp_(send_queue_capacity),
          timers_work_(asio::make_work_guard(timers_)) {}

    absl::Status start() {
        timer_duty_ = std::make_unique<duty>("timers", [this] { timers_.run(); });
        auto server =
            http_server::open(options_.http, [this](http_request request, http_responder respond) {
                on_request(request, std::move(respond));
            });
        if (!server.ok())
            return server.status();
        server_ = *std::move(server);
        if (options_.session.empty())
            return absl::OkStatus();
        auto port = udp_port::open(udp_, {.bind = options_.session},
                                   [this](datagram d) { on_session(std::move(d)); });
        if (!port.ok())
            return port.status();
        port_ = *std::move(port);
        return absl::OkStatus();
    }

    void stop() {
        server_.reset();
        port_.reset();
        timers_.stop();
        timer_duty_.reset();
        udp_.close();
    }

  private:
    static constexpr std::size_t send_queue_capacity = 8192;
    static constexpr int slow_factor = 10;

    void on_request(http_request const& request, http_responder respond) {
        if (request.path == "/health")
            respond(health());
        else if (request.path == "/load")
            respond(load());
        else if (request.path == "/run")
            run(request, std::move(respond));
        else if (request.path == "/cancel")
            respond(cancel(request));
        else if (request.path == "/behave")
            respond(behave(request.query));
        else if (request.path == "/counts")
            respond(counts());
        else
            respond({404, "text/plain", {}, "no such page\n"});
    }

    http_response health() {
        std::lock_guard const lock(mutex_);
        nlohmann::json page{{"instance", absl::StrCat(instance_)}};
        page["state"] = "ready";
        if (!behaviour_.reports_falsely && behaviour_.draining)
            page["state"] = "draining";
        if (!behaviour_.reports_falsely && behaviour_.starting)
            page["state"] = "starting";
        if (behaviour_.health_fails)
            return {500, "text/plain", {}, ""};
        return {200, "application/json", {}, page.dump()};
    }

    http_response load() {
        std::lock_guard const lock(mutex_);
        unsigned const running = behaviour_.reports_falsely ? 0 : counts_.running;
        nlohmann::json const page{{"running", running}, {"slots", options_.slots}};
        return {200, "application/json", {}, page.dump()};
    }

    void run(http_request const& request, http_responder respond) {
        std::string const id = request.headers.count("x-request-id") > 0
                                   ? request.headers.at("x-request-id")
                                   : std::string{};
        std::chrono::milliseconds wait = options_.service_time;
        {
            std::lock_guard const lock(mutex_);
            if (behaviour_.sheds || counts_.running >= options_.slots || cancelled_.contains(id)) {
                ++counts_.shed;
                respond({503, "text/plain", {{"Retry-After", "0"}}, "busy\n"});
                return;
            }
            ++counts_.runs[id];
            ++counts_.running;
            if (behaviour_.stalls) {
                stalled_.push_back(std::move(respond));
                return;
            }
            if (behaviour_.responds_slowly)
                wait *= slow_factor;
        }
        auto timer = std::make_shared<asio::steady_timer>(timers_, wait);
        std::string body = absl::StrCat(options_.service, "|", options_.name, "|", request.body);
        timer->async_wait([this, timer, respond = std::move(respond),
                           body = std::move(body)](asio::error_code) mutable {
            {
                std::lock_guard const lock(mutex_);
                --counts_.running;
            }
            respond({200, "application/octet-stream", {}, std::move(body)});
        });
    }

    http_response cancel(http_request const& request) {
        std::lock_guard const lock(mutex_);
        auto const id = request.headers.find("x-request-id");
        bool const known = id != request.headers.end() && counts_.runs.contains(id->second);
        // A request that was reported as not started must never start.
        if (!known && id != request.headers.end())
            cancelled_.insert(id->second);
        nlohmann::json const page{{"state", known ? "started" : "not_started"}};
        return {200, "application/json", {}, page.dump()};
    }

    http_response behave(std::string const& what) {
        std::lock_guard const lock(mutex_);
        std::map<std::string, behaviour> const known = {
            {"ready", {}},
            {"drain", {.draining = true}},
            {"start", {.starting = true}},
            {"shed", {.sheds = true}},
            {"stall", {.stalls = true}},
            {"mislead", {.sheds = true, .reports_falsely = true}},
            {"silent", {.health_fails = true}},
            {"late", {.responds_slowly = true}}};
        auto const found = known.find(what);
        if (found == known.end())
            return {400, "text/plain", {}, "unknown behaviour\n"};
        behaviour_ = found->second;
        return {200, "text/plain", {}, "ok\n"};
    }

    http_response counts() {
        std::lock_guard const lock(mutex_);
        unsigned repeated = 0;
        unsigned total = 0;
        for (auto const& [id, count] : counts_.runs) {
            repeated += count > 1 ? 1 : 0;
            total += count;
        }
        nlohmann::json page{{"runs", total},
                            {"repeated", repeated},
                            {"shed", counts_.shed},
                            {"sessions", tokens_by_caller_.size()},
                            {"lost_packets", lost_packets_},
                            {"opened", opened_}};
        page["ids"] = nlohmann::json::object();
        for (auto const& [id, count] : counts_.runs)
            page["ids"][id] = count;
        return {200, "application/json", {}, page.dump()};
    }

    void on_session(datagram received) {
        auto const packet = parse_session_packet(received.bytes);
        if (!packet)
            return;
        session_answer answer{false, options_.service, options_.name, packet->token,
                              packet->sequence};
        {
            std::lock_guard const lock(mutex_);
            auto& token = tokens_by_caller_[received.peer];
            if (packet->opens && token != packet->token) {
                token = packet->token;
                ++opened_;
            }
            answer.known = token == packet->token;
            if (!answer.known)
                ++lost_packets_;
        }
        (void)port_->send({received.peer, {}, to_text(answer)});
    }

    upstream_options options_;
    std::uint64_t instance_;
    udp_duties udp_;
    asio::io_context timers_;
    asio::executor_work_guard<asio::io_context::executor_type> timers_work_;
    std::mutex mutex_; // guards the members below, except the duty and the servers
    behaviour behaviour_;
    run_counts counts_;
    std::set<std::string> cancelled_; // request ids
    std::vector<http_responder> stalled_;
    std::map<endpoint, std::uint64_t> tokens_by_caller_; // key: source address
    unsigned lost_packets_ = 0;
    unsigned opened_ = 0;
    std::unique_ptr<duty> timer_duty_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<udp_port> port_;
};

int run(upstream_options options) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    fake_upstream upstream(std::move(options), make_system_random()());
    if (auto const status = upstream.start(); !status.ok()) {
        std::fprintf(stderr, "fake_upstream: %s\n", status.ToString().c_str());
        return 1;
    }
    int number = 0;
    sigwait(&set, &number);
    upstream.stop();
    return 0;
}

} // namespace

} // namespace toucanusher::tools

int main(int argc, char const** argv) {
    using namespace toucanusher;
    char* name = nullptr;
    char* service = nullptr;
    char* http = nullptr;
    char* session = nullptr;
    int slots = 3;
    int service_time = 20;
    poptOption const options[] = {
        {"name", 0, POPT_ARG_STRING, &name, 0, "Name of the upstream", "NAME"},
        {"service", 0, POPT_ARG_STRING, &service, 0, "Name of the service", "NAME"},
        {"http", 0, POPT_ARG_STRING, &http, 0, "Address for HTTP", "IP:PORT"},
        {"session", 0, POPT_ARG_STRING, &session, 0, "Address for sessions", "IP:PORT"},
        {"slots", 0, POPT_ARG_INT, &slots, 0, "Requests that run at once", "N"},
        {"service-time", 0, POPT_ARG_INT, &service_time, 0, "Milliseconds a run takes", "MS"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext const parser = poptGetContext("fake_upstream", argc, argv, options, 0);
    int const option_error = poptGetNextOpt(parser);
    auto const http_address = parse_endpoint(http == nullptr ? "" : http);
    if (option_error < -1 || name == nullptr || service == nullptr || !http_address) {
        poptPrintUsage(parser, stderr, 0);
        return 2;
    }
    tools::upstream_options parsed;
    parsed.name = name;
    parsed.service = service;
    parsed.http = *http_address;
    parsed.session = parse_endpoint(session == nullptr ? "" : session).value_or(endpoint{});
    parsed.slots = static_cast<unsigned>(slots);
    parsed.service_time = std::chrono::milliseconds{service_time};
    poptFreeContext(parser);
    start_logging("fake_upstream", toucanusher::log_stream::standard_error);
    return initialize_crypto() ? tools::run(std::move(parsed)) : 1;
}
