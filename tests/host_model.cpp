#include "tests/host_model.h"

#include <algorithm>
#include <utility>

#include "src/version/state_codec.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_span = milliseconds{10};
constexpr duration rejoin_window =
    seconds{4}; // a host counts as lost for this long after its return
constexpr duration settle_span = seconds{12};
constexpr duration forming_span = seconds{4};
constexpr duration reading_span = seconds{3};

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
        machines_.back()->where = {10 + i, 7000};
        if (i < 3)
            seeds_.push_back(machines_.back()->where);
    }
    for (auto const& m : machines_)
        start(*m, m->where == seeds_.front());
}

std::optional<std::string> host_model::run() {
    time_point const formed = clock_.now() + forming_span;
    while (clock_.now() < formed && !violation_)
        step(false);
    time_point const end = clock_.now() + options_.length;
    while (clock_.now() < end && !violation_)
        step(true);
    time_point const settled = clock_.now() + settle_span;
    std::uint64_t const before = next_number_;
    while (clock_.now() < settled && !violation_) {
        only_reads_ = settled - clock_.now() < reading_span;
        step(false);
    }
    trace_hosts();
    if (!violation_ && last_read_ < accepted_)
        violation_ = "the last read is older than what was accepted";
    if (!violation_ && accepted_ < before)
        violation_ = "nothing was accepted after all faults were over";
    return violation_;
}

void host_model::step(bool with_faults) {
    clock_.advance(step_span);
    if (with_faults)
        disturb();
    for (auto const& m : machines_)
        tick(*m);
    deliver();
    send_calls();
}

void host_model::tick(machine& m) {
    time_point const now = clock_.now();
    if (!m.host && now >= m.up_at)
        start(m, false);
    if (!m.host || now < m.frozen_until)
        return;
    perform(m, m.host->on_tick(now));
    if (now >= m.slow_disk_until && chance(0.7))
        sync(m);
}

void host_model::deliver() {
    time_point const now = clock_.now();
    std::vector<letter> due;
    std::erase_if(letters_, [&](letter& item) {
        if (item.due > now)
            return false;
        due.push_back(std::move(item));
        return true;
    });
    for (letter& item : due) {
        machine* const to = at(item.to);
        machine* const from = at(item.from);
        if (to == nullptr || from == nullptr || !to->host || !connected(*from, *to))
            continue;
        if (now < to->frozen_until) {
            item.due = to->frozen_until;
            letters_.push_back(std::move(item));
            continue;
        }
        to->host->on_host_contact(now, item.from_id, item.from);
        perform(*to, to->host->on_host_message(now, item.from_id, std::move(item.message)));
    }
}

void host_model::disturb() {
    time_point const now = clock_.now();
    machine& victim = *machines_[draw(machines_.size())];
    if (chance(0.0004)) {
        trace("all crash");
        for (auto const& m : machines_)
            crash(*m, milliseconds{200 + draw(900)});
        return;
    }
    // As many hosts may be lost at a time as are tolerated; a cut or a crash beyond that suspends
    // the service, a lost disk beyond it loses what was promised.
    bool const spare = disturbed() < options_.tolerated_losses;
    if (spare && now >= next_disk_loss_ && chance(0.004)) {
        lose_disk(victim);
    } else if (chance(0.0007)) {
        crash(victim, milliseconds{100 + draw(3000)});
    } else if (chance(0.0007)) {
        victim.frozen_until = now + milliseconds{300 + draw(6000)};
        victim.disturbed_until = victim.frozen_until + rejoin_window;
        trace(to_string(victim.where) + " freezes");
    } else if (chance(0.0007)) {
        victim.cut_until = now + milliseconds{300 + draw(6000)};
        victim.disturbed_until = victim.cut_until + rejoin_window;
        trace(to_string(victim.where) + " is cut off");
    } else if (chance(0.004)) {
        victim.slow_disk_until = now + milliseconds{draw(1500)};
    }
}

// Half of the time all others lose power at the same moment.
void host_model::lose_disk(machine& m) {
    trace(to_string(m.where) + " loses its disk");
    ++disks_lost_;
    bool const others_too = chance(0.5);
    crash(m, milliseconds{100 + draw(3000)});
    m.disk = {};
    if (!options_.keep_identity)
        m.id = {};
    // Now and then the host comes back elsewhere.
    if (chance(0.3)) {
        m.where.address += 100;
        trace("it comes back at " + to_string(m.where));
    }
    next_disk_loss_ = clock_.now() + seconds{9};
    if (others_too)
        for (auto const& other : machines_)
            if (other.get() != &m)
                crash(*other, milliseconds{100 + draw(1000)});
}

