/// Gossip: tells the other gateways what this one does and knows, takes what
/// they tell, and fetches from them what the store keeps from this one.
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

  /// Answers other gateways' questions at the control address.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

  /// Tells the others that this gateway ends.
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
  void adoptListAge(base::Instant now, const wire::Gossip &message);
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> fetchLoop();
  void recordFetchFailure(const Peer &from, std::string_view what);
  asio::awaitable<void> fetchConfig(Peer from);
  asio::awaitable<void> fetchServers(Peer from);

  GatewayContext &Ctx;
  std::unique_ptr<DatagramSocket> Socket;
  asio::steady_timer SendTimer;
  /// News are to be told: at the start, that this gateway is there.
  bool IsSendDue = true;
  RunDeltaTracker RunDeltas;
  /// When all was told last, not only news.
  base::Instant FullStateSentAt{};
  /// Messages with all so far.
  std::uint64_t FullStateCount = 0;
  std::unique_ptr<http::Server> ControlServer;
};

} // namespace drumlanding::gateway
