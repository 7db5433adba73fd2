// Simulates callers behind a fabric with packet spraying: the packets of a flow go round-robin to
// all balancers. Keeps sessions open and sends requests at a fixed rate, bounded in count and time.
// Prints broken flows, wrong answers, outcomes and latency quantiles as one JSON object.
#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "src/process/io/envelope.h"
#include "src/process/io/event_log.h"
#include "src/process/io/udp_port.h"
#include "src/request/request_codec.h"
#include "tools/session_protocol.h"
#include "toucanusher/process/random.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/request/request_caller.h"

namespace toucanusher::tools {

namespace {

constexpr std::size_t queue_capacity = 65536;
constexpr std::size_t request_ports = 64; // number of sockets that requests share round-robin

struct load_options {
    std::vector<endpoint> session_addresses; // one a balancer; empty: no sessions
    std::vector<endpoint> request_addresses; // one a balancer; empty: no requests
    std::string session_service;
    std::string request_service;
    std::size_t sessions = 0;
    std::chrono::milliseconds session_interval{200};
    std::chrono::milliseconds session_timeout{
        6000}; // a session without an answer for this long is broken
    double requests_per_second = 0;
    request_class kind = request_class::normal;
    bool idempotent = false;
    std::chrono::milliseconds deadline{1000};
    std::size_t body_bytes = 200;
    std::chrono::milliseconds load_duration{5000};
    std::size_t max_requests = 200000;
};

struct received_datagram {
    std::size_t port = 0;
    datagram message;
};

struct session {
    std::uint64_t token = 0;
    std::uint64_t sequence = 0;
    bool open = false;
    bool broken = false;
    std::string upstream; // that accepted the session
    time_point next_send{};
    time_point last_answer{};
};

struct open_request {
    std::unique_ptr<request_caller> caller;
    std::string body;
    time_point started_at{};
    std::size_t port = 0;
};

struct statistics {
    std::uint64_t packets_sent = 0;
    std::uint64_t answers = 0;
    std::uint64_t wrong_service = 0;
    std::uint64_t wrong_answers = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> sessions_by_upstream;
    std::map<std::string, std::uint64_t> requests_by_upstream;
    std::vector<std::string> not_run_ids;
    std::vector<double> request_ms;
    std::vector<double> session_ms;
};

double quantile(std::vector<double> values, double fraction) {
    if (values.empty())
        return 0;
    auto const at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

double to_ms(duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

class load_run {
  public:
    explicit load_run(load_options options)
        : options_(std::move(options)), random_(make_system_random()), udp_(queue_capacity),
          received_(queue_capacity) {}

    absl::Status open() {
        std::size_t const ports =
            options_.sessions + (options_.request_addresses.empty() ? 0 : request_ports);
        endpoint const local{options_.session_addresses.empty()
                                 ? options_.request_addresses.front().address
                                 : options_.session_addresses.front().address,
                             0};
        for (std::size_t i = 0; i < ports; ++i) {
            auto port =
                udp_port::open(udp_, {.bind = {local.address, 0}, .socket_buffer_bytes = 1 << 18},
                               [this, i](datagram d) {
                                   (void)received_.try_push({i, std::move(d)});
                               });
            if (!port.ok())
                return port.status();
            ports_.push_back(*std::move(port));
        }
        return absl::OkStatus();
    }

    void run() {
        time_point const started_at = clock_.now();
        ends_at_ = started_at + options_.load_duration;
        next_request_ = started_at;
        start_sessions(started_at);
        for (;;) {
            time_point const now = clock_.now();
            if (now >= ends_at_ && requests_.empty())
                break;
            if (now < ends_at_) {
                send_sessions(now);
                create_requests(now);
            }
            send_requests(now);
            constexpr duration step = std::chrono::milliseconds{2};
            while (auto item = received_.pop_until(now + step)) {
                on_datagram(clock_.now(), *item);
                if (clock_.now() >= now + step)
                    break;
            }
        }
        finish_sessions(clock_.now());
        udp_.close();
    }

    [[nodiscard]] nlohmann::json report() const {
        std::size_t broken = 0;
        std::size_t opened = 0;
        for (session const& s : sessions_) {
            broken += s.broken ? 1 : 0;
            opened += s.open ? 1 : 0;
        }
        return {{"sessions", sessions_.size()},
                {"sessions_opened", opened},
                {"sessions_broken", broken},
                {"packets_sent", statistics_.packets_sent},
                {"answers", statistics_.answers},
                {"wrong_service", statistics_.wrong_service},
                {"wrong_answers", statistics_.wrong_answers},
                {"outcomes", statistics_.outcomes},
                {"refusals", statistics_.refusals},
                {"sessions_by_upstream", statistics_.sessions_by_upstream},
                {"requests_by_upstream", statistics_.requests_by_upstream},
                {"not_run_ids", statistics_.not_run_ids},
                {"request_ms_p50", quantile(statistics_.request_ms, 0.5)},
                {"request_ms_p99", quantile(statistics_.request_ms, 0.99)},
                {"session_ms_p50", quantile(statistics_.session_ms, 0.5)},
                {"session_ms_p99", quantile(statistics_.session_ms, 0.99)}};
    }

  private:
    void send(std::size_t port, std::vector<endpoint> const& balancers, std::string bytes) {
        ++statistics_.packets_sent;
        (void)ports_[port]->send(
            {balancers[next_balancer_++ % balancers.size()], {}, std::move(bytes)});
    }

    void start_sessions(time_point now) {
        sessions_.resize(options_.sessions);
        for (std::size_t i = 0; i < sessions_.size(); ++i) {
            sessions_[i].token = random_() >> 1U;
            sessions_[i].last_answer = now;
            // Spread over one interval to avoid bursts of packets.
            auto const share = static_cast<duration::rep>(i) /
                               static_cast<double>(std::max<std::size_t>(1, sessions_.size()));
            sessions_[i].next_send =
                now +
                duration{static_cast<duration::rep>(
                    share * static_cast<double>(duration{options_.session_interval}.count()))};
        }
    }

    void send_sessions(time_point now) {
        for (std::size_t i = 0; i < sessions_.size(); ++i) {
            session& s = sessions_[i];
            if (now < s.next_send)
                continue;
            s.next_send = now + options_.session_interval;
            if (now - s.last_answer > options_.session_timeout)
                s.broken = true;
            // Sends "open" until the first answer, then "data".
            session_packet const packet{!s.open, s.token, ++s.sequence};
            sent_at_[{i, s.sequence}] = now;
            send(i, options_.session_addresses, to_text(packet));
        }
    }

    void finish_sessions(time_point now) {
        for (session& s : sessions_) {
            if (now - s.last_answer > options_.session_timeout)
                s.broken = true;
            if (s.open)
                ++statistics_.sessions_by_upstream[s.upstream];
        }
    }

    void create_requests(time_point now) {
        if (options_.requests_per_second <= 0)
            return;
        auto const gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / options_.requests_per_second));
        while (next_request_ <= now && created_requests_ < options_.max_requests) {
            next_request_ += gap;
            ++created_requests_;
            call_options call;
            call.kind = options_.kind;
            call.idempotent = options_.idempotent;
            call.deadline = options_.deadline;
            auto const created = std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
            request_id const id = make_request_id(created, random_(), random_());
            open_request prepared;
            prepared.body = absl::StrCat(to_string(id), std::string(options_.body_bytes, 'x'));
            prepared.caller = std::make_unique<request_caller>(id, call, prepared.body, now);
            prepared.started_at = now;
            prepared.port = options_.sessions + created_requests_ % request_ports;
            requests_.emplace(id, std::move(prepared));
        }
    }

    void send_requests(time_point now) {
        for (auto at = requests_.begin(); at != requests_.end();) {
            open_request& request = at->second;
            for (caller_message const& message : request.caller->on_tick(now))
                send(request.port, options_.request_addresses, encode_caller_message(message));
            if (request.caller->result()) {
                finish_request(now, at->first, request);
                at = requests_.erase(at);
            } else {
                ++at;
            }
        }
    }

    void finish_request(time_point now, request_id const& id, open_request const& request) {
        call_result const& result = *request.caller->result();
        std::string const outcome = result.answered ? to_string(result.outcome) : "no_answer";
        ++statistics_.outcomes[outcome];
        if (result.reason != request_refusal::none)
            ++statistics_.refusals[to_string(result.reason)];
        if (result.answered && result.outcome == request_outcome::refused_not_run)
            statistics_.not_run_ids.push_back(to_string(id));
        if (!result.answered || result.outcome != request_outcome::done)
            return;
        statistics_.request_ms.push_back(to_ms(now - request.started_at));
        std::vector<std::string> const parts = absl::StrSplit(result.body, absl::MaxSplits('|', 2));
        if (parts.size() != 3 || parts[2] != request.body)
            ++statistics_.wrong_answers;
        else if (parts[0] != options_.request_service)
            ++statistics_.wrong_service;
        else
            ++statistics_.requests_by_upstream[parts[1]];
    }

    void on_datagram(time_point now, received_datagram const& item) {
        ++statistics_.answers;
        if (item.port < options_.sessions)
            on_session_answer(now, item);
        else
            on_request_answer(item);
    }

    void on_session_answer(time_point now, received_datagram const& item) {
        session& s = sessions_[item.port];
        auto const answer = parse_session_answer(item.message.bytes);
        if (!answer || answer->token != s.token) {
            ++statistics_.wrong_answers;
            return;
        }
        if (answer->service != options_.session_service)
            ++statistics_.wrong_service;
        auto const sent = sent_at_.find({item.port, answer->sequence});
        if (sent != sent_at_.end()) {
            statistics_.session_ms.push_back(to_ms(now - sent->second));
            sent_at_.erase(sent);
        }
        if (!answer->known || (s.open && s.upstream != answer->upstream))
            s.broken = true;
        if (answer->known && !s.open) {
            s.open = true;
            s.upstream = answer->upstream;
        }
        s.last_answer = now;
    }

    void on_request_answer(received_datagram const& item) {
        auto const part = decode_answer_part(item.message.bytes);
        if (!part.ok()) {
            ++statistics_.wrong_answers;
            return;
        }
        auto const request = requests_.find(part->id);
        if (request == requests_.end()) {
            // A late duplicate: acknowledge it, so that it is not resent.
            send(item.port, options_.request_addresses,
                 encode_caller_message(answer_ack{part->id, {part->part}}));
            return;
        }
        if (auto const ack = request->second.caller->on_answer(*part))
            send(item.port, options_.request_addresses, encode_caller_message(*ack));
    }

    load_options options_;
    monotonic_clock clock_;
    random_source random_;
    udp_duties udp_;
    ring<received_datagram> received_;
    std::vector<std::unique_ptr<udp_port>> ports_; // session ports first, then request ports
    std::vector<session> sessions_;                // session i uses port i
    std::map<std::pair<std::size_t, std::uint64_t>, time_point> sent_at_;
    std::map<request_id, open_request> requests_;
    std::size_t created_requests_ = 0;
    std::size_t next_balancer_ = 0;
    time_point next_request_{};
    time_point ends_at_{};
    statistics statistics_;
};

std::vector<endpoint> parse_addresses(char const* text) {
    std::vector<endpoint> result;
    for (absl::string_view const item :
         absl::StrSplit(text == nullptr ? "" : text, ',', absl::SkipWhitespace()))
        if (auto const where = parse_endpoint({item.data(), item.size()}))
            result.push_back(*where);
    return result;
}

bool on_loopback(std::vector<endpoint> const& addresses) {
    constexpr std::uint32_t loopback_net = 127;
    return std::all_of(addresses.begin(), addresses.end(),
                       [](endpoint const& e) { return e.address >> 24U == loopback_net; });
}

} // namespace

} // namespace toucanusher::tools

