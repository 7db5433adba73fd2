#include "programs/upstream_http.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace toucanusher {

namespace {

constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::chrono::milliseconds cancel_timeout{200};
// Wait beyond the deadline of an attempt, since the deadline is sent to the upstream as well.
constexpr std::chrono::milliseconds deadline_grace{300};
constexpr int http_unavailable = 503;
constexpr int http_ok = 200;

probe_result parse_health(http_result const& result) {
    probe_result probe;
    probe.refused = result.status == 0 && !result.connected;
    if (result.status != http_ok)
        return probe;
    auto const page = nlohmann::json::parse(result.body, nullptr, false);
    if (!page.is_object())
        return probe;
    probe.answered = true;
    if (page.contains("instance") && page["instance"].is_string())
        probe.instance = page["instance"].get<std::string>();
    if (page.contains("state") && page["state"] == "starting")
        probe.state = upstream_state::starting;
    if (page.contains("state") && page["state"] == "draining")
        probe.state = upstream_state::draining;
    return probe;
}

attempt_result parse_attempt_result(request_id const& id, std::uint32_t attempt,
                                    http_result result) {
    attempt_result parsed{.id = id, .attempt = attempt, .body = {}};
    if (result.status == 0) {
        parsed.kind =
            result.connected ? attempt_result_kind::lost : attempt_result_kind::unreachable;
        return parsed;
    }
    if (result.status == http_unavailable) {
        parsed.kind = attempt_result_kind::shed;
        std::int64_t seconds = 0;
        constexpr std::int64_t max_retry_after = 3600;
        auto const header = result.headers.find("retry-after");
        if (header != result.headers.end() && absl::SimpleAtoi(header->second, &seconds) &&
            seconds >= 0 && seconds <= max_retry_after)
            parsed.retry_after = std::chrono::seconds{seconds};
        return parsed;
    }
    parsed.kind = attempt_result_kind::answered;
    parsed.status = static_cast<std::uint16_t>(result.status);
    parsed.body = std::move(result.body);
    return parsed;
}

cancel_result_kind parse_cancel_result(http_result const& result) {
    if (result.status != http_ok)
        return cancel_result_kind::no_answer;
    auto const page = nlohmann::json::parse(result.body, nullptr, false);
    if (!page.is_object() || !page.contains("state"))
        return cancel_result_kind::no_answer;
    return page["state"] == "not_started" ? cancel_result_kind::not_started
                                          : cancel_result_kind::started;
}

} // namespace

void upstream_http::probe(std::function<void(probe_result)> on_done) {
    http_call call;
    call.url = url("/health");
    call.timeout = probe_timeout;
    (void)client_.start(std::move(call), [on_done = std::move(on_done)](http_result result) {
        on_done(parse_health(result));
    });
}

void upstream_http::run(start_attempt const& attempt, std::function<void(attempt_result)> on_done) {
    http_call call;
    call.method = "POST";
    call.url = url("/run");
    call.headers = {{"X-Request-Id", to_string(attempt.id)},
                    {"X-Attempt", absl::StrCat(attempt.attempt)},
                    {"X-Class", to_string(attempt.kind)},
                    {"X-Deadline-Ms", absl::StrCat(attempt.deadline.count())},
                    {"Content-Type", "application/octet-stream"}};
    call.body = *attempt.body;
    call.timeout = attempt.deadline + deadline_grace;
    call.idempotent = attempt.idempotent;
    auto const id = attempt.id;
    auto const attempt_number = attempt.attempt;
    bool const started =
        client_.start(std::move(call), [on_done, id, attempt_number](http_result result) {
            on_done(parse_attempt_result(id, attempt_number, std::move(result)));
        });
    if (!started)
        on_done({.id = id,
                 .attempt = attempt_number,
                 .kind = attempt_result_kind::unreachable,
                 .body = {}});
}

void upstream_http::cancel(
    cancel_attempt const& attempt,
    std::function<void(request_id, std::uint32_t, cancel_result_kind)> on_done) {
    http_call call;
    call.method = "POST";
    call.url = url("/cancel");
    call.headers = {{"X-Request-Id", to_string(attempt.id)},
                    {"X-Attempt", absl::StrCat(attempt.attempt)}};
    call.timeout = cancel_timeout;
    (void)client_.start(std::move(call),
                        [on_done = std::move(on_done), id = attempt.id,
                         attempt_number = attempt.attempt](http_result const& result) {
                            on_done(id, attempt_number, parse_cancel_result(result));
                        });
}

std::string upstream_http::url(std::string const& path) const {
    return absl::StrCat("http://", to_string(upstream_), path);
}

} // namespace toucanusher
