// An address for a server under test.
#pragma once

#include <cstdint>

#include <asio.hpp>

#include "toucanusher/process/endpoint.h"

namespace toucanusher::tests {

// Returns a loopback address on which a TCP server could listen just now. A port that is only free
// for UDP may still belong to a TCP connection that was closed a minute ago.
inline endpoint free_address() {
    constexpr std::uint32_t loopback = 0x7f000001;
    asio::io_context io;
    asio::ip::tcp::acceptor const acceptor(io, {asio::ip::address_v4(loopback), 0});
    return {loopback, acceptor.local_endpoint().port()};
}

} // namespace toucanusher::tests
