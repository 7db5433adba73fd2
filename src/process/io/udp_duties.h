// The receive duty and the send duty that UDP ports share.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

#include "toucanusher/process/duty.h"
#include "toucanusher/process/fair_ring.h"

namespace toucanusher {

class udp_duties {
  public:
    // `queued_per_port` limits the datagrams that each port may queue for sending.
    explicit udp_duties(std::size_t queued_per_port);
    ~udp_duties();
    udp_duties(udp_duties const&) = delete;
    udp_duties& operator=(udp_duties const&) = delete;

    [[nodiscard]] asio::io_context& receive_context() { return io_; }
    [[nodiscard]] std::uint32_t allocate_lane() { return next_lane_++; }
    // Runs `job` on the send duty. Returns false if the lane is full.
    [[nodiscard]] bool post_send(std::uint32_t lane, std::function<void()> job) {
        return outgoing_.try_push(lane, std::move(job));
    }
    // Runs `job` on the receive duty and waits until it is done.
    void run_on_receive_duty(std::function<void()> job);
    // Sends the queued datagrams, then ends both duties. Ports may be destroyed afterwards.
    void close();

  private:
    void send_loop();

    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    fair_ring<std::function<void()>> outgoing_;
    std::atomic<std::uint32_t> next_lane_{1};
    std::unique_ptr<duty> receiver_;
    std::unique_ptr<duty> sender_;
};

} // namespace toucanusher
