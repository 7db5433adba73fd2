// Tests a control host with its clients: lost updates, lagging daemons and the rights of operators.
#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "src/version/state_codec.h"
#include "toucanusher/version/control_host.h"
#include "toucanusher/version/host_referral.h"

namespace toucanusher::tests {

namespace {

// A cluster of one host, the leader, whose disk syncs at once.
struct single_host {
    manual_clock clock;
    std::unique_ptr<control_host> host;

    single_host() {
        durable_log stored;
        stored.snapshot.members.voters = {host_id{1}};
        control_options options;
        options.log.self = host_id{1};
        options.wall_clock = [] { return wall_time{}; };
        host = std::make_unique<control_host>(options, make_state_codec(), stored, clock.now(),
                                              make_seeded_random(1));
        for (int i = 0; i < 100; ++i) {
            clock.advance(std::chrono::milliseconds{10});
            (void)sync(host->on_tick(clock.now()));
        }
    }

    control_output sync(control_output output) {
        control_output all = std::move(output);
        std::uint64_t synced = 0;
        while (!all.writes.empty() && all.writes.back().sequence != synced) {
            synced = all.writes.back().sequence;
            control_output more = host->on_synced(clock.now(), synced);
            for (auto& item : more.to_clients)
                all.to_clients.push_back(std::move(item));
            for (auto& item : more.writes)
                all.writes.push_back(std::move(item));
        }
        return all;
    }

    control_output write_setting(std::string const& request, std::string const& team = "a") {
        write_claim const write{request, {"a", {"batch", "slots"}}, "5", 1, {}};
        return sync(host->on_operator(clock.now(), client_id{99}, team, {request, write}));
    }

