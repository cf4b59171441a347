// Shows that each mechanism is needed: a scenario violates a guarantee with the
// mechanism switched off and holds with it on.
#include "drumlanding/base/invariant.h"
#include "simulated-cluster.h"

#include <cstdio>
#include <functional>
#include <gtest/gtest.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;
using base::Invariant;

std::uint64_t allInvariantFailures() {
  std::uint64_t sum = 0;
  for (int i = 0; i <= static_cast<int>(Invariant::Last); ++i)
    sum += base::invariantFailures(static_cast<Invariant>(i));
  return sum;
}

/// Runs a scenario with 40 seeds; returns how many runs violated a guarantee.
int countBroken(const SimulatedClusterOptions &options,
                const std::function<void(SimulatedCluster &)> &scenario,
                std::string *example = nullptr) {
  constexpr int Runs = 40;
  int broken = 0;
  for (int i = 1; i <= Runs; ++i) {
    SimulatedClusterOptions seeded = options;
    seeded.Seed = static_cast<std::uint64_t>(i);
    const std::uint64_t before = allInvariantFailures();
    SimulatedCluster world(seeded);
    scenario(world);
    world.settle();
    std::string violations = world.check();
    if (allInvariantFailures() != before)
      violations += "an invariant failed; ";
    if (!violations.empty() && example)
      *example = violations;
    broken += violations.empty() ? 0 : 1;
  }
  return broken;
}

/// Expects violations without the mechanism and none with it.
void expectMechanismNeeded(
    const char *name, const SimulatedClusterOptions &without,
    const std::function<void(SimulatedCluster &)> &scenario) {
  base::setInvariantsFatal(false);
  std::string example;
  const int broken = countBroken(without, scenario, &example);
  base::setInvariantsFatal(true);
  SimulatedClusterOptions with = without;
  with.AgentMechanisms = {};
  with.EntryMechanisms = {};
  const int brokenWith = countBroken(with, scenario);
  std::printf("%s: off %d of 40 broken (%.90s), on %d\n", name, broken,
              example.c_str(), brokenWith);
  EXPECT_GT(broken, 0) << name;
  EXPECT_EQ(brokenWith, 0) << name;
}

TEST(Mechanism, RememberRequests) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.RememberRequests = false;
  expectMechanismNeeded("remember requests", off, [](SimulatedCluster &w) {
    w.requestCall(0, true);
    w.run(4s);
  });
}

TEST(Mechanism, RecordTombstones) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.RecordTombstones = false;
  // The request is delayed, so the entry sends a Revoke and gets "not run"; the
  // request arrives after that.
  expectMechanismNeeded("leave tombstones", off, [](SimulatedCluster &w) {
    w.injectAt(Step::CallRequest, Fault::LateArrival);
    w.requestCall(0, false);
    w.run(20s);
  });
}

TEST(Mechanism, CheckIncarnation) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.CheckIncarnation = false;
  // A duplicate of a Start reaches the agent's next incarnation while the entry
  // that follows the stream is frozen.
  expectMechanismNeeded("check incarnation", off, [](SimulatedCluster &w) {
    w.setEndless(true);
    w.injectAt(Step::StartRequest, Fault::LateCopy);
    w.requestGeneration(0);
    w.run(600ms);
    w.inject(Fault::FreezeEntry, 0, 0);
    w.inject(Fault::RestartAgent, 0, 0);
    w.inject(Fault::RestartAgent, 0, 1);
    w.run(12s);
  });
}

TEST(Mechanism, CheckKeyTime) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.CheckKeyTime = false;
  // A restart erases the agent's record of the calls it ran; the caller repeats
  // the call.
  expectMechanismNeeded("check key time", off, [](SimulatedCluster &w) {
    w.requestCall(0, true);
    w.run(50ms);
    w.inject(Fault::RestartAgent, 0, 2);
    w.inject(Fault::RestartAgent, 0, 3);
    w.run(10s);
  });
}

TEST(Mechanism, CancelOrphans) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.CancelOrphans = false;
  off.EngineCapacity = 200'000;
  // The only entry that follows the stream is killed before the caller has the
  // stream's id.
  expectMechanismNeeded("cancel orphans", off, [](SimulatedCluster &w) {
    w.setEndless(true);
    w.injectAt(Step::EngineStart, Fault::KillEntry);
    w.requestGeneration(0);
    w.run(3s);
  });
}

