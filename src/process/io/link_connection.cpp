#include "src/process/io/link_connection.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>
#include <utility>

namespace toucanusher {

namespace {

constexpr std::size_t max_queued_messages = 256;
constexpr std::size_t max_queued_bytes = max_link_message_bytes + frame_header_bytes;
constexpr std::size_t max_frames_per_write = 16;

bool is_temporary(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

bool link_send_queue::push(std::string const& message) {
    std::size_t const size = frame_header_bytes + message.size();
    if (message.empty() || message.size() > max_link_message_bytes ||
        frames_.size() >= max_queued_messages || queued_bytes_ + size > max_queued_bytes)
        return false;
    frames_.push_back(encode_frame(message));
    queued_bytes_ += size;
    return true;
}

bool link_send_queue::write_some(int socket) {
    std::array<iovec, max_frames_per_write> pieces{};
    std::size_t count = 0;
    for (auto frame = frames_.begin(); frame != frames_.end() && count < pieces.size(); ++frame) {
        std::size_t const skipped = count == 0 ? sent_bytes_ : 0;
        pieces.at(count++) = {frame->data() + skipped, frame->size() - skipped};
    }
    msghdr header{};
    header.msg_iov = pieces.data();
    header.msg_iovlen = count;
    ssize_t const sent = ::sendmsg(socket, &header, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0)
        return is_temporary(errno);
    remove_sent(static_cast<std::size_t>(sent));
    return true;
}

void link_send_queue::remove_sent(std::size_t count) {
    sent_bytes_ += count;
    while (!frames_.empty() && sent_bytes_ >= frames_.front().size()) {
        sent_bytes_ -= frames_.front().size();
        queued_bytes_ -= frames_.front().size();
        frames_.pop_front();
    }
}

link_connection::link_connection(asio::ip::tcp::socket socket, std::vector<char>& read_buffer,
                                 hooks callbacks, link_send_queue unsent)
    : socket_(std::move(socket)), read_buffer_(read_buffer), hooks_(std::move(callbacks)),
      decoder_(max_link_message_bytes), queue_(std::move(unsent)) {}

void link_connection::start() {
    asio::error_code ignored; // the delay of small messages is the only effect
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    {
        std::lock_guard const lock(mutex_);
        open_ = true;
        if (!queue_.empty())
            write_some();
    }
    wait_readable();
}

void link_connection::close() {
    std::lock_guard const lock(mutex_);
    open_ = false;
    closed_ = true;
    queue_ = {};
    asio::error_code ignored; // the descriptor is released in any case
    socket_.close(ignored);
}

link_send_queue link_connection::take_unsent() {
    link_send_queue unsent;
    {
        std::lock_guard const lock(mutex_);
        unsent = std::exchange(queue_, {});
    }
    unsent.restart();
    close();
    return unsent;
}

bool link_connection::send(std::string const& message) {
    std::lock_guard const lock(mutex_);
    if (closed_ || !queue_.push(message))
        return false;
    if (open_ && !write_waits_)
        write_some();
    return true;
}

void link_connection::wait_readable() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](asio::error_code error) {
                           if (!error)
                               self->read_some();
                       });
}

void link_connection::read_some() {
    if (!socket_.is_open())
        return;
    ssize_t const count =
        ::recv(socket_.native_handle(), read_buffer_.data(), read_buffer_.size(), MSG_DONTWAIT);
    bool const lost = count == 0 || (count < 0 && !is_temporary(errno));
    if (lost ||
        (count > 0 && !decoder_.decode({read_buffer_.data(), static_cast<std::size_t>(count)},
                                       hooks_.on_message))) {
        lose();
        return;
    }
    wait_readable();
}

void link_connection::wait_writable() {
    if (!socket_.is_open())
        return;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](asio::error_code error) {
                           if (error)
                               return;
                           std::lock_guard const lock(self->mutex_);
                           self->write_waits_ = false;
                           if (self->open_)
                               self->write_some();
                       });
}

// Called with mutex_ held, on any duty.
void link_connection::write_some() {
    bool const usable = queue_.write_some(socket_.native_handle());
    if (usable && queue_.empty())
        return;
    write_waits_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this(), usable] {
        if (usable)
            self->wait_writable();
        else
            self->lose();
    });
}

void link_connection::lose() {
    {
        std::lock_guard const lock(mutex_);
        if (closed_)
            return;
    }
    hooks_.on_lost();
}

} // namespace toucanusher
