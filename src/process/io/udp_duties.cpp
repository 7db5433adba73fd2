#include "src/process/io/udp_duties.h"

#include <future>
#include <utility>

namespace toucanusher {

udp_duties::udp_duties(std::size_t queued_per_port)
    : work_guard_(asio::make_work_guard(io_)), outgoing_(queued_per_port) {
    receiver_ = std::make_unique<duty>("udp-rx", [this] { io_.run(); });
    sender_ = std::make_unique<duty>("udp-tx", [this] { send_loop(); });
}

udp_duties::~udp_duties() {
    close();
}

void udp_duties::run_on_receive_duty(std::function<void()> job) {
    if (io_.stopped()) {
        job();
        return;
    }
    std::promise<void> done;
    asio::post(io_, [&] {
        job();
        done.set_value();
    });
    done.get_future().wait();
}

void udp_duties::close() {
    outgoing_.close();
    if (sender_)
        sender_->join();
    io_.stop();
    if (receiver_)
        receiver_->join();
}

void udp_duties::send_loop() {
    while (auto job = outgoing_.pop())
        (*job)();
}

} // namespace toucanusher
