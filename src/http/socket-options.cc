#include "socket-options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace drumlanding::http {
namespace {

/// TCP keep-alive: seconds without traffic before the first probe, seconds
/// between probes, and unacknowledged probes after which the connection closes.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;

void setTcpOption(int socket, int option, int value) {
  ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket) {
  using boost::asio::ip::tcp;
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  socket.set_option(tcp::socket::keep_alive(true), ec);
  const int fd = socket.native_handle();
  setTcpOption(fd, TCP_USER_TIMEOUT, static_cast<int>(TcpUserTimeout.count()));
  setTcpOption(fd, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setTcpOption(fd, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setTcpOption(fd, TCP_KEEPCNT, KeepAliveProbes);
}

bool isFullyClosed(boost::asio::ip::tcp::socket &socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result =
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return result != 0 || info.tcpi_state == TCP_CLOSE;
}

} // namespace drumlanding::http
