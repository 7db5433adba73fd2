// Tests the platform's encodings of packets, configurations and upstream heartbeats, with valid and
// with malformed input.
#include "platform/calls.h"

#include <limits>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "platform/configuration_json.h"
#include "platform/packet_form.h"
#include "platform/upstream_json.h"

namespace toucanusher::platform {
namespace {

using json = nlohmann::json;

std::string to_bytes(std::vector<int> const& values) {
    std::string bytes;
    for (int const value : values)
        bytes.push_back(static_cast<char>(value));
    return bytes;
}

std::string const opening_packet = to_bytes(
    {0x10, 0,    0,    0,    0xd5, 0xc3, 0xb2, 0xa1, 0,    0,    0,    0, 0x07, 0, 0x40, 0x64, 0x01,
     0,    0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x44, 0x33, 0x22, 0x11, 0, 0,    0, 0,    0,    0});
std::string const reset_packet =
    to_bytes({0x02, 0,    0,    0,    0,    0,    0,    0, 0, 0, 0, 0, 0x01, 0, 0x12, 0xc6, 0x07,
              0,    0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c, 0, 0, 0, 0, 0, 0,    0, 0,    0,    0});

packet_flow const example_flow{*parse_endpoint("100.64.0.7:40001"),
                               *parse_endpoint("198.18.0.1:443")};

json example_configuration() {
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
    auto const head = codec.decode(opening_packet, packet_direction::to_upstream);
    REQUIRE(head.ok());
    CHECK(head->flow == example_flow);
    CHECK(head->opens);
    CHECK(head->sequence == 0x11223344);
    CHECK(head->data_bytes == 0);
    CHECK(codec.encode_reset(example_flow, 0) == reset_packet);
}

TEST_CASE("a returned packet without its marks equals the caller's packet") {
    packet_codec const codec = make_packet_codec();
    std::string returned_packet = opening_packet;
    returned_packet[0] = static_cast<char>(returned_packet[0] | 8);
    returned_packet[8] = 5;
    auto const head = codec.decode(returned_packet, packet_direction::to_caller);
    REQUIRE(head.ok());
    CHECK(head->returned);
    CHECK(head->flow == example_flow);
    CHECK(codec.strip_marks(returned_packet) == opening_packet);
}

TEST_CASE("malformed packets are refused") {
    packet_codec const codec = make_packet_codec();
    for (std::size_t length = 0; length < opening_packet.size(); ++length)
        CHECK_FALSE(
            codec.decode(opening_packet.substr(0, length), packet_direction::to_upstream).ok());
    CHECK_FALSE(codec.decode(opening_packet + "x", packet_direction::to_upstream).ok());
    std::string wrong_length = opening_packet;
    wrong_length[32] = 9;
    CHECK_FALSE(codec.decode(wrong_length, packet_direction::to_upstream).ok());
    std::string oversized = opening_packet + std::string(1201, 'x');
    oversized[32] = static_cast<char>(1201 & 0xff);
    oversized[33] = static_cast<char>(1201 >> 8);
    CHECK_FALSE(codec.decode(oversized, packet_direction::to_upstream).ok());
    rc::check([&](std::string const& bytes) {
        (void)codec.decode(bytes, packet_direction::to_upstream);
        (void)codec.decode(bytes, packet_direction::to_caller);
    });
}

TEST_CASE("a configuration round-trips, with its unknown fields") {
    auto const read = decode_configuration(example_configuration().dump());
    REQUIRE(read.ok());
    CHECK(read->number == 7);
    REQUIRE(read->routes.size() == 2);
    CHECK(to_string(read->routes[0].address) == "198.18.0.1:8443");
    CHECK(read->routes[0].split.size() == 2);
    CHECK(read->routes[1].kind == request_kind::non_idempotent);
    CHECK(read->idle_timeout == std::chrono::seconds{15});
    CHECK(check_configuration(*read, "x").empty());
    CHECK(json::parse(encode_configuration(*read)) == example_configuration());
}

TEST_CASE("a configuration truncated at any length is refused") {
    std::string const whole = example_configuration().dump();
    CHECK(put_status(whole) == 200);
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(put_status(whole.substr(0, length)) == 400);
}

TEST_CASE("invalid configurations are refused") {
    auto const refused = [](auto const& change) {
        json body = example_configuration();
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
    json const valid = json::parse(
        R"({"Service":"x","Address":"10.128.0.9:8080","Zone":"a","Version":"v1","Concurrency":5,
            "Phase":"draining","WarmupLeftMs":1500,"Sequence":4,"born":1774393543000})");
    auto const message = decode_upstream_heartbeat("i-1", valid.dump());
    REQUIRE(message.ok());
    CHECK(message->name == "i-1");
    CHECK(message->slots == 5);
    CHECK(message->draining);
    CHECK(message->warmup_left == std::chrono::milliseconds{1500});
    CHECK(message->started_at.time_since_epoch() == std::chrono::milliseconds{1774393543000});
    for (auto const& item : valid.items()) {
        json altered = valid;
        altered[item.key()] = json::array();
        bool const ignored = item.key() == "Version";
        CHECK(decode_upstream_heartbeat("i-1", altered.dump()).ok() == ignored);
    }
    CHECK_FALSE(decode_upstream_heartbeat("i-1", "{").ok());
    json altered = valid;
    altered["Phase"] = "odd";
    CHECK_FALSE(decode_upstream_heartbeat("i-1", altered.dump()).ok());
}

TEST_CASE("deeply nested text is refused, with its place, and ends no process") {
    auto const nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    auto const with_unknown_field = [](std::string const& value) {
        std::string text = example_configuration().dump();
        text.insert(text.find("\"Attempts\""), "\"Odd\":" + value + ",");
        return text;
    };
    CHECK(put_status(with_unknown_field(nested(20))) == 200);
    // As deep as the largest body that is accepted allows, on the smallest stack of a thread.
    for (std::size_t const levels : {100UL, 60'000UL, 1'000'000UL, 8'000'000UL}) {
        CAPTURE(levels);
        CHECK(put_status(with_unknown_field(nested(levels))) == 400);
        CHECK(put_status(nested(levels)) == 400);
        CHECK(put_status(std::string(levels, '[')) == 400);
        CHECK_FALSE(decode_upstream_heartbeat("i-1", R"({"Odd":)" + nested(levels) + "}").ok());
    }
    auto const refused = decode_configuration(with_unknown_field(nested(40)));
    CHECK(refused.status().message().find("Routes[0].Odd[0]") != std::string_view::npos);
    std::string objects;
    for (int i = 0; i < 60'000; ++i)
        objects += R"({"a":)";
    CHECK(put_status(objects + "1" + std::string(60'000, '}')) == 400);
}

TEST_CASE("numbers of an upstream's heartbeat have bounds") {
    json const valid = json::parse(
        R"({"Service":"x","Address":"10.128.0.9:8080","Zone":"a","Version":"v1","Concurrency":5,
            "Phase":"ready","WarmupLeftMs":1500,"Sequence":4,"born":1774393543000})");
    for (char const* key : {"Concurrency", "WarmupLeftMs", "Sequence", "born"})
        for (json const& odd : {json(std::numeric_limits<std::uint64_t>::max()), json(1ULL << 63U),
                                json(-1), json(1e30), json(1.5), json("4"), json(nullptr)}) {
            CAPTURE(key);
            CAPTURE(odd.dump());
            json altered = valid;
            altered[key] = odd;
            CHECK_FALSE(decode_upstream_heartbeat("i-1", altered.dump()).ok());
        }
    for (char const* address : {"10.128.0.9:99999", "10.128.0.9:0", "10.128.0.9:-1", "10.0.0.9"}) {
        json altered = valid;
        altered["Address"] = address;
        CHECK_FALSE(decode_upstream_heartbeat("i-1", altered.dump()).ok());
    }
    std::string enormous = valid.dump();
    enormous.replace(enormous.find("1500"), 4, "1e999");
    CHECK_FALSE(decode_upstream_heartbeat("i-1", enormous).ok());
}

TEST_CASE("an upstream's heartbeat that cannot be read gets an answer") {
    upstream_calls calls;
    calls.announce = [](upstream_heartbeat const&,
                        std::function<void(heartbeat_effect)> const& respond) {
        respond(heartbeat_effect::renewed);
    };
    http_handler const handler = make_front_end().upstream_api(calls);
    for (std::string const body : {"\xff\xfe", "{\"Service\":\"\xc3\x28\"}", "", "{", "5", "\"x"}) {
        int status = 0;
        handler({"PUT", "/api/instances/i-1", "", {}, body},
                [&](http_response const& response) { status = response.status; });
        CHECK(status == 400);
    }
}

TEST_CASE("an upstream's late heartbeat, its draining included, is not acknowledged") {
    upstream_calls calls;
    upstream_incarnation incarnation("x");
    calls.announce = [&](upstream_heartbeat const& message,
                         std::function<void(heartbeat_effect)> const& respond) {
        respond(incarnation.on_heartbeat(time_point{std::chrono::hours{1}}, message));
    };
    http_handler const handler = make_front_end().upstream_api(calls);
    auto const status_of = [&](std::string const& name, char const* phase, int sequence, int born) {
        nlohmann::json const body = {
            {"Service", "x"},    {"Address", "10.0.0.1:8080"}, {"Zone", "z"},
            {"Version", "v1"},   {"Concurrency", 1},           {"Phase", phase},
            {"WarmupLeftMs", 0}, {"Sequence", sequence},       {"born", born}};
        int status = 0;
        handler({"PUT", "/api/instances/" + name, "", {}, body.dump()},
                [&](http_response const& response) { status = response.status; });
        return status;
    };
    CHECK(status_of("i-1", "ready", 3, 1000) == 200);
    CHECK(status_of("i-1", "ready", 4, 1000) == 200);
    CHECK(status_of("i-1", "draining", 4, 1000) == 409);
    CHECK(status_of("i-0", "draining", 9, 500) == 409);
    CHECK_FALSE(incarnation.draining());
    CHECK(status_of("i-1", "draining", 5, 1000) == 200);
    CHECK(incarnation.draining());
}

TEST_CASE("late upstream heartbeats are ignored") {
    upstream_incarnation incarnation("x");
    upstream_heartbeat message;
    message.name = "i-1";
    message.service = "x";
    message.sequence = 3;
    message.started_at = wall_time{std::chrono::milliseconds{1000}};
    constexpr time_point now{std::chrono::hours{1}};
    CHECK(incarnation.on_heartbeat(now, message) == heartbeat_effect::new_incarnation);
    CHECK(incarnation.on_heartbeat(now, message) == heartbeat_effect::late);
    upstream_heartbeat restarted = message; // same name, the sequence restarts
    restarted.started_at = wall_time{std::chrono::milliseconds{5000}};
    restarted.sequence = 1;
    CHECK(incarnation.on_heartbeat(now, restarted) == heartbeat_effect::new_incarnation);
    message.sequence = 9;
    CHECK(incarnation.on_heartbeat(now, message) == heartbeat_effect::late); // previous incarnation
    CHECK_FALSE(incarnation.on_leave("i-0"));
    CHECK(incarnation.on_leave("i-1"));
    restarted.sequence = 2;
    CHECK(incarnation.on_heartbeat(now, restarted) == heartbeat_effect::late);
    CHECK_FALSE(incarnation.current());
    upstream_heartbeat misdirected = message;
    misdirected.service = "y";
    CHECK(incarnation.on_heartbeat(now, misdirected) == heartbeat_effect::other_service);
}

namespace {

upstream_heartbeat make_heartbeat(std::string const& name, int born, std::uint64_t sequence) {
    upstream_heartbeat message;
    message.name = name;
    message.service = "x";
    message.sequence = sequence;
    message.started_at = wall_time{std::chrono::milliseconds{born}};
    return message;
}

// Sends heartbeats from `sequence` on until one is not ignored. Returns the time until then, at
// most ten seconds.
duration time_until_heard(upstream_incarnation& incarnation, time_point start,
                          upstream_heartbeat message) {
    constexpr std::chrono::milliseconds heartbeat_interval{770};
    time_point now = start;
    while (now - start < std::chrono::seconds{10} &&
           incarnation.on_heartbeat(now, message) == heartbeat_effect::late) {
        now += heartbeat_interval;
        ++message.sequence;
    }
    return now - start;
}

constexpr time_point heartbeat_start{std::chrono::hours{1}};

} // namespace

TEST_CASE("an upstream that restarts after its clock jumped back is heard") {
    for (std::string const name : {"i-2", "i-1"}) {
        CAPTURE(name);
        upstream_incarnation incarnation("x");
        for (std::uint64_t sequence = 1; sequence < 5; ++sequence)
            incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-1", 5000, sequence));
        time_point const restart = heartbeat_start + std::chrono::seconds{1};
        CHECK(time_until_heard(incarnation, restart, make_heartbeat(name, 2600, 1)) <
              std::chrono::seconds{3});
        REQUIRE(incarnation.current());
        CHECK(incarnation.current()->name == name);
        upstream_heartbeat draining = make_heartbeat(name, 2600, 20);
        draining.draining = true;
        CHECK(incarnation.on_heartbeat(restart + std::chrono::seconds{4}, draining) ==
              heartbeat_effect::renewed);
        CHECK(incarnation.draining());
        CHECK(incarnation.on_heartbeat(restart + std::chrono::seconds{4},
                                       make_heartbeat("i-1", 5000, 9)) == heartbeat_effect::late);
    }
}

TEST_CASE("an upstream that restarts under its name with the same start time is heard") {
    upstream_incarnation incarnation("x");
    incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-1", 5000, 50));
    CHECK(time_until_heard(incarnation, heartbeat_start, make_heartbeat("i-1", 5000, 1)) <
          std::chrono::seconds{3});
}

TEST_CASE("an upstream that leaves and restarts after its clock jumped back is heard") {
    for (std::string const name : {"i-2", "i-1"}) {
        CAPTURE(name);
        upstream_incarnation incarnation("x");
        incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-1", 5000, 50));
        REQUIRE(incarnation.on_leave("i-1"));
        CHECK(time_until_heard(incarnation, heartbeat_start, make_heartbeat(name, 2600, 1)) <
              std::chrono::seconds{3});
    }
}

TEST_CASE("a late heartbeat with a higher start time does not silence a living upstream") {
    upstream_incarnation incarnation("x");
    incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-2", 2600, 1));
    incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-1", 5000, 7));
    CHECK(time_until_heard(incarnation, heartbeat_start, make_heartbeat("i-2", 2600, 2)) <
          std::chrono::seconds{3});
    CHECK(incarnation.current()->name == "i-2");
}

TEST_CASE("late heartbeats do not replace an upstream that goes on sending") {
    for (upstream_heartbeat late :
         {make_heartbeat("i-1", 1000, 0), make_heartbeat("i-0", 500, 0)}) {
        CAPTURE(late.name);
        upstream_incarnation incarnation("x");
        incarnation.on_heartbeat(heartbeat_start, make_heartbeat("i-1", 1000, 1));
        for (std::uint64_t i = 1; i < 50; ++i) {
            time_point const now = heartbeat_start + i * std::chrono::milliseconds{300};
            if (i % 4 == 1) // every 1.2 s
                CHECK(incarnation.on_heartbeat(now, make_heartbeat("i-2", 5000, i)) !=
                      heartbeat_effect::late);
            late.sequence = i + 1;
            CHECK(incarnation.on_heartbeat(now, late) == heartbeat_effect::late);
        }
    }
}

} // namespace toucanusher::platform
