// Tests of the run records that keep a non-idempotent request from running twice: choice of the
// record replicas, their store, the quorum round, and a partition that outlasts the deduplication
// window.
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/request/record_replicas.h"
#include "toucanusher/request/request_executor.h"
#include "toucanusher/request/run_record_round.h"
#include "toucanusher/request/run_record_store.h"

namespace toucanusher::tests {

namespace {

wall_time wall_at(int seconds) {
    return wall_time{std::chrono::seconds{1000 + seconds}};
}

time_point steady_at(int seconds) {
    return time_point{std::chrono::hours{1} + std::chrono::seconds{seconds}};
}

upstream_announcement make_announcement(std::string const& name, std::uint64_t incarnation_number) {
    upstream_announcement result;
    result.service = "batch";
    result.name = name;
    result.incarnation = incarnation_id{incarnation_number};
    result.zone = name;
    result.agent = {static_cast<std::uint32_t>(incarnation_number), 9000};
    result.slots = 3;
    return result;
}

// Three old members; at second 5 three new ones replace them. Members that are cut off from control
// keep the state `before`.
struct partitioned_fleet {
    std::shared_ptr<fleet_state> before = std::make_shared<fleet_state>();
    std::shared_ptr<fleet_state> after;
    std::vector<upstream_ref> old_members;
    std::vector<upstream_ref> new_members;

    partitioned_fleet() {
        for (std::string const name : {"a", "b", "c"}) {
            before->apply(announce_upstream{make_announcement(name, name[0]), wall_at(0)});
            old_members.push_back(before->upstream_named("batch", name)->ref);
        }
        after = std::make_shared<fleet_state>(*before);
        for (std::string const name : {"d", "e", "f"}) {
            after->apply(announce_upstream{make_announcement(name, name[0]), wall_at(4)});
            new_members.push_back(after->upstream_named("batch", name)->ref);
        }
        for (upstream_ref const old : old_members)
            after->apply(remove_upstream{old, wall_at(5)});
    }
};

struct partition_side {
    std::vector<std::unique_ptr<request_executor>> owners;
    std::vector<upstream_ref> refs;

    partition_side(std::vector<upstream_ref> members,
                   std::shared_ptr<fleet_state const> const& state, int control_contact,
                   request_faults faults)
        : refs(std::move(members)) {
        for (upstream_ref const ref : refs) {
            request_executor_options options;
            options.self = ref;
            options.self_agent = {static_cast<std::uint32_t>(value_of(ref.incarnation)), 9000};
            options.dedup_window = std::chrono::seconds{10};
            owners.push_back(std::make_unique<request_executor>(options, std::nullopt,
                                                                std::make_shared<retry_budget>(),
                                                                make_seeded_random(1), faults));
            owners.back()->apply_state(steady_at(0), state);
            owners.back()->set_control_contact(steady_at(control_contact));
        }
    }

