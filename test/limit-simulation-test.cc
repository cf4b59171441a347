// Property tests of the limits that servers name, on simulated gateways with
// random delays, losses, freezes, restarts and partitions.
#include "limit-simulation.h"

#include <gtest/gtest.h>

namespace drumlanding::tools {
namespace {

using base::seconds;

constexpr double Limit = 3;
/// The users' rule for four seconds.
constexpr int AllowedInWindow = static_cast<int>(1.5 * 4 * Limit) + 5;
/// Time until gateways notice that they do not hear each other.
constexpr double SilenceSeconds = 1;
constexpr std::uint64_t Seeds = 5;

class LimitFaultTest : public testing::TestWithParam<LimitFault> {};

/// Guards against gateways that together send a server more than it takes.
TEST_P(LimitFaultTest, TheLimitHoldsOverAllGateways) {
  for (const int gateways : {1, 3, 12})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      LimitOptions options;
      options.Gateways = gateways;
      options.Fault = GetParam();
      options.Limit = Limit;
      options.SimulatedTime = seconds(18);
      options.Seed = seed;
      const LimitResult r = simulateLimit(options);
      // Until they notice, each of them uses the whole limit.
      const double unnoticed = options.Fault == LimitFault::NobodyHears
                                   ? gateways * Limit * SilenceSeconds
                                   : 0;
      EXPECT_LE(r.MostInWindow, AllowedInWindow + unnoticed)
          << gateways << " gateways, seed " << seed;
      EXPECT_GE(r.UsedFraction, 0.5) << gateways << " gateways, seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, LimitFaultTest,
    testing::Values(LimitFault::None, LimitFault::NobodyHears,
                    LimitFault::HalvesApart, LimitFault::OneIsNotHeard,
                    LimitFault::Freeze, LimitFault::Restarts,
                    LimitFault::NoDemand));

/// Guards against gateways that forget what they have sent too much: with a low
/// limit and slow reports, several send before they hear of each other.
TEST(LimitSimulation, ALowLimitHoldsWithSlowReports) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    LimitOptions options;
    options.Gateways = 27;
    options.Limit = 0.5;
    options.Demand = 10;
    options.MaxDelay = base::milliseconds(300);
    options.Seed = seed;
    const LimitResult r = simulateLimit(options);
    EXPECT_LE(r.MostInWindow, static_cast<int>(1.5 * 4 * 0.5) + 5) << seed;
    EXPECT_LE(r.UsedFraction, 1.5) << seed;
  }
}

/// Guards against a limit that is not used: its requests would be refused
/// although the server takes them.
TEST(LimitSimulation, TheLimitIsUsed) {
  for (const double busyFraction : {1.0, 0.2}) {
    LimitOptions options;
    options.Gateways = 10;
    options.BusyFraction = busyFraction;
    EXPECT_GE(simulateLimit(options).UsedFraction, 0.9) << busyFraction;
  }
}

/// Guards against an overload that limits do not relieve: without them, nearly
/// all requests wait behind others on the engine that is slow.
TEST(LimitSimulation, LimitsRelieveAnOverloadedEngine) {
  CallerOptions options;
  options.Demand = 12;
  const CallerResult reports = simulateCallers(options);
  options.Policy = LimitPolicy::Ignored;
  const CallerResult ignored = simulateCallers(options);
  EXPECT_GT(reports.InTime, 2 * ignored.InTime);
  EXPECT_GT(reports.Refused, 0);
}

} // namespace
} // namespace drumlanding::tools
