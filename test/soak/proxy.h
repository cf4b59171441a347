/// Proxy: a TCP proxy on loopback that can delay, stall (in one or both
/// directions) or reset the connections that run through it.
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
  Delayed,         ///< Each chunk is forwarded `Delay` later.
  Stalled,         ///< Both directions are held back until the fault ends.
  StalledToServer, ///< Only data from clients is held back.
  StalledToClient, ///< Only data from servers is held back.
  Refused,         ///< New connections are reset.
};

class Proxy {
public:
  static constexpr base::milliseconds Delay{150};

  static base::Result<std::unique_ptr<Proxy>>
  start(asio::io_context &io, base::Endpoint listen, base::Endpoint target);

  void setFault(LinkFault fault) { Fault = fault; }
  LinkFault fault() const { return Fault; }
  /// Resets all open connections.
  void resetAll();
  /// Discards all further data on connections that are open now, without
  /// closing them; new connections work.
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
