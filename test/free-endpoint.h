/// Endpoints for servers in tests. The address differs between processes, so
/// that tests that run at the same time do not take each other's ports.
#pragma once

#include "drumlanding/base/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <unistd.h>

namespace drumlanding::test {

/// Returns this process's own address on loopback, 127.64.0.0/10.
inline std::string ownAddress() {
  constexpr unsigned FirstOctet = 64;
  constexpr unsigned OctetMask = 0xff;
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(FirstOctet + ((id >> 16) % FirstOctet)) + "." +
         std::to_string((id >> 8) & OctetMask) + "." +
         std::to_string(id & OctetMask);
}

/// Returns an endpoint that this process has not used yet. Its port is below
/// those that the system gives to outgoing connections.
inline base::Endpoint freeEndpoint() {
  constexpr unsigned short FirstPort = 20'000;
  static unsigned short nextPort = FirstPort;
  boost::asio::io_context io;
  const auto address = boost::asio::ip::make_address(ownAddress());
  for (;;) {
    const unsigned short port = nextPort++;
    boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
    boost::system::error_code ec;
    acceptor.bind({address, port}, ec);
    if (!ec)
      return {ownAddress(), port};
  }
}

} // namespace drumlanding::test
