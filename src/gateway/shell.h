/// Shell: the I/O layer of one gateway: its sockets, timers and shutdown.
#pragma once

#include "forwarder.h"
#include "gateway-context.h"
#include "gossip.h"
#include "migrator.h"

namespace drumlanding::gateway {

class Shell {
public:
  static base::Result<std::unique_ptr<Shell>>
  start(asio::io_context &io, const base::Clock &clock,
        GatewaySettings settings, ProtocolCodec codec, StoreReader store);

  /// Applies the settings that can change while the process runs: limits and
  /// times. New addresses need a restart.
  void reload(const base::Result<GatewaySettings> &settings);

  /// Closes callers' connections after their responses, stops accepting new
  /// ones once the load balancer has removed this gateway, and stops the
  /// io_context when no request is open or the stop deadline has passed.
  void shutDown();

  /// Returns the gateway's state, for tests.
  const GatewayContext &context() const { return Ctx; }

private:
  Shell(asio::io_context &io, const base::Clock &clock,
        GatewaySettings settings, ProtocolCodec codec, StoreReader store);
  base::Result<base::Done> listen();
  base::Result<base::Done> listenForMetrics();
  asio::awaitable<void> serveReadiness(http::Request request,
                                       http::Exchange &x);
  asio::awaitable<void> drainAndStop();

  GatewayContext Ctx;
  Migrator Migrations;
  Forwarder RequestForwarder;
  std::unique_ptr<Gossip> PeerGossip;
  std::unique_ptr<http::Server> CallerServer;
  std::unique_ptr<http::Server> ReadyServer;
  std::unique_ptr<http::Server> MetricsServer;
};

} // namespace drumlanding::gateway
