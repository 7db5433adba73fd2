#include "toucanusher/connection/holder_surveyor.h"

#include <algorithm>

namespace toucanusher {

surveyor_output holder_surveyor::on_survey(time_point now, holder_survey const& request) {
    surveyor_output output;
    if (surveys_.size() >= options_.max_surveys || request.agents.size() > options_.max_agents)
        return output;
    std::uint32_t const number = next_number_++;
    survey& entry = surveys_[number];
    entry.origin = request.origin;
    entry.flows = request.flows.size();
    entry.result.number = request.number;
    entry.result.silent = request.agents;
    entry.ends_at = now + options_.answer_timeout;
    for (endpoint const agent : request.agents)
        output.queries.push_back({agent, {number, options_.self, request.flows}});
    return output;
}

surveyor_output holder_surveyor::on_answer(endpoint agent, holder_answer const& answer) {
    surveyor_output output;
    auto const at = surveys_.find(answer.number);
    if (at == surveys_.end() || answer.states.size() != at->second.flows)
        return output;
    survey_result& result = at->second.result;
    if (std::erase(result.silent, agent) == 0)
        return output;
    bool unsure = false;
    for (std::uint32_t i = 0; i < answer.states.size(); ++i) {
        if (answer.states[i] == holder_state::held)
            result.holders.push_back({i, agent});
        unsure = unsure || answer.states[i] == holder_state::unknown;
    }
    if (unsure)
        result.unsure.push_back(agent);
    if (result.silent.empty()) {
        output.results.push_back({at->second.origin, std::move(result)});
        surveys_.erase(at);
    }
    return output;
}

surveyor_output holder_surveyor::on_tick(time_point now) {
    surveyor_output output;
    while (!surveys_.empty() && now >= surveys_.begin()->second.ends_at) {
        survey& oldest = surveys_.begin()->second;
        output.results.push_back({oldest.origin, std::move(oldest.result)});
        surveys_.erase(surveys_.begin());
    }
    return output;
}

std::optional<time_point> holder_surveyor::next_due() const {
    if (surveys_.empty())
        return std::nullopt;
    return surveys_.begin()->second.ends_at;
}

} // namespace toucanusher
