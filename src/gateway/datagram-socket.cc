#include "drumlanding/gateway/datagram-socket.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace drumlanding::gateway {
namespace {

using asio::ip::udp;
using boost::system::error_code;

/// Receive buffer size; the network delivers a datagram in one piece or not at
/// all.
constexpr std::size_t MaxDatagramBytes = 60'000;

udp::endpoint toUdp(const base::Endpoint &e) {
  error_code ec;
  return {asio::ip::make_address(e.Address, ec), e.Port};
}

} // namespace

base::Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::open(asio::io_context &io, const base::Endpoint &address) {
  std::unique_ptr<DatagramSocket> socket(new DatagramSocket(io));
  const udp::endpoint endpoint = toUdp(address);
  error_code ec;
  socket->Socket.open(endpoint.protocol(), ec);
  if (!ec)
    socket->Socket.bind(endpoint, ec);
  if (ec)
    return base::Error{base::ErrorCode::Unavailable, base::toString(address),
                       ec.message()};
  return socket;
}

void DatagramSocket::send(const base::Endpoint &to, std::string_view bytes) {
  reply(toUdp(to), bytes);
}

void DatagramSocket::reply(const Sender &to, std::string_view bytes) {
  error_code ec;
  // A datagram lost on a full link is not repeated here: its content is sent
  // again.
  Socket.send_to(asio::buffer(bytes), to, 0, ec);
}

asio::awaitable<void> DatagramSocket::receive(Handler handle) {
  std::vector<char> buf(MaxDatagramBytes);
  for (;;) {
    Sender sender;
    error_code ec;
    const std::size_t n = co_await Socket.async_receive_from(
        asio::buffer(buf), sender,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (!ec)
      handle({buf.data(), n}, sender);
  }
}

} // namespace drumlanding::gateway
