// Focused cases of the replicated log that the model's random runs reach seldom.
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/process/replicated_log.h"

namespace toucanusher::tests {

namespace {

constexpr duration step = std::chrono::milliseconds{10};

// Hosts with instant disks and a network that can be cut.
struct small_cluster {
    manual_clock clock;
    std::map<host_id, replicated_log> logs;
    std::map<host_id, bool> cut;
    std::vector<log_message> mail;

    explicit small_cluster(std::uint32_t hosts, log_faults faults = {}, log_options options = {}) {
        durable_log stored;
        for (std::uint32_t i = 1; i <= hosts; ++i)
            stored.snapshot.members.voters.push_back(host_id{i});
        for (std::uint32_t i = 1; i <= hosts; ++i) {
            options.self = host_id{i};
            logs.emplace(host_id{i}, replicated_log(options, stored, clock.now(),
                                                    make_seeded_random(i), faults));
        }
    }

    void take(host_id id, log_output output) {
        while (true) {
            for (auto& message : output.messages)
                mail.push_back(std::move(message));
            if (output.writes.empty())
                return;
            output = logs.at(id).on_synced(clock.now(), output.writes.back().sequence);
        }
    }

    void run(duration span) {
        time_point const end = clock.now() + span;
        while (clock.now() < end) {
            clock.advance(step);
            for (auto& [id, log] : logs)
                take(id, log.on_tick(clock.now()));
            auto letters = std::move(mail);
            mail.clear();
            for (log_message const& letter : letters)
                if (!cut[letter.from] && !cut[letter.to])
                    take(letter.to, logs.at(letter.to).on_message(clock.now(), letter));
        }
    }

    host_id leader() {
        for (auto const& [id, log] : logs)
            if (log.role() == log_role::leader && !cut[id])
                return id;
        return {};
    }
};

host_id other_than(host_id id) {
    return host_id{value_of(id) % 3 + 1};
}

} // namespace

TEST_CASE("a host that was cut off for long does not disturb on its return") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    REQUIRE(leader != host_id{});
    log_term const term = cluster.logs.at(leader).term();
    host_id const away = other_than(leader);
    cluster.cut[away] = true;
    cluster.run(std::chrono::seconds{20});
    cluster.cut[away] = false;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.leader() == leader);
    CHECK(cluster.logs.at(leader).term() == term);
    CHECK(cluster.logs.at(away).leader() == leader);
}

TEST_CASE("the check notices a host that campaigns without asking first") {
    small_cluster cluster(3, {.skip_pre_vote = true});
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    REQUIRE(leader != host_id{});
    log_term const term = cluster.logs.at(leader).term();
    host_id const away = other_than(leader);
    cluster.cut[away] = true;
    cluster.run(std::chrono::seconds{20});
    cluster.cut[away] = false;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.logs.at(leader).term() > term);
}

TEST_CASE("a leader that is cut off stops leading and accepts nothing") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const old = cluster.leader();
    cluster.cut[old] = true;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.logs.at(old).role() != log_role::leader);
    log_output output;
    CHECK_FALSE(cluster.logs.at(old).propose(cluster.clock.now(), "late", output).ok());
    host_id const fresh = cluster.leader();
    CHECK(fresh != old);
    CHECK(cluster.logs.at(fresh).propose(cluster.clock.now(), "good", output).ok());
}

TEST_CASE("leader_age grows while a leader is out of touch") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    CHECK(*cluster.logs.at(leader).leader_contact_age(cluster.clock.now()) <
          std::chrono::milliseconds{200});
    host_id const away = other_than(leader);
    cluster.cut[away] = true;
    cluster.run(std::chrono::milliseconds{250});
    auto const age = cluster.logs.at(away).leader_contact_age(cluster.clock.now());
    CHECK((!age.has_value() || *age >= std::chrono::milliseconds{200}));
}

TEST_CASE("changes of members go one step at a time") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    replicated_log& log = cluster.logs.at(cluster.leader());
    time_point const now = cluster.clock.now();
    log_output output;
    log_members two_gone = log.members();
    two_gone.voters.resize(1);
    CHECK_FALSE(log.propose_members(now, two_gone, output).ok());
    log_members stranger = log.members();
    stranger.voters.push_back(host_id{9});
    CHECK_FALSE(log.propose_members(now, stranger, output).ok());
    log_members learner = log.members();
    learner.learners.push_back(host_id{9});
    CHECK(log.propose_members(now, learner, output).ok());
    CHECK_FALSE(log.propose_members(now, learner, output).ok()); // the first is still open
}

// Replays a start after a loss of power: no host reaches another for the first half second, so the
// first campaigns are lost.
TEST_CASE("hosts that start together elect a leader soon after they reach each other") {
    for (bool const quick : {true, false}) {
        log_options options;
        options.election_timeout = std::chrono::milliseconds{600};
        if (quick)
            options.first_election_timeout = std::chrono::milliseconds{60};
        small_cluster cluster(3, {}, options);
        for (std::uint32_t i = 1; i <= 3; ++i)
            cluster.cut[host_id{i}] = true;
        cluster.run(std::chrono::milliseconds{500});
        for (std::uint32_t i = 1; i <= 3; ++i)
            cluster.cut[host_id{i}] = false;
        cluster.run(std::chrono::milliseconds{400});
        bool led = false;
        for (auto const& [id, log] : cluster.logs)
            led = led || log.role() == log_role::leader;
        CHECK(led == quick);
    }
}

} // namespace toucanusher::tests
