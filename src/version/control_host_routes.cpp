// The part of control_host that serves configurations and maintains the set of control hosts.
#include "toucanusher/version/control_host.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

control_output control_host::on_configuration(time_point now, std::uint64_t call,
                                              configuration candidate) {
    // An applied configuration is durable on a majority, whichever host leads.
    if (candidate.number <= state_->routes()->number)
        output_.configurations.push_back({call, configuration_verdict::accepted, {}, {}});
    else if (log_.role() != log_role::leader)
        output_.configurations.push_back(redirect_to_leader(call));
    else
        configurations_.add(now, call, std::move(candidate));
    serve_configurations(now);
    return take_output();
}

control_output control_host::on_configuration_read(time_point now, std::uint64_t call) {
    if (log_.role() != log_role::leader) {
        output_.configurations.push_back(redirect_to_leader(call));
        return take_output();
    }
    std::uint64_t const token = next_token_++;
    pending_reads_[token] = {configuration_reader{call, now + options_.configuration_timeout},
                             std::nullopt};
    apply_log_output(now, log_.read(now, token));
    answer_reads(now);
    return take_output();
}

void control_host::on_host_contact(time_point now, host_id host, endpoint address) {
    directory_.record_contact(now, host, address);
}

std::optional<endpoint> control_host::address_of(host_id host) const {
    return directory_.address_of(host, log_.members());
}

void control_host::serve_configurations(time_point now) {
    for (configuration_answer& answer : configurations_.take_due_answers(now, *state_->routes()))
        output_.configurations.push_back(std::move(answer));
    propose_configuration(now);
}

void control_host::propose_configuration(time_point now) {
    if (!accepts_configurations(now))
        return;
    auto edit = configurations_.next_edit(*state_->routes());
    if (!edit)
        return;
    log_output output;
    auto const index = log_.propose(now, codec_.encode_command(*std::move(edit)), output);
    configurations_.on_proposed(now, index.ok());
    apply_log_output(now, std::move(output));
}

bool control_host::accepts_configurations(time_point now) const {
    if (log_.role() != log_role::leader || !outlives_losses())
        return false;
    return !options_.automatic_hosts ||
           log_.members().voters.size() >= options_.automatic_hosts->voters ||
           now - leader_since_ >= options_.formation_timeout;
}

// Of n voters, n / 2 + 1 store what is acknowledged. With fewer than planned, what was acknowledged
// outlives the tolerated losses, but a majority may not.
bool control_host::outlives_losses() const {
    if (!options_.automatic_hosts)
        return true;
    std::size_t const tolerated_losses = options_.automatic_hosts->voters / 2;
    return log_.members().voters.size() / 2 >= tolerated_losses;
}

configuration_answer control_host::redirect_to_leader(std::uint64_t call) const {
    if (!log_.leader() || *log_.leader() == options_.log.self)
        return {.call = call};
    return {call, configuration_verdict::not_leader, address_of(*log_.leader()), {}};
}

void control_host::expire_configuration_reads(time_point now) {
    std::erase_if(pending_reads_, [&](auto const& item) {
        auto const* reader = std::get_if<configuration_reader>(&item.second.requester);
        if (reader == nullptr || now < reader->deadline)
            return false;
        output_.configurations.push_back({.call = reader->call});
        return true;
    });
}

void control_host::run_host_change(time_point now, client_id from, std::string const& id,
                                   change_hosts const& change) {
    log_members members = log_.members();
    std::erase(members.learners, change.host);
    if (change.change == host_change::add_learner)
        members.learners.push_back(change.host);
    else if (change.change == host_change::promote)
        members.voters.push_back(change.host);
    else
        std::erase(members.voters, change.host);
    if (members == log_.members() && log_.members_committed()) {
        reply(from, id, host_change_done{members});
        return;
    }
    log_output output;
    auto const index = log_.propose_members(now, members, output);
    if (!index.ok()) {
        refuse(from, id, control_refusal::host_change_refused,
               std::string(index.status().message()));
        return;
    }
    pending_writes_[*index] = {from, id, log_.term(), true};
    apply_log_output(now, std::move(output));
}

