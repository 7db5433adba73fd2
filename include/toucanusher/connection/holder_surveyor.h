// Surveys that an agent makes for balancers: it queries many agents which of some flows they hold,
// and returns one result.
//
// A balancer that has lost its hints must query every agent to be certain that a flow has ended.
// Its link may carry a hundredth of what the links of agents carry, so it sends the flows once to a
// few agents instead.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "toucanusher/connection/forwarded_message.h"
#include "toucanusher/process/clock.h"

namespace toucanusher {

struct holder_surveyor_options {
    endpoint self; // address for the answers of agents
    // Agents answer within a round trip between availability zones. Shorter than the time after
    // which a balancer repeats a survey.
    duration answer_timeout = std::chrono::milliseconds{20};
    std::size_t max_surveys = 1024; // in progress; further ones are ignored
    std::size_t max_agents = 64;    // in one survey; larger ones are ignored
};

struct surveyor_output {
    struct query {
        endpoint agent;
        holder_query message;
    };
    struct result {
        endpoint balancer;
        survey_result message;
    };

    std::vector<query> queries;
    std::vector<result> results;
};

class holder_surveyor {
  public:
    explicit holder_surveyor(holder_surveyor_options options) : options_(options) {}

    surveyor_output on_survey(time_point now, holder_survey const& request);
    surveyor_output on_answer(endpoint agent, holder_answer const& answer);
    // Ends the surveys whose time is up; the agents that did not answer are listed as silent.
    surveyor_output on_tick(time_point now);
    // Returns when on_tick() next has work, or nothing if no survey is in progress.
    [[nodiscard]] std::optional<time_point> next_due() const;

  private:
    struct survey {
        endpoint origin;
        std::size_t flows = 0;
        survey_result result; // its list `silent` holds the agents that have not answered yet
        time_point ends_at{};
    };

    holder_surveyor_options options_;
    std::map<std::uint32_t, survey> surveys_; // by number of the query; the oldest ends first
    std::uint32_t next_number_ = 1;
};

} // namespace toucanusher
