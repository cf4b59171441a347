// Fault matrix: injects every fault at every step of a request, and pairs of
// faults at critical steps. Prints the number of cells covered and the names of
// the others.
#include "simulated-cluster.h"

#include <cstdio>
#include <gtest/gtest.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;

constexpr int Steps = static_cast<int>(Step::Last) + 1;
constexpr int Faults = static_cast<int>(Fault::Last) + 1;

/// Sends requests of every kind, so that every step occurs.
void scenario(SimulatedCluster &cluster) {
  cluster.requestGeneration(0);
  cluster.requestGeneration(1);
  cluster.requestCall(0, true);
  cluster.requestCall(1, false);
  cluster.run(150ms);
  cluster.disconnectCaller();
  cluster.requestGeneration(1);
  cluster.run(100ms);
  cluster.rollOut(2);
  cluster.cancelGeneration(1);
  cluster.requestGeneration(0);
  cluster.requestCall(1, true);
  cluster.run(3s);
  cluster.requestGeneration(0);
  cluster.requestCall(0, false);
  cluster.run(10s);
  cluster.settle();
}

/// The result of one cell of the matrix.
struct CellResult {
  bool WasInjected = false;
  std::string Violations;
  std::size_t CompleteAnswers = 0;
};

/// The second fault of a pair, injected `After` the first.
struct SecondFault {
  Fault Kind;
  base::Duration After;
};

CellResult runCell(Step step, Fault fault, int nth, std::uint64_t seed,
                   std::optional<SecondFault> second = std::nullopt) {
  SimulatedClusterOptions options;
  options.Seed = seed;
  SimulatedCluster cluster(options);
  // An entry sends Revoke only after a reply was lost.
  if (step == Step::RevokeRequest || step == Step::RevokeReply)
    cluster.inject(Fault::CutToEntry, 0, 0);
  // A restarted entry that cannot read the store fetches documents from peers.
  if (step == Step::FetchRequest || step == Step::FetchReply) {
    cluster.inject(Fault::KvOutage, 0, 0);
    cluster.inject(Fault::KillEntry, 0, 0);
  }
  cluster.injectAt(step, fault, nth);
  if (second)
    cluster.scheduleSecondFault(second->Kind, second->After);
  scenario(cluster);
  CellResult result{cluster.wasInjected(), cluster.check(),
                    cluster.completeAnswers()};
  for (std::size_t i = 0; i < cluster.agents(); ++i)
    if (cluster.bundleOfAgent(i) != 2)
      result.Violations += "an agent does not have bundle version 2; ";
  for (std::size_t i = 0; i < 2; ++i)
    if (cluster.bundleOfEntry(i) != 2)
      result.Violations += "an entry does not have bundle version 2; ";
  return result;
}

TEST(FaultMatrix, WithoutFaultsAllRequestsComplete) {
  SimulatedCluster cluster({});
  scenario(cluster);
  EXPECT_EQ(cluster.check(), "");
  // Every request but the one generation that its caller cancels.
  EXPECT_EQ(cluster.completeAnswers() + 1, cluster.requests());
}

TEST(FaultMatrix, EveryFaultAtEveryStep) {
  constexpr int Occurrences[] = {1, 2, 5};
  constexpr int MaxSeeds = 8;
  int cells = 0;
  int runs = 0;
  std::size_t fewestComplete = 1'000;
  std::string uncovered;
  for (int s = 0; s < Steps; ++s)
    for (int f = 0; f < Faults; ++f) {
      const auto step = static_cast<Step>(s);
      const auto fault = static_cast<Fault>(f);
      bool wasInjected = false;
      for (int seed = 0; seed < MaxSeeds && !wasInjected; ++seed)
        for (int nth : Occurrences) {
          const CellResult r =
              runCell(step, fault, nth,
                      static_cast<std::uint64_t>(s * 1000 + f * 20 + seed));
          runs += r.WasInjected ? 1 : 0;
          wasInjected = wasInjected || r.WasInjected;
          fewestComplete = std::min(fewestComplete, r.CompleteAnswers);
          EXPECT_EQ(r.Violations, "")
              << toString(step) << " x " << toString(fault) << " at occurrence "
              << nth;
        }
      cells += wasInjected ? 1 : 0;
      if (!wasInjected)
        uncovered += std::string(toString(step)) + " x " +
                     std::string(toString(fault)) + ": step did not occur\n";
    }
  std::printf("fault matrix: %d of %d cells covered by %d runs; fewest "
              "complete answers %zu\n%s",
              cells, Steps * Faults, runs, fewestComplete, uncovered.c_str());
  EXPECT_EQ(uncovered, "");
  // Guards against a system that keeps every guarantee by refusing everything.
  EXPECT_GE(fewestComplete, 5U);
}

TEST(FaultMatrix, FaultPairsAtCriticalSteps) {
  constexpr Step CriticalSteps[] = {Step::StartRequest,  Step::StartReply,
                                    Step::CallRequest,   Step::CallReply,
                                    Step::PollReply,     Step::EngineStart,
                                    Step::ServiceAnswer, Step::PushRequest};
  int injected = 0;
  int runs = 0;
  for (Step step : CriticalSteps)
    for (int first = 0; first < Faults; ++first)
      for (int second = 0; second < Faults; ++second) {
        const auto seed = static_cast<std::uint64_t>(first * Faults + second);
        const base::Duration after =
            base::milliseconds(base::mix64(seed, 7) % 3'000);
        const CellResult r =
            runCell(step, static_cast<Fault>(first), 1, seed,
                    SecondFault{static_cast<Fault>(second), after});
        ++runs;
        injected += r.WasInjected ? 1 : 0;
        EXPECT_EQ(r.Violations, "")
            << toString(step) << " x " << toString(static_cast<Fault>(first))
            << " then " << toString(static_cast<Fault>(second));
      }
  std::printf("fault matrix: %d of %d pairs injected\n", injected, runs);
}

} // namespace
} // namespace drumlanding::test