void control_host::propose_host_plan(time_point now) {
    if (log_.role() != log_role::leader || now < next_plan_at_ || !log_.members_committed())
        return;
    next_plan_at_ = now + options_.plan_interval;
    std::vector<host_status> statuses = directory_.statuses(now);
    for (host_status& status : statuses)
        status.caught_up = log_.match_index(status.id) >= log_.commit_index();
    auto const next =
        plan_hosts(*options_.automatic_hosts, log_.members(), options_.log.self, statuses);
    if (!next)
        return;
    log_output output;
    if (log_.propose_members(now, *next, output).ok())
        apply_log_output(now, std::move(output));
}

bool control_host::has_leader_contact(time_point now) const {
    auto const age = log_.leader_contact_age(now);
    return log_.role() == log_role::leader || (age && *age < options_.leaderless_join_delay);
}

host_survey control_host::survey_hosts(time_point now) const {
    return toucanusher::survey_hosts(*options_.automatic_hosts, log_.members(), options_.log.self,
                                     directory_.statuses(now));
}

std::optional<duration> control_host::leaderless_for(time_point now) const {
    if (has_leader_contact(now))
        return std::nullopt;
    return now - last_leader_contact_;
}

void control_host::request_join(time_point now) {
    if (has_leader_contact(now) || now < next_join_at_)
        return;
    next_join_at_ = now + options_.join_interval;
    for (endpoint const& address :
         directory_.known_addresses(options_.self_address, log_.members()))
        output_.to_addresses.push_back(
            {address, join_request{options_.log.self, options_.self_address}});
}

// A seed that is not a member forgets the control hosts when it restarts. Daemons may have no other
// seed.
void control_host::announce_hosts(time_point now) {
    if (!has_leader_contact(now) || now < next_announcement_at_)
        return;
    next_announcement_at_ = now + options_.announcement_interval;
    std::vector<endpoint> const hosts = host_addresses();
    for (endpoint const& seed : directory_.seeds())
        if (seed != options_.self_address &&
            std::find(hosts.begin(), hosts.end(), seed) == hosts.end())
            output_.to_addresses.push_back(
                {seed, join_answer{options_.self_address, hosts, log_.members_index()}});
}

void control_host::on_join_request(time_point now, host_id from, join_request const& request) {
    if (log_.role() == log_role::leader)
        directory_.record_contact(now, request.host, request.address);
    if (from != request.host)
        return; // a forwarded request; its first receiver answers it
    if (log_.role() != log_role::leader && log_.leader() && *log_.leader() != from)
        output_.to_hosts.push_back({*log_.leader(), request});
    std::vector<endpoint> known = host_addresses();
    if (!known.empty())
        output_.to_hosts.push_back(
            {from, join_answer{options_.self_address, std::move(known), log_.members_index()}});
}

control_output control_host::on_referral(time_point now, join_answer const& referral) {
    directory_.add_addresses(referral.hosts);
    if (is_appointed_by(referral)) {
        log_members members;
        members.voters = {options_.log.self};
        members.addresses[options_.log.self] = options_.self_address;
        apply_log_output(now, log_.found(now, std::move(members)));
    }
    return take_output();
}

// Only the redirector at the lowest seed appoints, so that one host at most founds the fleet.
bool control_host::is_appointed_by(join_answer const& referral) const {
    std::vector<endpoint> const& seeds = directory_.seeds();
    return options_.may_found && !is_member() && log_.last_index() == 0 && !seeds.empty() &&
           referral.sender == *std::min_element(seeds.begin(), seeds.end()) &&
           referral.hosts == std::vector{options_.self_address};
}

std::vector<endpoint> control_host::host_addresses() const {
    std::vector<endpoint> result;
    for (auto const& [id, address] : log_.members().addresses)
        result.push_back(address);
    return result;
}

} // namespace toucanusher
