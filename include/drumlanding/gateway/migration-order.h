/// Migration order: the order in which generations leave a draining engine, and
/// how long each copy takes.
///
///   if (isNextToMigrate(runs.runsOn(server), own)) ...
///   base::Duration t = copyTime(engine, tokens, isOtherZone);
///
/// Copies share the engine's link and queue on it. All gateways compute the
/// same order from the state they exchange and migrate one generation at a
/// time, so that each generation is paused only for its own short final copy.
#pragma once

#include "drumlanding/gateway/config.h"
#include "drumlanding/gateway/run-table.h"

#include <span>

namespace drumlanding::gateway {

/// Returns true if a generation may run longer than an engine's shortest
/// shutdown notice, so that migrating it immediately pays off.
bool mayOutlastNotice(const TrackedRun &run);

/// Returns true if no generation on the engine precedes `own`. Generations that
/// have produced output and may run long come first, ordered by value per copy
/// time.
bool isNextToMigrate(std::span<const TrackedRun> onEngine,
                     const TrackedRun &own);

/// Returns the duration of a copy over otherwise idle links.
base::Duration copyTime(const EngineTraits &engine, std::uint64_t tokens,
                        bool isOtherZone);

} // namespace drumlanding::gateway
