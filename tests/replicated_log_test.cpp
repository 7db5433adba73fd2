// Tests cases of the replicated log that random runs of log_model seldom reach.
#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/process/replicated_log.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;

constexpr duration step_interval = milliseconds{10};

// Hosts whose disks sync at once, on a network that can isolate each host.
struct small_cluster {
    manual_clock clock;
    std::map<host_id, replicated_log> logs;
    std::map<host_id, bool> isolated;
    std::vector<log_message> in_flight;
    std::ptrdiff_t snapshots_sent = 0;
    std::function<bool(log_message const&)> loses; // unset: nothing

    // The first `voters` hosts are voters, the others learners.
    explicit small_cluster(std::uint32_t hosts, log_faults faults = {}, log_options options = {},
                           std::uint32_t voters = UINT32_MAX) {
        durable_log stored;
        log_members& members = stored.snapshot.members;
        for (std::uint32_t i = 1; i <= hosts; ++i)
            (i <= voters ? members.voters : members.learners).push_back(host_id{i});
        for (std::uint32_t i = 1; i <= hosts; ++i) {
            options.self = host_id{i};
            logs.emplace(host_id{i}, replicated_log(options, stored, clock.now(),
                                                    make_seeded_random(i), faults));
        }
    }

    void apply_output(host_id id, log_output output) {
        while (true) {
            for (auto& message : output.messages)
                in_flight.push_back(std::move(message));
            if (output.writes.empty())
                return;
            output = logs.at(id).on_synced(clock.now(), output.writes.back().sequence);
        }
    }

    void run(duration span) {
        time_point const end = clock.now() + span;
        while (clock.now() < end) {
            clock.advance(step_interval);
            for (auto& [id, log] : logs)
                apply_output(id, log.on_tick(clock.now()));
            auto batch = std::move(in_flight);
            in_flight.clear();
            snapshots_sent += std::count_if(batch.begin(), batch.end(), [](auto const& message) {
                return std::holds_alternative<snapshot_request>(message.body);
            });
            for (log_message const& message : batch)
                if (!isolated[message.from] && !isolated[message.to] && !(loses && loses(message)))
                    apply_output(message.to, logs.at(message.to).on_message(clock.now(), message));
        }
    }

    host_id leader() {
        for (auto const& [id, log] : logs)
            if (log.role() == log_role::leader && !isolated[id])
                return id;
        return {};
    }
};

host_id another_host(host_id id) {
    return host_id{value_of(id) % 3 + 1};
}

} // namespace

TEST_CASE("a host that reconnects after a long isolation does not disrupt the leader") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    REQUIRE(leader != host_id{});
    log_term const term = cluster.logs.at(leader).term();
    host_id const isolated_host = another_host(leader);
    cluster.isolated[isolated_host] = true;
    cluster.run(std::chrono::seconds{20});
    cluster.isolated[isolated_host] = false;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.leader() == leader);
    CHECK(cluster.logs.at(leader).term() == term);
    CHECK(cluster.logs.at(isolated_host).leader() == leader);
}

TEST_CASE("without pre-vote a reconnecting host forces a new term") {
    small_cluster cluster(3, {.skip_pre_vote = true});
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    REQUIRE(leader != host_id{});
    log_term const term = cluster.logs.at(leader).term();
    host_id const isolated_host = another_host(leader);
    cluster.isolated[isolated_host] = true;
    cluster.run(std::chrono::seconds{20});
    cluster.isolated[isolated_host] = false;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.logs.at(leader).term() > term);
}

TEST_CASE("an isolated leader steps down and accepts no proposals") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const old_leader = cluster.leader();
    cluster.isolated[old_leader] = true;
    cluster.run(std::chrono::seconds{2});
    CHECK(cluster.logs.at(old_leader).role() != log_role::leader);
    log_output output;
    CHECK_FALSE(cluster.logs.at(old_leader).propose(cluster.clock.now(), "late", output).ok());
    host_id const new_leader = cluster.leader();
    CHECK(new_leader != old_leader);
    CHECK(cluster.logs.at(new_leader).propose(cluster.clock.now(), "good", output).ok());
}

TEST_CASE("leader_contact_age grows while the leader is unreachable") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    CHECK(*cluster.logs.at(leader).leader_contact_age(cluster.clock.now()) <
          std::chrono::milliseconds{200});
    host_id const isolated_host = another_host(leader);
    cluster.isolated[isolated_host] = true;
    cluster.run(std::chrono::milliseconds{250});
    auto const age = cluster.logs.at(isolated_host).leader_contact_age(cluster.clock.now());
    CHECK((!age.has_value() || *age >= std::chrono::milliseconds{200}));
}

TEST_CASE("membership changes one step at a time") {
    small_cluster cluster(3);
    cluster.run(std::chrono::seconds{2});
    replicated_log& log = cluster.logs.at(cluster.leader());
    time_point const now = cluster.clock.now();
    log_output output;
    log_members two_removed = log.members();
    two_removed.voters.resize(1);
    CHECK_FALSE(log.propose_members(now, two_removed, output).ok());
    log_members unknown_voter = log.members();
    unknown_voter.voters.push_back(host_id{9});
    CHECK_FALSE(log.propose_members(now, unknown_voter, output).ok());
    log_members learner = log.members();
    learner.learners.push_back(host_id{9});
    CHECK(log.propose_members(now, learner, output).ok());
    CHECK_FALSE(
        log.propose_members(now, learner, output).ok()); // the first change is not committed yet
}

