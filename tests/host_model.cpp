#include "tests/host_model.h"

#include <algorithm>
#include <utility>

#include "src/version/state_codec.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Addresses. Those of the redirectors are the lowest, so that one of them appoints the founder if
// they are seeds.
constexpr std::uint32_t first_redirector = 1;
constexpr std::uint32_t first_host = 10;
constexpr std::uint32_t first_daemon = 500;
constexpr duration step_interval = milliseconds{10};
constexpr duration rejoin_period =
    seconds{4}; // a host counts as faulty for this long after its restart or reconnection
constexpr duration settle_period = seconds{12};
constexpr duration formation_period = seconds{4};
// A follower may be changing hosts after lost messages when a run ends.
constexpr duration session_gap = seconds{2};
constexpr duration read_only_period = seconds{3};

configuration make_configuration(std::uint64_t number) {
    configuration made;
    made.number = number;
    made.services = {{"s", "/", 1, ""}};
    route item;
    item.name = "r";
    item.address = {1, 443};
    item.timeout = milliseconds{number};
    item.split = {{"s", 1}};
    made.routes = {item};
    return made;
}

void apply_write(durable_log& disk, disk_write const& write) {
    if (write.state)
        disk.state = *write.state;
    if (write.snapshot)
        disk.snapshot = *write.snapshot;
    if (write.truncate_from)
        std::erase_if(disk.entries,
                      [&](log_entry const& e) { return e.index >= *write.truncate_from; });
    disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
    std::erase_if(disk.entries, [&](log_entry const& e) { return e.index <= disk.snapshot.index; });
}

} // namespace

