/// Placement: which backend server takes a request.
///
///   Placement p(directory, ledger, "hall-a");
///   Choice c = p.forGeneration(now, service, demand, tried);
///   Choice c = p.forMove(now, service, demand, source, tried);
///   const Server *s = p.forCall(now, "shop", tried, random);
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/run-table.h"

#include <span>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

/// What a generation needs of an engine.
struct Demand {
  std::uint32_t PromptTokens = 0;
  std::uint32_t ExpectedTokens = 0;
};

/// Why an engine was chosen, for the log.
struct Choice {
  const Server *Chosen = nullptr;
  EngineLoad Load;
  double CostMs = 0;
  int Candidates = 0;
};

class Placement {
public:
  Placement(const Directory &directory, const RunTable &ledger,
            std::string zone)
      : Servers(directory), Runs(ledger), Zone(std::move(zone)) {}

  /// Chooses an engine for a new generation by the delay that it would meet and
  /// cause there, and by the memory that it would find.
  Choice chooseForGeneration(base::Instant now, const Service &service,
                             const Demand &demand,
                             std::span<const std::string> tried) const;

  /// Chooses the engine that a running generation moves to from `source`: also
  /// by the way that its copy has, and by the copies that are on theirs.
  Choice chooseForMigration(base::Instant now, const Service &service,
                            const Demand &demand, const Server &source,
                            std::span<const std::string> tried) const;

  /// Chooses a plain server: the one with the fewest open requests of this
  /// gateway for its slots, and of equals one of the same zone.
  const Server *chooseForRequest(base::Instant now, std::string_view service,
                                 std::span<const std::string> tried,
                                 base::Random &random) const;

private:
  /// Returns the engine with the least cost of its own and of its way.
  template <typename WayCost>
  Choice choose(base::Instant now, const Service &service, const Demand &demand,
                std::span<const std::string> tried, WayCost wayCost) const;

  const Directory &Servers;
  const RunTable &Runs;
  std::string Zone;
};

} // namespace drumlanding::gateway
