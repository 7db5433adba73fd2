// Tests claims (precedence, ties, resends, compare-and-set, findings), the fleet state that they
// produce, member leases and the upstream watch.
#include <string>

#include <doctest/doctest.h>

#include "src/version/fleet_codec.h"
#include "toucanusher/version/claim_book.h"
#include "toucanusher/version/fleet_state.h"
#include "toucanusher/version/lease_keeper.h"
#include "toucanusher/version/upstream_watch.h"

namespace toucanusher::tests {

namespace {

write_claim make_write(std::string const& request, std::string const& team,
                       std::string const& value, std::uint32_t loudness) {
    return {request, {team, {"batch", "slots"}}, value, loudness, std::nullopt};
}

std::string winning_claim(fleet_state const& state) {
    auto const winner = state.claims().in_force({"batch", "slots"});
    return winner ? winner->team + " " + winner->value : "none";
}

time_point at(int seconds) {
    return time_point{std::chrono::hours{1} + std::chrono::seconds{seconds}};
}

} // namespace

TEST_CASE(
    "the louder claim is in force, and a later claim of equal loudness does not override it") {
    fleet_state state;
    CHECK(state.apply(make_write("1", "a", "3", 10))->verdict == claim_verdict::in_force);
    CHECK(state.apply(make_write("2", "b", "4", 10))->verdict == claim_verdict::overridden);
    CHECK(winning_claim(state) == "a 3");
    CHECK(state.apply(make_write("3", "b", "5", 11))->verdict == claim_verdict::in_force);
    CHECK(winning_claim(state) == "b 5");
    auto const withdrawal = state.apply(withdraw_claim{"4", {"b", {"batch", "slots"}}, {}});
    CHECK(withdrawal->verdict == claim_verdict::withdrawn);
    CHECK(withdrawal->winner->team == "a");
    CHECK(state.service_named("batch")->settings->slots == 3);
}

TEST_CASE(
    "a team that changes its value keeps its precedence, one that changes its loudness loses it") {
    fleet_state state;
    state.apply(make_write("1", "a", "3", 10));
    state.apply(make_write("2", "b", "4", 10));
    CHECK(state.apply(make_write("3", "a", "6", 10))->verdict == claim_verdict::in_force);
    state.apply(make_write("4", "a", "7", 9));
    CHECK(winning_claim(state) == "b 4");
    CHECK(state.apply(make_write("5", "a", "8", 10))->verdict == claim_verdict::overridden);
}

TEST_CASE("a resent request gets its first answer, also after a snapshot") {
    fleet_state state;
    auto const first = state.apply(make_write("1", "a", "3", 10));
    state.apply(make_write("2", "b", "4", 20));
    auto restored = decode_fleet_state(encode_fleet_state(state));
    REQUIRE(restored.ok());
    CHECK(restored->apply(make_write("1", "a", "3", 10)) == first);
    CHECK(winning_claim(*restored) == "b 4");
}

TEST_CASE("equal request ids of two teams are two requests") {
    fleet_state state;
    state.apply(make_write("1", "a", "3", 10));
    CHECK(state.apply(make_write("1", "b", "4", 20))->verdict == claim_verdict::in_force);
}

TEST_CASE("compare-and-set") {
    fleet_state state;
    auto write = make_write("1", "a", "3", 10);
    write.expected = version_number{9};
    CHECK(state.apply(write)->verdict == claim_verdict::refused);
    write.request = "2";
    write.expected = version_number{0};
    auto const created = state.apply(write);
    CHECK(created->verdict == claim_verdict::in_force);
    write.request = "3";
    write.expected = created->version;
    write.value = "4";
    CHECK(state.apply(write)->verdict == claim_verdict::in_force);
    write.request = "4";
    CHECK(state.apply(write)->verdict == claim_verdict::refused);
}

TEST_CASE("every finding of an invalid claim is listed") {
    fleet_state state;
    write_claim const invalid{"1", {"Team!", {"batch", "slotz"}}, "x", 5000, std::nullopt};
    auto const result = state.apply(invalid);
    CHECK(result->verdict == claim_verdict::refused);
    CHECK(result->reason.find("names use") != std::string::npos);
    CHECK(result->reason.find("loudness") != std::string::npos);
    CHECK(result->reason.find("did you mean slots?") != std::string::npos);
}

TEST_CASE("every setting key accepts a valid value, refuses an invalid one and has a description") {
    std::map<std::string, std::string> const valid_values = {{"address", "127.0.0.1:80"},
                                                             {"admit", "no"},
                                                             {"balancers", "b1, b2"},
                                                             {"bulk_share", "5"},
                                                             {"deadline", "100"},
                                                             {"drain_time", "5"},
                                                             {"idle_time", "1000"},
                                                             {"kind", "request"},
                                                             {"normal_share", "31"},
                                                             {"packet_rate", "9"},
                                                             {"queue_length", "4"},
                                                             {"retry_percent", "0"},
                                                             {"slots", "3"},
                                                             {"upstreams", "u1"},
                                                             {"urgent_share", "99"}};
    for (std::string const& key : setting_keys()) {
        INFO(key);
        service_settings changed;
        findings found;
        assign_setting(changed, key, valid_values.at(key), found, {});
        CHECK(found.empty());
        CHECK_FALSE(changed == service_settings{});
        assign_setting(changed, key, "", found, {});
        CHECK_FALSE(found.empty());
        CHECK_FALSE(describe_setting(key).empty());
    }
}

TEST_CASE("a setting of the upstreams changes the bucket owners at once") {
    fleet_state state;
    for (std::string const name : {"u1", "u2"}) {
        upstream_announcement announcement;
        announcement.service = "batch";
        announcement.name = name;
        announcement.incarnation = incarnation_id{7};
        state.apply(announce_upstream{announcement, {}});
    }
    auto const* second = state.upstream_named("batch", "u2");
    CHECK(state.service_named("batch")->table->buckets_of(second->ref) == buckets_per_service / 2);
    state.apply(write_claim{"1", {"a", {"batch", "upstreams"}}, "u1", 1, {}});
    CHECK(state.service_named("batch")->table->buckets_of(second->ref) == 0);
}

TEST_CASE("an upstream announced with a lower incarnation takes the place of the one before") {
    for (std::string const name : {"u1", "u2"}) {
        CAPTURE(name);
        fleet_state state;
        upstream_announcement announcement;
        announcement.service = "batch";
        announcement.name = "u1";
        announcement.agent = {1, 9000};
        announcement.reports_flows = true;
        announcement.incarnation = incarnation_id{5000};
        state.apply(announce_upstream{announcement, {}});
        announcement.name = name;
        announcement.incarnation = incarnation_id{2600};
        announcement.draining = true;
        state.apply(announce_upstream{announcement, {}});
        REQUIRE(state.upstreams().size() == 1);
        CHECK(state.upstreams().front()->announcement == announcement);
    }
}

TEST_CASE("a lease expires unless it is renewed, and a new leader restarts it") {
    fleet_state state;
    upstream_announcement announcement;
    announcement.service = "batch";
    announcement.name = "u1";
    announcement.incarnation = incarnation_id{7};
    state.apply(announce_upstream{announcement, {}});
    upstream_ref const ref = state.upstream_named("batch", "u1")->ref;
    lease_keeper leases(std::chrono::seconds{4});
    leases.restart(at(0));
    CHECK(leases.expired(at(3), state).empty());
    leases.renew(at(3), {"agent", daemon_role::agent, {}, {ref}, {}});
    CHECK(leases.expired(at(7), state).empty());
    leases.restart(at(6));
    CHECK(leases.expired(at(9), state).empty());
    REQUIRE(leases.expired(at(11), state).size() == 1);
}

TEST_CASE("only refused connections end an incarnation") {
    upstream_watch watch({}, 1);
    watch.on_probe(at(0), {.answered = true, .instance = "one"});
    auto const incarnation = watch.current_incarnation();
    REQUIRE(incarnation.has_value());
    for (int i = 1; i < 30; ++i)
        watch.on_probe(at(i), {}); // the health check times out or fails
    CHECK(watch.current_incarnation() == incarnation);
    watch.on_probe(at(31), {.refused = true});
    watch.on_probe(at(32), {.refused = true});
    CHECK(watch.current_incarnation() == incarnation);
    watch.on_probe(at(33), {.refused = true});
    CHECK_FALSE(watch.current_incarnation().has_value());
    CHECK(watch.ended()->incarnation == *incarnation);
    watch.on_probe(at(34), {.answered = true, .instance = "two"});
    CHECK(watch.current_incarnation() != incarnation);
}

TEST_CASE("the share of a starting upstream ramps up in steps") {
    upstream_watch watch({.ramp = std::chrono::seconds{4}}, 1);
    watch.on_probe(at(0), {.answered = true, .state = upstream_state::starting});
    CHECK(watch.announcement(at(1))->ready_percent == 0);
    watch.on_probe(at(2), {.answered = true});
    CHECK(watch.announcement(at(2))->ready_percent == 25);
    CHECK(watch.announcement(at(3))->ready_percent == 50);
    CHECK(watch.announcement(at(6))->ready_percent == 100);
}

} // namespace toucanusher::tests
