/// Sidecar: watches the engine on its own VM and tells the gateways when it is
/// going to leave, at once and also when the platform's store is away.
#pragma once

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
  /// Where the gateways' answers arrive.
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
  start(asio::io_context &io, SidecarSettings settings,
        gateway::ProtocolCodec dialect);

private:
  Sidecar(asio::io_context &io, SidecarSettings settings,
          gateway::ProtocolCodec dialect);
  asio::awaitable<void> watchEngine();
  asio::awaitable<void> pollUntilDisconnected();
  asio::awaitable<base::Result<http::Response>>
  sendRequest(http::Connection &connection, http::Request request);
  void receive(std::string_view bytes,
               const gateway::DatagramSocket::Sender &from);
  std::string notice() const;
  asio::awaitable<void> maintainContact();
  void identifyEngine(const std::string &id);
  void applyReport(const gateway::ServerReport &report);
  void sendNotice(const std::vector<base::Endpoint> &to);
  std::vector<base::Endpoint> liveGateways() const;

  asio::io_context &Io;
  SidecarSettings Settings;
  gateway::ProtocolCodec Codec;
  gateway::EventLog Log;
  base::SystemClock Clock;
  gateway::Peers Gateways;
  std::unique_ptr<gateway::DatagramSocket> Socket;
  gateway::ServerReport LastReport;
  /// The engine's id; empty while it does not answer or is not well.
  std::string EngineId;
  /// When the engine on this connection was first met, or the process began.
  base::Instant IdentifiedAt{};
  base::Instant NotifiedAt{};
  /// The gateway that is asked next for the list of gateways.
  std::size_t NextContact = 0;
};

} // namespace drumlanding::sidecar
