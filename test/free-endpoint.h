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

inline base::Endpoint freeEndpoint() {
  boost::asio::io_context io;
  const auto address = boost::asio::ip::make_address(ownAddress());
  const boost::asio::ip::tcp::acceptor acceptor(io, {address, 0});
  return {ownAddress(), acceptor.local_endpoint().port()};
}

} // namespace drumlanding::test