    control_output send_heartbeat(version_number applied, bool wants_confirmation = false,
                                  std::optional<snapshot_progress> const& transfer = {}) {
        heartbeat message;
        message.transfer = transfer;
        message.name = "b";
        message.process_instance = 7;
        message.applied = applied;
        message.wants_confirmation = wants_confirmation;
        return sync(host->on_heartbeat(clock.now(), client_id{1}, message));
    }
};

// Exchanges heartbeats and updates until the follower has the version of the host. Returns the
// number of parts of snapshots that it took.
std::size_t catch_up(single_host& control, state_follower& follower) {
    constexpr int max_rounds = 2000;
    std::size_t parts = 0;
    for (int i = 0; i < max_rounds && follower.version() < control.host->state().version(); ++i) {
        auto const output = control.send_heartbeat(follower.version(), false, follower.transfer());
        for (auto const& item : output.to_clients)
            if (auto const* update = std::get_if<state_update>(&item.message)) {
                auto const outcome = follower.on_update(control.clock.now(), *update);
                CHECK(outcome != update_outcome::gap);
                CHECK(outcome != update_outcome::malformed);
                parts += update->snapshot ? 1 : 0;
            }
    }
    CHECK(follower.version() == control.host->state().version());
    return parts;
}

std::size_t count_commands(control_output const& output) {
    std::size_t count = 0;
    for (auto const& item : output.to_clients)
        if (auto const* update = std::get_if<state_update>(&item.message))
            count += update->commands.size();
    return count;
}

std::optional<operator_answer> find_answer(control_output const& output) {
    for (auto const& item : output.to_clients)
        if (auto const* reply = std::get_if<operator_reply>(&item.message))
            return reply->answer;
    return std::nullopt;
}

} // namespace

TEST_CASE("a lost update is resent, but not on every heartbeat") {
    single_host control;
    (void)control.send_heartbeat({});
    CHECK(count_commands(control.write_setting("1")) == 1);
    std::size_t sent = 0;
    for (int i = 0; i < 40; ++i) {
        control.clock.advance(std::chrono::milliseconds{20});
        sent += count_commands(control.send_heartbeat({}));
    }
    CHECK(sent >= 1); // 800 ms of heartbeats that acknowledge no update
    CHECK(sent <= 2);
}

TEST_CASE("a daemon that lags far behind receives a snapshot, then updates") {
    single_host control;
    for (int i = 0; i < 5000; ++i)
        (void)control.write_setting(std::to_string(i));
    state_follower follower(make_state_codec(), 7);
    CHECK(catch_up(control, follower) > 1);
    (void)control.send_heartbeat(follower.version());
    auto const next = control.write_setting("more");
    for (auto const& item : next.to_clients)
        if (auto const* update = std::get_if<state_update>(&item.message))
            CHECK(follower.on_update(control.clock.now(), *update) == update_outcome::applied);
    CHECK(follower.version() == control.host->state().version());
}

TEST_CASE("a host with large commands holds no more of them than a few megabytes") {
    single_host control;
    state_follower follower(make_state_codec(), 7);
    std::size_t held = 0;
    for (std::uint64_t number = 1; number <= 60; ++number) {
        configuration made;
        made.number = number;
        made.services = {{"s", "/", 5, "service"}};
        for (std::uint32_t i = 0; i < 1400; ++i) {
            route item{"r" + std::to_string(i), {i, 443}, {}, {}, {}, 0, {{"s", 1}}, {}};
            item.document = std::to_string(number) + std::string(200, 'x');
            made.routes.push_back(std::move(item));
        }
        (void)control.sync(control.host->on_configuration(control.clock.now(), number, made));
        REQUIRE(control.host->state().routes()->number == number);
        held = std::max(held, control.host->log().entry_bytes());
    }
    CHECK(held < 16'000'000);
    CHECK(catch_up(control, follower) > 1); // smaller than the commands would be
    CHECK(follower.state()->routes()->number == 60);
}

TEST_CASE("a follower ignores older state and reports a gap") {
    state_follower follower(make_state_codec(), 7);
    fleet_state state;
    std::vector<std::string> commands;
    for (int i = 0; i < 4; ++i) {
        write_claim const write{std::to_string(i), {"a", {"batch", "slots"}}, "5", 1, {}};
        state.apply(write);
        commands.push_back(make_state_codec().encode_command(write));
    }
    state_update update;
    update.base = version_number{2};
    update.commands = {commands[2], commands[3]};
    CHECK(follower.on_update({}, update) == update_outcome::gap);
    update.base = version_number{0};
    update.commands = commands;
    CHECK(follower.on_update({}, update) == update_outcome::applied);
    CHECK(follower.on_update({}, update) == update_outcome::nothing_new);
    state_update old_snapshot;
    auto const made = make_snapshot({}, make_state_codec().encode_state(fleet_state{}));
    old_snapshot.snapshot = snapshot_part{made->id, 0, made->bytes};
    CHECK(follower.on_update({}, old_snapshot) == update_outcome::nothing_new);
    CHECK(follower.version() == version_number{4});
    update.base = version_number{4};
    update.commands = {"garbage"};
    CHECK(follower.on_update({}, update) == update_outcome::malformed);
}

TEST_CASE("a confirmation counts only for the process instance that requested it") {
    single_host control;
    state_follower follower(make_state_codec(), 7);
    auto const output = control.send_heartbeat({}, true);
    state_follower other_process(make_state_codec(), 8);
    for (auto const& item : output.to_clients) {
        auto const& update = std::get<state_update>(item.message);
        (void)follower.on_update(control.clock.now(), update);
        (void)other_process.on_update(control.clock.now(), update);
    }
    CHECK(follower.confirmed());
    CHECK_FALSE(other_process.confirmed());
}

TEST_CASE("a lost confirmation is resent") {
    single_host control;
    (void)control.send_heartbeat({}, true);
    control.clock.advance(std::chrono::seconds{1});
    state_follower follower(make_state_codec(), 7);
    auto const output = control.send_heartbeat({}, true);
    for (auto const& item : output.to_clients)
        (void)follower.on_update(control.clock.now(), std::get<state_update>(item.message));
    CHECK(follower.confirmed());
}

TEST_CASE("a team writes only below its own path, and only the fleet key may change hosts") {
    single_host control;
    auto const refused = find_answer(control.write_setting("1", "b"));
    REQUIRE(refused.has_value());
    CHECK(std::get<operator_refusal>(*refused).reason == control_refusal::not_authorised);
    change_hosts const change{host_change::add_learner, host_id{2}};
    auto const by_team = find_answer(control.sync(
        control.host->on_operator(control.clock.now(), client_id{9}, "a", {"x", change})));
    CHECK(std::get<operator_refusal>(*by_team).reason == control_refusal::not_authorised);
    auto const by_fleet = find_answer(control.sync(
        control.host->on_operator(control.clock.now(), client_id{9}, "", {"x", change})));
    CHECK(std::holds_alternative<host_change_done>(*by_fleet));
}

namespace {

constexpr endpoint host_address{20, 7000};
constexpr endpoint lowest_seed{10, 7000};
constexpr endpoint other_seed{11, 7000};

// An empty control host that redirectors answer.
struct referred_host {
    manual_clock clock;
    control_host host;

    explicit referred_host(bool may_found) : host(make(may_found, clock.now())) {
        host.set_seeds({other_seed, lowest_seed});
    }

    static control_host make(bool may_found, time_point now) {
        control_options options;
        options.log.self = host_id{1};
        options.wall_clock = [] { return wall_time{}; };
        options.automatic_hosts.emplace();
        options.self_address = host_address;
        options.may_found = may_found;
        return {options, make_state_codec(), {}, now, make_seeded_random(1)};
    }