// Guards against a slow first election after a power failure: the hosts cannot reach each other for
// the first half second, so their first campaigns fail.
TEST_CASE("hosts that start together elect a leader soon after they connect") {
    for (bool const short_first_timeout : {true, false}) {
        log_options options;
        options.election_timeout = std::chrono::milliseconds{600};
        if (short_first_timeout)
            options.first_election_timeout = std::chrono::milliseconds{60};
        small_cluster cluster(3, {}, options);
        for (std::uint32_t i = 1; i <= 3; ++i)
            cluster.isolated[host_id{i}] = true;
        cluster.run(std::chrono::milliseconds{500});
        for (std::uint32_t i = 1; i <= 3; ++i)
            cluster.isolated[host_id{i}] = false;
        cluster.run(std::chrono::milliseconds{400});
        bool has_leader = false;
        for (auto const& [id, log] : cluster.logs)
            has_leader = has_leader || log.role() == log_role::leader;
        CHECK(has_leader == short_first_timeout);
    }
}

namespace {

// Three voters and a learner. The leader, after it has replaced one of the other voters, which is
// cut off, by the learner; the replacement is committed, but not ended.
struct replacing_cluster : small_cluster {
    host_id leader_id;
    host_id lost;
    host_id remaining;
    host_id successor{4};

    explicit replacing_cluster(log_faults faults = {}) : small_cluster(4, faults, {}, 3) {
        run(std::chrono::seconds{2});
        leader_id = leader();
        lost = another_host(leader_id);
        remaining = another_host(lost);
        isolated[lost] = true;
        log_members members = logs.at(leader_id).members();
        members.learners.clear();
        members.next_voters = {leader_id, remaining, successor};
        REQUIRE(propose(members).ok());
        run(milliseconds{200});
        REQUIRE(logs.at(leader_id).members_committed());
    }

    absl::Status propose(log_members const& members) {
        log_output output;
        auto const index = logs.at(leader_id).propose_members(clock.now(), members, output);
        apply_output(leader_id, std::move(output));
        return index.status();
    }

    // Returns whether a command commits while `reachable` and the leader reach each other.
    bool commits_with(std::vector<host_id> const& reachable) {
        for (auto& [id, log] : logs)
            isolated[id] = id != leader_id &&
                           std::find(reachable.begin(), reachable.end(), id) == reachable.end();
        replicated_log& log = logs.at(leader_id);
        log_output output;
        auto const index = log.propose(clock.now(), "command", output);
        REQUIRE(index.ok());
        apply_output(leader_id, std::move(output));
        run(milliseconds{200});
        return log.commit_index() >= *index;
    }
};

} // namespace

TEST_CASE("a snapshot is repeated at intervals to a follower whose disk has stalled") {
    log_options options;
    options.kept_entries_after_snapshot = 2;
    small_cluster cluster(3, {}, options);
    cluster.run(std::chrono::seconds{2});
    host_id const leader = cluster.leader();
    host_id const follower = another_host(leader);
    cluster.isolated[follower] = true;
    replicated_log& log = cluster.logs.at(leader);
    for (int i = 0; i < 10; ++i) {
        log_output output;
        REQUIRE(log.propose(cluster.clock.now(), "command", output).ok());
        cluster.apply_output(leader, std::move(output));
        cluster.run(milliseconds{100});
    }
    cluster.apply_output(leader, log.compact(log.commit_index(), "state"));
    cluster.isolated[follower] = false;
    // A follower replies to a snapshot once it is on its disk.
    cluster.loses = [&](log_message const& message) {
        auto const* reply = std::get_if<append_reply>(&message.body);
        return message.from == follower && reply != nullptr && reply->accepted;
    };
    cluster.run(std::chrono::seconds{10});
    CHECK(cluster.snapshots_sent >= 5);
    CHECK(cluster.snapshots_sent <= 21); // every 500 ms
    cluster.loses = {};
    cluster.snapshots_sent = 0;
    cluster.run(std::chrono::seconds{1});
    CHECK(log.match_index(follower) == log.commit_index());
    CHECK(cluster.snapshots_sent <= 2);
    CHECK(cluster.leader() == leader);
}

TEST_CASE("a voter is replaced while it is cut off, and the log keeps committing") {
    replacing_cluster cluster;
    CHECK(cluster.commits_with({cluster.remaining}));
    log_members ended = cluster.logs.at(cluster.leader_id).members();
    ended.voters = std::exchange(ended.next_voters, {});
    CHECK(cluster.propose(ended).ok());
    cluster.run(milliseconds{200});
    CHECK(cluster.logs.at(cluster.leader_id).members_committed());
    CHECK(cluster.commits_with({cluster.successor}));
}

TEST_CASE("during a replacement a majority of the present and of the next voters must agree") {
    CHECK_FALSE(replacing_cluster{}.commits_with({}));
    replacing_cluster without_present_majority;
    CHECK_FALSE(without_present_majority.commits_with({without_present_majority.successor}));
    replacing_cluster without_next_majority;
    CHECK_FALSE(without_next_majority.commits_with({without_next_majority.lost}));
    replacing_cluster both;
    CHECK(both.commits_with({both.lost, both.successor}));
}

TEST_CASE("a log that counts only the next voters commits without the present ones") {
    replacing_cluster cluster({.count_next_voters_only = true});
    CHECK(cluster.commits_with({cluster.successor}));
}

TEST_CASE("a replacement ends before the members change again, and changes one voter") {
    replacing_cluster cluster;
    log_members more = cluster.logs.at(cluster.leader_id).members();
    more.learners.push_back(cluster.lost);
    CHECK_FALSE(cluster.propose(more).ok());
    small_cluster other(4, {}, {}, 2);
    other.run(std::chrono::seconds{2});
    log_members two = other.logs.at(other.leader()).members();
    two.next_voters = {other.leader(), host_id{3}, host_id{4}};
    log_output output;
    CHECK_FALSE(other.logs.at(other.leader()).propose_members(other.clock.now(), two, output).ok());
}

} // namespace toucanusher::tests
