#include "tests/log_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/version/state_codec.h"

namespace toucanusher::tests {

namespace {

constexpr duration step_interval = std::chrono::milliseconds{10};
constexpr std::size_t max_steps = 30000;
constexpr std::size_t settle_steps = 600;

} // namespace

log_model::log_model(log_model_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(make_seeded_random(seed)),
      operators_(options_.operators), histories_(options_.setting_count) {
    std::vector<host_id> voters;
    for (std::uint32_t i = 0; i < options_.hosts; ++i)
        voters.push_back(host_id{next_host_id_++});
    for (host_id const id : voters) {
        machines_[id].disk.snapshot.members.voters = voters;
        start(id, false);
    }
}

std::optional<std::string> log_model::run() {
    for (std::size_t i = 0; i < max_steps && !violation_; ++i) {
        bool const all_done =
            begun_operations_ >= options_.operations &&
            std::all_of(operators_.begin(), operators_.end(),
                        [](operator_state const& o) { return !o.pending.has_value(); });
        if (all_done && !lost_host_)
            break;
        step();
    }
    settling_ = true;
    isolated_.clear();
    for (std::size_t i = 0; i < settle_steps && !violation_; ++i)
        step();
    if (!violation_)
        check_states();
    if (!violation_)
        check_histories();
    return violation_;
}

void log_model::step() {
    clock_.advance(step_interval);
    time_point const now = clock_.now();
    if (!settling_)
        isolate_randomly();
    std::vector<host_id> ids;
    for (auto const& [id, m] : machines_)
        ids.push_back(id);
    for (host_id const id : ids) {
        machine& m = machines_[id];
        if (!m.host && !m.disk_lost && now >= m.restart_at)
            start(id, false);
        if (!m.host)
            continue;
        // Crashes are more likely between a write and its sync, where they expose the most faults.
        if (!settling_ && chance(m.unsynced.empty() ? 0.001 : 0.02))
            crash(id, true);
        else if (options_.lose_disks && !settling_ && !lost_host_ && disks_lost_ < 2 &&
                 chance(0.0008))
            crash(id, false);
        bool const was_frozen = now < m.frozen_until;
        if (!settling_ && !was_frozen && chance(0.0006))
            m.frozen_until = now + std::chrono::milliseconds{300 + random_below(2500)};
        // In its first step after a freeze a host handles queued messages before its timers.
        if (!m.host || now < m.frozen_until || was_frozen ||
            now - m.frozen_until < 2 * step_interval)
            continue;
        apply_output(id, m.host->on_tick(now));
        if (!settling_ && chance(0.003))
            m.slow_disk_until = now + std::chrono::milliseconds{random_below(600)};
        if (now < m.slow_disk_until)
            continue;
        if (chance(0.6))
            sync(id, m.unsynced.size());
        else if (!m.unsynced.empty() && chance(0.5))
            sync(id, 1 + random_below(m.unsynced.size()));
    }
    std::vector<pending_request> due_requests;
    std::erase_if(pending_requests_, [&](pending_request& item) {
        if (item.due_at > now)
            return false;
        due_requests.push_back(std::move(item));
        return true;
    });
    for (pending_request& item : due_requests) {
        machine& to = machines_[item.to];
        if (!to.host)
            continue;
        if (now < to.frozen_until) {
            item.due_at = to.frozen_until;
            pending_requests_.push_back(std::move(item));
            continue;
        }
        std::string const team = "t" + std::to_string(item.operator_index);
        apply_output(item.to, to.host->on_operator(now, client_id{item.operator_index + 1}, team,
                                                   item.request));
    }
    // Random delays reorder the messages.
    std::vector<pending_message> due_messages;
    std::erase_if(pending_messages_, [&](pending_message& item) {
        if (item.due_at > now)
            return false;
        due_messages.push_back(std::move(item));
        return true;
    });
    for (pending_message& item : due_messages) {
        machine& to = machines_[item.to];
        if (!to.host || !connected(item.from, item.to))
            continue;
        if (now < to.frozen_until) {
            item.due_at = to.frozen_until;
            pending_messages_.push_back(std::move(item));
            continue;
        }
        apply_output(item.to, to.host->on_host_message(now, item.from, std::move(item.message)));
    }
    send_requests();
    if (lost_host_)
        repair_step();
    check_leaders();
}

void log_model::start(host_id id, bool has_empty_disk) {
    machine& m = machines_[id];
    m.unsynced.clear();
    if (has_empty_disk)
        m.disk = {};
    m.host = std::make_unique<control_host>(host_options(id), codec(), m.disk, clock_.now(),
                                            make_seeded_random(random_()), options_.log,
                                            options_.claims);
    trace("host " + std::to_string(value_of(id)) + " starts");
}

void log_model::crash(host_id id, bool keeps_disk) {
    machine& m = machines_[id];
    trace("host " + std::to_string(value_of(id)) + (keeps_disk ? " crashes" : " loses its disk"));
    m.host.reset();
    m.unsynced.clear(); // never acknowledged as synced, so no other state depends on them
    m.restart_at = clock_.now() + std::chrono::milliseconds{50 + random_below(1500)};
    if (keeps_disk)
        return;
    m.disk_lost = true;
    m.disk = {};
    ++disks_lost_;
    lost_host_ = id;
    replacement_.reset();
    next_repair_at_ = clock_.now() + std::chrono::milliseconds{200};
}

void log_model::apply_output(host_id id, control_output output) {
    machine& m = machines_[id];
    for (disk_write& write : output.writes)
        m.unsynced.push_back(std::move(write));
    for (send_to_host& out : output.to_hosts) {
        if (!settling_ && chance(0.05))
            continue;
        bool const delayed = !settling_ && chance(0.05);
        duration const delay = std::chrono::milliseconds{random_below(delayed ? 1500 : 30)};
        pending_message item{clock_.now() + delay, id, out.host, std::move(out.message)};
        if (!settling_ && chance(0.03))
            pending_messages_.push_back(item);
        pending_messages_.push_back(std::move(item));
    }
    for (send_to_client const& out : output.to_clients) {
        auto const* reply = std::get_if<operator_reply>(&out.message);
        bool const reply_lost = !settling_ && chance(0.15);
        if (reply != nullptr && !reply_lost)
            on_reply(value_of(out.client) - 1, *reply);
    }
}

void log_model::sync(host_id id, std::size_t count) {
    machine& m = machines_[id];
    std::uint64_t last = 0;
    for (std::size_t i = 0; i < count; ++i) {
        disk_write& write = m.unsynced[i];
        last = write.sequence;
        if (write.state)
            m.disk.state = *write.state;
        if (write.snapshot)
            m.disk.snapshot = *write.snapshot;
        auto& entries = m.disk.entries;
        if (write.truncate_from)
            std::erase_if(entries,
                          [&](log_entry const& e) { return e.index >= *write.truncate_from; });
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
        std::erase_if(entries,
                      [&](log_entry const& e) { return e.index <= m.disk.snapshot.index; });
    }
    m.unsynced.erase(m.unsynced.begin(), m.unsynced.begin() + static_cast<std::ptrdiff_t>(count));
    if (count > 0)
        apply_output(id, m.host->on_synced(clock_.now(), last));
}

// Isolates a random host at times, most often the leader; some isolations last 4 s.
void log_model::isolate_randomly() {
    if (clock_.now() < isolated_until_)
        return;
    isolated_.clear();
    if (!chance(0.01))
        return;
    auto const leader = current_leader();
    isolated_.insert(leader && chance(0.6) ? *leader : random_host());
    isolated_until_ =
        clock_.now() + std::chrono::milliseconds{chance(0.3) ? 4000 : 200 + random_below(800)};
    trace("host " + std::to_string(value_of(*isolated_.begin())) + " is isolated");
}

void log_model::send_requests() {
    time_point const now = clock_.now();
    for (std::uint32_t operator_index = 0; operator_index < operators_.size(); ++operator_index) {
        operator_state& state = operators_[operator_index];
        if (!state.pending && begun_operations_ < options_.operations && chance(0.05))
            begin_operation(operator_index);
        if (!state.pending || now < state.next_send_at)
            continue;
        // Retries with the same request id, at any host, until the request is answered.
        state.next_send_at = now + std::chrono::milliseconds{100 + random_below(300)};
        ++state.sends;
        auto const leader = current_leader();
        host_id const to = leader && chance(0.5) ? *leader : random_host();
        if (chance(0.1))
            continue;
        pending_requests_.push_back({now + std::chrono::milliseconds{random_below(40)}, to,
                                     operator_index, *state.pending});
    }
}

void log_model::begin_operation(std::uint32_t operator_index) {
    operator_state& state = operators_[operator_index];
    state.setting_index = static_cast<std::uint32_t>(random_below(options_.setting_count));
    std::string const team = "t" + std::to_string(operator_index);
    std::string const id = team + "-" + std::to_string(state.request_count++);
    setting_path const path{team, {"s" + std::to_string(state.setting_index), "slots"}};
    claim_operation operation;
    operation.team = team;
    operation.invoked_at = ++logical_time_;
    std::uint64_t const kind = random_below(10);
    operator_request request{id, read_settings{path.setting.service, path.setting.key}};
    if (kind < 6) {
        operation.kind = operation_kind::write;
        operation.value = std::to_string(1 + begun_operations_);
        operation.loudness = static_cast<std::uint32_t>(1 + random_below(3));
        request.action = write_claim{id, path, operation.value, operation.loudness, std::nullopt};
    } else if (kind < 7) {
        operation.kind = operation_kind::withdraw;
        request.action = withdraw_claim{id, path, std::nullopt};
    }
    state.history_index = histories_[state.setting_index].size();
    histories_[state.setting_index].push_back(operation);
    state.pending = std::move(request);
    state.next_send_at = clock_.now();
    state.sends = 0;
    ++begun_operations_;
}

void log_model::on_reply(std::uint32_t operator_index, operator_reply const& reply) {
    if (operator_index >= operators_.size() || !operators_[operator_index].pending ||
        operators_[operator_index].pending->id != reply.id)
        return;
    if (std::holds_alternative<operator_refusal>(reply.answer))
        return; // retried by send_requests()
    complete_operation(operator_index, reply.answer);
}

void log_model::complete_operation(std::uint32_t operator_index, operator_answer const& answer) {
    operator_state& state = operators_[operator_index];
    claim_operation& operation = histories_[state.setting_index][state.history_index];
    operation.answered_at = ++logical_time_;
    ++answered_;
    std::optional<claim> winner;
    if (auto const* result = std::get_if<claim_result>(&answer)) {
        operation.refused = result->verdict == claim_verdict::refused;
        winner = result->winner;
        auto const [entry, inserted] =
            versions_.try_emplace(value_of(result->version), state.pending->id);
        if (!inserted && entry->second != state.pending->id)
            record_violation("version " + std::to_string(entry->first) + " was assigned to " +
                             entry->second + " and " + state.pending->id);
    } else if (auto const* view = std::get_if<settings_view>(&answer)) {
        if (!view->settings.empty())
            winner = view->settings.front().claims.front();
    }
    if (winner) {
        operation.winner_team = winner->team;
        operation.winner_value = winner->value;
    }
    trace(state.pending->id + " answered, winner " +
          (winner ? winner->team + " " + winner->value : std::string("none")));
    state.pending.reset();
}

// Replaces the host whose disk was lost: adds the new host as a learner, promotes it to voter, then
// removes the lost host.
void log_model::repair_step() {
    time_point const now = clock_.now();
    if (now < next_repair_at_)
        return;
    next_repair_at_ = now + std::chrono::milliseconds{150};
    auto const leader = current_leader();
    if (!leader)
        return;
    if (!replacement_) {
        replacement_ = host_id{next_host_id_++};
        start(*replacement_, true);
    }
    control_host& host = *machines_[*leader].host;
    auto const has = [](std::vector<host_id> const& list, host_id id) {
        return std::find(list.begin(), list.end(), id) != list.end();
    };
    if (!host.log().members_committed())
        return;
    log_members const& members = host.log().members();
    change_hosts change{host_change::add_learner, *replacement_};
    if (has(members.voters, *replacement_) && has(members.voters, *lost_host_)) {
        change = {host_change::remove, *lost_host_};
    } else if (has(members.learners, *replacement_)) {
        change = {host_change::promote, *replacement_};
    } else if (has(members.voters, *replacement_)) {
        trace("host replacement finished");
        lost_host_.reset();
        return;
    }
    apply_output(*leader, host.on_operator(now, client_id{1000}, "", {"repair", change}));
}

void log_model::check_leaders() {
    for (auto const& [id, m] : machines_) {
        if (!m.host || m.host->log().role() != log_role::leader)
            continue;
        auto const [entry, inserted] = leaders_.try_emplace(m.host->log().term(), id);
        if (!inserted && entry->second != id)
            record_violation("two leaders in term " + std::to_string(entry->first));
    }
}

void log_model::check_histories() {
    for (std::size_t i = 0; i < histories_.size() && !violation_; ++i)
        if (!is_linearizable(histories_[i]))
            record_violation("history is not linearizable for setting " + std::to_string(i));
}

// Checks that all voters hold the same claims after settling, and that no acknowledged operation is
// missing.
void log_model::check_states() {
    auto const leader = current_leader();
    if (!leader) {
        record_violation("no leader after settling");
        return;
    }
    control_host const& first = *machines_[*leader].host;
    for (host_id const id : first.log().members().voters) {
        machine const& m = machines_[id];
        if (!m.host || m.host->state().version() != first.state().version()) {
            std::string const commit =
                m.host ? std::to_string(m.host->log().commit_index()) : "none";
            record_violation("host " + std::to_string(value_of(id)) +
                             " lags after settling: " + "commit " + commit + " of " +
                             std::to_string(first.log().commit_index()) + ", match index " +
                             std::to_string(first.log().match_index(id)));
            return;
        }
        for (setting_id const& setting : first.state().claims().claimed_settings())
            if (m.host->state().claims().claims(setting) != first.state().claims().claims(setting))
                record_violation("hosts " + std::to_string(value_of(*leader)) + " and " +
                                 std::to_string(value_of(id)) +
                                 " hold different claims for service " + setting.service);
    }
    // A final read of every setting must be consistent with its history.
    for (std::size_t i = 0; i < histories_.size(); ++i) {
        claim_operation last;
        last.invoked_at = ++logical_time_;
        last.answered_at = ++logical_time_;
        auto const winner = first.state().claims().in_force({"s" + std::to_string(i), "slots"});
        if (winner) {
            last.winner_team = winner->team;
            last.winner_value = winner->value;
        }
        histories_[i].push_back(last);
    }
}

bool log_model::connected(host_id a, host_id b) const {
    return !isolated_.contains(a) && !isolated_.contains(b);
}

bool log_model::chance(double probability) {
    return uniform_fraction(random_) < probability;
}

control_options log_model::host_options(host_id id) const {
    control_options options;
    options.log.self = id;
    options.log.kept_entries_after_snapshot = 4;
    options.entries_per_snapshot = 9;
    options.retained_commands = 8;
    options.wall_clock = [] { return wall_time{}; };
    return options;
}

state_codec log_model::codec() const {
    state_codec made = make_state_codec();
    if (options_.lose_history_in_snapshots)
        made.encode_state = [encode = made.encode_state](fleet_state const& state) {
            fleet_state::contents contents = state.save();
            contents.claims.history.clear();
            fleet_state reduced;
            (void)reduced.restore(std::move(contents));
            return encode(reduced);
        };
    return made;
}

std::optional<host_id> log_model::current_leader() const {
    std::optional<host_id> best;
    log_term best_term = 0;
    for (auto const& [id, m] : machines_) {
        if (!m.host || m.host->log().role() != log_role::leader || m.host->log().term() < best_term)
            continue;
        best = id;
        best_term = m.host->log().term();
    }
    return best;
}

host_id log_model::random_host() {
    auto random_machine = machines_.begin();
    std::advance(random_machine, static_cast<std::ptrdiff_t>(random_below(machines_.size())));
    return random_machine->first;
}

void log_model::trace(std::string const& line) const {
    if (options_.trace)
        options_.trace(std::to_string(clock_.now().time_since_epoch() / step_interval) + " " +
                       line);
}

void log_model::record_violation(std::string what) {
    if (!violation_)
        violation_ = std::move(what);
}

} // namespace toucanusher::tests
