#include "toucanusher/version/fleet_state.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

namespace {

constexpr std::chrono::minutes member_list_retention{3};
constexpr std::size_t max_member_lists = 64;

bool allows(std::vector<std::string> const& names, std::string const& name) {
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

fleet_state::fleet_state(claim_faults faults)
    : claims_(std::make_shared<claim_book>(faults)),
      routes_(std::make_shared<configuration const>()) {}

std::optional<claim_result> fleet_state::apply(fleet_command const& command) {
    version_ = version_number{value_of(version_) + 1};
    return std::visit([this](auto const& body) { return execute(body); }, command);
}

service_record const* fleet_state::service(service_id id) const {
    auto const found = services_.find(id);
    return found == services_.end() ? nullptr : &found->second;
}

service_record const* fleet_state::service_named(std::string const& name) const {
    auto const found = service_ids_.find(name);
    return found == service_ids_.end() ? nullptr : service(found->second);
}

service_record const* fleet_state::service_at(endpoint address) const {
    auto const found = addresses_.find(address);
    return found == addresses_.end() ? nullptr : service(found->second);
}

std::vector<service_record const*> fleet_state::services() const {
    std::vector<service_record const*> result;
    for (auto const& [id, record] : services_)
        result.push_back(&record);
    return result;
}

upstream_record const* fleet_state::upstream(upstream_ref ref) const {
    auto const found = upstreams_.find(ref.id);
    bool const current = found != upstreams_.end() && found->second.ref == ref;
    return current ? &found->second : nullptr;
}

upstream_record const* fleet_state::upstream_named(std::string const& service,
                                                   std::string const& name) const {
    auto const id = upstream_ids_.find({service, name});
    if (id == upstream_ids_.end())
        return nullptr;
    auto const found = upstreams_.find(id->second);
    return found == upstreams_.end() ? nullptr : &found->second;
}

std::vector<upstream_record const*> fleet_state::upstreams() const {
    std::vector<upstream_record const*> result;
    for (auto const& [id, record] : upstreams_)
        result.push_back(&record);
    return result;
}

balancer_record const* fleet_state::balancer(std::string const& name) const {
    auto const found = balancers_.find(name);
    return found == balancers_.end() ? nullptr : &found->second;
}

std::optional<claim_result> fleet_state::execute(write_claim const& command) {
    if (auto const earlier = claims_->find_result(command.path.team, command.request))
        return earlier;
    claim_result result = mutable_claims().write(command, version_);
    if (result.verdict != claim_verdict::refused)
        refresh_settings(command.path.setting.service);
    return result;
}

std::optional<claim_result> fleet_state::execute(withdraw_claim const& command) {
    if (auto const earlier = claims_->find_result(command.path.team, command.request))
        return earlier;
    claim_result result = mutable_claims().withdraw(command, version_);
    if (result.verdict != claim_verdict::refused)
        refresh_settings(command.path.setting.service);
    return result;
}

std::optional<claim_result> fleet_state::execute(announce_upstream const& command) {
    service_record& service = ensure_service(command.announcement.service);
    auto const [id, added] = upstream_ids_.try_emplace(
        {command.announcement.service, command.announcement.name}, upstream_id{next_upstream_});
    if (added)
        ++next_upstream_;
    if (command.announcement.reports_flows)
        remove_replaced_upstreams(command.announcement);
    upstream_ref const ref{id->second, command.announcement.incarnation};
    upstreams_[ref.id] = {ref, service.id, command.announcement};
    rebalance(service);
    if (!command.announcement.reports_flows)
        record_members(service, command.proposed_at);
    return std::nullopt;
}

// An agent of forwarded flows serves one upstream, so an earlier upstream with the same agent
// address no longer exists.
void fleet_state::remove_replaced_upstreams(upstream_announcement const& announcement) {
    std::erase_if(upstreams_, [&](auto const& item) {
        upstream_announcement const& other = item.second.announcement;
        return other.reports_flows && other.agent == announcement.agent &&
               (other.name != announcement.name || other.service != announcement.service);
    });
}

std::optional<claim_result> fleet_state::execute(remove_upstream const& command) {
    auto const found = upstreams_.find(command.ref.id);
    if (found == upstreams_.end() || found->second.ref != command.ref)
        return std::nullopt;
    service_id const service = found->second.service;
    bool const reports_flows = found->second.announcement.reports_flows;
    upstreams_.erase(found);
    rebalance(services_.at(service));
    if (!reports_flows)
        record_members(services_.at(service), command.proposed_at);
    return std::nullopt;
}

std::optional<claim_result> fleet_state::execute(announce_balancer const& command) {
    balancers_[command.balancer.name] = command.balancer;
    return std::nullopt;
}

std::optional<claim_result> fleet_state::execute(remove_balancer const& command) {
    auto const found = balancers_.find(command.name);
    if (found != balancers_.end() && found->second.incarnation == command.incarnation)
        balancers_.erase(found);
    return std::nullopt;
}

std::optional<claim_result> fleet_state::execute(release_buckets const& command) {
    auto const found = services_.find(command.service);
    bool const buckets_valid =
        std::all_of(command.buckets.begin(), command.buckets.end(),
                    [](auto bucket) { return value_of(bucket) < buckets_per_service; });
    if (found == services_.end() || !buckets_valid)
        return std::nullopt;
    service_record& service = found->second;
    service.table = std::make_shared<steering_table>(
        service.table->without_predecessor(command.ref, command.buckets, command.fence, version_));
    return std::nullopt;
}

// An edit for another base changes nothing; its proposer detects this and proposes a new edit.
std::optional<claim_result> fleet_state::execute(edit_configuration const& command) {
    if (auto next = apply_edit(*routes_, command))
        routes_ = std::make_shared<configuration const>(*std::move(next));
    return std::nullopt;
}

service_record& fleet_state::ensure_service(std::string const& name) {
    auto const [id, added] = service_ids_.try_emplace(name, service_id{next_service_});
    if (added) {
        ++next_service_;
        services_[id->second] = {id->second, name, std::make_shared<service_settings>(),
                                 std::make_shared<steering_table>(),
                                 std::make_shared<std::vector<member_list>>()};
    }
    return services_[id->second];
}

claim_book& fleet_state::mutable_claims() {
    // Copies of this state keep the old book.
    if (claims_.use_count() > 1)
        claims_ = std::make_shared<claim_book>(*claims_);
    return *claims_;
}

void fleet_state::refresh_settings(std::string const& name) {
    service_record& service = ensure_service(name);
    auto fresh = std::make_shared<service_settings>(claims_->settings(name));
    bool const weights_changed =
        fresh->slots != service.settings->slots || fresh->upstreams != service.settings->upstreams;
    service.settings = std::move(fresh);
    if (weights_changed)
        rebalance(service);
    index_addresses();
}

void fleet_state::rebalance(service_record& service) {
    std::vector<weighted_upstream> live;
    for (auto const& [id, record] : upstreams_)
        if (record.service == service.id && !record.announcement.reports_flows)
            live.push_back({record.ref, weight_of(record, *service.settings)});
    if (live.empty() && service.table->members().empty())
        return; // the service does not use buckets
    service.table = std::make_shared<steering_table>(service.table->rebalanced(live, version_));
}

void fleet_state::record_members(service_record& service, wall_time proposed_at) {
    member_list list{version_, proposed_at, {}};
    for (auto const& [id, record] : upstreams_)
        if (record.service == service.id)
            list.members.push_back({record.ref, record.announcement.zone});
    auto lists = *service.member_lists;
    if (!lists.empty() && lists.back().members == list.members)
        return;
    lists.push_back(std::move(list));
    // A list is retained until its successor is older than the retention time.
    while (lists.size() > 1 &&
           (lists.size() > max_member_lists ||
            lists[1].proposed_at + member_list_retention < lists.back().proposed_at))
        lists.erase(lists.begin());
    service.member_lists = std::make_shared<std::vector<member_list> const>(std::move(lists));
}

void fleet_state::index_addresses() {
    addresses_.clear();
    for (auto const& [id, service] : services_)
        if (!service.settings->address.empty())
            addresses_.emplace(service.settings->address, id);
}

fleet_state fleet_state::for_daemons() const {
    fleet_state reduced = *this;
    reduced.routes_ = std::make_shared<configuration const>(without_documents(*routes_));
    return reduced;
}

fleet_state::contents fleet_state::save() const {
    contents saved;
    saved.version = version_;
    saved.next_service = next_service_;
    saved.next_upstream = next_upstream_;
    saved.claims = claims_->save();
    for (auto const& [id, service] : services_) {
        saved.services[id] = service.name;
        saved.tables[id] = service.table->save();
        saved.member_lists[id] = *service.member_lists;
    }
    for (auto const& [id, record] : upstreams_)
        saved.upstreams.push_back(record);
    saved.upstream_ids = upstream_ids_;
    for (auto const& [name, record] : balancers_)
        saved.balancers.push_back(record);
    saved.routes = *routes_;
    return saved;
}

bool fleet_state::restore(contents saved) {
    fleet_state restored;
    restored.version_ = saved.version;
    restored.next_service_ = saved.next_service;
    restored.next_upstream_ = saved.next_upstream;
    restored.claims_->restore(std::move(saved.claims));
    for (auto const& [id, name] : saved.services) {
        steering_table table;
        if (!table.restore(std::move(saved.tables[id])))
            return false;
        restored.service_ids_[name] = id;
        restored.services_[id] = {
            id, name, std::make_shared<service_settings>(restored.claims_->settings(name)),
            std::make_shared<steering_table>(std::move(table)),
            std::make_shared<std::vector<member_list> const>(std::move(saved.member_lists[id]))};
    }
    for (auto const& record : saved.upstreams) {
        if (restored.services_.count(record.service) == 0)
            return false;
        restored.upstreams_[record.ref.id] = record;
    }
    restored.upstream_ids_ = std::move(saved.upstream_ids);
    for (auto const& record : saved.balancers)
        restored.balancers_[record.name] = record;
    restored.routes_ = std::make_shared<configuration const>(std::move(saved.routes));
    restored.index_addresses();
    *this = std::move(restored);
    return true;
}

std::uint32_t weight_of(upstream_record const& upstream, service_settings const& settings) {
    if (upstream.announcement.draining || !allows(settings.upstreams, upstream.announcement.name))
        return 0;
    constexpr std::uint32_t max_percent = 100;
    std::uint32_t const slots = settings.slots > 0 ? settings.slots : upstream.announcement.slots;
    return slots * std::min(upstream.announcement.ready_percent, max_percent);
}

} // namespace toucanusher
