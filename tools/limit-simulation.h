/// Runs the production RequestLimits of many gateways on a virtual clock, with
/// reports between them that are late or lost, and measures how well they keep
/// the limits of servers together.
///
///   LimitResult r = simulateLimit({.Gateways = 30});
///   CallerResult c = simulateCallers({.Gateways = 5});
#pragma once

#include "drumlanding/base/clock.h"

#include <cstdint>

namespace drumlanding::tools {

enum class LimitPolicy {
  Ignored,     ///< Limits have no effect.
  EqualShares, ///< Each gateway uses its share of the limit and no reports.
  Reports,     ///< The product: gateways report their requests to each other.
};

/// What happens in the second third of the simulated time.
enum class LimitFault {
  None,
  NobodyHears,   ///< No report arrives anywhere.
  HalvesApart,   ///< Two halves of the gateways do not hear each other.
  OneIsNotHeard, ///< The reports of one gateway do not arrive.
  Freeze,        ///< A tenth of the gateways, at least one, freeze.
  Restarts,      ///< Gateways restart in turn, two a second.
  NoDemand,      ///< There are no requests.
};

struct LimitOptions {
  int Gateways = 3;
  LimitPolicy Policy = LimitPolicy::Reports;
  LimitFault Fault = LimitFault::None;
  /// Requests a second that the server takes.
  double Limit = 3;
  /// Requests a second of each gateway.
  double Demand = 20;
  /// Fraction of the gateways that have any requests.
  double BusyFraction = 1;
  /// Fraction of the reports that are lost, and the longest delay of others.
  double LossRatio = 0.01;
  base::milliseconds MaxDelay{10};
  base::seconds SimulatedTime{30};
  std::uint64_t Seed = 1;
};

struct LimitResult {
  /// Requests sent, relative to the limit.
  double UsedFraction = 0;
  /// Most requests in any four seconds, after the first three.
  int MostInWindow = 0;
};

/// Every request goes to the limited server, if there is room.
LimitResult simulateLimit(const LimitOptions &options);

struct CallerOptions {
  int Gateways = 5;
  LimitPolicy Policy = LimitPolicy::Reports;
  int Engines = 3;
  /// Engines that are slow from the start, and by which factor.
  int SlowEngines = 1;
  double SlowFactor = 4;
  /// Requests a second of all gateways together.
  double Demand = 6;
  base::milliseconds FirstTokenTarget{1'500};
  base::seconds SimulatedTime{120};
  std::uint64_t Seed = 1;
};

/// Requests by how they ended, as fractions.
struct CallerResult {
  double InTime = 0;
  double Late = 0;
  double Refused = 0;
};

/// Generations on engines that name a limit while too many requests wait.
CallerResult simulateCallers(const CallerOptions &options);

} // namespace drumlanding::tools
