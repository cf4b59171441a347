/// Gossip: tells the other gateways what this one does and knows, takes what
/// they tell, and fetches from them what the store keeps from this one.
#pragma once

#include "world.h"

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
  static base::Result<std::unique_ptr<Gossip>> start(World &world);

  /// Answers other gateways' questions at the control address.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

  /// Tells the others that this gateway ends.
  void announceStop();

private:
  explicit Gossip(World &world);
  asio::awaitable<void> tell();
  void tellSoon();
  void tellAll();
  wire::Gossip greeting();
  void addListNews(wire::Gossip &message);
  void addAll(wire::Gossip &message, std::span<const TrackedRun> runs);
  void send(const wire::Gossip &message);
  void take(std::string_view datagram, const DatagramSocket::Sender &from);
  void askBeside(const Server &server);
  void takeNotice(const wire::Gossip &message,
                  const DatagramSocket::Sender &from);
  void takeRuns(base::Instant now, const wire::Gossip &message);
  void takeServers(base::Instant now, const wire::Gossip &message);
  void adoptListAge(base::Instant now, const wire::Gossip &message);
  asio::awaitable<void> tick();
  asio::awaitable<void> catchUp();
  void fetchFailed(const Peer &from, std::string_view what);
  asio::awaitable<void> fetchConfig(Peer from);
  asio::awaitable<void> fetchServers(Peer from);

  World &W;
  std::unique_ptr<DatagramSocket> Socket;
  asio::steady_timer NextTell;
  /// News are to be told: at the start, that this gateway is there.
  bool IsTellDue = true;
  RunDeltaTracker Told;
  /// When all was told last, not only news.
  base::Instant ToldAllAt{};
  /// Messages with all so far.
  std::uint64_t Messages = 0;
  std::unique_ptr<http::Server> Control;
};

} // namespace drumlanding::gateway
