// Tests the flow table: slots and the delay before their reuse, idle flows, recovery of flows into
// their slots.
#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/connection/flow_table.h"

namespace toucanusher::tests {

namespace {

time_point at(int seconds) {
    return time_point{std::chrono::hours{1} + std::chrono::seconds{seconds}};
}

flow_key make_flow(std::uint16_t port) {
    return {service_id{1}, transport::udp, {0x0a000001, port}};
}

} // namespace

TEST_CASE(
    "a slot is not reused for some time after its flow ends, so late packets reach no other flow") {
    flow_table table({.max_flows = 10});
    auto const slot = table.open(at(0), make_flow(1), bucket_number{5});
    REQUIRE(slot.has_value());
    CHECK(table.flows_in(bucket_number{5}) == 1);
    table.close(at(1), *slot);
    CHECK(table.entry_at(*slot) == nullptr);
    CHECK(table.flows_in(bucket_number{5}) == 0);
    CHECK(table.open(at(30), make_flow(2), bucket_number{5}) != slot);
    CHECK(table.open(at(62), make_flow(3), bucket_number{5}) == slot);
}

TEST_CASE("a full table refuses new flows, and an open flow is not opened again") {
    flow_table table({.max_flows = 3});
    for (std::uint16_t port = 1; port <= 3; ++port)
        CHECK(table.open(at(0), make_flow(port), bucket_number{0}).has_value());
    CHECK_FALSE(table.open(at(0), make_flow(4), bucket_number{0}).has_value());
    table.close(at(1), 1);
    CHECK_FALSE(table.open(at(2), make_flow(2), bucket_number{0}).has_value());
    CHECK(table.size() == 2);
}

TEST_CASE("flows without recent packets are idle, found by a scan of a few slots at a time") {
    flow_table table({.max_flows = 100});
    for (std::uint16_t port = 1; port <= 60; ++port)
        table.open(at(0), make_flow(port), bucket_number{0});
    table.find(make_flow(7))->last_packet = at(50);
    std::vector<std::uint32_t> idle;
    for (int i = 0; i < 3; ++i)
        for (std::uint32_t const slot : table.find_idle(at(10), 20))
            idle.push_back(slot);
    CHECK(idle.size() == 59);
    CHECK(std::find(idle.begin(), idle.end(), *table.slot_of(make_flow(7))) == idle.end());
}

TEST_CASE("a recovered flow gets its slot back, and new flows do not use that slot") {
    flow_table table({.max_flows = 10});
    CHECK(table.restore(at(0), make_flow(1), bucket_number{3}, 7));
    CHECK_FALSE(table.restore(at(0), make_flow(2), bucket_number{3}, 7));
    CHECK_FALSE(table.restore(at(0), make_flow(1), bucket_number{3}, 8));
    CHECK_FALSE(table.restore(at(0), make_flow(3), bucket_number{3}, 0));
    CHECK_FALSE(table.restore(at(0), make_flow(3), bucket_number{3}, 1000));
    CHECK(table.slot_of(make_flow(1)) == 7);
    std::vector<std::uint32_t> slots;
    for (std::uint16_t port = 10; port < 16; ++port)
        slots.push_back(*table.open(at(1), make_flow(port), bucket_number{3}));
    CHECK(std::find(slots.begin(), slots.end(), 7U) == slots.end());
    CHECK(table.flows_in(bucket_number{3}) == 7);
}

TEST_CASE("300000 flows take less than 128 bytes each") {
    constexpr std::uint32_t count = 300000;
    flow_table table({.max_flows = count});
    for (std::uint32_t i = 0; i < count; ++i) {
        flow_key const flow{
            service_id{1}, transport::udp, {i, static_cast<std::uint16_t>(i % 1000)}};
        REQUIRE(table.open(at(0), flow, bucket_number{i % 1024}).has_value());
    }
    CHECK(table.size() == count);
    CHECK(table.memory_bytes() < std::size_t{128} * count);
}

} // namespace toucanusher::tests
