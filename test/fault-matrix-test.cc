// The fault matrix: every fault at every step of a request, and pairs of
// faults at the dangerous steps. Prints how many cells ran and names those
// that are not covered.
#include "world.h"

#include <cstdio>
#include <gtest/gtest.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;

constexpr int Steps = static_cast<int>(Step::Last) + 1;
constexpr int Faults = static_cast<int>(Fault::Last) + 1;

/// Requests of every kind, so that every step is reached.
void scenario(World &world) {
  world.askGeneration(0);
  world.askGeneration(1);
  world.askCall(0, true);
  world.askCall(1, false);
  world.run(150ms);
  world.dropCaller();
  world.askGeneration(1);
  world.run(100ms);
  world.rollOut(2);
  world.cancelOne(1);
  world.askGeneration(0);
  world.askCall(1, true);
  world.run(3s);
  world.askGeneration(0);
  world.askCall(0, false);
  world.run(10s);
  world.settle();
}

/// A cell of the matrix and how it went.
struct CellResult {
  bool Struck = false;
  std::string Wrong;
  std::size_t Whole = 0;
};

/// The second fault of a pair; none for a single one.
struct SecondFault {
  Fault Kind;
  base::Duration After;
};

CellResult runCell(Step step, Fault fault, int nth, std::uint64_t seed,
                   std::optional<SecondFault> second = std::nullopt) {
  WorldOptions options;
  options.Seed = seed;
  World world(options);
  // A lost reply makes the entry ask: only then are these steps reached.
  if (step == Step::RevokeRequest || step == Step::RevokeReply)
    world.inject(Fault::CutToEntry, 0, 0);
  // A fresh entry fetches what its peers have.
  if (step == Step::FetchRequest || step == Step::FetchReply) {
    world.inject(Fault::KvOutage, 0, 0);
    world.inject(Fault::KillEntry, 0, 0);
  }
  world.injectAt(step, fault, nth);
  if (second)
    world.followWith(second->Kind, second->After);
  scenario(world);
  CellResult result{world.wasInjected(), world.check(), world.wholeAnswers()};
  for (std::size_t i = 0; i < world.agents(); ++i)
    if (world.bundleOfAgent(i) != 2)
      result.Wrong += "an agent has not got the bundle; ";
  for (std::size_t i = 0; i < 2; ++i)
    if (world.bundleOfEntry(i) != 2)
      result.Wrong += "an entry has not got the bundle; ";
  return result;
}

TEST(FaultMatrix, WithoutFaultsAllIsWhole) {
  World world({});
  scenario(world);
  EXPECT_EQ(world.check(), "");
  // All but the one generation that its caller cancels.
  EXPECT_EQ(world.wholeAnswers() + 1, world.requests());
}

TEST(FaultMatrix, EveryFaultAtEveryStep) {
  constexpr int Times[] = {1, 2, 5};
  constexpr int MostSeeds = 8;
  int cells = 0;
  int runs = 0;
  std::size_t fewestWhole = 1'000;
  std::string uncovered;
  for (int s = 0; s < Steps; ++s)
    for (int f = 0; f < Faults; ++f) {
      const auto step = static_cast<Step>(s);
      const auto fault = static_cast<Fault>(f);
      bool everStruck = false;
      for (int seed = 0; seed < MostSeeds && !everStruck; ++seed)
        for (int nth : Times) {
          const CellResult r =
              runCell(step, fault, nth,
                      static_cast<std::uint64_t>(s * 1000 + f * 20 + seed));
          runs += r.Struck ? 1 : 0;
          everStruck = everStruck || r.Struck;
          fewestWhole = std::min(fewestWhole, r.Whole);
          EXPECT_EQ(r.Wrong, "") << toString(step) << " x " << toString(fault)
                                 << " at time " << nth;
        }
      cells += everStruck ? 1 : 0;
      if (!everStruck)
        uncovered += std::string(toString(step)) + " x " +
                     std::string(toString(fault)) + ": step not reached\n";
    }
  std::printf("fault matrix: %d of %d cells covered by %d runs; fewest whole "
              "answers %zu\n%s",
              cells, Steps * Faults, runs, fewestWhole, uncovered.c_str());
  EXPECT_EQ(uncovered, "");
  // Refusing everything would keep the promises too.
  EXPECT_GE(fewestWhole, 5U);
}

TEST(FaultMatrix, PairsAtDangerousSteps) {
  constexpr Step Dangerous[] = {Step::StartRequest,  Step::StartReply,
                                Step::CallRequest,   Step::CallReply,
                                Step::PollReply,     Step::EngineStart,
                                Step::ServiceAnswer, Step::PushRequest};
  int struck = 0;
  int runs = 0;
  for (Step step : Dangerous)
    for (int first = 0; first < Faults; ++first)
      for (int second = 0; second < Faults; ++second) {
        const auto seed = static_cast<std::uint64_t>(first * Faults + second);
        const base::Duration after =
            base::milliseconds(base::mix64(seed, 7) % 3'000);
        const CellResult r =
            runCell(step, static_cast<Fault>(first), 1, seed,
                    SecondFault{static_cast<Fault>(second), after});
        ++runs;
        struck += r.Struck ? 1 : 0;
        EXPECT_EQ(r.Wrong, "")
            << toString(step) << " x " << toString(static_cast<Fault>(first))
            << " then " << toString(static_cast<Fault>(second));
      }
  std::printf("fault matrix: %d of %d pairs struck\n", struck, runs);
}

} // namespace
} // namespace drumlanding::test
