/// Placement: chooses the backend server for a request.
///
///   Placement p(directory, runs, "hall-a");
///   Choice c = p.chooseForGeneration(now, service, demand, tried);
///   Choice c = p.chooseForMigration(now, service, demand, source, tried);
///   const Server *s = p.chooseForRequest(now, "shop", tried, random);
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/run-table.h"

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
  Placement(const Directory &directory, const RunTable &runs, std::string zone)
      : Servers(directory), Runs(runs), Zone(std::move(zone)) {}

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

private:
  /// Returns the engine with the lowest sum of engine and network cost.
  template <typename NetworkCost>
  Choice choose(base::Instant now, const Service &service, const Demand &demand,
                std::span<const std::string> tried,
                NetworkCost networkCost) const;

  const Directory &Servers;
  const RunTable &Runs;
  std::string Zone;
};

} // namespace drumlanding::gateway
