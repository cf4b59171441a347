/// Placement: chooses the backend server for a request.
///
///   Placement p(directory, runs, "hall-a");
///   Choice c = p.chooseForGeneration(now, service, demand, tried);
///   Choice c = p.chooseForMigration(now, service, demand, source, tried);
///   const Server *s = p.chooseForRequest(now, "shop", tried, random);
///
/// Servers that have reached the limits that they name are not chosen.
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/request-limits.h"
#include "drumlanding/gateway/run-table.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

/// Tokens that a generation needs on an engine.
struct Demand {
  std::uint32_t PromptTokens = 0;
  std::uint32_t ExpectedTokens = 0;
};

/// A chosen engine and the values behind the choice, for the log.
struct Choice {
  const Server *Chosen = nullptr;
  EngineLoad Load;
  double CostMs = 0;
  int Candidates = 0;
};

class Placement {
public:
  Placement(const Directory &directory, const RunTable &runs,
            RequestLimits &limits, std::string zone)
      : Servers(directory), Runs(runs), Limits(limits), Zone(std::move(zone)) {}

  /// Chooses an engine for a new generation, by the delay that the generation
  /// would encounter and cause there and by the available KV cache.
  Choice chooseForGeneration(base::Instant now, const Service &service,
                             const Demand &demand,
                             std::span<const std::string> tried) const;

  /// Chooses the destination for migrating a generation from `source`. Also
  /// considers the network path of the copy and other copies in transit.
  Choice chooseForMigration(base::Instant now, const Service &service,
                            const Demand &demand, const Server &source,
                            std::span<const std::string> tried) const;

  /// Chooses a plain server: the one with the fewest open requests of this
  /// gateway and recent failures. Among equals, one in the same zone.
  const Server *chooseForRequest(base::Instant now, std::string_view service,
                                 std::span<const std::string> tried,
                                 base::Random &random) const;

  /// Returns the time until a server of the service that has reached its limit
  /// takes another request; none if no usable server has reached one.
  std::optional<base::Duration>
  timeUntilRoom(base::Instant now, std::string_view service,
                std::span<const std::string> tried) const;

private:
  /// Returns the usable servers that are not in `tried` and have not reached
  /// their limits.
  std::vector<const Server *>
  candidates(base::Instant now, std::string_view service,
             std::span<const std::string> tried) const;
  /// Returns the engine with the lowest sum of engine and network cost.
  template <typename NetworkCost>
  Choice choose(base::Instant now, const Service &service, const Demand &demand,
                std::span<const std::string> tried,
                NetworkCost networkCost) const;

  const Directory &Servers;
  const RunTable &Runs;
  RequestLimits &Limits;
  std::string Zone;
};

} // namespace drumlanding::gateway