host_model::host_model(host_model_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(make_seeded_random(seed)) {
    for (std::uint32_t i = 0; i < options_.machines; ++i) {
        machines_.push_back(std::make_unique<machine>());
        machines_.back()->listen_endpoint = {first_host + i, 7000};
    }
    choose_first_seeds();
    for (auto const& m : machines_)
        start(*m, true);
    for (std::uint32_t i = 0; i < options_.redirectors; ++i)
        followers_.emplace_back(endpoint{first_redirector + i, 7000}, true);
    for (std::uint32_t i = 0; i < options_.daemons; ++i)
        followers_.emplace_back(endpoint{first_daemon + i, 7000}, false);
}

void host_model::choose_first_seeds() {
    for (std::uint32_t i = 0; i < 3; ++i)
        seeds_.push_back(i < options_.redirector_seeds ? endpoint{first_redirector + i, 7000}
                                                       : machines_[i]->listen_endpoint);
}

void host_model::form() {
    time_point const restarts_end = clock_.now() + formation_period;
    while (options_.redirector_seeds > 0 && clock_.now() < restarts_end && !violation_) {
        restart_redirectors();
        step(false);
    }
    run_for(formation_period);
    is_forming_ = false;
}

void host_model::run_for(duration span) {
    time_point const end = clock_.now() + span;
    while (clock_.now() < end && !violation_)
        step(false);
}

std::optional<std::string> host_model::run() {
    form();
    time_point const end = clock_.now() + options_.fault_period;
    while (clock_.now() < end && !violation_)
        step(true);
    if (!followers_.empty())
        lose_all_power();
    settle();
    trace_hosts();
    return violation_;
}

void host_model::settle() {
    time_point const settle_end = clock_.now() + settle_period;
    std::uint64_t const latest_before_settling = latest_number_;
    while (clock_.now() < settle_end && !violation_) {
        only_reads_ = settle_end - clock_.now() < read_only_period;
        step(false);
    }
    if (!violation_ && last_read_ < accepted_)
        violation_ = "the last read is older than the last accepted configuration";
    if (!violation_ && accepted_ < latest_before_settling)
        violation_ = "no configuration was accepted after the last fault ended";
    if (!violation_)
        check_followers();
}

void host_model::check_followers() {
    for (model_follower const& follower : followers_)
        if (!follower.had_session_since(clock_.now() - session_gap))
            violation_ = to_string(follower.address()) + " has not found control";
}

void host_model::step(bool with_faults) {
    clock_.advance(step_interval);
    if (with_faults)
        inject_faults();
    for (auto const& m : machines_)
        tick(*m);
    for (model_follower& follower : followers_)
        tick(follower);
    deliver_messages();
    send_calls();
}

void host_model::tick(machine& m) {
    time_point const now = clock_.now();
    if (!m.host && now >= m.restart_at)
        start(m, false);
    if (!m.host || now < m.frozen_until)
        return;
    apply_output(m, m.host->on_tick(now));
    if (now >= m.slow_disk_until && chance(0.7))
        sync(m);
}

void host_model::tick(model_follower& follower) {
    time_point const now = clock_.now();
    if (!follower.is_running() && now >= follower.restart_at())
        follower.start(now, seeds_, random_below(seeds_.size()), is_forming_);
    if (!follower.is_running())
        return;
    if (auto const host = follower.on_tick(now)) {
        heartbeat content;
        content.name = to_string(follower.address());
        content.role = follower.redirects() ? daemon_role::control : daemon_role::balancer;
        content.follows_state = false;
        send({now, follower.address(), {}, *host, std::move(content)});
    }
}

void host_model::deliver_messages() {
    time_point const now = clock_.now();
    std::vector<pending_message> due_messages;
    std::erase_if(pending_messages_, [&](pending_message& item) {
        if (item.due_at > now)
            return false;
        due_messages.push_back(std::move(item));
        return true;
    });
    for (pending_message& item : due_messages) {
        if (machine* const to = machine_at(item.to))
            deliver(*to, std::move(item));
        else if (model_follower* const follower = follower_at(item.to))
            deliver(*follower, item);
    }
}

void host_model::deliver(machine& to, pending_message item) {
    time_point const now = clock_.now();
    machine const* const from = machine_at(item.from);
    model_follower const* const follower = follower_at(item.from);
    bool const reachable = from != nullptr ? connected(*from, to) : now >= to.isolated_until;
    if (!to.host || !reachable || (from == nullptr && follower == nullptr))
        return;
    if (now < to.frozen_until) {
        item.due_at = to.frozen_until;
        pending_messages_.push_back(std::move(item));
        return;
    }
    if (from != nullptr) {
        to.host->on_host_contact(now, item.from_id, item.from);
        apply_output(to, to.host->on_host_message(now, item.from_id, std::move(item.message)));
    } else if (auto const* content = std::get_if<heartbeat>(&item.message)) {
        apply_output(to, to.host->on_heartbeat(now, client_id{item.from.address}, *content));
    } else if (auto const* directory = std::get_if<join_answer>(&item.message)) {
        bool const was_member = to.host->is_member();
        apply_output(to, to.host->on_referral(now, *directory));
        count_founders(to, was_member);
    }
}

void host_model::deliver(model_follower& to, pending_message const& item) {
    time_point const now = clock_.now();
    if (!to.is_running())
        return;
    if (auto const* update = std::get_if<state_update>(&item.message)) {
        to.on_update(now, item.from, *update);
    } else if (to.redirects() && std::holds_alternative<heartbeat>(item.message)) {
        state_update answer;
        answer.directory_only = true;
        answer.control_hosts = to.directory();
        answer.directory_version = to.directory_version();
        send({now, to.address(), {}, item.from, std::move(answer)});
    } else if (to.redirects()) {
        if (auto const* announced = std::get_if<join_answer>(&item.message))
            to.on_announcement(now, *announced);
        send({now,
              to.address(),
              {},
              item.from,
              join_answer{to.address(), to.referral(now, item.from)}});
    }
}

void host_model::inject_faults() {
    time_point const now = clock_.now();
    machine& victim = *machines_[random_below(machines_.size())];
    if (chance(0.0004)) {
        trace("all hosts crash");
        for (auto const& m : machines_)
            crash(*m, milliseconds{200 + random_below(900)});
        return;
    }
    // Limits disk losses to the tolerated number of simultaneous faults. An isolation or a crash
    // beyond that number only suspends the service; a disk loss beyond it loses acknowledged
    // writes.
    bool const may_lose_disk = count_faulty() < options_.tolerated_losses;
    if (may_lose_disk && now >= next_disk_loss_at_ && chance(0.004)) {
        lose_disk(victim);
    } else if (!followers_.empty() && chance(0.001)) {
        exchange_seeds();
    } else if (chance(0.0007)) {
        crash(victim, milliseconds{100 + random_below(3000)});
    } else if (chance(0.0007)) {
        victim.frozen_until = now + milliseconds{300 + random_below(6000)};
        victim.faulty_until = victim.frozen_until + rejoin_period;
        trace(to_string(victim.listen_endpoint) + " freezes");
    } else if (chance(0.0007)) {
        victim.isolated_until = now + milliseconds{300 + random_below(6000)};
        victim.faulty_until = victim.isolated_until + rejoin_period;
        trace(to_string(victim.listen_endpoint) + " is isolated");
    } else if (chance(0.004)) {
        victim.slow_disk_until = now + milliseconds{random_below(1500)};
    }
}

// Crashes all other hosts at the same time in half of the cases, as in a power failure.
void host_model::lose_disk(machine& m) {
    trace(to_string(m.listen_endpoint) + " loses its disk");
    ++disks_lost_;
    bool const crashes_others = chance(0.5);
    crash(m, milliseconds{100 + random_below(3000)});
    m.disk = {};
    if (!options_.keep_identity)
        m.id = {};
    // A host with a new disk may also have a new address.
    if (chance(0.3)) {
        endpoint const previous = m.listen_endpoint;
        m.listen_endpoint.address += 100;
        replace_seed(previous, m.listen_endpoint);
        trace("the host restarts at " + to_string(m.listen_endpoint));
    }
    next_disk_loss_at_ = clock_.now() + seconds{9};
    if (crashes_others)
        for (auto const& other : machines_)
            if (other.get() != &m)
                crash(*other, milliseconds{100 + random_below(1000)});
}

// Names three control processes, with or without a disk, as seeds in every settings file.
void host_model::exchange_seeds() {
    std::vector<endpoint> candidates;
    for (auto const& m : machines_)
        candidates.push_back(m->listen_endpoint);
    for (model_follower const& follower : followers_)
        if (follower.redirects())
            candidates.push_back(follower.address());
    for (endpoint& seed : seeds_) {
        std::size_t const at = random_below(candidates.size());
        seed = candidates[at];
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(at));
        trace("new seed " + to_string(seed));
    }
    for (auto const& m : machines_)
        if (m->host)
            m->host->set_seeds(seeds_);
    for (model_follower& follower : followers_)
        follower.set_seeds(seeds_);
}

