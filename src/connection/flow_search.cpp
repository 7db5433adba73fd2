#include "toucanusher/connection/flow_search.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

namespace {

bool contains(std::vector<endpoint> const& agents, endpoint agent) {
    return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

struct hashed_flow {
    std::uint32_t caller = 0;
    std::uint32_t route = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t route_port = 0;
};

} // namespace

std::uint64_t rendezvous_hash(packet_flow const& flow, std::uint64_t seed) {
    hashed_flow const key{flow.caller.address, flow.route.address, flow.caller.port,
                          flow.route.port};
    static_assert(sizeof key == 12, "a key must have no padding");
    return XXH3_64bits_withSeed(&key, sizeof key, seed);
}

std::uint64_t rendezvous_seed(std::string const& upstream) {
    return XXH3_64bits(upstream.data(), upstream.size());
}

void flow_search::set_upstreams(time_point now, upstreams_by_service const& upstreams) {
    for (auto& [agent, known] : agents_)
        known.left_at = known.left_at ? known.left_at : std::optional{now};
    for (auto const& [service, choices] : upstreams)
        for (upstream_choice const& choice : choices)
            agents_[choice.agent] = {service, rendezvous_seed(choice.name), std::nullopt};
    std::erase_if(agents_, [&](auto const& item) {
        return item.second.left_at && now - *item.second.left_at > options_.upstream_retention;
    });
}

bool flow_search::begin(time_point now, packet_flow const& flow, std::vector<std::string> services,
                        std::string packet, std::uint32_t caller_expects, endpoint except) {
    if (searches_.size() >= options_.max_searches)
        return false;
    search& entry = searches_[flow];
    entry.services = std::move(services);
    entry.buffered.push_back(std::move(packet));
    entry.caller_expects = caller_expects;
    entry.retries_left = options_.max_retries;
    entry.probes_left = options_.max_probes;
    entry.expires_at = now + options_.search_timeout;
    entry.queried.push_back(except);
    query_scope(now, flow, entry);
    return true;
}

bool flow_search::buffer(time_point now, packet_flow const& flow, std::string packet) {
    auto const at = searches_.find(flow);
    if (at == searches_.end() || at->second.buffered.size() >= options_.max_buffered_packets)
        return false;
    search& entry = at->second;
    entry.buffered.push_back(std::move(packet));
    entry.probes_left = options_.max_probes;
    if (entry.paused)
        retry(now, flow, entry);
    else
        send_probes(flow, entry);
    return true;
}

void flow_search::on_held(endpoint agent, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    if (at == searches_.end())
        return;
    at->second.buffered.erase(at->second.buffered.begin());
    finish(at, search_result::outcome::found, agent);
}

void flow_search::on_not_held(time_point now, endpoint agent, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    if (at == searches_.end())
        return;
    search& entry = at->second;
    std::erase(entry.unanswered, agent);
    std::erase(entry.awaited, agent);
    std::erase(entry.unsure, agent);
    if (entry.awaited.empty() && entry.scope != search_scope::everywhere) {
        entry.scope = static_cast<search_scope>(static_cast<int>(entry.scope) + 1);
        query_scope(now, flow, entry);
    }
    if (entry.scope == search_scope::everywhere && entry.unanswered.empty())
        conclude(now, at);
}

void flow_search::on_answer(time_point now, endpoint agent, holder_answer const& answer) {
    auto const query = queries_.find(answer.number);
    if (query == queries_.end() || query->second.agent != agent ||
        query->second.flows.size() != answer.states.size())
        return;
    std::vector<packet_flow> const flows = std::move(query->second.flows);
    queries_.erase(query);
    for (std::size_t i = 0; i < flows.size(); ++i) {
        auto const at = searches_.find(flows[i]);
        if (at == searches_.end())
            continue;
        switch (answer.states[i]) {
        case holder_state::held:
            finish(at, search_result::outcome::found, agent);
            break;
        case holder_state::not_held:
            on_not_held(now, agent, flows[i]);
            break;
        case holder_state::unknown:
            at->second.unsure.push_back(agent);
            send_probes(flows[i], at->second);
            break;
        }
    }
}

void flow_search::on_tick(time_point now) {
    if (now >= earliest_deadline_)
        expire_scopes(now);
    if (queries_due_at_ && now >= *queries_due_at_)
        send_queries(now);
    std::erase_if(queries_, [&](auto const& item) { return now >= item.second.expires_at; });
    std::erase_if(surveys_, [&](auto const& item) { return now >= item.second.expires_at; });
}

std::optional<time_point> flow_search::next_due() const {
    std::optional<time_point> due = queries_due_at_;
    if (!searches_.empty())
        due = std::min(due.value_or(earliest_deadline_), earliest_deadline_);
    return due;
}

std::string flow_search::service_of(endpoint agent) const {
    auto const at = agents_.find(agent);
    return at == agents_.end() ? std::string{} : at->second.service;
}

search_output flow_search::take_output() {
    return std::exchange(output_, {});
}

// Queries the agents of the current scope, or of the next one that has any.
void flow_search::query_scope(time_point now, packet_flow const& flow, search& entry) {
    for (;;) {
        entry.awaited = next_agents(flow, entry);
        if (!entry.awaited.empty() || entry.scope == search_scope::everywhere)
            break;
        entry.scope = static_cast<search_scope>(static_cast<int>(entry.scope) + 1);
    }
    for (endpoint const agent : entry.awaited) {
        entry.queried.push_back(agent);
        entry.unanswered.push_back(agent);
        if (entry.scope == search_scope::candidates)
            send_packet(agent, entry);
    }
    if (entry.scope != search_scope::candidates)
        query_agents(now, flow, entry.awaited);
    set_deadline(entry, std::max(now, queries_due_at_.value_or(now)) + options_.answer_timeout);
}

// Queries only the agents without an answer; a negative answer stays valid.
void flow_search::retry(time_point now, packet_flow const& flow, search& entry) {
    entry.paused = false;
    entry.awaited = entry.unanswered;
    std::vector<endpoint> agents;
    for (endpoint const agent : entry.awaited)
        if (!contains(entry.unsure, agent))
            agents.push_back(agent);
    query_agents(now, flow, agents);
    send_probes(flow, entry);
    set_deadline(entry, std::max(now, queries_due_at_.value_or(now)) + options_.answer_timeout);
}

// Keeps only the first packet, for probes; callers retransmit the others.
void flow_search::pause(search& entry) {
    entry.paused = true;
    set_deadline(entry, entry.expires_at);
    entry.buffered.resize(1);
}

void flow_search::set_deadline(search& entry, time_point when) {
    entry.deadline = when;
    earliest_deadline_ = std::min(earliest_deadline_, when);
}

void flow_search::expire_scopes(time_point now) {
    std::vector<packet_flow> expired;
    for (auto const& [flow, entry] : searches_)
        if (now >= entry.deadline)
            expired.push_back(flow);
    for (packet_flow const& flow : expired)
        on_deadline(now, flow);
    earliest_deadline_ = time_point::max();
    for (auto const& [flow, entry] : searches_)
        earliest_deadline_ = std::min(earliest_deadline_, entry.deadline);
}

void flow_search::on_deadline(time_point now, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    search& entry = at->second;
    if (entry.scope != search_scope::everywhere) {
        entry.scope = static_cast<search_scope>(static_cast<int>(entry.scope) + 1);
        query_scope(now, flow, entry);
        return;
    }
    if (entry.unanswered.empty()) {
        conclude(now, at);
    } else if (now >= entry.expires_at) {
        finish(at, search_result::outcome::not_found, entry.unanswered.front());
    } else if (entry.retries_left > 0) {
        --entry.retries_left;
        retry(now, flow, entry);
    } else {
        pause(entry);
    }
}

void flow_search::send_packet(endpoint agent, search const& entry) {
    output_.packets.push_back({agent,
                               {.purpose = forward_purpose::search,
                                .service = service_of(agent),
                                .origin = options_.self,
                                .candidates = {},
                                .best_offer = {},
                                .packet = entry.buffered.front()}});
}

// Sends the packet as a probe of their upstreams to agents that cannot tell, in the order of the
// flow.
void flow_search::send_probes(packet_flow const& flow, search& entry) {
    std::sort(entry.unsure.begin(), entry.unsure.end(), [&](endpoint left, endpoint right) {
        return rank_of(flow, left) < rank_of(flow, right);
    });
    std::size_t const count = std::min<std::size_t>(entry.probes_left, entry.unsure.size());
    for (std::size_t i = 0; i < count; ++i)
        send_packet(entry.unsure[i], entry);
    entry.unsure.erase(entry.unsure.begin(),
                       entry.unsure.begin() + static_cast<std::ptrdiff_t>(count));
    entry.probes_left -= static_cast<std::uint32_t>(count);
}

std::uint64_t flow_search::rank_of(packet_flow const& flow, endpoint agent) const {
    auto const known = agents_.find(agent);
    return known == agents_.end() ? 0 : rendezvous_hash(flow, known->second.seed);
}

void flow_search::query_agents(time_point now, packet_flow const& flow,
                               std::vector<endpoint> const& agents) {
    if (agents.size() > options_.max_direct_queries)
        pending_surveys_.push_back(flow);
    else
        for (endpoint const agent : agents)
            pending_queries_[agent].push_back(flow);
    if (!agents.empty())
        schedule_queries(now);
}

void flow_search::schedule_queries(time_point now) {
    if (!queries_due_at_)
        queries_due_at_ = std::max(now + options_.query_window, link_free_at_ - options_.max_ahead);
}

void flow_search::send_queries(time_point now) {
    queries_due_at_.reset();
    std::size_t bytes = send_surveys(now);
    for (auto& [agent, flows] : std::exchange(pending_queries_, {})) {
        for (std::size_t first = 0; first < flows.size(); first += options_.max_flows_in_query) {
            auto const begin = flows.begin() + static_cast<std::ptrdiff_t>(first);
            std::size_t const count = std::min(options_.max_flows_in_query, flows.size() - first);
            send_query(now, agent, {begin, begin + static_cast<std::ptrdiff_t>(count)});
            bytes += options_.bytes_per_query + options_.bytes_per_flow * count;
        }
    }
    std::chrono::duration<double> const share{static_cast<double>(bytes) /
                                              static_cast<double>(options_.bytes_per_second)};
    link_free_at_ = std::max(now, link_free_at_) + std::chrono::duration_cast<duration>(share);
}

// Surveys all agents for the pending flows. Each part of the agents is surveyed by one of them,
// which is another one each time, since an agent may have failed. Returns the bytes that this
// takes.
std::size_t flow_search::send_surveys(time_point now) {
    std::vector<packet_flow> const flows = std::exchange(pending_surveys_, {});
    std::vector<endpoint> agents;
    for (auto const& [agent, known] : agents_)
        agents.push_back(agent);
    std::size_t bytes = 0;
    for (std::size_t first_flow = 0; first_flow < flows.size();
         first_flow += options_.max_flows_in_survey) {
        std::size_t const last_flow =
            std::min(first_flow + options_.max_flows_in_survey, flows.size());
        std::vector<packet_flow> const batch(
            flows.begin() + static_cast<std::ptrdiff_t>(first_flow),
            flows.begin() + static_cast<std::ptrdiff_t>(last_flow));
        for (std::size_t first = 0; first < agents.size(); first += options_.max_agents_in_survey) {
            std::size_t const last = std::min(first + options_.max_agents_in_survey, agents.size());
            std::vector<endpoint> const part(agents.begin() + static_cast<std::ptrdiff_t>(first),
                                             agents.begin() + static_cast<std::ptrdiff_t>(last));
            std::uint32_t const number = next_query_++;
            endpoint const surveyor = part[number % part.size()];
            output_.surveys.push_back({surveyor, {number, options_.self, part, batch}});
            surveys_[number] = {surveyor, part, batch, now + options_.search_timeout};
            bytes += options_.bytes_per_query + options_.bytes_per_surveyed_agent * part.size() +
                     options_.bytes_per_flow * batch.size();
        }
    }
    return bytes;
}

void flow_search::on_survey_result(time_point now, endpoint agent, survey_result const& result) {
    auto const at = surveys_.find(result.number);
    if (at == surveys_.end() || at->second.surveyor != agent)
        return;
    open_survey const survey = std::move(at->second);
    surveys_.erase(at);
    for (survey_result::holder const& held : result.holders) {
        if (held.flow >= survey.flows.size())
            continue;
        if (auto const found = searches_.find(survey.flows[held.flow]); found != searches_.end())
            finish(found, search_result::outcome::found, held.agent);
    }
    std::vector<endpoint> denying;
    for (endpoint const surveyed : survey.agents)
        if (!contains(result.unsure, surveyed) && !contains(result.silent, surveyed))
            denying.push_back(surveyed);
    for (packet_flow const& flow : survey.flows)
        add_denials(now, flow, denying, result.unsure);
}

// Records the answers of many agents for one flow. `agents` are sorted.
void flow_search::add_denials(time_point now, packet_flow const& flow,
                              std::vector<endpoint> const& agents,
                              std::vector<endpoint> const& unsure) {
    auto const at = searches_.find(flow);
    if (at == searches_.end())
        return;
    search& entry = at->second;
    auto const denies = [&](endpoint agent) {
        return std::binary_search(agents.begin(), agents.end(), agent);
    };
    std::erase_if(entry.unanswered, denies);
    std::erase_if(entry.awaited, denies);
    std::erase_if(entry.unsure, denies);
    for (endpoint const agent : unsure)
        if (contains(entry.unanswered, agent) && !contains(entry.unsure, agent))
            entry.unsure.push_back(agent);
    send_probes(flow, entry);
    if (entry.scope == search_scope::everywhere && entry.unanswered.empty())
        conclude(now, at);
}

void flow_search::send_query(time_point now, endpoint agent, std::vector<packet_flow> flows) {
    std::uint32_t const number = next_query_++;
    output_.queries.push_back({agent, {number, options_.self, flows}});
    queries_[number] = {agent, std::move(flows), now + options_.search_timeout};
}

// Ends or pauses a search after every queried agent answered that it does not hold the flow.
void flow_search::conclude(time_point now, search_map::iterator at) {
    bool const view_is_current = now - last_control_contact_ <= options_.max_view_age;
    if (at->second.truncated && now < at->second.expires_at)
        pause(at->second);
    else if (at->second.truncated)
        finish(at, search_result::outcome::not_found, {});
    else
        finish(at,
               view_is_current ? search_result::outcome::not_held
                               : search_result::outcome::stale_view,
               {});
}

void flow_search::finish(search_map::iterator at, search_result::outcome status, endpoint agent) {
    bool const found = status == search_result::outcome::found;
    output_.results.push_back(
        {status, at->first, agent, at->second.caller_expects,
         found ? std::move(at->second.buffered) : std::vector<std::string>{}});
    searches_.erase(at);
}

std::vector<endpoint> flow_search::next_agents(packet_flow const& flow, search& entry) const {
    std::vector<endpoint> next;
    if (entry.scope == search_scope::everywhere) {
        // An earlier configuration may have routed the flow to a service that the route no longer
        // names.
        for (auto const& [agent, known] : agents_)
            if (!contains(entry.queried, agent))
                next.push_back(agent);
    } else {
        for (std::string const& service : entry.services)
            for (endpoint const agent : agents_of_service(flow, entry, service))
                next.push_back(agent);
    }
    if (next.size() > options_.max_queried) {
        entry.truncated = true;
        next.clear();
    }
    return next;
}

// Returns the agents of a service that were not queried, in the order in which the flow would be
// offered to them.
std::vector<endpoint> flow_search::agents_of_service(packet_flow const& flow, search const& entry,
                                                     std::string const& service) const {
    std::vector<std::pair<std::uint64_t, endpoint>> ordered;
    for (auto const& [agent, known] : agents_)
        if (known.service == service && !contains(entry.queried, agent))
            ordered.emplace_back(rendezvous_hash(flow, known.seed), agent);
    std::size_t const wanted = std::min<std::size_t>(
        entry.scope == search_scope::candidates ? options_.candidates : options_.nearest,
        ordered.size());
    std::partial_sort(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(wanted),
                      ordered.end());
    ordered.resize(wanted);
    std::vector<endpoint> agents;
    for (auto const& [order, agent] : ordered)
        agents.push_back(agent);
    return agents;
}

} // namespace toucanusher
