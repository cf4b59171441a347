/// Socket options and the TCP state of the HTTP server and of Connection.
///
///   setSocketOptions(socket);
#pragma once

#include "drumlanding/base/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace drumlanding::http {

/// A connection closes when its peer acknowledges no data for this time. Longer
/// than a lost segment's second retransmission (0.2 s + 0.4 s), and short
/// enough to detect an unreachable host within the deadline of a request.
inline constexpr base::milliseconds TcpUserTimeout{3'000};

/// Disables Nagle's algorithm and closes connections to unreachable hosts.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

/// Returns whether a connection is closed in both directions: after a reset or
/// a timeout, but not after the peer's regular end alone.
bool isFullyClosed(boost::asio::ip::tcp::socket &socket);

} // namespace drumlanding::http