void host_model::replace_seed(endpoint from, endpoint to) {
    if (!followers_.empty())
        std::replace(seeds_.begin(), seeds_.end(), from, to);
}

// Every process restarts without memory. In half of the runs one host loses its disk as well, once
// that is tolerated: a slow disk counts as a fault here.
void host_model::lose_all_power() {
    bool const loses_disk = chance(0.5);
    while (loses_disk && !is_calm() && !violation_)
        step(false);
    exchange_seeds();
    if (loses_disk)
        lose_disk(*machines_[random_below(machines_.size())]);
    trace("all power is lost");
    for (auto const& m : machines_)
        crash(*m, milliseconds{1000 + random_below(10)});
    for (model_follower& follower : followers_)
        follower.stop(clock_.now() + milliseconds{1000 + random_below(10)});
}

void host_model::crash(machine& m, duration down) {
    m.host.reset();
    m.unsynced.clear();
    m.restart_at = clock_.now() + down;
    m.frozen_until = {};
    m.faulty_until = std::max(m.faulty_until, m.restart_at + rejoin_period);
    trace(to_string(m.listen_endpoint) + " crashes");
}

void host_model::count_founders(machine const& m, bool was_member) {
    if (was_member || !m.host->is_member())
        return;
    trace(to_string(m.listen_endpoint) + " founds the log");
    if (++founders_ > 1)
        violation_ = "a second host founded a log";
}

// While the hosts form the log, so that a redirector may appoint a host again.
void host_model::restart_redirectors() {
    if (!chance(0.003))
        return;
    model_follower& follower = followers_[random_below(options_.redirectors)];
    trace(to_string(follower.address()) + " restarts");
    follower.stop(clock_.now() + milliseconds{random_below(300)});
}

void host_model::start(machine& m, bool is_first_start) {
    if (value_of(m.id) == 0)
        m.id = host_id{next_id_++};
    if (is_first_start && m.listen_endpoint == *std::min_element(seeds_.begin(), seeds_.end())) {
        m.disk.snapshot.members.voters = {m.id};
        m.disk.snapshot.members.addresses[m.id] = m.listen_endpoint;
    }
    control_options options;
    options.log.self = m.id;
    options.log.heartbeat_interval = milliseconds{100};
    options.log.election_timeout = milliseconds{600};
    options.log.first_election_timeout = milliseconds{200};
    options.wall_clock = [] { return wall_time{}; };
    options.automatic_hosts.emplace();
    options.automatic_hosts->voters = 2 * options_.tolerated_losses + 1;
    options.self_address = m.listen_endpoint;
    options.may_found = is_first_start;
    options.entries_per_snapshot = 20; // low, so that joining hosts receive snapshots too
    options.log.kept_entries_after_snapshot = 5;
    m.host = std::make_unique<control_host>(options, make_state_codec(), m.disk, clock_.now(),
                                            make_seeded_random(random_()));
    m.host->set_seeds(seeds_);
    m.unsynced.clear();
}

void host_model::sync(machine& m) {
    if (m.unsynced.empty())
        return;
    std::uint64_t const last = m.unsynced.back().sequence;
    for (disk_write const& write : m.unsynced)
        apply_write(m.disk, write);
    m.unsynced.clear();
    apply_output(m, m.host->on_synced(clock_.now(), last));
}

void host_model::send_calls() {
    time_point const now = clock_.now();
    if (!chance(0.1))
        return;
    machine& to = *machines_[random_below(machines_.size())];
    if (!to.host || now < to.frozen_until)
        return;
    bool const is_read = only_reads_ || chance(0.5);
    // Most writes repeat the latest configuration, as a client does after a lost answer.
    if (!is_read && chance(0.3))
        latest_number_ += 1 + random_below(3);
    send_call(to, {is_read ? 0 : latest_number_, accepted_});
}

