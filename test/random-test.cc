// Randomised runs of the real cores: any mix of requests and faults, shrunk by
// rapidcheck to the shortest one that breaks a promise.
//
// DRUMLANDING_RANDOM_RUNS sets how many (2,000 in CI); RC_PARAMS overrides the
// seed, which is printed.
#include "world.h"

#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace drumlanding::test {
namespace {

constexpr const char *DefaultRuns = "2000";
constexpr const char *Seed = "20261202";

enum class ActionKind { Generation, Call, RepeatedCall, Cancel, Drop, Strike };

struct Action {
  ActionKind Kind = ActionKind::Generation;
  Fault TheFault = Fault::Lose;
  int Entry = 0;
  int Agent = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &a) {
  constexpr const char *Names[] = {"generation", "call", "repeated call",
                                   "cancel",     "drop", "strike"};
  out << Names[static_cast<int>(a.Kind)];
  if (a.Kind == ActionKind::Strike)
    out << " " << toString(a.TheFault);
  return out << " entry=" << a.Entry << " agent=" << a.Agent << " then "
             << a.WaitMs << " ms";
}

rc::Gen<Action> anyAction() {
  const auto kind =
      rc::gen::weightedElement<ActionKind>({{5, ActionKind::Generation},
                                            {2, ActionKind::Call},
                                            {3, ActionKind::RepeatedCall},
                                            {1, ActionKind::Cancel},
                                            {2, ActionKind::Drop},
                                            {4, ActionKind::Strike}});
  // Faults of a single message come from the lossy network instead.
  const auto fault = rc::gen::element(
      Fault::KillEntry, Fault::RestartAgent, Fault::KillEngine,
      Fault::FreezeEntry, Fault::FreezeAgent, Fault::CutToAgent,
      Fault::CutToEntry, Fault::KvOutage, Fault::Reclaim);
  return rc::gen::build<Action>(
      rc::gen::set(&Action::Kind, kind), rc::gen::set(&Action::TheFault, fault),
      rc::gen::set(&Action::Entry, rc::gen::inRange(0, 2)),
      rc::gen::set(&Action::Agent, rc::gen::inRange(0, 4)),
      rc::gen::set(&Action::WaitMs, rc::gen::inRange(0, 1'500)));
}

void perform(World &world, const Action &action) {
  const auto entry = static_cast<std::size_t>(action.Entry);
  switch (action.Kind) {
  case ActionKind::Generation:
    world.askGeneration(entry);
    break;
  case ActionKind::Call:
    world.askCall(entry, false);
    break;
  case ActionKind::RepeatedCall:
    world.askCall(entry, true);
    break;
  case ActionKind::Cancel:
    world.cancelOne(entry);
    break;
  case ActionKind::Drop:
    world.dropCaller();
    break;
  case ActionKind::Strike:
    world.inject(action.TheFault, entry,
                 static_cast<std::size_t>(action.Agent));
    break;
  }
  world.run(base::milliseconds(action.WaitMs));
}

TEST(Random, PromisesHoldUnderAnything) {
  const char *runs = std::getenv("DRUMLANDING_RANDOM_RUNS");
  std::ostringstream params;
  params << "seed=" << Seed << " max_success=" << (runs ? runs : DefaultRuns)
         << " max_size=40";
  setenv("RC_PARAMS", params.str().c_str(), 0);
  std::printf("random runs: %s\n", std::getenv("RC_PARAMS"));
  std::size_t requests = 0;
  std::size_t whole = 0;
  const bool held = rc::check([&] {
    const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
    WorldOptions options;
    options.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    options.LosePart = *rc::gen::element(0.0, 0.02, 0.1);
    options.DoublePart = *rc::gen::element(0.0, 0.05);
    World world(options);
    for (const Action &action : actions)
      perform(world, action);
    world.settle();
    requests += world.requests();
    whole += world.wholeAnswers();
    RC_ASSERT(world.check() == std::string());
  });
  std::printf("random runs: %zu requests, %zu whole answers\n", requests,
              whole);
  EXPECT_TRUE(held);
  EXPECT_GT(whole * 2, requests);
}

} // namespace
} // namespace drumlanding::test
