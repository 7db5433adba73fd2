// One TCP connection that carries messages as frames, with a bounded send queue.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <asio.hpp>

#include "src/process/frame_codec.h"

namespace toucanusher {

constexpr std::size_t max_link_message_bytes = 64U << 20U; // must hold a whole snapshot

// Frames that wait to be sent. Not thread-safe.
class link_send_queue {
  public:
    // Returns false if the message is empty or over the maximum, or if the queue is full.
    [[nodiscard]] bool push(std::string const& message);
    [[nodiscard]] bool empty() const { return frames_.empty(); }
    // Calls the system once. Returns false if the connection is lost.
    [[nodiscard]] bool write_some(int socket);
    // Sends the whole first frame again, on a new connection.
    void restart() { sent_bytes_ = 0; }

  private:
    void remove_sent(std::size_t count);

    std::deque<std::string> frames_;
    std::size_t queued_bytes_ = 0; // sum over frames_
    std::size_t sent_bytes_ = 0;   // of the first frame; less than its size
};

// Has three phases: before start(), when messages are only queued; open; closed.
class link_connection : public std::enable_shared_from_this<link_connection> {
  public:
    struct hooks {
        std::function<void(std::string)> on_message;
        std::function<void()> on_lost; // not called after close()
    };

    // `read_buffer` is shared by the connections of one duty and must outlive them.
    link_connection(asio::ip::tcp::socket socket, std::vector<char>& read_buffer, hooks callbacks,
                    link_send_queue unsent = {});

    // The following functions are called on the duty that runs the context.
    [[nodiscard]] asio::ip::tcp::socket& socket() { return socket_; }
    // The socket must be connected.
    void start();

    // Called on the same duty, or after it has ended.
    void close();
    // Closes the connection and returns the messages that were not sent completely.
    [[nodiscard]] link_send_queue take_unsent();

    // Can be called on any duty, and does not block. Returns false if the message is dropped.
    bool send(std::string const& message);

  private:
    void wait_readable();
    void read_some();
    void wait_writable();
    void write_some();
    void lose();

    asio::ip::tcp::socket socket_; // opened and closed on the duty with mutex_ held
    std::vector<char>& read_buffer_;
    hooks hooks_;
    frame_decoder decoder_;
    std::mutex mutex_;
    link_send_queue queue_;    // guarded by mutex_
    bool open_ = false;        // guarded by mutex_
    bool closed_ = false;      // guarded by mutex_
    bool write_waits_ = false; // for a writable socket; guarded by mutex_
};

} // namespace toucanusher