void host_model::send_call(machine& to, pending_call const& pending) {
    std::uint64_t const call = next_call_++;
    calls_[call] = pending;
    if (pending.number == 0)
        apply_output(to, to.host->on_configuration_read(clock_.now(), call));
    else
        apply_output(
            to, to.host->on_configuration(clock_.now(), call, make_configuration(pending.number)));
}

// Sends a call again to the host that the answer names, as operators do, but only a few times.
void host_model::follow_redirect(endpoint leader, pending_call call) {
    machine* const to = machine_at(leader);
    if (to == nullptr || !to->host || clock_.now() < to->frozen_until || ++call.redirects > 2)
        return;
    send_call(*to, call);
}

void host_model::apply_output(machine& m, control_output output) {
    for (disk_write& write : output.writes)
        m.unsynced.push_back(std::move(write));
    for (send_to_host& out : output.to_hosts)
        if (auto const destination = m.host->address_of(out.host))
            send(m, *destination, std::move(out.message));
    if (options_.drop_announcements)
        std::erase_if(output.to_addresses, [](send_to_address const& out) {
            return std::holds_alternative<join_answer>(out.message);
        });
    for (send_to_address& out : output.to_addresses)
        send(m, out.address, std::move(out.message));
    for (send_to_client& out : output.to_clients)
        send(m, {static_cast<std::uint32_t>(out.client), 7000}, std::move(out.message));
    for (configuration_answer const& answer : output.configurations)
        on_answer(answer);
}

void host_model::on_answer(configuration_answer const& answer) {
    auto const found = calls_.find(answer.call);
    if (found == calls_.end())
        return;
    pending_call const call = found->second;
    calls_.erase(found);
    if (answer.verdict == configuration_verdict::not_leader && answer.leader)
        follow_redirect(*answer.leader, call);
    if (answer.verdict == configuration_verdict::accepted)
        accepted_ = std::max(accepted_, call.number);
    if (answer.verdict != configuration_verdict::current)
        return;
    last_read_ = answer.contents->number;
    if (last_read_ < call.accepted_before)
        violation_ = "read " + std::to_string(last_read_) + " after " +
                     std::to_string(call.accepted_before) + " was accepted";
    if (last_read_ > 0 && *answer.contents != make_configuration(last_read_))
        violation_ = "read contents differ from the written contents";
}

void host_model::send(machine const& from, endpoint to, control_message message) {
    send({clock_.now(), from.listen_endpoint, from.id, to, std::move(message)});
}

void host_model::send(pending_message message) {
    if (chance(0.02))
        return;
    message.due_at += milliseconds{chance(0.02) ? random_below(800) : random_below(20)};
    pending_messages_.push_back(std::move(message));
}

host_model::machine* host_model::machine_at(endpoint listen_endpoint) {
    for (auto const& m : machines_)
        if (m->listen_endpoint == listen_endpoint)
            return m.get();
    return nullptr;
}

model_follower* host_model::follower_at(endpoint address) {
    for (model_follower& follower : followers_)
        if (follower.address() == address)
            return &follower;
    return nullptr;
}

bool host_model::connected(machine const& a, machine const& b) const {
    return clock_.now() >= a.isolated_until && clock_.now() >= b.isolated_until;
}

bool host_model::is_calm() const {
    return std::all_of(machines_.begin(), machines_.end(), [&](auto const& m) {
        return clock_.now() >= std::max(m->faulty_until, m->slow_disk_until + rejoin_period);
    });
}

std::size_t host_model::count_faulty() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(),
                      [&](auto const& m) { return clock_.now() < m->faulty_until; }));
}

void host_model::trace_hosts() const {
    for (auto const& m : machines_) {
        if (!m->host)
            continue;
        replicated_log const& log = m->host->log();
        std::string text =
            to_string(m->listen_endpoint) + " id " + std::to_string(value_of(m->id)) + " role " +
            std::to_string(static_cast<int>(log.role())) + " term " + std::to_string(log.term()) +
            " commit " + std::to_string(log.commit_index()) + " last " +
            std::to_string(log.last_index()) + " voters";
        for (host_id const voter : log.members().voters)
            text += " " + std::to_string(value_of(voter));
        text += " learners";
        for (host_id const learner : log.members().learners)
            text += " " + std::to_string(value_of(learner));
        trace(text);
    }
    for (model_follower const& follower : followers_)
        trace(follower.describe(clock_.now()));
}

void host_model::trace(std::string const& text) const {
    if (options_.trace)
        options_.trace(std::to_string(clock_.now().time_since_epoch() / milliseconds{1}) + " " +
                       text);
}

} // namespace toucanusher::tests
