/// Sidecar: monitors the engine on its own VM and notifies the gateways when
/// the engine is going to leave, immediately and also while the platform's
/// store is unreachable.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/gateway/datagram-socket.h"
#include "drumlanding/gateway/event-log.h"
#include "drumlanding/gateway/peers.h"
#include "drumlanding/gateway/protocol-codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace drumlanding::sidecar {

namespace asio = boost::asio;

struct SidecarSettings {
  std::string Name;
  /// Address at which the gateways' messages arrive.
  base::Endpoint Listen;
  base::Endpoint Engine;
  /// The service and failure domain of the engine.
  std::string Service;
  std::string Zone;
  std::vector<base::Endpoint> Seeds;
};

class Sidecar {
public:
  static base::Result<std::unique_ptr<Sidecar>>
  start(asio::io_context &io, const base::Clock &clock,
        SidecarSettings settings, gateway::ProtocolCodec codec);

private:
  Sidecar(asio::io_context &io, const base::Clock &clock,
          SidecarSettings settings, gateway::ProtocolCodec codec);
  asio::awaitable<void> watchEngine();
  asio::awaitable<void> pollUntilDisconnected();
  asio::awaitable<base::Result<http::Response>>
  sendRequest(http::Connection &connection, http::Request request);
  void receive(std::string_view bytes,
               const gateway::DatagramSocket::Sender &from);
  std::string encodeNotice() const;
  asio::awaitable<void> maintainContact();
  void forgetEngine();
  void identifyEngine(const std::string &id);
  void rejectServer(const base::Error &why);
  void applyReport(const gateway::ServerReport &report,
                   base::Instant requestedAt);
  bool isEngineCurrent() const;
  void sendNotice(const std::vector<base::Endpoint> &gateways);
  std::vector<base::Endpoint> liveGateways() const;

  asio::io_context &Io;
  const base::Clock &Clock;
  SidecarSettings Settings;
  gateway::ProtocolCodec Codec;
  gateway::EventLog Log;
  gateway::Peers Gateways;
  std::unique_ptr<gateway::DatagramSocket> Socket;
  gateway::ServerReport LastReport;
  /// The id of the server at the engine's address; empty while it does not
  /// respond or is unhealthy.
  std::string EngineId;
  /// That server has sent a report. An ended engine's address may belong to
  /// another service, whose servers have ids too, but no reports.
  bool IsEngine = false;
  /// When its last report was requested.
  base::Instant ReportRequestedAt{};
  /// The last server whose missing report was logged.
  std::string RejectedId;
  /// When the engine on this connection was identified, or the process started.
  base::Instant IdentifiedAt{};
  base::Instant NotifiedAt{};
  /// Index of the gateway to contact next.
  std::size_t NextContact = 0;
};

} // namespace drumlanding::sidecar
