/// Socket options that all HTTP connections share.
///
///   setSocketOptions(socket);
#pragma once

#include "drumlanding/base/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace drumlanding::http {

/// A connection whose other side acknowledges nothing for so long is broken
/// off. Longer than a lost segment's second retransmission (0.2 s + 0.4 s) and
/// short enough that a silent machine is noticed within a request's patience.
inline constexpr base::milliseconds TcpUserTimeout{3'000};

/// Sends small writes at once, and ends connections to silent machines.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace drumlanding::http
