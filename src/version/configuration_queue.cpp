#include "toucanusher/version/configuration_queue.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

char const* to_string(configuration_verdict verdict) {
    switch (verdict) {
    case configuration_verdict::accepted:
        return "accepted";
    case configuration_verdict::current:
        return "current";
    case configuration_verdict::not_leader:
        return "elsewhere";
    case configuration_verdict::unavailable:
        return "unavailable";
    }
    return "invalid";
}

void configuration_queue::add(time_point now, std::uint64_t call, configuration candidate) {
    pending_.push_back({call, std::move(candidate), now + answer_timeout_});
}

std::optional<edit_configuration>
configuration_queue::next_edit(configuration const& current) const {
    if (proposed_at_ || pending_.empty())
        return std::nullopt;
    auto const loudest =
        std::max_element(pending_.begin(), pending_.end(), [](auto const& left, auto const& right) {
            return left.candidate.number < right.candidate.number;
        });
    if (loudest->candidate.number <= current.number)
        return std::nullopt;
    return make_edit(current, loudest->candidate);
}

void configuration_queue::on_proposed(time_point now, bool accepted_by_log) {
    if (accepted_by_log)
        proposed_at_ = now;
}

std::vector<configuration_answer>
configuration_queue::take_due_answers(time_point now, configuration const& current) {
    std::vector<configuration_answer> answers;
    std::erase_if(pending_, [&](pending_configuration const& item) {
        bool const durable = item.candidate.number <= current.number;
        if (!durable && now < item.deadline)
            return false;
        answers.push_back(
            {item.call,
             durable ? configuration_verdict::accepted : configuration_verdict::unavailable,
             {},
             {}});
        return true;
    });
    return answers;
}

std::vector<configuration_answer> configuration_queue::fail_pending() {
    std::vector<configuration_answer> answers;
    for (pending_configuration const& item : pending_)
        answers.push_back({item.call, configuration_verdict::unavailable, {}, {}});
    pending_.clear();
    proposed_at_.reset();
    return answers;
}

} // namespace toucanusher
