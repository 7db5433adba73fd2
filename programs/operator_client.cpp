#include "programs/operator_client.h"

#include <algorithm>
#include <utility>

#include "src/version/control_codec.h"

namespace toucanusher {

namespace {

constexpr std::size_t answer_ring_size = 64;
constexpr std::chrono::milliseconds no_leader_delay{100};
constexpr std::chrono::milliseconds resend_interval{250};

// Blocks for a time, by waiting on a ring that is never filled.
void wait_for(clock const& clock, duration span) {
    ring<int> empty_ring(1);
    (void)empty_ring.pop_until(clock.now() + span);
}

} // namespace

operator_client::operator_client(operator_options options, envelope const& sealer,
                                 clock const& clock)
    : options_(std::move(options)), sealer_(sealer), clock_(clock) {}

absl::StatusOr<operator_answer> operator_client::send_request(operator_request const& request) {
    time_point const deadline = clock_.now() + options_.timeout;
    host_id host = options_.hosts.begin()->first;
    while (clock_.now() < deadline) {
        auto const answer =
            try_host(host, request, std::min(deadline, clock_.now() + options_.host_timeout));
        auto const* refusal = answer ? std::get_if<operator_refusal>(&*answer) : nullptr;
        bool const needs_other_host =
            refusal != nullptr && (refusal->reason == control_refusal::not_leader ||
                                   refusal->reason == control_refusal::no_leader ||
                                   refusal->reason == control_refusal::lost_leadership);
        if (answer && !needs_other_host)
            return *answer;
        bool const leader_known = refusal != nullptr && refusal->leader &&
                                  options_.hosts.contains(*refusal->leader) &&
                                  *refusal->leader != host;
        if (leader_known) {
            host = *refusal->leader;
            continue;
        }
        host = next_host(host);
        if (refusal != nullptr)
            wait_for(clock_, no_leader_delay);
    }
    return absl::UnavailableError("no control host answered in time; the outcome is unknown, "
                                  "resend with the same request id");
}

std::optional<operator_answer>
operator_client::try_host(host_id host, operator_request const& request, time_point deadline) {
    ring<std::string> answers(answer_ring_size);
    auto link = link_client::open(options_.hosts.at(host), [&](std::string bytes) {
        (void)answers.try_push(std::move(bytes)); // a dropped answer is requested again
    });
    if (!link.ok())
        return std::nullopt;
    std::string const sealed = sealer_.seal_as(options_.key, encode_control_message(request));
    while (clock_.now() < deadline) {
        (void)(*link)->send(sealed);
        auto const bytes = answers.pop_until(std::min(deadline, clock_.now() + resend_interval));
        if (!bytes)
            continue;
        auto const opened = sealer_.open(*bytes);
        auto const* plain = std::get_if<opened_message>(&opened);
        if (plain == nullptr)
            continue;
        auto const message = decode_control_message(plain->plaintext);
        auto const* reply = message.ok() ? std::get_if<operator_reply>(&*message) : nullptr;
        if (reply != nullptr && reply->id == request.id)
            return reply->answer;
    }
    return std::nullopt;
}

host_id operator_client::next_host(host_id after) const {
    auto at = options_.hosts.upper_bound(after);
    if (at == options_.hosts.end())
        at = options_.hosts.begin();
    return at->first;
}

} // namespace toucanusher
