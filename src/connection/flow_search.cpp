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

std::uint64_t place_in_order(packet_flow const& flow, std::uint64_t seed) {
    hashed_flow const key{flow.caller.address, flow.route.address, flow.caller.port,
                          flow.route.port};
    static_assert(sizeof key == 12, "a key must have no padding");
    return XXH3_64bits_withSeed(&key, sizeof key, seed);
}

std::uint64_t seed_of(std::string const& upstream) {
    return XXH3_64bits(upstream.data(), upstream.size());
}

void flow_search::set_upstreams(time_point now, upstreams_by_service const& upstreams) {
    for (auto& [agent, known] : agents_)
        known.left = known.left ? known.left : std::optional{now};
    for (auto const& [service, choices] : upstreams)
        for (upstream_choice const& choice : choices)
            agents_[choice.agent] = {service, seed_of(choice.name), std::nullopt};
    std::erase_if(agents_, [&](auto const& item) {
        return item.second.left && now - *item.second.left > options_.remember_upstreams;
    });
}

bool flow_search::begin(time_point now, packet_flow const& flow, std::vector<std::string> services,
                        std::string packet, std::uint32_t expected, endpoint except) {
    if (searches_.size() >= options_.max_searches)
        return false;
    search& open = searches_[flow];
    open.services = std::move(services);
    open.parked.push_back(std::move(packet));
    open.expected = expected;
    open.repeats_left = options_.repeats;
    open.expires = now + options_.lifetime;
    open.asked.push_back(except);
    ask_step(now, flow, open);
    return true;
}

bool flow_search::park(time_point now, packet_flow const& flow, std::string packet) {
    auto const at = searches_.find(flow);
    if (at == searches_.end() || at->second.parked.size() >= options_.max_parked_packets)
        return false;
    search& open = at->second;
    open.parked.push_back(std::move(packet));
    if (open.rests)
        ask_again(now, flow, open);
    return true;
}

void flow_search::on_held(endpoint agent, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    if (at == searches_.end())
        return;
    at->second.parked.erase(at->second.parked.begin());
    end(at, search_end::outcome::found, agent);
}

void flow_search::on_denied(time_point now, endpoint agent, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    if (at == searches_.end())
        return;
    search& open = at->second;
    std::erase(open.unanswered, agent);
    std::erase(open.awaited, agent);
    if (open.awaited.empty() && open.reached != reach::everywhere) {
        open.reached = static_cast<reach>(static_cast<int>(open.reached) + 1);
        ask_step(now, flow, open);
    }
    if (open.reached == reach::everywhere && open.unanswered.empty())
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
            end(at, search_end::outcome::found, agent);
            break;
        case holder_state::denied:
            on_denied(now, agent, flows[i]);
            break;
        case holder_state::unsure:
            // The upstream knows, and the packet is what it can be asked with.
            send_packet(agent, at->second);
            break;
        }
    }
}

void flow_search::on_tick(time_point now) {
    if (now >= earliest_)
        end_late_steps(now);
    if (queries_due_ && now >= *queries_due_)
        send_queries(now);
    std::erase_if(queries_, [&](auto const& item) { return now >= item.second.expires; });
}

std::optional<time_point> flow_search::next_due() const {
    std::optional<time_point> due = queries_due_;
    if (!searches_.empty())
        due = std::min(due.value_or(earliest_), earliest_);
    return due;
}

std::string flow_search::service_of(endpoint agent) const {
    auto const at = agents_.find(agent);
    return at == agents_.end() ? std::string{} : at->second.service;
}

search_output flow_search::take_output() {
    return std::exchange(output_, {});
}

// Asks the agents of the present step, or of the next one that has any.
void flow_search::ask_step(time_point now, packet_flow const& flow, search& open) {
    for (;;) {
        open.awaited = next_to_ask(flow, open);
        if (!open.awaited.empty() || open.reached == reach::everywhere)
            break;
        open.reached = static_cast<reach>(static_cast<int>(open.reached) + 1);
    }
    for (endpoint const agent : open.awaited) {
        open.asked.push_back(agent);
        open.unanswered.push_back(agent);
        if (open.reached == reach::candidates)
            send_packet(agent, open);
        else
            add_to_query(now, agent, flow);
    }
    set_deadline(open, std::max(now, queries_due_.value_or(now)) + options_.patience);
}

// What was denied stays denied: only those that did not answer are asked.
void flow_search::ask_again(time_point now, packet_flow const& flow, search& open) {
    open.rests = false;
    open.awaited = open.unanswered;
    for (endpoint const agent : open.awaited)
        add_to_query(now, agent, flow);
    set_deadline(open, std::max(now, queries_due_.value_or(now)) + options_.patience);
}

// Packets that came are repeated by their sender; the first one is kept to be asked with.
void flow_search::rest(search& open) {
    open.rests = true;
    set_deadline(open, open.expires);
    open.parked.resize(1);
}

