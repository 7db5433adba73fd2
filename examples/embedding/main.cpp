// Embeds the steering and admission decisions in another program. They use no sockets and no
// threads, so the program's front end can speak any protocol.
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <toucanusher/connection/packet_steering.h>
#include <toucanusher/request/admission_queue.h>
#include <toucanusher/version/fleet_state.h>

using namespace toucanusher;

namespace {

std::shared_ptr<fleet_state> make_state() {
    auto state = std::make_shared<fleet_state>();
    state->apply(write_claim{"1", {"growers", {"feed", "address"}}, "10.0.0.1:8000", 10, {}});
    for (std::string const name : {"u1", "u2", "u3"}) {
        upstream_announcement announcement;
        announcement.service = "feed";
        announcement.name = name;
        announcement.agent = {0x0a000100U + static_cast<std::uint32_t>(name[1]), 7500};
        state->apply(announce_upstream{announcement, {}});
    }
    return state;
}

bool steers_every_packet() {
    manual_clock const clock;
    flow_hash const hash = [](flow_key const& flow) { return std::hash<flow_key>{}(flow); };
    packet_steering steering({"entry1", {0x0a000001, 7300}}, hash);
    steering.apply_state(clock.now(), make_state());
    for (std::uint16_t port = 1000; port < 1100; ++port) {
        auto const result = steering.steer(
            clock.now(), {{0x0a000001, 8000}, {0x0a0000ff, port}, transport::tcp, "hello"});
        if (!std::holds_alternative<steered_packet>(result))
            return false;
    }
    return true;
}

bool displaces_bulk_request() {
    manual_clock const clock;
    admission_queue queue({.queue_length = 2});
    auto const deadline = clock.now() + std::chrono::seconds{1};
    queue.push(clock.now(), {{1, 1}, request_class::bulk, "growers", deadline}, {}, 1);
    queue.push(clock.now(), {{2, 2}, request_class::bulk, "growers", deadline}, {}, 1);
    auto const displaced =
        queue.push(clock.now(), {{3, 3}, request_class::urgent, "packers", deadline}, {}, 1);
    return displaced && displaced->reason == request_refusal::displaced;
}

} // namespace

int main() {
    bool const passed = steers_every_packet() && displaces_bulk_request();
    std::puts(passed ? "embedded decisions passed" : "embedded decisions failed");
    return passed ? 0 : 1;
}
