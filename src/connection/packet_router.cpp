#include "toucanusher/connection/packet_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace toucanusher {

namespace {

constexpr duration sweep_interval = std::chrono::seconds{5};

// Adds the services of a route to those of its address, and drops the oldest above the limit.
void add_services(std::map<endpoint, std::vector<std::string>>& earlier, route const& item) {
    constexpr std::size_t max_services = 8;
    std::vector<std::string>& known = earlier[item.address];
    for (weighted_service const& part : item.split)
        if (std::find(known.begin(), known.end(), part.service) == known.end())
            known.push_back(part.service);
    if (known.size() > max_services)
        known.erase(known.begin());
}

bool contains(std::vector<endpoint> const& agents, endpoint agent) {
    return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

flow_search_options search_options(packet_router_options const& options) {
    flow_search_options search;
    search.self = options.self;
    search.candidates = options.offers;
    constexpr std::uint64_t share_of_link = 4;
    search.bytes_per_second = std::min<std::size_t>(search.bytes_per_second,
                                                    options.link_bytes_per_second / share_of_link);
    return search;
}

} // namespace

char const* to_string(router_event event) {
    switch (event) {
    case router_event::placing:
        return "placing";
    case router_event::placing_again:
        return "placing_again";
    case router_event::next_service:
        return "next_service";
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
    case router_event::refused_by_all:
        return "nobody_takes";
    case router_event::not_found:
        return "not_found";
    case router_event::flow_ended:
        return "flow_is_over";
    case router_event::stale_view:
        return "old_view";
    case router_event::overflow:
        return "overflow";
    }
    return "invalid";
}

packet_router::packet_router(packet_router_options options, time_point now)
    : options_(std::move(options)), view_{std::make_shared<configuration const>(), {}},
      index_(*view_.routes), search_(search_options(options_)), next_sweep_(now + sweep_interval) {}

router_output packet_router::set_view(time_point now, router_view view) {
    if (view.routes != view_.routes) {
        std::map<endpoint, std::vector<std::string>> kept;
        for (route const& item : view.routes->routes) {
            auto const before = earlier_services_.find(item.address);
            if (before != earlier_services_.end())
                kept.insert(*before);
            add_services(kept, item);
        }
        earlier_services_ = std::move(kept);
        index_ = route_index(*view.routes);
    }
    search_.set_upstreams(now, view.upstreams);
    view_ = std::move(view);
    if (can_route())
        for (early_packet& kept : std::exchange(early_packets_, {}))
            if (now - kept.arrived_at <= options_.early_packet_timeout)
                route_packet(now, kept.head, std::move(kept.packet));
    return take_output(now);
}

router_output packet_router::on_packet(time_point now, packet_head const& head,
                                       std::string packet) {
    if (!can_route())
        buffer_early_packet(now, head, std::move(packet));
    else
        route_packet(now, head, std::move(packet));
    return take_output(now);
}

bool packet_router::can_route() const {
    return view_.confirmed && view_.routes->number > 0;
}

void packet_router::buffer_early_packet(time_point now, packet_head const& head,
                                        std::string packet) {
    record(router_event::early, head.flow);
    if (early_packets_.size() >= options_.max_early_packets)
        early_packets_.pop_front();
    early_packets_.push_back({head, std::move(packet), now});
}

void packet_router::route_packet(time_point now, packet_head const& head, std::string packet) {
    bool const opens = head.opens && !head.acknowledges;
    // An established flow is not served either once its route is removed.
    auto const at = index_.find(head.flow.route);
    if (!at) {
        record(router_event::no_route, head.flow);
        return;
    }
    auto known = hints_.find(head.flow);
    // A caller may reuse the port of an ended flow.
    if (opens && known != hints_.end() &&
        !takes_new_flows(view_.routes->routes[*at], known->second)) {
        hints_.erase(known);
        known = hints_.end();
    }
    if (known != hints_.end())
        deliver(now, head.flow, known->second, std::move(packet));
    else if (opens)
        open_flow(now, head, std::move(packet));
    else if (head.resets)
        return; // the flow holder drops the flow when its idle timeout expires
    else if (!search_.is_searching(head.flow))
        start_search(now, head.flow, std::move(packet), head.acknowledged, {});
    else if (!search_.buffer(now, head.flow, std::move(packet)))
        record(router_event::overflow, head.flow);
}

router_output packet_router::on_notice(time_point now, endpoint agent, flow_notice const& notice) {
    avoided_until_.erase(agent);
    packet_flow const& flow = notice.flow;
    if (notice.report == flow_report::held) {
        std::optional<duration> elapsed;
        if (auto const open = openings_.find(flow); open != openings_.end())
            elapsed = now - open->second.started_at;
        openings_.erase(flow);
        hint& known = hints_[flow];
        known.agent = agent;
        known.last_used = now;
        if (std::string service = search_.service_of(agent); !service.empty())
            known.service = std::move(service);
        // The result of a search is recorded by on_search_result().
        if (search_.is_searching(flow)) {
            search_.on_held(agent, flow);
        } else {
            record(router_event::found, flow, agent);
            output_.decisions.back().elapsed = elapsed;
        }
        return take_output(now);
    }
    if (notice.report == flow_report::refused_by_all) {
        on_refused_by_all(now, agent, flow);
        return take_output(now);
    }
    on_not_held(now, agent, notice);
    return take_output(now);
}

void packet_router::on_refused_by_all(time_point now, endpoint agent, packet_flow const& flow) {
    auto const at = openings_.find(flow);
    if (at == openings_.end())
        return;
    opening& open = at->second;
    if (open.services.size() > 1) {
        record(router_event::next_service, flow, agent);
        open.services.erase(open.services.begin());
        open.tried_agents.clear();
        send_opening(now, flow, open);
        return;
    }
    record(router_event::refused_by_all, flow, agent);
    // Another copy of the opening packet may have been accepted meanwhile, so the caller is refused
    // only if this is the first one.
    if (open.earlier_copies == 0)
        output_.actions.emplace_back(refuse_flow{flow});
    openings_.erase(at);
}

void packet_router::on_not_held(time_point now, endpoint agent, flow_notice const& notice) {
    packet_flow const& flow = notice.flow;
    auto const known = hints_.find(flow);
    if (known != hints_.end() && known->second.agent == agent)
        hints_.erase(known);
    if (search_.is_searching(flow))
        search_.on_not_held(now, agent, flow);
    else if (!notice.packet.empty() && !hints_.contains(flow))
        start_search(now, flow, notice.packet, notice.caller_expects, agent);
}

router_output packet_router::on_answer(time_point now, endpoint agent,
                                       holder_answer const& answer) {
    avoided_until_.erase(agent);
    search_.on_answer(now, agent, answer);
    return take_output(now);
}

router_output packet_router::on_survey_result(time_point now, endpoint agent,
                                              survey_result const& result) {
    avoided_until_.erase(agent);
    search_.on_survey_result(now, agent, result);
    return take_output(now);
}

router_output packet_router::on_tick(time_point now) {
    if (now >= earliest_opening_deadline_)
        retry_expired_openings(now);
    search_.on_tick(now);
    if (now >= next_sweep_)
        sweep_hints(now);
    return take_output(now);
}

std::optional<time_point> packet_router::next_due() const {
    std::optional<time_point> due;
    if (!hints_.empty())
        due = next_sweep_;
    if (!openings_.empty())
        due = std::min(due.value_or(earliest_opening_deadline_), earliest_opening_deadline_);
    if (auto const search = search_.next_due())
        due = std::min(due.value_or(*search), *search);
    return due;
}

void packet_router::open_flow(time_point now, packet_head const& head, std::string packet) {
    if (openings_.size() >= options_.max_openings) {
        record(router_event::overflow, head.flow);
        return;
    }
    auto const [at, added] = openings_.try_emplace(head.flow);
    opening& open = at->second;
    if (!added && now < open.deadline)
        return; // an attempt is in progress
    open.packet = std::move(packet);
    open.earlier_copies = head.acknowledged;
    if (added) {
        route const& item = view_.routes->routes[*index_.find(head.flow.route)];
        open.services = order_services(item, head.flow);
        open.objective = item.objective;
        open.priority = item.priority;
        open.started_at = now;
    }
    send_opening(now, head.flow, open);
}

// Sends the opening packet to the next candidates that were not tried yet, or to all of them again.
void packet_router::send_opening(time_point now, packet_flow const& flow, opening& open) {
    std::vector<upstream_choice const*> const ranked =
        rank_candidates(now, open.services.front(), flow);
    std::vector<endpoint> candidates;
    for (upstream_choice const* choice : ranked)
        if (!contains(open.tried_agents, choice->agent))
            candidates.push_back(choice->agent);
    if (candidates.empty())
        for (upstream_choice const* choice : ranked)
            candidates.push_back(choice->agent);
    ++open.attempts;
    open.deadline = now + options_.open_timeout;
    earliest_opening_deadline_ = std::min(earliest_opening_deadline_, open.deadline);
    if (candidates.empty()) {
        record(router_event::no_upstream, flow);
        open.attempts = options_.max_open_attempts;
        return;
    }
    candidates.resize(std::min<std::size_t>(candidates.size(), options_.max_candidates));
    endpoint const first = candidates.front();
    candidates.erase(candidates.begin());
    open.tried_agents.push_back(first);
    record(open.attempts > 1 ? router_event::placing_again : router_event::placing, flow, first);
    output_.actions.emplace_back(forward_to_agent{first,
                                                  {.purpose = forward_purpose::open,
                                                   .service = open.services.front(),
                                                   .origin = options_.self,
                                                   .candidates = std::move(candidates),
                                                   .offers_wanted = options_.offers,
                                                   .best_offer = {},
                                                   .objective = open.objective,
                                                   .priority = open.priority,
                                                   .default_slots = ranked.front()->slots,
                                                   .packet = open.packet}});
}

// Sends opening packets whose attempt timed out to other candidates, up to max_open_attempts.
void packet_router::retry_expired_openings(time_point now) {
    std::vector<packet_flow> expired;
    for (auto const& [flow, open] : openings_)
        if (now >= open.deadline)
            expired.push_back(flow);
    for (packet_flow const& flow : expired) {
        opening& open = openings_[flow];
        if (!open.tried_agents.empty())
            avoided_until_[open.tried_agents.back()] = now + options_.avoidance_period;
        if (open.attempts >= options_.max_open_attempts) {
            record(router_event::not_found, flow,
                   open.tried_agents.empty() ? endpoint{} : open.tried_agents.back());
            openings_.erase(flow);
            continue;
        }
        send_opening(now, flow, open);
    }
    earliest_opening_deadline_ = time_point::max();
    for (auto const& [flow, open] : openings_)
        earliest_opening_deadline_ = std::min(earliest_opening_deadline_, open.deadline);
}

void packet_router::start_search(time_point now, packet_flow const& flow, std::string packet,
                                 std::uint32_t caller_expects, endpoint except) {
    bool const begun =
        search_.begin(now, flow, earlier_services(flow), std::move(packet), caller_expects, except);
    record(begun ? router_event::searching : router_event::overflow, flow);
}

void packet_router::take_search_output(time_point now) {
    search_output found = search_.take_output();
    for (forward_to_agent& out : found.packets)
        output_.actions.emplace_back(std::move(out));
    for (query_agent& out : found.queries)
        output_.actions.emplace_back(std::move(out));
    for (request_survey& out : found.surveys)
        output_.actions.emplace_back(std::move(out));
    for (search_result& result : found.results)
        on_search_result(now, result);
}

void packet_router::on_search_result(time_point now, search_result& result) {
    switch (result.status) {
    case search_result::outcome::found: {
        record(router_event::found, result.flow, result.agent);
        hint& known = hints_[result.flow];
        known = {result.agent, search_.service_of(result.agent), now};
        for (std::string& packet : result.buffered)
            deliver(now, result.flow, known, std::move(packet));
        break;
    }
    case search_result::outcome::not_held:
        // No agent that could hold the flow does, so the caller is reset at once and need not wait
        // for its own timeout.
        record(router_event::flow_ended, result.flow);
        output_.actions.emplace_back(refuse_flow{result.flow, result.caller_expects});
        break;
    case search_result::outcome::not_found:
        record(router_event::not_found, result.flow, result.agent);
        break;
    case search_result::outcome::stale_view:
        record(router_event::stale_view, result.flow);
        break;
    }
}

void packet_router::deliver(time_point now, packet_flow const& flow, hint& known,
                            std::string packet) {
    known.last_used = now;
    record(router_event::delivered, flow, known.agent);
    output_.actions.emplace_back(forward_to_agent{known.agent,
                                                  {.purpose = forward_purpose::deliver,
                                                   .service = known.service,
                                                   .origin = options_.self,
                                                   .candidates = {},
                                                   .best_offer = {},
                                                   .packet = std::move(packet)}});
}

void packet_router::record(router_event event, packet_flow const& flow, endpoint agent) {
    output_.decisions.push_back({event, flow, agent});
}

void packet_router::sweep_hints(time_point now) {
    next_sweep_ = now + sweep_interval;
    bool const over_limit = hints_.size() > options_.max_hints;
    duration const kept = over_limit ? options_.hint_lifetime / 4 : options_.hint_lifetime;
    absl::erase_if(hints_, [&](auto const& item) { return now - item.second.last_used > kept; });
    std::erase_if(avoided_until_, [&](auto const& item) { return now >= item.second; });
}

// Orders the services of a route: the first by weight, the same one for each packet of the flow,
// then the others. Never empty.
std::vector<std::string> packet_router::order_services(route const& item, packet_flow const& flow) {
    std::vector<weighted_service> left = item.split;
    std::erase_if(left, [](weighted_service const& part) { return part.weight == 0; });
    std::vector<std::string> order;
    while (!left.empty()) {
        std::uint64_t total = 0;
        for (weighted_service const& part : left)
            total += part.weight;
        std::uint64_t draw = rendezvous_hash(flow, order.size()) % total;
        auto chosen = left.begin();
        while (draw >= chosen->weight)
            draw -= (chosen++)->weight;
        order.push_back(chosen->service);
        left.erase(chosen);
    }
    if (order.empty())
        order.emplace_back();
    return order;
}

// Returns the candidates in rendezvous order for the flow. Avoided agents come last; draining
// upstreams are left out.
std::vector<upstream_choice const*> packet_router::rank_candidates(time_point now,
                                                                   std::string const& service,
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
            all.push_back({is_avoided(now, choice.agent),
                           rendezvous_hash(flow, rendezvous_seed(choice.name)), &choice});
    std::sort(all.begin(), all.end(), [](ranked const& left, ranked const& right) {
        return std::tie(left.avoided, left.order) < std::tie(right.avoided, right.order);
    });
    std::vector<upstream_choice const*> result;
    for (ranked const& item : all)
        result.push_back(item.choice);
    return result;
}

bool packet_router::takes_new_flows(route const& item, hint const& known) const {
    auto const choices = view_.upstreams.find(known.service);
    bool const named =
        std::any_of(item.split.begin(), item.split.end(), [&](weighted_service const& part) {
            return part.service == known.service && part.weight > 0;
        });
    return named && choices != view_.upstreams.end() &&
           std::any_of(choices->second.begin(), choices->second.end(),
                       [&](upstream_choice const& choice) {
                           return choice.agent == known.agent && !choice.draining;
                       });
}

std::vector<std::string> const& packet_router::earlier_services(packet_flow const& flow) const {
    static std::vector<std::string> const none;
    auto const known = earlier_services_.find(flow.route);
    return known == earlier_services_.end() ? none : known->second;
}

bool packet_router::is_avoided(time_point now, endpoint agent) const {
    auto const found = avoided_until_.find(agent);
    return found != avoided_until_.end() && now < found->second;
}

router_output packet_router::take_output(time_point now) {
    take_search_output(now);
    return std::exchange(output_, {});
}

} // namespace toucanusher
