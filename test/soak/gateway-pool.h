/// GatewayPool: the gateway processes, each behind a proxy, and the readiness
/// checks of a load balancer in front of them.
#pragma once

#include "journal.h"
#include "process-supervisor.h"
#include "proxy.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace drumlanding::soak {

struct Gateway {
  Program *Process = nullptr;
  /// Where callers connect: the proxy in front of the gateway.
  base::Endpoint Public;
  /// Where the gateway itself answers readiness checks.
  base::Endpoint Ready;
  std::string SettingsFile;
  std::unique_ptr<Proxy> CallerLink;
  std::unique_ptr<Proxy> StoreLink;
  bool IsReady = false;
  int FailedProbes = 0;
  /// The newest key that the gateway refused after having accepted the same or
  /// a newer one, and the instance that refused it.
  int RefusedKey = 0;
  int RefusedByInstance = 0;
  base::Instant RefusedAt{};
  /// The newest key that the gateway accepted, the instance that accepted it,
  /// and when.
  int AcceptedByInstance = 0;
  int AcceptedKey = 0;
  base::Instant AcceptedAt{};
};

class GatewayPool {
public:
  std::vector<std::unique_ptr<Gateway>> Members;

  /// Polls each gateway's readiness, as a load balancer does; never returns.
  asio::awaitable<void> probeReadiness();
  /// Returns a random ready gateway, or any gateway if none is ready.
  Gateway &chooseReady(base::Random &random) const;
};

} // namespace drumlanding::soak
