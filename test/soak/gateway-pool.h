/// Gateways: the gateway processes as callers see them, each behind a proxy,
/// and a balancer's look at who is ready.
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
  /// Where callers connect, and where the gateway listens behind it.
  base::Endpoint Public;
  base::Endpoint Ready;
  std::string SettingsFile;
  std::unique_ptr<Proxy> CallerLink;
  std::unique_ptr<Proxy> StoreLink;
  bool IsReady = false;
  int FailedProbes = 0;
  /// The newest key that this life of the gateway has refused.
  int RefusedKey = 0;
  int RefusedByInstance = 0;
  base::Instant RefusedAt{};
  /// The newest key that it has accepted in that life, and when.
  int AcceptedByInstance = 0;
  int AcceptedKey = 0;
  base::Instant AcceptedAt{};
};

class GatewayPool {
public:
  std::vector<std::unique_ptr<Gateway>> Members;

  /// Asks each for its readiness, as a balancer does, until the end.
  asio::awaitable<void> probeReadiness();
  /// Returns a gateway that is ready, or any when none is.
  Gateway &chooseReady(base::Random &random) const;
};

} // namespace drumlanding::soak
