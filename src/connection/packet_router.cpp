#include "toucanusher/connection/packet_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

namespace {

constexpr duration sweep_interval = std::chrono::seconds{5};

struct hashed_flow {
    std::uint32_t caller = 0;
    std::uint32_t route = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t route_port = 0;
};

std::uint64_t hash_flow(packet_flow const& flow, std::uint64_t seed) {
    hashed_flow const key{flow.caller.address, flow.route.address, flow.caller.port,
                          flow.route.port};
    static_assert(sizeof key == 12, "a key must have no padding");
    return XXH3_64bits_withSeed(&key, sizeof key, seed);
}

std::uint64_t hash_name(std::string const& name) {
    return XXH3_64bits(name.data(), name.size());
}

// Keeps the services that an address had, oldest first.
void remember(std::map<endpoint, std::vector<std::string>>& earlier, route const& item) {
    constexpr std::size_t most = 8;
    std::vector<std::string>& known = earlier[item.address];
    for (weighted_service const& part : item.split)
        if (std::find(known.begin(), known.end(), part.service) == known.end())
            known.push_back(part.service);
    if (known.size() > most)
        known.erase(known.begin());
}

bool contains(std::vector<endpoint> const& agents, endpoint agent) {
    return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

// The next step of a search; the last one stays.
template <typename Reach>
Reach wider(Reach reach) {
    return reach == Reach::everywhere ? reach : static_cast<Reach>(static_cast<int>(reach) + 1);
}

} // namespace

char const* to_string(router_event event) {
    switch (event) {
    case router_event::placing:
        return "placing";
    case router_event::placing_again:
        return "placing_again";
    case router_event::delivered:
        return "delivered";
    case router_event::searching:
        return "searching";
    case router_event::found:
        return "found";
    case router_event::early:
        return "early";
    case router_event::no_route:
        return "no_route";
    case router_event::no_upstream:
        return "no_upstream";
    case router_event::nobody_takes:
        return "nobody_takes";
    case router_event::not_found:
        return "not_found";
    case router_event::flow_is_over:
        return "flow_is_over";
    case router_event::overflow:
        return "overflow";
    }
    return "invalid";
}

packet_router::packet_router(packet_router_options options, time_point now)
    : options_(std::move(options)), view_{std::make_shared<configuration const>(), {}},
      index_(*view_.routes), next_sweep_(now + sweep_interval) {}

router_output packet_router::set_view(time_point now, router_view view) {
    if (view.routes != view_.routes) {
        std::map<endpoint, std::vector<std::string>> kept;
        for (route const& item : view.routes->routes) {
            auto const before = earlier_services_.find(item.address);
            if (before != earlier_services_.end())
                kept.insert(*before);
            remember(kept, item);
        }
        earlier_services_ = std::move(kept);
        index_ = route_index(*view.routes);
    }
    for (auto& [agent, known] : agents_)
        known.left = known.left ? known.left : std::optional{now};
    for (auto const& [service, choices] : view.upstreams)
        for (upstream_choice const& choice : choices)
            agents_[choice.agent] = {service, hash_name(choice.name), std::nullopt};
    std::erase_if(agents_, [&](auto const& item) {
        return item.second.left && now - *item.second.left > options_.remember_upstreams;
    });
    view_ = std::move(view);
    if (view_.routes->number > 0)
        for (early_packet& kept : std::exchange(early_, {}))
            if (now - kept.came <= options_.early_patience)
                route_packet(now, kept.head, std::move(kept.packet));
    return finish();
}

router_output packet_router::on_packet(time_point now, packet_head const& head,
                                       std::string packet) {
    if (view_.routes->number == 0)
        keep_early(now, head, std::move(packet));
    else
        route_packet(now, head, std::move(packet));
    return finish();
}

void packet_router::keep_early(time_point now, packet_head const& head, std::string packet) {
    note(router_event::early, head.flow);
    if (early_.size() >= options_.max_early_packets)
        early_.pop_front();
    early_.push_back({head, std::move(packet), now});
}

void packet_router::route_packet(time_point now, packet_head const& head, std::string packet) {
    bool const opens = head.opens && !head.acknowledges;
    // Even a flow that is known here is not served once its route is gone.
    if (!index_.find(head.flow.route)) {
        note(router_event::no_route, head.flow);
        return;
    }
    auto const known = hints_.find(head.flow);
    if (known != hints_.end())
        deliver(now, head.flow, known->second, std::move(packet));
    else if (opens)
        open_flow(now, head, std::move(packet));
    else if (head.resets)
        return; // whoever holds the flow forgets it when it is idle
    else if (auto const search = searches_.find(head.flow); search == searches_.end())
        start_search(now, head.flow, std::move(packet), head.acknowledged, {});
    else if (search->second.parked.size() < options_.max_parked_packets)
        search->second.parked.push_back(std::move(packet));
    else
        note(router_event::overflow, head.flow);
}

router_output packet_router::on_notice(time_point now, endpoint agent, flow_notice const& notice) {
    suspected_.erase(agent);
    packet_flow const& flow = notice.flow;
    if (notice.report == flow_report::held) {
        std::optional<duration> took;
        if (auto const open = openings_.find(flow); open != openings_.end())
            took = now - open->second.began;
        openings_.erase(flow);
        hint& known = hints_[flow];
        known.agent = agent;
        known.used = now;
        if (auto const at = agents_.find(agent); at != agents_.end())
            known.service = at->second.service;
        note(router_event::found, flow, agent);
        output_.notes.back().took = took;
        if (auto const waiting = searches_.find(flow); waiting != searches_.end()) {
            // The first packet was delivered by the agent that found the flow.
            std::vector<std::string> parked = std::move(waiting->second.parked);
            searches_.erase(waiting);
            for (std::size_t i = 1; i < parked.size(); ++i)
                deliver(now, flow, known, std::move(parked[i]));
        }
        return finish();
    }
    if (notice.report == flow_report::nobody_takes) {
        auto const open = openings_.find(flow);
        if (open == openings_.end())
            return finish();
        note(router_event::nobody_takes, flow, agent);
        // A copy may have found a place meanwhile, so only the first packet is refused aloud.
        if (open->second.copies == 0)
            output_.actions.emplace_back(refuse_flow{flow});
        openings_.erase(open);
        return finish();
    }
    on_not_held(now, agent, notice);
    return finish();
}

void packet_router::on_not_held(time_point now, endpoint agent, flow_notice const& notice) {
    packet_flow const& flow = notice.flow;
    auto const known = hints_.find(flow);
    if (known != hints_.end() && known->second.agent == agent)
        hints_.erase(known);
    auto const open = searches_.find(flow);
    if (open == searches_.end()) {
        if (!notice.packet.empty() && !hints_.contains(flow))
            start_search(now, flow, notice.packet, notice.caller_expects, agent);
        return;
    }
    search& asking = open->second;
    std::erase(asking.unanswered, agent);
    std::erase(asking.awaited, agent);
    if (asking.awaited.empty() && asking.reach != search_reach::everywhere)
        widen_search(now, flow, asking);
    if (asking.reach != search_reach::everywhere || !asking.unanswered.empty())
        return;
    // Nobody that could hold it does: the caller need not wait for its deadline.
    note(router_event::flow_is_over, flow);
    output_.actions.emplace_back(refuse_flow{flow, asking.expected});
    searches_.erase(open);
}

router_output packet_router::on_tick(time_point now) {
    std::vector<packet_flow> late;
    for (auto const& [flow, open] : openings_)
        if (now >= open.deadline)
            late.push_back(flow);
    for (packet_flow const& flow : late) {
        opening& open = openings_[flow];
        if (!open.asked.empty())
            suspected_[open.asked.back()] = now + options_.suspicion;
        if (open.attempts >= options_.max_open_attempts) {
            note(router_event::not_found, flow,
                 open.asked.empty() ? endpoint{} : open.asked.back());
            openings_.erase(flow);
            continue;
        }
        place(now, flow, open);
    }
    for (auto at = searches_.begin(); at != searches_.end();) {
        auto const open = at++;
        if (now < open->second.deadline)
            continue;
        if (open->second.reach != search_reach::everywhere) {
            widen_search(now, open->first, open->second);
            continue;
        }
        note(router_event::not_found, open->first,
             open->second.unanswered.empty() ? endpoint{} : open->second.unanswered.front());
        searches_.erase(open);
    }
    if (now >= next_sweep_)
        sweep_hints(now);
    return finish();
}

std::optional<time_point> packet_router::next_due() const {
    std::optional<time_point> due;
    if (!hints_.empty())
        due = next_sweep_;
    for (auto const& [flow, open] : openings_)
        due = std::min(due.value_or(open.deadline), open.deadline);
    for (auto const& [flow, search] : searches_)
        due = std::min(due.value_or(search.deadline), search.deadline);
    return due;
}

void packet_router::open_flow(time_point now, packet_head const& head, std::string packet) {
    if (openings_.size() >= options_.max_searches) {
        note(router_event::overflow, head.flow);
        return;
    }
    auto const [at, added] = openings_.try_emplace(head.flow);
    opening& open = at->second;
    if (!added && now < open.deadline)
        return; // an attempt is under way
    open.packet = std::move(packet);
    open.copies = head.acknowledged;
    if (added) {
        route const& item = view_.routes->routes[*index_.find(head.flow.route)];
        open.service = pick_service(item, head.flow);
        open.objective = item.objective;
        open.priority = item.priority;
        open.began = now;
    }
    place(now, head.flow, open);
}

// Sends the opening packet to the next candidates that were not asked yet.
void packet_router::place(time_point now, packet_flow const& flow, opening& open) {
    std::vector<upstream_choice const*> const ranked = rank(now, open.service, flow);
    std::vector<endpoint> candidates;
    for (upstream_choice const* choice : ranked)
        if (!contains(open.asked, choice->agent))
            candidates.push_back(choice->agent);
    if (candidates.empty())
        for (upstream_choice const* choice : ranked)
            candidates.push_back(choice->agent);
    ++open.attempts;
    open.deadline = now + options_.open_patience;
    if (candidates.empty()) {
        note(router_event::no_upstream, flow);
        open.attempts = options_.max_open_attempts;
        return;
    }
    candidates.resize(std::min<std::size_t>(candidates.size(), options_.max_candidates));
    endpoint const first = candidates.front();
    candidates.erase(candidates.begin());
    open.asked.push_back(first);
    note(open.attempts > 1 ? router_event::placing_again : router_event::placing, flow, first);
    output_.actions.emplace_back(carry_to_agent{first,
                                                {.purpose = carry_purpose::open,
                                                 .service = open.service,
                                                 .origin = options_.self,
                                                 .candidates = std::move(candidates),
                                                 .offers_wanted = options_.offers,
                                                 .best = {},
                                                 .objective = open.objective,
                                                 .priority = open.priority,
                                                 .packet = open.packet}});
}

void packet_router::start_search(time_point now, packet_flow const& flow, std::string packet,
                                 std::uint32_t expected, endpoint except) {
    if (searches_.size() >= options_.max_searches) {
        note(router_event::overflow, flow);
        return;
    }
    note(router_event::searching, flow);
    search& open = searches_[flow];
    open.parked.push_back(std::move(packet));
    open.expected = expected;
    open.asked.push_back(except);
    ask_agents(now, flow, open);
}

// Asks the agents of the present step, or of the next one that has any.
void packet_router::ask_agents(time_point now, packet_flow const& flow, search& open) {
    open.deadline = now + options_.search_patience;
    for (;;) {
        open.awaited = next_to_ask(flow, open);
        if (!open.awaited.empty() || open.reach == search_reach::everywhere)
            break;
        open.reach = wider(open.reach);
    }
    for (endpoint const agent : open.awaited) {
        open.asked.push_back(agent);
        open.unanswered.push_back(agent);
        output_.actions.emplace_back(carry_to_agent{agent,
                                                    {.purpose = carry_purpose::search,
                                                     .service = agents_.at(agent).service,
                                                     .origin = options_.self,
                                                     .candidates = {},
                                                     .best = {},
                                                     .packet = open.parked.front()}});
    }
}

void packet_router::widen_search(time_point now, packet_flow const& flow, search& open) {
    open.reach = wider(open.reach);
    ask_agents(now, flow, open);
}

std::vector<endpoint> packet_router::next_to_ask(packet_flow const& flow,
                                                 search const& open) const {
    std::vector<endpoint> next;
    // An earlier configuration may have sent the flow to a service that its route no longer names.
    if (open.reach == search_reach::everywhere) {
        for (auto const& [agent, known] : agents_)
            if (!contains(open.asked, agent))
                next.push_back(agent);
        return next;
    }
    for (std::string const& service : services_of(flow))
        for (endpoint const agent : first_of_service(flow, open, service))
            next.push_back(agent);
    return next;
}

// Agents of a service that were not asked, those that the flow would be offered to first.
std::vector<endpoint> packet_router::first_of_service(packet_flow const& flow, search const& open,
                                                      std::string const& service) const {
    std::vector<std::pair<std::uint64_t, endpoint>> ordered;
    for (auto const& [agent, known] : agents_)
        if (known.service == service && !contains(open.asked, agent))
            ordered.emplace_back(hash_flow(flow, known.seed), agent);
    std::sort(ordered.begin(), ordered.end());
    std::size_t most = ordered.size();
    if (open.reach == search_reach::candidates)
        most = options_.search_first;
    else if (open.reach == search_reach::neighbours)
        most = options_.search_next;
    ordered.resize(std::min(most, ordered.size()));
    std::vector<endpoint> agents;
    for (auto const& [order, agent] : ordered)
        agents.push_back(agent);
    return agents;
}

void packet_router::deliver(time_point now, packet_flow const& flow, hint& known,
                            std::string packet) {
    known.used = now;
    note(router_event::delivered, flow, known.agent);
    output_.actions.emplace_back(carry_to_agent{known.agent,
                                                {.purpose = carry_purpose::deliver,
                                                 .service = known.service,
                                                 .origin = options_.self,
                                                 .candidates = {},
                                                 .best = {},
                                                 .packet = std::move(packet)}});
}

void packet_router::note(router_event event, packet_flow const& flow, endpoint agent) {
    output_.notes.push_back({event, flow, agent});
}

void packet_router::sweep_hints(time_point now) {
    next_sweep_ = now + sweep_interval;
    bool const crowded = hints_.size() > options_.max_hints;
    duration const kept = crowded ? options_.hint_lifetime / 4 : options_.hint_lifetime;
    absl::erase_if(hints_, [&](auto const& item) { return now - item.second.used > kept; });
    std::erase_if(suspected_, [&](auto const& item) { return now >= item.second; });
}

std::string packet_router::pick_service(route const& item, packet_flow const& flow) const {
    std::uint64_t total = 0;
    for (weighted_service const& part : item.split)
        total += part.weight;
    if (total == 0)
        return {};
    std::uint64_t draw = hash_flow(flow, 0) % total;
    for (weighted_service const& part : item.split) {
        if (draw < part.weight)
            return part.service;
        draw -= part.weight;
    }
    return {};
}

// Candidates in the flow's own random order; suspected and leaving ones come last.
std::vector<upstream_choice const*> packet_router::rank(time_point now, std::string const& service,
                                                        packet_flow const& flow) const {
    auto const choices = view_.upstreams.find(service);
    if (choices == view_.upstreams.end())
        return {};
    struct ranked {
        bool avoided = false;
        std::uint64_t order = 0;
        upstream_choice const* choice = nullptr;
    };
    std::vector<ranked> all;
    for (upstream_choice const& choice : choices->second)
        if (!choice.draining)
            all.push_back(
                {suspected(now, choice.agent), hash_flow(flow, hash_name(choice.name)), &choice});
    std::sort(all.begin(), all.end(), [](ranked const& left, ranked const& right) {
        return std::tie(left.avoided, left.order) < std::tie(right.avoided, right.order);
    });
    std::vector<upstream_choice const*> result;
    for (ranked const& item : all)
        result.push_back(item.choice);
    return result;
}

std::vector<std::string> const& packet_router::services_of(packet_flow const& flow) const {
    static std::vector<std::string> const none;
    auto const known = earlier_services_.find(flow.route);
    return known == earlier_services_.end() ? none : known->second;
}

bool packet_router::suspected(time_point now, endpoint agent) const {
    auto const found = suspected_.find(agent);
    return found != suspected_.end() && now < found->second;
}

router_output packet_router::finish() {
    return std::exchange(output_, {});
}

} // namespace toucanusher