int main(int argc, char const** argv) {
    using namespace toucanusher;
    using namespace toucanusher::tools;
    char* session_addresses = nullptr;
    char* request_addresses = nullptr;
    char* session_service = nullptr;
    char* request_service = nullptr;
    char* kind = nullptr;
    int sessions = 0;
    int interval = 200;
    int session_timeout = 6000;
    double rate = 0;
    int idempotent = 0;
    int deadline = 1000;
    int body = 200;
    int milliseconds = 5000;
    poptOption const options[] = {
        {"session-addresses", 0, POPT_ARG_STRING, &session_addresses, 0,
         "Session service at each balancer", "IP:PORT,..."},
        {"request-addresses", 0, POPT_ARG_STRING, &request_addresses, 0,
         "Request service at each balancer", "IP:PORT,..."},
        {"session-service", 0, POPT_ARG_STRING, &session_service, 0, "Name of the session service",
         "NAME"},
        {"request-service", 0, POPT_ARG_STRING, &request_service, 0, "Name of the request service",
         "NAME"},
        {"sessions", 0, POPT_ARG_INT, &sessions, 0, "Open sessions", "N"},
        {"interval", 0, POPT_ARG_INT, &interval, 0, "Interval between packets of a session", "MS"},
        {"patience", 0, POPT_ARG_INT, &session_timeout, 0,
         "Time without an answer after which a session is broken", "MS"},
        {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "Requests a second", "N"},
        {"class", 0, POPT_ARG_STRING, &kind, 0, "urgent, normal or bulk", "CLASS"},
        {"idempotent", 0, POPT_ARG_NONE, &idempotent, 0, "Requests may be retried", nullptr},
        {"deadline", 0, POPT_ARG_INT, &deadline, 0, "Deadline of a request", "MS"},
        {"body", 0, POPT_ARG_INT, &body, 0, "Body bytes of a request", "N"},
        {"duration", 0, POPT_ARG_INT, &milliseconds, 0, "Duration of the load, at most 120000",
         "MS"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext const parser = poptGetContext("load_tool", argc, argv, options, 0);
    int const option_error = poptGetNextOpt(parser);
    load_options prepared;
    prepared.session_addresses = parse_addresses(session_addresses);
    prepared.request_addresses = parse_addresses(request_addresses);
    bool const no_addresses =
        prepared.session_addresses.empty() && prepared.request_addresses.empty();
    constexpr int max_duration_ms = 120000;
    if (option_error < -1 || no_addresses || !on_loopback(prepared.session_addresses) ||
        !on_loopback(prepared.request_addresses) || milliseconds > max_duration_ms) {
        std::fputs("load_tool: expects valid options, addresses on the loopback network and a "
                   "duration of at most 120000 ms\n",
                   stderr);
        poptPrintUsage(parser, stderr, 0);
        return 2;
    }
    prepared.session_service = session_service == nullptr ? "" : session_service;
    prepared.request_service = request_service == nullptr ? "" : request_service;
    prepared.sessions = prepared.session_addresses.empty() ? 0 : static_cast<std::size_t>(sessions);
    prepared.session_interval = std::chrono::milliseconds{interval};
    prepared.session_timeout = std::chrono::milliseconds{session_timeout};
    prepared.requests_per_second = prepared.request_addresses.empty() ? 0 : rate;
    std::string const kind_name = kind == nullptr ? "normal" : kind;
    prepared.kind = kind_name == "urgent" ? request_class::urgent
                    : kind_name == "bulk" ? request_class::bulk
                                          : request_class::normal;
    prepared.idempotent = idempotent != 0;
    prepared.deadline = std::chrono::milliseconds{deadline};
    prepared.body_bytes = static_cast<std::size_t>(body);
    prepared.load_duration = std::chrono::milliseconds{milliseconds};
    poptFreeContext(parser);
    start_logging("load_tool", toucanusher::log_stream::standard_error);
    if (!initialize_crypto())
        return 1;
    load_run run(std::move(prepared));
    if (auto const status = run.open(); !status.ok()) {
        std::fprintf(stderr, "load_tool: %s\n", status.ToString().c_str());
        return 1;
    }
    run.run();
    std::printf("%s\n", run.report().dump(2).c_str());
    return 0;
}
