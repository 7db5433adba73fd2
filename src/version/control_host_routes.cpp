// The part of a control host that serves configurations and keeps the set of control hosts.
#include "toucanusher/version/control_host.h"

#include <utility>

namespace toucanusher {

control_output control_host::on_configuration(time_point now, std::uint64_t call,
                                              configuration candidate) {
    // What is applied is durable on a majority, whoever leads.
    if (candidate.number <= state_->routes()->number)
        output_.configurations.push_back({call, configuration_verdict::accepted, {}, {}});
    else if (log_.role() != log_role::leader)
        output_.configurations.push_back(send_elsewhere(call));
    else
        configurations_.add(now, call, std::move(candidate));
    serve_configurations(now);
    return finish();
}

control_output control_host::on_configuration_read(time_point now, std::uint64_t call) {
    if (log_.role() != log_role::leader) {
        output_.configurations.push_back(send_elsewhere(call));
        return finish();
    }
    std::uint64_t const token = next_token_++;
    reads_[token] = {configuration_reader{call, now + options_.configuration_patience},
                     std::nullopt};
    take(now, log_.read(now, token));
    answer_reads(now);
    return finish();
}

void control_host::note_host(time_point now, host_id host, endpoint where) {
    roster_.record_contact(now, host, where);
}

std::optional<endpoint> control_host::address_of(host_id host) const {
    return roster_.address_of(host, log_.members());
}

void control_host::serve_configurations(time_point now) {
    for (configuration_answer& answer : configurations_.answer(now, *state_->routes()))
        output_.configurations.push_back(std::move(answer));
    propose_configuration(now);
}

void control_host::propose_configuration(time_point now) {
    if (!accepts_configurations(now))
        return;
    auto edit = configurations_.next(*state_->routes());
    if (!edit)
        return;
    log_output output;
    auto const index = log_.propose(now, codec_.encode_command(*std::move(edit)), output);
    configurations_.proposed(now, index.ok());
    take(now, std::move(output));
}

bool control_host::accepts_configurations(time_point now) const {
    if (log_.role() != log_role::leader)
        return false;
    return !options_.automatic_hosts ||
           log_.members().voters.size() >= options_.automatic_hosts->voters ||
           now - led_since_ >= options_.formation_patience;
}

configuration_answer control_host::send_elsewhere(std::uint64_t call) const {
    if (!log_.leader() || *log_.leader() == options_.log.self)
        return {.call = call};
    return {call, configuration_verdict::elsewhere, address_of(*log_.leader()), {}};
}

void control_host::expire_configuration_reads(time_point now) {
    std::erase_if(reads_, [&](auto const& item) {
        auto const* reader = std::get_if<configuration_reader>(&item.second.asker);
        if (reader == nullptr || now < reader->deadline)
            return false;
        output_.configurations.push_back({.call = reader->call});
        return true;
    });
}

void control_host::plan_members(time_point now) {
    if (log_.role() != log_role::leader || now < next_plan_ || !log_.members_committed())
        return;
    next_plan_ = now + options_.plan_interval;
    std::vector<host_status> seen = roster_.statuses(now);
    for (host_status& sight : seen)
        sight.caught_up = log_.match_index(sight.id) >= log_.commit_index();
    auto const next =
        plan_hosts(*options_.automatic_hosts, log_.members(), options_.log.self, seen);
    if (!next)
        return;
    log_output output;
    if (log_.propose_members(now, *next, output).ok())
        take(now, std::move(output));
}

void control_host::ask_to_join(time_point now) {
    auto const age = log_.leader_contact_age(now);
    bool const led =
        log_.role() == log_role::leader || (age && *age < options_.leaderless_before_join);
    if (led || now < next_join_)
        return;
    next_join_ = now + options_.join_interval;
    for (endpoint const& where : roster_.known_addresses(options_.self_address, log_.members()))
        output_.to_addresses.push_back(
            {where, join_request{options_.log.self, options_.self_address}});
}

void control_host::on_join_request(time_point now, host_id from, join_request const& request) {
    if (log_.role() == log_role::leader)
        roster_.record_contact(now, request.host, request.where);
    if (from != request.host)
        return; // was passed on
    if (log_.role() != log_role::leader && log_.leader() && *log_.leader() != from)
        output_.to_hosts.push_back({*log_.leader(), request});
    std::vector<endpoint> known = host_addresses();
    if (!known.empty())
        output_.to_hosts.push_back({from, host_directory{options_.self_address, std::move(known)}});
}

std::vector<endpoint> control_host::host_addresses() const {
    std::vector<endpoint> result;
    for (auto const& [id, where] : log_.members().addresses)
        result.push_back(where);
    return result;
}

} // namespace toucanusher
