#include "toucanusher/connection/packet_steering.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

packet_steering::packet_steering(steering_options options, flow_hash hash)
    : options_(std::move(options)), hash_(std::move(hash)) {}

void packet_steering::apply_state(time_point now, std::shared_ptr<fleet_state const> state) {
    if (state_ && state->version() <= state_->version())
        return;
    state_ = std::move(state);
    std::unordered_map<endpoint, route> routes;
    std::unordered_map<upstream_ref, endpoint> agents;
    for (upstream_record const* record : state_->upstreams())
        agents[record->ref] = record->announcement.agent;
    for (service_record const* service : state_->services()) {
        service_settings const& settings = *service->settings;
        if (settings.address.empty() || state_->service_at(settings.address) != service)
            continue;
        auto const old = routes_.find(settings.address);
        route& entry = routes[settings.address];
        if (old != routes_.end() && old->second.service == service->id)
            entry = std::move(old->second);
        else
            entry.tokens = settings.packet_rate;
        bool const reuses_table = entry.table == service->table;
        entry.refilled_at = std::max(entry.refilled_at, now);
        entry.service = service->id;
        entry.settings = service->settings;
        entry.table = service->table;
        entry.served_here = settings.balancers.empty() ||
                            std::find(settings.balancers.begin(), settings.balancers.end(),
                                      options_.name) != settings.balancers.end();
        if (reuses_table)
            continue;
        entry.agents.clear();
        for (upstream_ref const ref : entry.table->members())
            entry.agents.push_back(agents[ref]);
    }
    routes_ = std::move(routes);
}

std::variant<steered_packet, flow_refusal> packet_steering::steer(time_point now,
                                                                  caller_packet packet) {
    auto const found = routes_.find(packet.service_address);
    if (found == routes_.end())
        return flow_refusal::unknown_service;
    route& to = found->second;
    if (!to.settings->admit)
        return flow_refusal::not_admitted;
    if (!to.served_here)
        return flow_refusal::not_served_here;
    if (!take_token(now, to))
        return flow_refusal::rate_limited;
    flow_key const flow{to.service, packet.protocol, packet.caller};
    bucket_number const bucket{static_cast<std::uint32_t>(hash_(flow) % buckets_per_service)};
    auto const owner = to.table->owner_index(bucket);
    if (!owner)
        return flow_refusal::no_upstream;
    return steered_packet{to.agents[*owner],
                          {flow, bucket, state_->version(), to.table->members()[*owner],
                           options_.self, 0, std::move(packet.payload)}};
}

std::variant<caller_reply, flow_refusal> packet_steering::on_reply(flow_reply reply) const {
    service_record const* const service = state_ ? state_->service(reply.flow.service) : nullptr;
    if (service == nullptr || service->settings->address.empty())
        return flow_refusal::unknown_service;
    return caller_reply{service->settings->address, reply.flow.caller, reply.flow.protocol,
                        std::move(reply.payload)};
}

std::optional<endpoint> packet_steering::agent_of(upstream_ref upstream) const {
    upstream_record const* const record = state_ ? state_->upstream(upstream) : nullptr;
    return record == nullptr ? std::nullopt : std::optional{record->announcement.agent};
}

version_number packet_steering::version() const {
    return state_ ? state_->version() : version_number{};
}

std::vector<endpoint> packet_steering::service_addresses() const {
    std::vector<endpoint> result;
    for (auto const& [address, to] : routes_)
        if (to.served_here)
            result.push_back(address);
    return result;
}

bool packet_steering::take_token(time_point now, route& to) const {
    std::uint32_t const rate = to.settings->packet_rate;
    if (rate == 0)
        return true;
    double const elapsed = std::chrono::duration<double>(now - to.refilled_at).count();
    to.refilled_at = now;
    to.tokens = std::min<double>(rate, to.tokens + elapsed * rate);
    if (to.tokens < 1)
        return false;
    to.tokens -= 1;
    return true;
}

} // namespace toucanusher