void host_model::crash(machine& m, duration down) {
    m.host.reset();
    m.unsynced.clear();
    m.up_at = clock_.now() + down;
    m.frozen_until = {};
    m.disturbed_until = std::max(m.disturbed_until, m.up_at + rejoin_window);
    trace(to_string(m.where) + " crashes");
}

void host_model::start(machine& m, bool founds) {
    if (value_of(m.id) == 0)
        m.id = host_id{next_id_++};
    if (founds) {
        m.disk.snapshot.members.voters = {m.id};
        m.disk.snapshot.members.addresses[m.id] = m.where;
    }
    control_options options;
    options.log.self = m.id;
    options.log.heartbeat_interval = milliseconds{100};
    options.log.election_timeout = milliseconds{600};
    options.log.first_election_timeout = milliseconds{200};
    options.wall_clock = [] { return wall_time{}; };
    options.automatic_hosts.emplace();
    options.automatic_hosts->voters = 2 * options_.tolerated_losses + 1;
    options.self_address = m.where;
    options.entries_per_snapshot = 20; // so that newcomers get snapshots too
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
    perform(m, m.host->on_synced(clock_.now(), last));
}

void host_model::send_calls() {
    time_point const now = clock_.now();
    if (!chance(0.1))
        return;
    machine& to = *machines_[draw(machines_.size())];
    if (!to.host || now < to.frozen_until)
        return;
    std::uint64_t const call = next_call_++;
    bool const reads = only_reads_ || chance(0.5);
    // Most writes are repeats of the newest one, as after a lost answer.
    if (!reads && chance(0.3))
        next_number_ += 1 + draw(3);
    calls_[call] = {reads ? 0 : next_number_, accepted_};
    if (reads)
        perform(to, to.host->on_configuration_read(now, call));
    else
        perform(to, to.host->on_configuration(now, call, make_configuration(next_number_)));
}

void host_model::perform(machine& m, control_output output) {
    for (disk_write& write : output.writes)
        m.unsynced.push_back(std::move(write));
    for (send_to_host& out : output.to_hosts)
        if (auto const where = m.host->address_of(out.host))
            send(m, *where, std::move(out.message));
    for (send_to_address& out : output.to_addresses)
        send(m, out.address, std::move(out.message));
    for (configuration_answer const& answer : output.configurations)
        on_answer(answer);
}

void host_model::on_answer(configuration_answer const& answer) {
    auto const at = calls_.find(answer.call);
    if (at == calls_.end())
        return;
    open_call const call = at->second;
    calls_.erase(at);
    if (answer.verdict == configuration_verdict::accepted)
        accepted_ = std::max(accepted_, call.number);
    if (answer.verdict != configuration_verdict::current)
        return;
    last_read_ = answer.contents->number;
    if (last_read_ < call.accepted_before)
        violation_ = "read " + std::to_string(last_read_) + " after " +
                     std::to_string(call.accepted_before) + " was accepted";
    if (last_read_ > 0 && *answer.contents != make_configuration(last_read_))
        violation_ = "read other contents than were written";
}

void host_model::send(machine const& from, endpoint to, control_message message) {
    if (chance(0.02))
        return;
    duration const delay = milliseconds{chance(0.02) ? draw(800) : draw(20)};
    letters_.push_back({clock_.now() + delay, from.where, from.id, to, std::move(message)});
}

host_model::machine* host_model::at(endpoint where) {
    for (auto const& m : machines_)
        if (m->where == where)
            return m.get();
    return nullptr;
}

bool host_model::connected(machine const& a, machine const& b) const {
    return clock_.now() >= a.cut_until && clock_.now() >= b.cut_until;
}

std::size_t host_model::disturbed() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(),
                      [&](auto const& m) { return clock_.now() < m->disturbed_until; }));
}

void host_model::trace_hosts() const {
    for (auto const& m : machines_) {
        if (!m->host)
            continue;
        replicated_log const& log = m->host->log();
        std::string text = to_string(m->where) + " id " + std::to_string(value_of(m->id)) +
                           " role " + std::to_string(static_cast<int>(log.role())) + " term " +
                           std::to_string(log.term()) + " commit " +
                           std::to_string(log.commit_index()) + " last " +
                           std::to_string(log.last_index()) + " voters";
        for (host_id const voter : log.members().voters)
            text += " " + std::to_string(value_of(voter));
        text += " learners";
        for (host_id const learner : log.members().learners)
            text += " " + std::to_string(value_of(learner));
        trace(text);
    }
}

void host_model::trace(std::string const& text) const {
    if (options_.trace)
        options_.trace(std::to_string(clock_.now().time_since_epoch() / milliseconds{1}) + " " +
                       text);
}

} // namespace toucanusher::tests
