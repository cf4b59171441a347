// Property test of the real cores: random sequences of requests and faults.
// RapidCheck shrinks a failing sequence to a minimal one.
//
// DRUMLANDING_RANDOM_RUNS sets the number of runs (2,000 in CI). RC_PARAMS
// overrides the parameters, including the seed, which are printed.
#include "simulated-cluster.h"

#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace drumlanding::test {
namespace {

constexpr const char *DefaultRuns = "2000";
constexpr const char *Seed = "20261202";

enum class ActionKind {
  Generation,
  Call,
  RepeatedCall,
  Cancel,
  Disconnect,
  Inject
};

struct Action {
  ActionKind Kind = ActionKind::Generation;
  Fault TheFault = Fault::Lose;
  int Entry = 0;
  int Agent = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &a) {
  constexpr const char *Names[] = {"generation", "call",       "repeated call",
                                   "cancel",     "disconnect", "inject"};
  out << Names[static_cast<int>(a.Kind)];
  if (a.Kind == ActionKind::Inject)
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
                                            {2, ActionKind::Disconnect},
                                            {4, ActionKind::Inject}});
  // Message faults are not in the list: LossRate and DuplicationRate inject
  // them.
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

void applyAction(SimulatedCluster &cluster, const Action &action) {
  const auto entry = static_cast<std::size_t>(action.Entry);
  switch (action.Kind) {
  case ActionKind::Generation:
    cluster.requestGeneration(entry);
    break;
  case ActionKind::Call:
    cluster.requestCall(entry, false);
    break;
  case ActionKind::RepeatedCall:
    cluster.requestCall(entry, true);
    break;
  case ActionKind::Cancel:
    cluster.cancelGeneration(entry);
    break;
  case ActionKind::Disconnect:
    cluster.disconnectCaller();
    break;
  case ActionKind::Inject:
    cluster.inject(action.TheFault, entry,
                   static_cast<std::size_t>(action.Agent));
    break;
  }
  cluster.run(base::milliseconds(action.WaitMs));
}

TEST(Random, GuaranteesHoldUnderRandomFaults) {
  const char *runs = std::getenv("DRUMLANDING_RANDOM_RUNS");
  std::ostringstream params;
  params << "seed=" << Seed << " max_success=" << (runs ? runs : DefaultRuns)
         << " max_size=40";
  setenv("RC_PARAMS", params.str().c_str(), 0);
  std::printf("random runs: %s\n", std::getenv("RC_PARAMS"));
  std::size_t requests = 0;
  std::size_t completeCount = 0;
  const bool held = rc::check([&] {
    const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
    SimulatedClusterOptions options;
    options.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    options.LossRate = *rc::gen::element(0.0, 0.02, 0.1);
    options.DuplicationRate = *rc::gen::element(0.0, 0.05);
    SimulatedCluster cluster(options);
    for (const Action &action : actions)
      applyAction(cluster, action);
    cluster.settle();
    requests += cluster.requests();
    completeCount += cluster.completeAnswers();
    RC_ASSERT(cluster.check() == std::string());
  });
  std::printf("random runs: %zu requests, %zu complete answers\n", requests,
              completeCount);
  EXPECT_TRUE(held);
  EXPECT_GT(completeCount * 2, requests);
}

} // namespace
} // namespace drumlanding::test
