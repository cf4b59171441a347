/// Datagram socket: UDP transport for the messages between gateways and
/// sidecars. Lost datagrams are harmless, because the state is sent again
/// regularly.
///
///   auto socket = DatagramSocket::open(io, endpoint);
///   value(socket)->send(peer, bytes);
///   co_await value(socket)->receive(
///       [](std::string_view bytes, DatagramSocket::Sender from) {});
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace drumlanding::gateway {

namespace asio = boost::asio;

class DatagramSocket {
public:
  using Sender = asio::ip::udp::endpoint;
  using Handler = std::function<void(std::string_view bytes, const Sender &)>;

  static base::Result<std::unique_ptr<DatagramSocket>>
  open(asio::io_context &io, const base::Endpoint &address);

  void send(const base::Endpoint &to, std::string_view bytes);
  void reply(const Sender &to, std::string_view bytes);

  /// Calls `handle` for each datagram until the process ends.
  asio::awaitable<void> receive(Handler handle);

private:
  explicit DatagramSocket(asio::io_context &io) : Socket(io) {}

  asio::ip::udp::socket Socket;
};

} // namespace drumlanding::gateway
