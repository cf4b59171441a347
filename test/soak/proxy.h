/// Proxy: a TCP link on loopback that can be delayed, reset, cut one way or
/// silenced while connections run through it.
///
///   auto proxy = Proxy::start(io, listen, target);
///   value(proxy)->set(LinkFault::Silent);
///   value(proxy)->resetAll();
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace drumlanding::soak {

namespace asio = boost::asio;

enum class LinkFault {
  None,
  Delayed,         ///< Each piece takes longer by `Delay`.
  Stalled,         ///< Bytes are held up both ways, and come after it.
  StalledToServer, ///< Only what clients send is held up.
  StalledToClient, ///< Only what servers send is held up.
  Refused,         ///< New connections are reset.
};

class Proxy {
public:
  static constexpr base::milliseconds Delay{150};

  static base::Result<std::unique_ptr<Proxy>>
  start(asio::io_context &io, base::Endpoint listen, base::Endpoint target);

  void setFault(LinkFault fault) { Fault = fault; }
  /// Resets all connections that are open now.
  void resetAll();
  /// Connections that are open now never carry anything again; new ones do.
  void blackholeOpenConnections();

private:
  using Socket = asio::ip::tcp::socket;
  struct Link {
    explicit Link(asio::io_context &io) : Client(io), Server(io) {}
    Socket Client;
    Socket Server;
    bool IsBlackholed = false;
  };
  using LinkPointer = std::shared_ptr<Link>;

  Proxy(asio::io_context &io, base::Endpoint target)
      : Io(io), Target(std::move(target)), Acceptor(io) {}
  asio::awaitable<void> accept();
  asio::awaitable<void> connect(LinkPointer link);
  asio::awaitable<void> forward(LinkPointer link, bool isToServer);
  bool isStalled(bool isToServer) const;

  asio::io_context &Io;
  base::Endpoint Target;
  asio::ip::tcp::acceptor Acceptor;
  std::list<std::weak_ptr<Link>> Links;
  LinkFault Fault = LinkFault::None;
};

} // namespace drumlanding::soak
