#include "proxy.h"

#include "drumlanding/daemon/sleep.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace drumlanding::soak {
namespace {

using asio::ip::tcp;
using boost::system::error_code;
using daemon::sleepFor;

constexpr std::size_t BufferBytes = 16 << 10;
/// How often a stalled connection checks whether the fault has ended.
constexpr base::milliseconds StallPollInterval{5};

tcp::endpoint toTcp(const base::Endpoint &e) {
  return {asio::ip::make_address(e.Address), e.Port};
}

/// Closes the socket with a TCP reset.
void reset(tcp::socket &socket) {
  error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

} // namespace

base::Result<std::unique_ptr<Proxy>> Proxy::start(asio::io_context &io,
                                                  base::Endpoint listen,
                                                  base::Endpoint target) {
  std::unique_ptr<Proxy> proxy(new Proxy(io, std::move(target)));
  const tcp::endpoint endpoint = toTcp(listen);
  error_code ec;
  proxy->Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    proxy->Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    proxy->Acceptor.bind(endpoint, ec);
  if (!ec)
    proxy->Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return base::Error{base::ErrorCode::Unavailable, base::toString(listen),
                       ec.message()};
  asio::co_spawn(io, proxy->accept(), asio::detached);
  return proxy;
}

void Proxy::resetAll() {
  for (const std::weak_ptr<Link> &weak : Links)
    if (const LinkPointer link = weak.lock()) {
      reset(link->Client);
      reset(link->Server);
    }
}

void Proxy::blackholeOpenConnections() {
  for (const std::weak_ptr<Link> &weak : Links)
    if (const LinkPointer link = weak.lock())
      link->IsBlackholed = true;
}

bool Proxy::isStalled(bool isToServer) const {
  return Fault == LinkFault::Stalled ||
         Fault == (isToServer ? LinkFault::StalledToServer
                              : LinkFault::StalledToClient);
}

asio::awaitable<void> Proxy::accept() {
  for (;;) {
    auto link = std::make_shared<Link>(Io);
    error_code ec;
    co_await Acceptor.async_accept(
        link->Client, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec)
      continue;
    if (Fault == LinkFault::Refused) {
      reset(link->Client);
      continue;
    }
    std::erase_if(Links, [](const auto &weak) { return weak.expired(); });
    Links.push_back(link);
    asio::co_spawn(Io, connect(link), asio::detached);
  }
}

asio::awaitable<void> Proxy::connect(LinkPointer link) {
  while (isStalled(true))
    co_await sleepFor(StallPollInterval);
  error_code ec;
  co_await link->Server.async_connect(
      toTcp(Target), asio::redirect_error(asio::use_awaitable, ec));
  if (ec || !link->Client.is_open()) {
    reset(link->Client);
    co_return;
  }
  link->Client.set_option(tcp::no_delay(true), ec);
  link->Server.set_option(tcp::no_delay(true), ec);
  asio::co_spawn(Io, forward(link, true), asio::detached);
  asio::co_spawn(Io, forward(link, false), asio::detached);
}

asio::awaitable<void> Proxy::forward(LinkPointer link, bool isToServer) {
  Socket &from = isToServer ? link->Client : link->Server;
  Socket &to = isToServer ? link->Server : link->Client;
  std::array<char, BufferBytes> buf;
  for (;;) {
    error_code ec;
    const std::size_t n = co_await from.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    while (isStalled(isToServer))
      co_await sleepFor(StallPollInterval);
    if (link->IsBlackholed && !ec)
      continue;
    if (Fault == LinkFault::Delayed)
      co_await sleepFor(Delay);
    if (ec == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, ec);
      co_return;
    }
    if (!ec)
      co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      reset(link->Client);
      reset(link->Server);
      co_return;
    }
  }
}

} // namespace drumlanding::soak