    // Returns whether the host holds a log after the answer.
    bool founds(endpoint sender, std::vector<endpoint> hosts) {
        (void)host.on_referral(clock.now(), {sender, std::move(hosts)});
        return host.is_member();
    }
};

} // namespace

TEST_CASE("only an empty host on a first start founds, if the lowest seed appoints it") {
    CHECK_FALSE(referred_host(false).founds(lowest_seed, {host_address}));
    CHECK_FALSE(referred_host(true).founds(other_seed, {host_address}));
    CHECK_FALSE(referred_host(true).founds(lowest_seed, {}));
    CHECK_FALSE(referred_host(true).founds(lowest_seed, {{21, 7000}}));
    CHECK_FALSE(referred_host(true).founds(lowest_seed, {host_address, {21, 7000}}));
    CHECK(referred_host(true).founds(lowest_seed, {host_address}));
}

TEST_CASE("a redirector appoints one host, after it has waited for announcements") {
    time_point const now{std::chrono::hours{1}};
    std::chrono::seconds const delay{1};
    host_referral referral({.may_appoint = true, .appointment_delay = delay}, now);
    endpoint const other{21, 7000};
    CHECK(referral.hosts_for(now, host_address).empty());
    CHECK(referral.hosts_for(now + delay, host_address) == std::vector{host_address});
    CHECK(referral.hosts_for(now + delay, other) == std::vector{host_address});
    CHECK(referral.hosts().empty());
    referral.set_hosts({other}, 1);
    CHECK(referral.hosts_for(now + delay, host_address) == std::vector{other});

    host_referral restarted({.may_appoint = true, .appointment_delay = delay}, now);
    restarted.on_announcement();
    CHECK(restarted.hosts_for(now + delay, host_address).empty());
}

namespace {

// Control hosts that joined the log of a fleet that tolerates one lost disk. Messages arrive and
// disks sync at once.
struct forming_fleet {
    manual_clock clock;
    std::vector<std::unique_ptr<control_host>> hosts;
    std::vector<configuration_answer> answers;

    explicit forming_fleet(std::uint32_t joined) {
        durable_log stored;
        for (std::uint32_t i = 1; i <= joined; ++i) {
            stored.snapshot.members.voters.push_back(host_id{i});
            stored.snapshot.members.addresses[host_id{i}] = {i, 7000};
        }
        for (std::uint32_t i = 1; i <= joined; ++i) {
            control_options options;
            options.log.self = host_id{i};
            options.wall_clock = [] { return wall_time{}; };
            options.automatic_hosts.emplace(); // for three voters
            options.self_address = {i, 7000};
            hosts.push_back(std::make_unique<control_host>(options, make_state_codec(), stored,
                                                           clock.now(), make_seeded_random(i)));
        }
    }

    void handle(std::size_t index, control_output output) {
        for (configuration_answer const& answer : output.configurations)
            answers.push_back(answer);
        if (!output.writes.empty())
            handle(index, hosts[index]->on_synced(clock.now(), output.writes.back().sequence));
        for (send_to_host& out : output.to_hosts) {
            std::size_t const to = value_of(out.host) - 1;
            if (to < hosts.size())
                handle(to, hosts[to]->on_host_message(
                               clock.now(), host_id{static_cast<std::uint32_t>(index) + 1},
                               std::move(out.message)));
        }
    }

    void run(duration period) {
        for (time_point const end = clock.now() + period; clock.now() < end;) {
            clock.advance(std::chrono::milliseconds{10});
            for (std::size_t i = 0; i < hosts.size(); ++i)
                handle(i, hosts[i]->on_tick(clock.now()));
        }
    }

    // Offers the configuration to each host once a second. Returns whether one acknowledged it.
    bool is_acknowledged(configuration const& candidate, duration period) {
        for (time_point const end = clock.now() + period; clock.now() < end;) {
            for (std::size_t i = 0; i < hosts.size(); ++i)
                handle(i, hosts[i]->on_configuration(clock.now(), 1, candidate));
            run(std::chrono::seconds{1});
        }
        return std::any_of(answers.begin(), answers.end(), [](configuration_answer const& answer) {
            return answer.verdict == configuration_verdict::accepted;
        });
    }
};

configuration numbered_configuration(std::uint64_t number) {
    configuration result;
    result.number = number;
    return result;
}

} // namespace

TEST_CASE("a configuration is not acknowledged by a founder that no host has joined") {
    forming_fleet fleet(1);
    CHECK_FALSE(fleet.is_acknowledged(numbered_configuration(7), std::chrono::seconds{60}));
    CHECK(fleet.hosts[0]->log().role() == log_role::leader);
    CHECK(fleet.hosts[0]->state().routes()->number == 0);
}

TEST_CASE("a claim is not acknowledged by a founder that no host has joined") {
    forming_fleet fleet(1);
    fleet.run(std::chrono::seconds{60});
    write_claim const write{"1", {"a", {"batch", "slots"}}, "5", 1, {}};
    auto const answer = find_answer(
        fleet.hosts[0]->on_operator(fleet.clock.now(), client_id{9}, "a", {"1", write}));
    REQUIRE(answer.has_value());
    REQUIRE(std::holds_alternative<operator_refusal>(*answer));
    CHECK(std::get<operator_refusal>(*answer).reason == control_refusal::no_leader);
}

TEST_CASE("a configuration that is acknowledged during the first start is on two disks") {
    for (std::uint32_t const joined : {2U, 3U}) {
        CAPTURE(joined);
        forming_fleet fleet(joined);
        CHECK(fleet.is_acknowledged(numbered_configuration(7), std::chrono::seconds{12}));
        auto const holders =
            std::count_if(fleet.hosts.begin(), fleet.hosts.end(),
                          [](auto const& host) { return host->state().routes()->number == 7; });
        CHECK(holders >= 2);
    }
}

} // namespace toucanusher::tests
