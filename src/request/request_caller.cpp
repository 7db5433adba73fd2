#include "toucanusher/request/request_caller.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

request_caller::request_caller(request_id id, call_options options, std::string const& body,
                               time_point now)
    : id_(id), options_(std::move(options)), payloads_(split_payload(body)),
      deadline_(now + options_.deadline), next_send_(now),
      resend_interval_(options_.resend_interval) {}

std::vector<caller_message> request_caller::on_tick(time_point now) {
    std::vector<caller_message> messages;
    if (result_ || now < next_send_)
        return messages;
    if (now >= deadline_ + options_.late_answer_timeout) {
        result_.emplace();
        return messages;
    }
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
    request_part part;
    part.id = id_;
    part.parts = static_cast<std::uint16_t>(payloads_.size());
    part.kind = options_.kind;
    part.idempotent = options_.idempotent;
    part.resend = sends_ > 0;
    part.deadline = std::max(std::chrono::milliseconds{1}, left);
    part.team = options_.team;
    for (std::size_t i = 0; i < payloads_.size(); ++i) {
        part.part = static_cast<std::uint16_t>(i);
        part.payload = payloads_[i];
        messages.emplace_back(part);
    }
    ++sends_;
    next_send_ = now + resend_interval_;
    resend_interval_ = std::min(2 * resend_interval_, options_.max_resend_interval);
    return messages;
}

std::optional<caller_message> request_caller::on_answer(answer_part const& part) {
    if (part.id != id_ || part.parts == 0 || part.part >= part.parts)
        return std::nullopt;
    caller_message const ack = answer_ack{id_, {part.part}};
    if (result_)
        return ack;
    bool const same_answer = !answer_.empty() && answer_.size() == part.parts &&
                             header_.outcome == part.outcome && header_.reason == part.reason;
    if (!same_answer) {
        answer_.assign(part.parts, std::nullopt);
        header_ = part;
    }
    answer_[part.part] = part.payload;
    if (std::all_of(answer_.begin(), answer_.end(), [](auto const& p) { return p.has_value(); }))
        complete();
    return ack;
}

void request_caller::complete() {
    call_result completed;
    completed.outcome = header_.outcome;
    // Idempotent requests have no run record: a refusal covers one agent only, and a resend may
    // have run at another.
    if (options_.idempotent && sends_ > 1 && completed.outcome == request_outcome::refused_not_run)
        completed.outcome = request_outcome::unknown;
    completed.reason = header_.reason;
    completed.status = header_.status;
    completed.retry_after = header_.retry_after;
    completed.answered = true;
    for (auto& part : answer_)
        completed.body += *part;
    answer_.clear();
    result_ = std::move(completed);
}

} // namespace toucanusher