void flow_search::set_deadline(search& open, time_point when) {
    open.deadline = when;
    earliest_ = std::min(earliest_, when);
}

void flow_search::end_late_steps(time_point now) {
    std::vector<packet_flow> late;
    for (auto const& [flow, open] : searches_)
        if (now >= open.deadline)
            late.push_back(flow);
    for (packet_flow const& flow : late)
        on_deadline(now, flow);
    earliest_ = time_point::max();
    for (auto const& [flow, open] : searches_)
        earliest_ = std::min(earliest_, open.deadline);
}

void flow_search::on_deadline(time_point now, packet_flow const& flow) {
    auto const at = searches_.find(flow);
    search& open = at->second;
    if (open.reached != reach::everywhere) {
        open.reached = static_cast<reach>(static_cast<int>(open.reached) + 1);
        ask_step(now, flow, open);
        return;
    }
    if (open.unanswered.empty()) {
        conclude(now, at);
    } else if (now >= open.expires) {
        end(at, search_end::outcome::not_found, open.unanswered.front());
    } else if (open.repeats_left > 0) {
        --open.repeats_left;
        ask_again(now, flow, open);
    } else {
        rest(open);
    }
}

void flow_search::send_packet(endpoint agent, search const& open) {
    output_.packets.push_back({agent,
                               {.purpose = carry_purpose::search,
                                .service = service_of(agent),
                                .origin = options_.self,
                                .candidates = {},
                                .best = {},
                                .packet = open.parked.front()}});
}

void flow_search::add_to_query(time_point now, endpoint agent, packet_flow const& flow) {
    next_queries_[agent].push_back(flow);
    if (!queries_due_)
        queries_due_ = std::max(now + options_.query_window, link_free_);
}

void flow_search::send_queries(time_point now) {
    queries_due_.reset();
    std::size_t bytes = 0;
    for (auto& [agent, flows] : std::exchange(next_queries_, {})) {
        for (std::size_t first = 0; first < flows.size(); first += options_.max_flows_in_query) {
            auto const begin = flows.begin() + static_cast<std::ptrdiff_t>(first);
            std::size_t const count = std::min(options_.max_flows_in_query, flows.size() - first);
            send_query(now, agent, {begin, begin + static_cast<std::ptrdiff_t>(count)});
            bytes += options_.bytes_per_query + options_.bytes_per_flow * count;
        }
    }
    std::chrono::duration<double> const share{static_cast<double>(bytes) /
                                              static_cast<double>(options_.bytes_per_second)};
    link_free_ = now + std::chrono::duration_cast<duration>(share);
}

void flow_search::send_query(time_point now, endpoint agent, std::vector<packet_flow> flows) {
    std::uint32_t const number = next_query_++;
    output_.queries.push_back({agent, {number, options_.self, flows}});
    queries_[number] = {agent, std::move(flows), now + options_.lifetime};
}

// Everybody who could hold the flow denies it.
void flow_search::conclude(time_point now, search_map::iterator at) {
    bool const fresh = now - control_heard_ <= options_.max_view_age;
    if (at->second.partial && now < at->second.expires)
        rest(at->second);
    else if (at->second.partial)
        end(at, search_end::outcome::not_found, {});
    else
        end(at, fresh ? search_end::outcome::over : search_end::outcome::old_view, {});
}

void flow_search::end(search_map::iterator at, search_end::outcome what, endpoint agent) {
    bool const found = what == search_end::outcome::found;
    output_.ended.push_back({what, at->first, agent, at->second.expected,
                             found ? std::move(at->second.parked) : std::vector<std::string>{}});
    searches_.erase(at);
}

std::vector<endpoint> flow_search::next_to_ask(packet_flow const& flow, search& open) const {
    std::vector<endpoint> next;
    if (open.reached == reach::everywhere) {
        // An earlier configuration may have sent the flow to a service that is not named now.
        for (auto const& [agent, known] : agents_)
            if (!contains(open.asked, agent))
                next.push_back(agent);
    } else {
        for (std::string const& service : open.services)
            for (endpoint const agent : of_service(flow, open, service))
                next.push_back(agent);
    }
    if (next.size() > options_.max_asked) {
        open.partial = true;
        next.clear();
    }
    return next;
}

// Agents of a service that were not asked, those that the flow would be offered to first.
std::vector<endpoint> flow_search::of_service(packet_flow const& flow, search const& open,
                                              std::string const& service) const {
    std::vector<std::pair<std::uint64_t, endpoint>> ordered;
    for (auto const& [agent, known] : agents_)
        if (known.service == service && !contains(open.asked, agent))
            ordered.emplace_back(place_in_order(flow, known.seed), agent);
    std::sort(ordered.begin(), ordered.end());
    if (open.reached == reach::candidates)
        ordered.resize(std::min<std::size_t>(options_.candidates, ordered.size()));
    std::vector<endpoint> agents;
    for (auto const& [order, agent] : ordered)
        agents.push_back(agent);
    return agents;
}

} // namespace toucanusher
