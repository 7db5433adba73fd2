// Tests the platform's encodings of packets, configurations and upstream heartbeats, with valid and
// with malformed input.
#include "platform/calls.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "platform/configuration_json.h"
#include "platform/packet_form.h"
#include "platform/upstream_json.h"

namespace toucanusher::platform {
namespace {

using json = nlohmann::json;

std::string bytes_of(std::vector<int> const& values) {
    std::string bytes;
    for (int const value : values)
        bytes.push_back(static_cast<char>(value));
    return bytes;
}

std::string const opening = bytes_of(
    {0x10, 0,    0,    0,    0xd5, 0xc3, 0xb2, 0xa1, 0,    0,    0,    0, 0x07, 0, 0x40, 0x64, 0x01,
     0,    0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x44, 0x33, 0x22, 0x11, 0, 0,    0, 0,    0,    0});
std::string const reset =
    bytes_of({0x02, 0,    0,    0,    0,    0,    0,    0, 0, 0, 0, 0, 0x01, 0, 0x12, 0xc6, 0x07,
              0,    0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c, 0, 0, 0, 0, 0, 0,    0, 0,    0,    0});

packet_flow const example_flow{*parse_endpoint("100.64.0.7:40001"),
                               *parse_endpoint("198.18.0.1:443")};

json example() {
    return json::parse(R"({"Version":7,"Routes":[
      {"Name":"a","Host":"198.18.0.1","PathPrefix":"/8443/","Type":"idempotent","TimeoutMs":2000,
       "AimMs":200,"Priority":2,"TrafficSplit":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}],
       "Attempts":2},
      {"Name":"b","Host":"198.18.0.1","PathPrefix":"/8080/","Type":"non_idempotent","TimeoutMs":2500,
       "AimMs":250,"Priority":1,"Service":"x","Attempts":2}],
      "Services":[{"Name":"x","HealthCheckPath":"/healthz","MaxConnections":2000,"Protocol":"h1",
       "TlsEnabled":false},{"Name":"y","HealthCheckPath":"/healthz","MaxConnections":2000}],
      "Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000},"Unknown":[1,2]})");
}

// Returns the HTTP status of a PUT of the body to a host that accepts every valid configuration.
int put_status(std::string const& body) {
    operator_calls calls;
    calls.write = [](configuration, configuration_responder const& respond) {
        respond({1, configuration_verdict::accepted, {}, {}});
    };
    http_handler const handler = make_front_end().operator_api(calls, 8166);
    int status = 0;
    handler({"PUT", "/api/config", "", {}, body},
            [&](http_response const& response) { status = response.status; });
    return status;
}

} // namespace

TEST_CASE("the platform's example packets are decoded and encoded") {
    packet_codec const codec = make_packet_codec();
    auto const head = codec.decode(opening, packet_direction::to_upstream);
    REQUIRE(head.ok());
    CHECK(head->flow == example_flow);
    CHECK(head->opens);
    CHECK(head->sequence == 0x11223344);
    CHECK(head->data_bytes == 0);
    CHECK(codec.encode_reset(example_flow, 0) == reset);
}

TEST_CASE("a returned packet without its marks equals the caller's packet") {
    packet_codec const codec = make_packet_codec();
    std::string marked = opening;
    marked[0] = static_cast<char>(marked[0] | 8);
    marked[8] = 5;
    auto const head = codec.decode(marked, packet_direction::to_caller);
    REQUIRE(head.ok());
    CHECK(head->returned);
    CHECK(head->flow == example_flow);
    CHECK(codec.strip_marks(marked) == opening);
}

TEST_CASE("malformed packets are refused") {
    packet_codec const codec = make_packet_codec();
    for (std::size_t length = 0; length < opening.size(); ++length)
        CHECK_FALSE(codec.decode(opening.substr(0, length), packet_direction::to_upstream).ok());
    CHECK_FALSE(codec.decode(opening + "x", packet_direction::to_upstream).ok());
    std::string lying = opening;
    lying[32] = 9;
    CHECK_FALSE(codec.decode(lying, packet_direction::to_upstream).ok());
    std::string large = opening + std::string(1201, 'x');
    large[32] = static_cast<char>(1201 & 0xff);
    large[33] = static_cast<char>(1201 >> 8);
    CHECK_FALSE(codec.decode(large, packet_direction::to_upstream).ok());
    rc::check([&](std::string const& bytes) {
        (void)codec.decode(bytes, packet_direction::to_upstream);
        (void)codec.decode(bytes, packet_direction::to_caller);
    });
}

TEST_CASE("a configuration round-trips, with its unknown fields") {
    auto const read = decode_configuration(example().dump());
    REQUIRE(read.ok());
    CHECK(read->number == 7);
    REQUIRE(read->routes.size() == 2);
    CHECK(to_string(read->routes[0].address) == "198.18.0.1:8443");
    CHECK(read->routes[0].split.size() == 2);
    CHECK(read->routes[1].kind == request_kind::non_idempotent);
    CHECK(read->idle_timeout == std::chrono::seconds{15});
    CHECK(check_configuration(*read, "x").empty());
    CHECK(json::parse(encode_configuration(*read)) == example());
}

