/// Move plan: in which order the generations of an engine that leaves are
/// moved, and when a copy must start.
///
///   if (isTurn(ledger.runsOn(server), own)) ...
///   base::Duration t = copyTime(engine, tokens, isOtherZone);
///
/// Copies share the engine's link and queue on it. All gateways work out the
/// same order from what they tell each other, and move one generation after
/// another: each is then stopped only for its own last, short copy.
#pragma once

#include "drumlanding/gateway/config.h"
#include "drumlanding/gateway/run-table.h"

#include <span>

namespace drumlanding::gateway {

/// True when a generation may go on for longer than an engine's shortest
/// notice, so that it is worth a move at once.
bool mayOutlastNotice(const TrackedRun &run);

/// True when no generation that comes before `own` is among those that still
/// run there. Those that have begun and may go on for long come first, of these
/// the ones that are worth most for the time that their copy takes.
bool isNextToMigrate(std::span<const TrackedRun> there, const TrackedRun &own);

/// Returns how long a copy takes when nothing else is on the links.
base::Duration copyTime(const EngineTraits &engine, std::uint64_t tokens,
                        bool isOtherZone);

} // namespace drumlanding::gateway