    // Sends the request to the first member and delivers run messages until none is left. Returns
    // the number of attempts that start.
    unsigned count_runs(request_part const& part, int second) {
        unsigned runs = 0;
        auto actions = owners[0]->on_part(steady_at(second), wall_at(second), {}, {}, part);
        while (!actions.empty()) {
            request_actions next;
            for (request_action const& action : actions) {
                runs += std::holds_alternative<start_attempt>(action) ? 1 : 0;
                auto const* message_out = std::get_if<send_run_message>(&action);
                if (message_out == nullptr)
                    continue;
                for (std::size_t i = 0; i < refs.size(); ++i) {
                    if (value_of(refs[i].incarnation) != message_out->agent.address)
                        continue;
                    for (auto& follow_up : owners[i]->on_run_message(
                             steady_at(second), wall_at(second), message_out->message))
                        next.push_back(std::move(follow_up));
                }
            }
            actions = std::move(next);
        }
        return runs;
    }
};

request_part make_part(int second) {
    request_part part;
    part.id = make_request_id(wall_at(second), 1, 2);
    part.deadline = std::chrono::milliseconds{3000};
    part.payload = "register";
    return part;
}

unsigned count_runs_on_both_sides(request_faults faults) {
    partitioned_fleet const fleet;
    partition_side isolated(fleet.old_members, fleet.before, 0, faults);
    partition_side connected(fleet.new_members, fleet.after, 30, faults);
    request_part const part = make_part(30);
    return isolated.count_runs(part, 30) + connected.count_runs(part, 30);
}

} // namespace

TEST_CASE("a partition without control does not run a non-idempotent request") {
    CHECK(count_runs_on_both_sides({}) == 1);
}

TEST_CASE("the test detects a partition that runs requests without control") {
    CHECK(count_runs_on_both_sides({.ignore_cut_off = true}) == 2);
}

TEST_CASE("a run record made under an earlier member list is found within the window") {
    partitioned_fleet const fleet;
    auto const& lists = *fleet.after->service_named("batch")->member_lists;
    request_id const id = make_request_id(wall_at(8), 3, 4);
    auto const during = record_replica_sets(lists, wall_at(1), id);
    bool const includes_old_set =
        std::find(during.begin(), during.end(), fleet.old_members) != during.end();
    CHECK(includes_old_set);
    auto const later = record_replica_sets(lists, wall_at(6), id);
    CHECK(later.size() == 1);
    CHECK(later.front() == fleet.new_members);
}

TEST_CASE("record replicas are spread over availability zones") {
    member_list list;
    for (std::uint32_t i = 0; i < 12; ++i)
        list.members.push_back({{upstream_id{i}, incarnation_id{1}}, i < 10 ? "x" : "y"});
    for (std::uint64_t n = 0; n < 50; ++n) {
        auto const replicas = choose_record_replicas(list, make_request_id(wall_at(0), n, n));
        REQUIRE(replicas.size() == 3);
        CHECK(std::any_of(replicas.begin(), replicas.end(),
                          [](upstream_ref ref) { return value_of(ref.id) >= 10; }));
    }
}

TEST_CASE("a fleet state whose member list was replaced too long ago is not recent") {
    partitioned_fleet const fleet;
    auto const& lists = *fleet.after->service_named("batch")->member_lists;
    version_number const old = fleet.before->version();
    CHECK(is_member_list_recent(lists, old, wall_at(3)));
    CHECK_FALSE(is_member_list_recent(lists, old, wall_at(20)));
}

TEST_CASE("a store keeps the first run record, for one process of the runner") {
    run_record_store store({.self = {upstream_id{9}, incarnation_id{9}}}, std::nullopt);
    run_record_request request;
    request.runner = {upstream_id{1}, incarnation_id{1}};
    request.runner_process = 5;
    request.id = make_request_id(wall_at(0), 1, 1);
    CHECK(store.record_run(steady_at(0), request, true).kind == run_record_reply_kind::granted);
    CHECK(store.record_run(steady_at(1), request, true).kind == run_record_reply_kind::granted);
    request.runner_process = 6;
    CHECK(store.record_run(steady_at(1), request, true).kind == run_record_reply_kind::taken);
    request.runner = {upstream_id{2}, incarnation_id{1}};
    auto const reply = store.record_run(steady_at(1), request, true);
    CHECK(reply.kind == run_record_reply_kind::taken);
    CHECK(reply.runner == upstream_ref{upstream_id{1}, incarnation_id{1}});
}

TEST_CASE("a restarted replica abstains until its lost records have expired") {
    run_record_store store({}, steady_at(10));
    run_record_request const request;
    CHECK(store.record_run(steady_at(9), request, true).kind == run_record_reply_kind::abstained);
    CHECK(store.record_run(steady_at(10), request, true).kind == run_record_reply_kind::granted);
    CHECK(store.record_run(steady_at(11), {.id = {1, 1}}, false).kind ==
          run_record_reply_kind::abstained);
}

TEST_CASE("a round needs a majority of every replica set") {
    auto const ref = [](std::uint32_t n) {
        return upstream_ref{upstream_id{n}, incarnation_id{1}};
    };
    run_record_round round({{ref(1), ref(2), ref(3)}, {ref(3), ref(4), ref(5)}});
    auto const reply = [&](std::uint32_t n, run_record_reply_kind kind) {
        round.on_reply({{}, ref(n), {}, kind, ref(9)});
    };
    reply(1, run_record_reply_kind::granted);
    reply(2, run_record_reply_kind::granted);
    CHECK(round.state() == run_record_state::pending);
    reply(4, run_record_reply_kind::taken);
    CHECK(round.state() == run_record_state::pending);
    reply(3, run_record_reply_kind::granted);
    reply(5, run_record_reply_kind::abstained);
    CHECK(round.state() == run_record_state::taken);
    CHECK(round.runner() == ref(9));
}

} // namespace toucanusher::tests