TEST_CASE("a configuration truncated at any length is refused") {
    std::string const whole = example().dump();
    CHECK(put_status(whole) == 200);
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(put_status(whole.substr(0, length)) == 400);
}

TEST_CASE("invalid configurations are refused") {
    auto const refused = [](auto const& change) {
        json body = example();
        change(body);
        return put_status(body.dump()) == 400;
    };
    CHECK(refused([](json& c) { c["Routes"][1]["Service"] = "z"; }));
    CHECK(refused([](json& c) { c["Routes"][1]["PathPrefix"] = "/8443/"; }));
    CHECK(refused([](json& c) { c["Routes"][1]["TimeoutMs"] = 0; }));
    CHECK(refused([](json& c) { c["Routes"][1]["TimeoutMs"] = -5; }));
    CHECK(refused([](json& c) { c["Routes"][1]["TimeoutMs"] = 1e30; }));
    CHECK(refused([](json& c) { c["Routes"][1]["TimeoutMs"] = "2000"; }));
    CHECK(refused([](json& c) { c["Routes"][1].erase("TimeoutMs"); }));
    CHECK(refused([](json& c) { c["Routes"][1].erase("Service"); }));
    CHECK(refused([](json& c) { c["Routes"][1]["Host"] = 5; }));
    CHECK(refused([](json& c) { c["Routes"][1]["PathPrefix"] = "8080"; }));
    CHECK(refused([](json& c) { c["Routes"][1]["PathPrefix"] = "/99999/"; }));
    CHECK(refused([](json& c) { c["Routes"][0]["TrafficSplit"] = json::array(); }));
    CHECK(refused([](json& c) { c["Routes"][0]["TrafficSplit"][0].erase("Weight"); }));
    CHECK(refused([](json& c) {
        for (json& part : c["Routes"][0]["TrafficSplit"])
            part["Weight"] = 0;
    }));
    CHECK(refused([](json& c) { c["Routes"] = 5; }));
    CHECK(refused([](json& c) { c["Routes"][0] = "r"; }));
    CHECK(refused([](json& c) { c.erase("Services"); }));
    CHECK(refused([](json& c) { c.erase("Version"); }));
    CHECK(refused([](json& c) { c["Version"] = "7"; }));
    CHECK(refused([](json& c) { c["Limits"] = 3; }));
    CHECK(put_status("[]") == 400);
    CHECK(put_status("") == 400);
}

TEST_CASE("upstream heartbeats with an invalid field are refused") {
    json const good = json::parse(
        R"({"Service":"x","Address":"10.128.0.9:8080","Zone":"a","Version":"v1","Concurrency":5,
            "Phase":"draining","WarmupLeftMs":1500,"Sequence":4,"born":1774393543000})");
    auto const beat = decode_upstream_heartbeat("i-1", good.dump());
    REQUIRE(beat.ok());
    CHECK(beat->name == "i-1");
    CHECK(beat->slots == 5);
    CHECK(beat->draining);
    CHECK(beat->warmup_left == std::chrono::milliseconds{1500});
    CHECK(beat->started_at.time_since_epoch() == std::chrono::milliseconds{1774393543000});
    for (auto const& item : good.items()) {
        json other = good;
        other[item.key()] = json::array();
        bool const ignored = item.key() == "Version";
        CHECK(decode_upstream_heartbeat("i-1", other.dump()).ok() == ignored);
    }
    CHECK_FALSE(decode_upstream_heartbeat("i-1", "{").ok());
    json other = good;
    other["Phase"] = "odd";
    CHECK_FALSE(decode_upstream_heartbeat("i-1", other.dump()).ok());
}

TEST_CASE("late upstream heartbeats are ignored") {
    upstream_incarnation life("x");
    upstream_heartbeat beat;
    beat.name = "i-1";
    beat.service = "x";
    beat.sequence = 3;
    beat.started_at = wall_time{std::chrono::milliseconds{1000}};
    constexpr time_point now{std::chrono::hours{1}};
    CHECK(life.on_heartbeat(now, beat) == heartbeat_effect::new_incarnation);
    CHECK(life.on_heartbeat(now, beat) == heartbeat_effect::late);
    upstream_heartbeat again = beat; // restarted under the same name, its sequence starts again
    again.started_at = wall_time{std::chrono::milliseconds{5000}};
    again.sequence = 1;
    CHECK(life.on_heartbeat(now, again) == heartbeat_effect::new_incarnation);
    beat.sequence = 9;
    CHECK(life.on_heartbeat(now, beat) == heartbeat_effect::late); // from the previous incarnation
    CHECK_FALSE(life.on_leave("i-0"));
    CHECK(life.on_leave("i-1"));
    again.sequence = 2;
    CHECK(life.on_heartbeat(now, again) == heartbeat_effect::late);
    CHECK_FALSE(life.current());
    upstream_heartbeat stranger = beat;
    stranger.service = "y";
    CHECK(life.on_heartbeat(now, stranger) == heartbeat_effect::other_service);
}

} // namespace toucanusher::platform
