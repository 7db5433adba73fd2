#include "programs/agent_channel.h"

#include <utility>

namespace toucanusher {

absl::StatusOr<std::unique_ptr<agent_channel>> agent_channel::open(process_context& context,
                                                                   udp_duties& duties,
                                                                   std::string layer, endpoint self,
                                                                   message_hook on_message) {
    std::unique_ptr<agent_channel> channel(
        new agent_channel(context, duties, std::move(layer), self, std::move(on_message)));
    agent_channel* const raw = channel.get();
    auto receiver =
        udp_port::open(duties, {.bind = self}, [raw](datagram d) { raw->on_datagram(d); });
    if (!receiver.ok())
        return receiver.status();
    channel->receiver_ = *std::move(receiver);
    if (auto const status = channel->open_sender(); !status.ok())
        return status;
    return channel;
}

agent_channel::agent_channel(process_context& context, udp_duties& duties, std::string layer,
                             endpoint self, message_hook on_message)
    : context_(context), duties_(duties), layer_(std::move(layer)), self_(self),
      on_message_(std::move(on_message)) {}

void agent_channel::send(time_point now, endpoint to, agent_message const& message) {
    paths_.on_sent(now, to);
    send_sealed(to, message);
}

void agent_channel::on_probe(time_point now, path_probe const& probe) {
    paths_.on_received(now, probe.from);
    if (!probe.answer)
        send_sealed(probe.from, flow_message{path_probe{probe.token, true, self_}});
}

void agent_channel::on_tick(time_point now) {
    path_steps const steps = paths_.on_tick(now);
    if (steps.replace_port) {
        context_.counters.count("path_replaced");
        context_.events->rate_limited_warning(
            event_line("path_silent").add("silent_peers", steps.probe.size()));
        if (auto const status = open_sender(); !status.ok())
            context_.events->rate_limited_warning(
                event_line("path_not_replaced").add("reason", status.ToString()));
    }
    for (endpoint const peer : steps.probe)
        send_sealed(peer, flow_message{path_probe{next_token_++, false, self_}});
}

void agent_channel::on_datagram(datagram const& received) {
    auto const opened = context_.sealer->open(received.bytes);
    if (auto const* refusal = std::get_if<seal_refusal>(&opened)) {
        context_.counters.count_refusal(layer_, to_string(*refusal));
        return;
    }
    auto const& plain = std::get<opened_message>(opened);
    auto message = decode_agent_message(plain.plaintext);
    if (!message.ok() || !plain.from_fleet()) {
        context_.counters.count_refusal(layer_, "malformed");
        return;
    }
    on_message_(*std::move(message));
}

void agent_channel::send_sealed(endpoint to, agent_message const& message) {
    if (!sender_->send({to, {}, context_.sealer->seal(encode_agent_message(message))}))
        context_.counters.count_refusal(layer_, "send_ring_full");
}

absl::Status agent_channel::open_sender() {
    // Drops datagrams received on this port: peers reply to the fixed address.
    auto sender = udp_port::open(duties_, {.bind = {self_.address, 0}}, [](datagram const&) {});
    if (!sender.ok())
        return sender.status();
    sender_ = *std::move(sender);
    return absl::OkStatus();
}

} // namespace toucanusher
