#include "toucanusher/request/request_message.h"

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {
constexpr unsigned time_shift = 16;
constexpr std::uint64_t random_mask = (1U << time_shift) - 1;
} // namespace

request_id make_request_id(wall_time created, std::uint64_t random_high, std::uint64_t random_low) {
    auto const milliseconds = static_cast<std::uint64_t>(created.time_since_epoch().count());
    return {(milliseconds << time_shift) | (random_high & random_mask), random_low};
}

wall_time creation_time(request_id const& id) {
    return wall_time{std::chrono::milliseconds{static_cast<std::int64_t>(id.high >> time_shift)}};
}

std::string to_string(request_id const& id) {
    return absl::StrCat(absl::Hex(id.high, absl::kZeroPad16), absl::Hex(id.low, absl::kZeroPad16));
}

char const* to_string(request_class kind) {
    switch (kind) {
    case request_class::urgent:
        return "urgent";
    case request_class::normal:
        return "normal";
    case request_class::bulk:
        return "bulk";
    }
    return "invalid";
}

char const* to_string(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::done:
        return "done";
    case request_outcome::refused_not_run:
        return "refused_not_run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

char const* to_string(request_refusal reason) {
    switch (reason) {
    case request_refusal::none:
        return "none";
    case request_refusal::too_large:
        return "too_large";
    case request_refusal::too_many_requests:
        return "too_many_requests";
    case request_refusal::inconsistent_parts:
        return "inconsistent_parts";
    case request_refusal::assembly_timeout:
        return "assembly_timeout";
    case request_refusal::too_old:
        return "too_old";
    case request_refusal::deadline_infeasible:
        return "deadline_infeasible";
    case request_refusal::deadline_passed:
        return "deadline_passed";
    case request_refusal::queue_full:
        return "queue_full";
    case request_refusal::displaced:
        return "displaced";
    case request_refusal::cancelled:
        return "cancelled";
    case request_refusal::draining:
        return "draining";
    case request_refusal::upstream_shed:
        return "upstream_shed";
    case request_refusal::upstream_unreachable:
        return "upstream_unreachable";
    case request_refusal::retry_budget_spent:
        return "retry_budget_spent";
    case request_refusal::cut_off:
        return "cut_off";
    case request_refusal::claim_unavailable:
        return "claim_unavailable";
    case request_refusal::runner_lost:
        return "runner_lost";
    case request_refusal::attempt_lost:
        return "attempt_lost";
    }
    return "invalid";
}

std::vector<std::string> split_payload(std::string const& bytes) {
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < bytes.size(); at += part_payload_bytes)
        parts.push_back(bytes.substr(at, part_payload_bytes));
    if (parts.empty())
        parts.emplace_back();
    return parts;
}

} // namespace toucanusher
