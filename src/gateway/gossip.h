/// Gossip: exchanges runs, server changes and versions with the other gateways
/// in datagrams, and fetches a newer config or server list from them over HTTP.
#pragma once

#include "gateway-context.h"

#include "drumlanding/gateway/datagram-socket.h"
#include "drumlanding/gateway/run-delta.h"
#include "drumlanding/http/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <span>

namespace drumlanding::gateway {

class Gossip {
public:
  static base::Result<std::unique_ptr<Gossip>> start(GatewayContext &ctx);

  /// Serves the config, the server list and the metrics at the control address.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

  /// Notifies the other gateways that this gateway stops.
  void announceStop();

private:
  explicit Gossip(GatewayContext &ctx);
  asio::awaitable<void> sendLoop();
  void scheduleSend();
  void sendUpdate();
  wire::Gossip makeStatusMessage();
  void addListDelta(wire::Gossip &message);
  void addFullState(wire::Gossip &message, std::span<const TrackedRun> runs);
  void broadcast(const wire::Gossip &message);
  void handleDatagram(std::string_view datagram,
                      const DatagramSocket::Sender &from);
  void requestSidecarNotice(const Server &server);
  void handleSidecarNotice(const wire::Gossip &message,
                           const DatagramSocket::Sender &from);
  void applyRuns(base::Instant now, const wire::Gossip &message);
  void applyServers(base::Instant now, const wire::Gossip &message);
  void applyLimits(base::Instant now, const wire::Gossip &message);
  void applySuspects(base::Instant now, const wire::Gossip &message);
  void adoptListAge(base::Instant now, const wire::Gossip &message);
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> fetchLoop();
  void recordFetchFailure(const Peer &from, std::string_view resource,
                          std::string_view why);
  asio::awaitable<void> fetchConfig(Peer from);
  asio::awaitable<void> fetchServers(Peer from);

  GatewayContext &Ctx;
  std::unique_ptr<DatagramSocket> Socket;
  asio::steady_timer SendTimer;
  /// An update is due. Initially true, so that the gateway announces itself
  /// when it starts.
  bool IsSendDue = true;
  RunDeltaTracker RunDeltas;
  /// When the last message with the full state was sent.
  base::Instant FullStateSentAt{};
  /// Number of messages with the full state so far.
  std::uint64_t FullStateCount = 0;
  std::unique_ptr<http::Server> ControlServer;
};

} // namespace drumlanding::gateway
