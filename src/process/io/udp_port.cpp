#include "src/process/io/udp_port.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstring>
#include <utility>

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

constexpr std::size_t max_datagram = 65536;
constexpr int max_datagrams_per_wakeup = 64; // then the duty serves the other ports

sockaddr_in to_sockaddr(endpoint const& value) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.address);
    address.sin_port = htons(value.port);
    return address;
}

endpoint from_sockaddr(sockaddr_in const& address) {
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

// Returns the destination address of a received packet, or 0 if the socket does not report it.
std::uint32_t destination_of(msghdr& header) {
    for (cmsghdr* part = CMSG_FIRSTHDR(&header); part != nullptr;
         part = CMSG_NXTHDR(&header, part)) {
        if (part->cmsg_level != IPPROTO_IP || part->cmsg_type != IP_PKTINFO)
            continue;
        in_pktinfo info{};
        std::memcpy(&info, CMSG_DATA(part), sizeof info);
        return ntohl(info.ipi_addr.s_addr);
    }
    return 0;
}

} // namespace

struct udp_port::state : std::enable_shared_from_this<udp_port::state> {
    state(asio::io_context& io, udp_port_options options, receive_hook hook)
        : options(options), on_receive(std::move(hook)), socket(io) {}

    absl::StatusOr<endpoint> bind();
    void receive_async();
    bool receive_one();
    void send(datagram const& message);

    udp_port_options options;
    receive_hook on_receive;
    endpoint local;
    asio::ip::udp::socket socket;
    std::mutex mutex; // prevents closing the socket while the send duty uses it
};

absl::StatusOr<std::unique_ptr<udp_port>>
udp_port::open(udp_duties& duties, udp_port_options options, receive_hook on_receive) {
    auto shared = std::make_shared<state>(duties.receive_context(), options, std::move(on_receive));
    auto const local = shared->bind();
    if (!local.ok())
        return local.status();
    asio::post(duties.receive_context(), [shared] { shared->receive_async(); });
    return std::unique_ptr<udp_port>(new udp_port(duties, std::move(shared), *local));
}

udp_port::~udp_port() {
    // The hook is not called after this.
    duties_.run_on_receive_duty([this] {
        std::lock_guard const lock(state_->mutex);
        asio::error_code ignored;
        state_->socket.close(ignored);
    });
}

bool udp_port::send(datagram message) {
    return duties_.post_send(
        lane_, [shared = state_, message = std::move(message)] { shared->send(message); });
}

absl::StatusOr<endpoint> udp_port::state::bind() {
    asio::error_code error;
    socket.open(asio::ip::udp::v4(), error);
    if (error)
        return absl::InternalError(absl::StrCat("cannot open a socket: ", error.message()));
    asio::error_code ignored; // smaller buffers only cause more packet loss
    socket.set_option(asio::socket_base::receive_buffer_size(options.socket_buffer_bytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(options.socket_buffer_bytes), ignored);
    int const on = 1;
    if (options.any_local_address)
        ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_PKTINFO, &on, sizeof on);
    endpoint where = options.bind;
    if (options.any_local_address)
        where.address = INADDR_ANY;
    socket.bind({asio::ip::address_v4(where.address), where.port}, error);
    if (error)
        return absl::InternalError(
            absl::StrCat("cannot bind ", to_string(where), ": ", error.message()));
    socket.non_blocking(true, ignored);
    auto const bound = socket.local_endpoint(ignored);
    local = {bound.address().to_v4().to_uint(), bound.port()};
    return local;
}

void udp_port::state::receive_async() {
    if (!socket.is_open())
        return;
    auto const wait = asio::ip::udp::socket::wait_read;
    socket.async_wait(wait, [self = shared_from_this()](asio::error_code error) {
        if (error)
            return;
        for (int i = 0; i < max_datagrams_per_wakeup && self->receive_one(); ++i) {
        }
        self->receive_async();
    });
}

// Returns false when the socket has no more datagrams.
bool udp_port::state::receive_one() {
    thread_local std::array<char, max_datagram> buffer;
    std::array<char, CMSG_SPACE(sizeof(in_pktinfo))> control{};
    sockaddr_in from{};
    iovec piece{buffer.data(), buffer.size()};
    msghdr header{};
    header.msg_name = &from;
    header.msg_namelen = sizeof from;
    header.msg_iov = &piece;
    header.msg_iovlen = 1;
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    ssize_t const count = ::recvmsg(socket.native_handle(), &header, 0);
    if (count < 0)
        return errno == EINTR || errno == ECONNREFUSED;
    endpoint to = local;
    if (options.any_local_address)
        to.address = destination_of(header);
    on_receive({from_sockaddr(from), to, {buffer.data(), static_cast<std::size_t>(count)}});
    return true;
}

void udp_port::state::send(datagram const& message) {
    std::lock_guard const lock(mutex);
    if (!socket.is_open())
        return;
    sockaddr_in to = to_sockaddr(message.peer);
    std::string bytes = message.bytes;
    iovec piece{bytes.data(), bytes.size()};
    msghdr header{};
    header.msg_name = &to;
    header.msg_namelen = sizeof to;
    header.msg_iov = &piece;
    header.msg_iovlen = 1;
    std::array<char, CMSG_SPACE(sizeof(in_pktinfo))> control{};
    if (options.any_local_address && message.local.address != 0) {
        header.msg_control = control.data();
        header.msg_controllen = control.size();
        cmsghdr* const part = CMSG_FIRSTHDR(&header);
        part->cmsg_level = IPPROTO_IP;
        part->cmsg_type = IP_PKTINFO;
        part->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
        in_pktinfo info{};
        info.ipi_spec_dst.s_addr = htonl(message.local.address);
        std::memcpy(CMSG_DATA(part), &info, sizeof info);
    }
    pollfd writable{socket.native_handle(), POLLOUT, 0};
    while (::sendmsg(socket.native_handle(), &header, 0) < 0 && (errno == EAGAIN || errno == EINTR))
        ::poll(&writable, 1, -1);
}

} // namespace toucanusher
