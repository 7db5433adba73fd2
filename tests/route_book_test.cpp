// Tests edits between configurations, the checks of a configuration, and the queue that proposes
// waiting configurations and answers their callers.
#include "toucanusher/version/route_book.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "src/version/fleet_codec.h"
#include "toucanusher/version/configuration_queue.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::hours{1}};

route make_route(std::uint32_t index, milliseconds timeout = milliseconds{100}) {
    route made;
    made.name = "r" + std::to_string(index);
    made.address = {index, 443};
    made.timeout = timeout;
    made.split = {{"s", 1}};
    made.document = "document of route " + std::to_string(index);
    return made;
}

configuration make_configuration(std::uint64_t number, std::uint32_t routes) {
    configuration made;
    made.number = number;
    made.services = {{"s", "/", 5, "document of s"}};
    for (std::uint32_t i = 1; i <= routes; ++i)
        made.routes.push_back(make_route(i));
    return made;
}

} // namespace

TEST_CASE("an edit converts any configuration into any later one") {
    rc::check([](std::vector<std::uint8_t> const& before, std::vector<std::uint8_t> const& after) {
        configuration from = make_configuration(3, 0);
        configuration to = make_configuration(9, 0);
        for (std::uint8_t const index : before)
            from.routes.push_back(make_route(index % 16U, milliseconds{1 + index / 16}));
        for (std::uint8_t const index : after)
            to.routes.push_back(make_route(index % 16U, milliseconds{1 + index / 16}));
        auto const made = apply_edit(from, make_edit(from, to));
        RC_ASSERT(made.has_value());
        RC_ASSERT(*made == to);
    });
}

TEST_CASE("the size of an edit depends on the number of changes") {
    configuration const from = make_configuration(1, 450);
    configuration to = from;
    to.number = 2;
    to.routes[200].timeout = milliseconds{5};
    std::string const edit = encode_fleet_command(make_edit(from, to));
    CHECK(edit.size() < 400);
    to.routes.push_back(make_route(900));
    to.routes.erase(to.routes.begin() + 10);
    CHECK(encode_fleet_command(make_edit(from, to)).size() < 800);
}

TEST_CASE("an edit with another base, without a higher number or out of range is refused") {
    configuration const one = make_configuration(1, 2);
    configuration const two = make_configuration(2, 3);
    configuration const three = make_configuration(3, 4);
    CHECK_FALSE(apply_edit(one, make_edit(two, three)));
    CHECK_FALSE(apply_edit(two, make_edit(two, one)));
    CHECK_FALSE(apply_edit(two, make_edit(two, two)));
    edit_configuration out_of_range = make_edit(one, two);
    out_of_range.routes = {{.first = 1, .count = 9, .added = {}}};
    CHECK_FALSE(apply_edit(one, out_of_range));
}

TEST_CASE("a configuration survives a snapshot of the fleet state") {
    fleet_state state;
    configuration const expected = make_configuration(7, 3);
    state.apply(make_edit(*state.routes(), expected));
    auto const restored = decode_fleet_state(encode_fleet_state(state));
    REQUIRE(restored.ok());
    CHECK(*restored->routes() == expected);
}

TEST_CASE("every error of an invalid configuration is reported") {
    configuration invalid = make_configuration(1, 4);
    invalid.routes[1].address = invalid.routes[0].address;
    invalid.routes[2].timeout = milliseconds{0};
    invalid.routes[3].split = {{"unknown", 1}};
    CHECK(check_configuration(invalid, "x").items().size() == 3);
    invalid.routes[3].split = {{"s", 0}};
    CHECK(check_configuration(invalid, "x").items().size() == 3);
    invalid.routes[3].split.clear();
    CHECK(check_configuration(invalid, "x").items().size() == 3);
    CHECK(check_configuration(make_configuration(1, 4), "x").empty());
}

TEST_CASE("the waiting configuration of the highest number is proposed, and lower ones are "
          "answered with it") {
    configuration_queue queue(milliseconds{850});
    configuration current = make_configuration(1, 1);
    queue.add(start, 11, make_configuration(5, 2));
    queue.add(start, 12, make_configuration(8, 3));
    queue.add(start, 13, make_configuration(1, 3));
    auto const edit = queue.next_edit(current);
    REQUIRE(edit);
    CHECK(edit->number == 8);
    queue.on_proposed(start, true);
    CHECK_FALSE(queue.next_edit(current)); // one proposal at a time
    auto const settled = queue.take_due_answers(start, current);
    REQUIRE(settled.size() == 1); // a number not above the one in force is accepted without an edit
    CHECK(settled[0].call == 13);
    current = *apply_edit(current, *edit);
    queue.on_edit_applied();
    auto const answers = queue.take_due_answers(start, current);
    CHECK(answers.size() == 2);
    for (configuration_answer const& answer : answers)
        CHECK(answer.verdict == configuration_verdict::accepted);
}

TEST_CASE("an edit whose base has changed is made again") {
    configuration_queue queue(milliseconds{850});
    configuration current = make_configuration(1, 1);
    queue.add(start, 1, make_configuration(9, 3));
    auto const stale = queue.next_edit(current);
    queue.on_proposed(start, true);
    current = make_configuration(4, 2); // another leader's edit was applied first
    CHECK_FALSE(apply_edit(current, *stale));
    queue.on_edit_applied();
    auto const rebased = queue.next_edit(current);
    REQUIRE(rebased);
    CHECK(apply_edit(current, *rebased) == make_configuration(9, 3));
}

TEST_CASE("a configuration whose result is unknown at its timeout is answered with unavailable") {
    configuration_queue queue(milliseconds{850});
    configuration const current = make_configuration(1, 1);
    queue.add(start, 1, make_configuration(9, 3));
    CHECK(queue.take_due_answers(start + milliseconds{800}, current).empty());
    auto const expired = queue.take_due_answers(start + milliseconds{900}, current);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].verdict == configuration_verdict::unavailable);
    queue.add(start, 2, make_configuration(9, 3));
    auto const failed = queue.fail_pending();
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].verdict == configuration_verdict::unavailable);
}

} // namespace toucanusher
