/// FaultInjector: injects faults into the deployment, drawn from a seed. Phases
/// of overlapping faults and phases of planned work alternate with quiet
/// phases.
#pragma once

#include "config-writer.h"
#include "fake-servers.h"
#include "gateway-pool.h"
#include "journal.h"
#include "process-supervisor.h"

#include "drumlanding/base/hash.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace drumlanding::soak {

/// The processes and servers into which faults are injected.
struct Deployment {
  ProcessSupervisor Programs;
  GatewayPool Gateways;
  std::vector<Program *> Sidecars;
  std::vector<std::unique_ptr<FakeServer>> Servers;
  /// The fake of the platform's store.
  base::Endpoint Store;
};

class FaultInjector {
public:
  FaultInjector(asio::io_context &io, Journal &journal, Deployment &deployment,
                ConfigWriter &configs, std::uint64_t seed);

  /// Sends a request that ends servers, several times.
  std::function<asio::awaitable<void>()> RepeatDeadlyRequest;

  /// Injects faults until `until`, and ends with a quiet phase.
  asio::awaitable<void> run(base::Instant until);

private:
  using Step = asio::awaitable<void>;
  struct FaultKind {
    std::string Name;
    bool IsPlanned = false;
    /// Relative probability of being drawn.
    int Weight = 1;
    std::function<Step(FaultInjector &)> Inject;
  };

  Step runPhase(base::milliseconds length, bool isPlanned);
  Step runQuietPhase(base::milliseconds length);
  Step injectFault(const FaultKind &kind);

  Step killGateway();
  Step pauseGateway();
  Step restartGateway();
  Step reloadGateway();
  Step killAllGateways();
  Step injectSidecarFault();
  Step injectStoreFault(std::string fault);
  Step blackholeStoreConnections();
  Step injectLinkFault(Proxy &link);
  Step resetConnections(Proxy &link);
  Step crashServer();
  Step degradeServer();
  Step nameLimit();
  Step drainServer();
  Step changeConfig();
  Step changeConfigRepeatedly();

  Gateway &randomGateway();
  FakeServer &randomServer();
  base::milliseconds randomDuration(int fromMs, int toMs);
  Step waitUntilReady(Gateway &gateway);

  asio::io_context &Io;
  Journal &Log;
  Deployment &System;
  ConfigWriter &Configs;
  base::Random Random;
  const FaultKind &randomFaultKind();

  std::vector<FaultKind> FaultKinds;
  int ActiveFaults = 0;
  bool IsConfigChanging = false;
};

} // namespace drumlanding::soak
