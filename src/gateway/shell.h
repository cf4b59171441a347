/// Shell: the sockets, timers and life of one gateway.
#pragma once

#include "forwarder.h"
#include "gossip.h"
#include "mover.h"
#include "world.h"

namespace drumlanding::gateway {

class Shell {
public:
  static base::Result<std::unique_ptr<Shell>>
  start(asio::io_context &io, const base::Clock &clock,
        GatewaySettings settings, ProtocolCodec dialect, StoreReader source);

  /// Takes the settings that can change while the process runs: limits and
  /// times. New addresses need a restart.
  void reload(const base::Result<GatewaySettings> &settings);

  /// Takes no new callers, lets requests end, and stops the context.
  void leave();

  /// What this gateway knows and does, for tests.
  const World &world() const { return W; }

private:
  Shell(asio::io_context &io, const base::Clock &clock,
        GatewaySettings settings, ProtocolCodec dialect, StoreReader source);
  base::Result<base::Done> listen();
  base::Result<base::Done> listenForMetrics();
  asio::awaitable<void> answerReady(http::Request request, http::Exchange &x);
  asio::awaitable<void> windDown();

  World W;
  Mover Moves;
  Forwarder Requests;
  std::unique_ptr<Gossip> Talk;
  std::unique_ptr<http::Server> Callers;
  std::unique_ptr<http::Server> Ready;
  std::unique_ptr<http::Server> MetricsPages;
};

} // namespace drumlanding::gateway
