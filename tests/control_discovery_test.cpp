// Tests that daemons and control hosts find control again when no process remembers where it is:
// after exchanged seeds, seeds without a disk, lost disks and a loss of all power.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <doctest/doctest.h>

#include "src/version/state_codec.h"
#include "tests/host_model.h"

namespace toucanusher::tests {
namespace {

using std::chrono::milliseconds;

constexpr endpoint own_address{1, 7000};
constexpr endpoint redirector{2, 7000};
constexpr endpoint leader{3, 7000};

std::uint64_t environment_number(char const* name, std::uint64_t fallback) {
    char const* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

host_model_options options_with_followers() {
    host_model_options options;
    options.fault_period = std::chrono::seconds{15};
    options.redirectors = 4;
    options.daemons = 6;
    if (std::getenv("TOUCANUSHER_TRACE_SEED") != nullptr)
        options.trace = [](std::string const& text) { std::puts(text.c_str()); };
    return options;
}

// An automatic control host. Without voters it has lost its disk.
control_host make_host(std::vector<host_id> voters, manual_clock const& clock) {
    durable_log stored;
    stored.snapshot.members.voters = std::move(voters);
    for (host_id const voter : stored.snapshot.members.voters)
        stored.snapshot.members.addresses[voter] = own_address;
    control_options options;
    options.log.self = host_id{1};
    options.wall_clock = [] { return wall_time{}; };
    options.automatic_hosts.emplace();
    options.self_address = own_address;
    return {options, make_state_codec(), stored, clock.now(), make_seeded_random(1)};
}

// Runs the host for `period`, with a disk that syncs at once. Returns the addresses that it sent a
// message of type T to.
template <typename T>
std::vector<endpoint> contacted(control_host& host, manual_clock& clock, duration period) {
    std::vector<endpoint> result;
    auto const collect = [&](control_output const& output) {
        for (send_to_address const& out : output.to_addresses)
            if (std::holds_alternative<T>(out.message))
                result.push_back(out.address);
    };
    for (time_point const end = clock.now() + period; clock.now() < end;) {
        clock.advance(milliseconds{10});
        control_output output = host.on_tick(clock.now());
        collect(output);
        if (!output.writes.empty())
            collect(host.on_synced(clock.now(), output.writes.back().sequence));
    }
    return result;
}

bool contains(std::vector<endpoint> const& list, endpoint item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

// On gkp-westland a host that lost its disk never joined again, although the leader kept sending to
// its address: its seeds knew no control host.
TEST_CASE("a control host that lost its disk asks the hosts that contact it") {
    manual_clock clock;
    control_host host = make_host({}, clock);
    host.set_seeds({redirector});
    host.on_host_contact(clock.now(), host_id{7}, leader);
    CHECK(contains(contacted<join_request>(host, clock, milliseconds{500}), leader));
}

// On beiral-quotes every seed was a control process without a disk, which knew no control host
// after a loss of power, and no control host told it.
TEST_CASE("control hosts with a leader announce themselves to seeds that are not members") {
    manual_clock clock;
    control_host host = make_host({host_id{1}}, clock);
    host.set_seeds({own_address, redirector});
    auto const announced = contacted<join_answer>(host, clock, std::chrono::seconds{4});
    CHECK(contains(announced, redirector));
    CHECK_FALSE(contains(announced, own_address));
}

TEST_CASE("a redirector at the lowest seed appoints one founder, in any order of starts") {
    for (std::uint32_t redirector_seeds = 1; redirector_seeds <= 3; ++redirector_seeds)
        for (std::uint64_t seed = 1; seed <= environment_number("TOUCANUSHER_FUZZ_RUNS", 50);
             ++seed) {
            host_model_options options = options_with_followers();
            options.redirector_seeds = redirector_seeds;
            options.fault_period = std::chrono::seconds{3};
            auto const violation = host_model(options, seed).run();
            INFO(redirector_seeds, " redirectors, seed ", seed);
            CHECK_MESSAGE(!violation, violation.value_or(""));
        }
}

TEST_CASE("every daemon finds control after a loss of all power, whatever its seeds are") {
    std::uint64_t const traced = environment_number("TOUCANUSHER_TRACE_SEED", 0);
    std::uint64_t const last =
        traced != 0 ? traced : environment_number("TOUCANUSHER_FUZZ_RUNS", 150);
    for (std::uint64_t seed = traced != 0 ? traced : 1; seed <= last; ++seed) {
        host_model model(options_with_followers(), seed);
        auto const violation = model.run();
        INFO("seed ", seed);
        CHECK_MESSAGE(!violation, violation.value_or(""));
    }
}

// Three hosts leave no learner to replace a voter; seven tolerate the loss of two disks.
TEST_CASE("every daemon finds control in smaller and larger fleets") {
    for (std::uint32_t const machines : {3U, 7U})
        for (std::uint64_t seed = 1; seed <= environment_number("TOUCANUSHER_FUZZ_RUNS", 40);
             ++seed) {
            host_model_options options = options_with_followers();
            options.machines = machines;
            options.tolerated_losses = machines == 7 ? 2 : 1;
            auto const violation = host_model(options, seed).run();
            INFO(machines, " hosts, seed ", seed);
            CHECK_MESSAGE(!violation, violation.value_or(""));
        }
}

TEST_CASE("the model detects control hosts that announce themselves to no seed") {
    std::uint64_t found = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        host_model_options options = options_with_followers();
        options.drop_announcements = true;
        found += host_model(options, seed).run() ? 1 : 0;
    }
    CHECK(found > 0);
}

} // namespace toucanusher::tests
