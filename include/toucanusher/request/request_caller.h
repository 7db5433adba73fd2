// Caller's side of a request: sends and resends its parts, reassembles the answer and acknowledges
// it. A resend has the same id, so that a non-idempotent request still runs at most once.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/request_message.h"

namespace toucanusher {

struct call_options {
    request_class kind = request_class::normal;
    bool idempotent = false;
    std::chrono::milliseconds deadline{2000};
    std::string team;
    duration resend_interval = std::chrono::milliseconds{200};
    duration max_resend_interval = std::chrono::seconds{1};
    duration late_answer_timeout = std::chrono::seconds{1}; // wait after the deadline
};

struct call_result {
    request_outcome outcome = request_outcome::unknown;
    request_refusal reason = request_refusal::none;
    std::uint16_t status = 0;
    std::chrono::milliseconds retry_after{};
    std::string body;
    bool answered = false; // false: the call timed out without a complete answer
};

class request_caller {
  public:
    request_caller(request_id id, call_options options, std::string const& body, time_point now);

    // Returns the messages to send now; empty if none is due.
    std::vector<caller_message> on_tick(time_point now);
    // Adds a part of the answer. Returns the acknowledgement to send.
    std::optional<caller_message> on_answer(answer_part const& part);
    // Returns the result once the outcome is known or the call has timed out.
    [[nodiscard]] std::optional<call_result> const& result() const { return result_; }
    [[nodiscard]] request_id const& id() const { return id_; }
    // Returns the time at which on_tick must be called next.
    [[nodiscard]] time_point next_tick() const { return next_send_; }

  private:
    void complete();

    request_id id_;
    call_options options_;
    std::vector<std::string> payloads_;
    time_point deadline_;
    time_point next_send_;
    duration resend_interval_;
    std::uint32_t sends_ = 0;
    std::vector<std::optional<std::string>> answer_; // by part number; empty until the first part
    answer_part header_;
    std::optional<call_result> result_;
};

} // namespace toucanusher