TEST(Mechanism, RefuseWhenLeaving) {
  SimulatedClusterOptions off;
  off.AgentMechanisms.RefuseWhenLeaving = false;
  // The drain has not reached the entry yet, so it still sends work.
  expectMechanismNeeded("refuse when leaving", off, [](SimulatedCluster &w) {
    w.requestLeave(0);
    for (int i = 0; i < 10; ++i)
      w.requestGeneration(0);
    w.run(10s);
  });
}

TEST(Mechanism, ResolveLostReplies) {
  SimulatedClusterOptions off;
  off.EntryMechanisms.ResolveLostReplies = false;
  expectMechanismNeeded("resolve lost replies", off, [](SimulatedCluster &w) {
    w.injectAt(Step::CallReply, Fault::Lose);
    w.requestCall(0, false);
    w.run(20s);
  });
}

TEST(Mechanism, DropDuplicateTokens) {
  SimulatedClusterOptions off;
  off.EntryMechanisms.DropDuplicateTokens = false;
  expectMechanismNeeded("drop duplicate tokens", off, [](SimulatedCluster &w) {
    // Each new stream triggers a poll while replies to earlier polls with the
    // same tokens are in flight.
    for (int i = 0; i < 30; ++i) {
      w.requestGeneration(0);
      w.run(7ms);
    }
    w.run(10s);
  });
}

/// Returns the attempts per request when the engines refuse 30 % of starts.
double attemptsPerRequest(bool limitsRetries) {
  SimulatedClusterOptions options;
  options.RefusalRate = 0.3;
  // Enough capacity that no request is still waiting when the test ends.
  options.EngineCapacity = 200'000;
  options.EntryMechanisms.LimitRetries = limitsRetries;
  SimulatedCluster world(options);
  constexpr int Requests = 1'500;
  const std::size_t before = world.attempts();
  for (int i = 0; i < Requests; ++i) {
    world.requestGeneration(static_cast<std::size_t>(i % 2));
    world.run(20ms);
  }
  world.settle();
  EXPECT_EQ(world.check(), "");
  return static_cast<double>(world.attempts() - before) / Requests;
}

TEST(Mechanism, LimitRetries) {
  const double off = attemptsPerRequest(false);
  const double on = attemptsPerRequest(true);
  std::printf("limit retries: attempts per request %.3f off, %.3f on\n", off,
              on);
  EXPECT_GT(off, 1.15);
  EXPECT_LT(on, 1.15);
}

/// Returns the seconds until all processes have a bundle when the key-value
/// service fails right after one entry has read it; 30 when some never get it.
double propagationSeconds(bool propagates) {
  SimulatedClusterOptions options;
  options.EntryMechanisms.PropagateDocuments = propagates;
  SimulatedCluster world(options);
  if (!propagates)
    return 30;
  world.rollOut(2);
  while (world.bundleOfEntry(0) != 2)
    world.run(10ms);
  world.setStoreDown(true);
  double seconds = 0;
  const auto isEverywhere = [&] {
    bool all = world.bundleOfEntry(1) == 2;
    for (std::size_t i = 0; i < world.agents(); ++i)
      all = all && world.bundleOfAgent(i) == 2;
    return all;
  };
  while (!isEverywhere() && seconds < 30) {
    world.run(10ms);
    seconds += 0.01;
  }
  return seconds;
}

TEST(Mechanism, PropagateDocuments) {
  const double on = propagationSeconds(true);
  std::printf("propagate documents: in all processes after %.2f s\n", on);
  EXPECT_LT(on, 3);
  // Without propagation only the entry that watches the service gets a bundle.
  SimulatedClusterOptions off;
  off.EntryMechanisms.PropagateDocuments = false;
  SimulatedCluster world(off);
  world.run(30s);
  EXPECT_EQ(world.bundleOfEntry(0), 1U);
  EXPECT_EQ(world.bundleOfEntry(1), 0U);
  EXPECT_EQ(world.bundleOfAgent(0), 0U);
}

} // namespace
} // namespace drumlanding::test
