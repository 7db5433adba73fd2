#include "programs/service_call.h"

#include <utility>

#include "src/process/io/envelope.h"
#include "src/process/io/udp_port.h"
#include "src/request/request_codec.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

namespace {
constexpr std::size_t ring_size = 4096;
}

absl::StatusOr<call_result> call_service(std::vector<endpoint> const& addresses,
                                         call_options const& options, std::string const& body,
                                         clock const& clock) {
    ring<datagram> received(ring_size);
    udp_duties duties(ring_size);
    auto port = udp_port::open(duties, {.bind = {addresses.front().address, 0}}, [&](datagram d) {
        (void)received.try_push(std::move(d)); // the service resends dropped answers
    });
    if (!port.ok())
        return port.status();
    auto const random = make_system_random();
    auto const created =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    request_caller caller(make_request_id(created, random(), random()), options, body, clock.now());
    std::size_t next_address = 0;
    auto const send = [&](caller_message const& message) {
        endpoint const to = addresses[next_address++ % addresses.size()];
        (void)(*port)->send({to, {}, encode_caller_message(message)});
    };
    while (!caller.result()) {
        for (caller_message const& message : caller.on_tick(clock.now()))
            send(message);
        auto const answer = received.pop_until(caller.next_tick());
        if (!answer)
            continue;
        auto const part = decode_answer_part(answer->bytes);
        if (!part.ok())
            continue;
        if (auto const ack = caller.on_answer(*part))
            send(*ack);
    }
    call_result result = *caller.result();
    duties.close(); // sends the queued messages, including the last acknowledgement
    return result;
}

} // namespace toucanusher
