// Compares ways to keep servers' limits over many gateways: how much of a limit
// is used, the most requests in four seconds, and what callers get.
//
//   limit-bench --limit 3 --demand 20 --seconds 30
#include "limit-simulation.h"

#include "drumlanding/base/settings.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_double(limit, 3, "[limit] requests a second that the server takes");
DEFINE_double(demand, 20, "[limit] requests a second of each gateway");
DEFINE_double(busy, 1, "[limit] fraction of gateways that have requests");
DEFINE_int32(seconds, 30, "[limit] simulated time");
DEFINE_uint64(seed, 1, "[limit] random seed");

namespace {

using namespace drumlanding;
using tools::CallerOptions;
using tools::CallerResult;
using tools::LimitFault;
using tools::LimitOptions;
using tools::LimitPolicy;
using tools::LimitResult;

constexpr std::string_view Flags[] = {"limit", "demand", "busy", "seconds",
                                      "seed"};

void printLimit(const char *name, LimitPolicy policy, LimitFault fault) {
  for (const int gateways : {3, 30, 300}) {
    LimitOptions options;
    options.Gateways = gateways;
    options.Policy = policy;
    options.Fault = fault;
    options.Limit = FLAGS_limit;
    options.Demand = FLAGS_demand;
    options.BusyFraction = FLAGS_busy;
    options.SimulatedTime = base::seconds(FLAGS_seconds);
    options.Seed = FLAGS_seed;
    const LimitResult r = tools::simulateLimit(options);
    std::printf("%-28s %4d gateways  used %5.2f  most in 4 s %4d\n", name,
                gateways, r.UsedFraction, r.MostInWindow);
  }
}

void printCallers(const char *name, LimitPolicy policy, double demand) {
  CallerOptions options;
  options.Policy = policy;
  options.Demand = demand;
  options.Seed = FLAGS_seed;
  const CallerResult r = tools::simulateCallers(options);
  std::printf("%-28s %4.0f a second   in time %.3f  late %.3f  refused %.3f\n",
              name, demand, r.InTime, r.Late, r.Refused);
}

} // namespace

int main(int argc, char **argv) {
  const auto arguments = base::readSettings(
      argc, argv, "limit-bench: compares ways to keep servers' limits", Flags);
  if (!ok(arguments))
    base::exitOnBadSettings(error(arguments));
  std::printf("allowed in 4 s: %d\n", static_cast<int>(6 * FLAGS_limit) + 5);
  printLimit("reports", LimitPolicy::Reports, LimitFault::None);
  printLimit("equal shares", LimitPolicy::EqualShares, LimitFault::None);
  printLimit("reports, nobody hears", LimitPolicy::Reports,
             LimitFault::NobodyHears);
  printLimit("reports, halves apart", LimitPolicy::Reports,
             LimitFault::HalvesApart);
  printLimit("reports, one is not heard", LimitPolicy::Reports,
             LimitFault::OneIsNotHeard);
  printLimit("reports, a tenth freezes", LimitPolicy::Reports,
             LimitFault::Freeze);
  printLimit("reports, restarts", LimitPolicy::Reports, LimitFault::Restarts);
  printLimit("reports, demand returns", LimitPolicy::Reports,
             LimitFault::NoDemand);
  std::printf("three engines, one of them four times slower\n");
  for (const double demand : {4.0, 6.0, 8.0, 12.0}) {
    printCallers("limits ignored", LimitPolicy::Ignored, demand);
    printCallers("equal shares", LimitPolicy::EqualShares, demand);
    printCallers("reports", LimitPolicy::Reports, demand);
  }
  return 0;
}
