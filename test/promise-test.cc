// Guarantees that depend on timing and order across messages rather than on a
// single message.
#include "drumlanding/entry/limits.h"
#include "simulated-cluster.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;

TEST(Leaving, NoNewWorkAfterThreeSecondsAndAllStreamsComplete) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedClusterOptions options;
    options.Seed = seed;
    SimulatedCluster world(options);
    for (int i = 0; i < 10; ++i)
      world.requestGeneration(static_cast<std::size_t>(i % 2));
    world.run(100ms);
    world.listAgentLeaving(0);
    world.run(3s);
    const int startsBefore = world.startsOn(0);
    for (int i = 0; i < 20; ++i) {
      world.requestGeneration(static_cast<std::size_t>(i % 2));
      world.run(100ms);
    }
    EXPECT_EQ(world.startsOn(0), startsBefore);
    world.settle();
    EXPECT_EQ(world.check(), "");
    EXPECT_EQ(world.completeAnswers(), world.requests());
  }
}

TEST(Leaving, EachServerInTurnUnderLoad) {
  SimulatedClusterOptions options;
  options.Engines = 3;
  SimulatedCluster world(options);
  for (std::size_t agent = 0; agent < 3; ++agent) {
    for (int i = 0; i < 10; ++i) {
      world.requestGeneration(static_cast<std::size_t>(i % 2));
      world.run(50ms);
    }
    world.listAgentLeaving(agent);
    for (int i = 0; i < 10; ++i) {
      world.requestGeneration(static_cast<std::size_t>(i % 2));
      world.run(50ms);
    }
    while (world.runningOn(agent) > 0)
      world.run(1s);
    world.replaceAgent(agent);
    world.run(2s);
  }
  world.settle();
  EXPECT_EQ(world.check(), "");
  EXPECT_EQ(world.completeAnswers(), world.requests());
}

TEST(Leaving, ReclaimFailsStreamsPromptlyWithCorrectVerdict) {
  SimulatedClusterOptions options;
  options.Engines = 1;
  SimulatedCluster world(options);
  world.setEndless(true);
  for (int i = 0; i < 5; ++i)
    world.requestGeneration(0);
  world.run(500ms);
  world.inject(Fault::Reclaim, 0, 0);
  world.run(1500ms);
  EXPECT_EQ(world.refusedWith(base::Reason::Reclaimed), 5U);
  EXPECT_EQ(world.check(), "");
}

TEST(Streams, StreamsSurviveAStalledLink) {
  SimulatedCluster world({});
  for (int i = 0; i < 6; ++i)
    world.requestGeneration(0);
  world.run(100ms);
  world.inject(Fault::CutToEntry, 0, 0);
  world.inject(Fault::CutToAgent, 0, 1);
  world.run(200ms);
  world.settle();
  EXPECT_EQ(world.check(), "");
  EXPECT_EQ(world.completeAnswers(), world.requests());
}

TEST(Streams, StreamResumesThroughAnotherEntry) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedClusterOptions options;
    options.Seed = seed;
    SimulatedCluster world(options);
    world.requestGeneration(0);
    world.run(200ms);
    world.inject(Fault::KillEntry, 0, 0);
    world.settle();
    EXPECT_EQ(world.check(), "");
    EXPECT_EQ(world.completeAnswers(), 1U);
  }
}

TEST(Streams, NewestConnectionReceivesTheStream) {
  // The reply to the first resume arrives after the reply to the second.
  SimulatedClusterOptions options;
  options.Entries = 1;
  SimulatedCluster world(options);
  world.setEndless(true);
  world.requestGeneration(0);
  world.run(300ms);
  world.injectAt(Step::AttachReply, Fault::Reorder);
  world.disconnectCaller(false);
  world.run(10ms);
  world.disconnectCaller(false);
  world.run(100s);
  EXPECT_EQ(world.check(), "");
  EXPECT_EQ(world.completeAnswers(), 1U);
}

TEST(Bundle, VersionNeverDecreasesAcrossOutageAndRestarts) {
  SimulatedCluster world({});
  world.rollOut(2);
  world.run(4s);
  world.setStoreDown(true);
  // The only entry that reads the service restarts and gets the bundle from its
  // peers.
  world.inject(Fault::KillEntry, 0, 0);
  world.inject(Fault::RestartAgent, 0, 0);
  world.run(5s);
  EXPECT_EQ(world.bundleOfEntry(0), 2U);
  EXPECT_EQ(world.bundleOfAgent(0), 2U);
  // The service returns with an older state than the peers have.
  world.rollOut(1);
  world.setStoreDown(false);
  world.run(5s);
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(world.bundleOfEntry(i), 2U);
  for (std::size_t i = 0; i < world.agents(); ++i)
    EXPECT_EQ(world.bundleOfAgent(i), 2U);
}

/// Returns the number of load orders among the commands.
std::size_t countLoadOrders(const agent::Commands &commands) {
  return static_cast<std::size_t>(std::count_if(
      commands.begin(), commands.end(), [](const agent::Command &c) {
        return std::holds_alternative<agent::LoadOnEngine>(c);
      }));
}

TEST(Members, EmptyListDoesNotRemoveReportingPeers) {
  SimulatedCluster world({});
  world.requestGeneration(0);
  world.run(100ms);
  world.clearServerList();
  world.requestGeneration(0);
  world.requestGeneration(1);
  world.run(60s);
  world.requestGeneration(0);
  world.settle();
  EXPECT_EQ(world.check(), "");
  EXPECT_EQ(world.completeAnswers(), world.requests());
}

TEST(Orders, OlderPlanIssuesNone) {
  const Signers keys;
  base::ManualClock clock;
  agent::CoreOptions options;
  options.Server = "tutor-llm-1";
  options.Service = "tutor-llm";
  options.Trusted = keys.trusted();
  agent::Core core(std::move(options));
  const auto push = [&](wire::DocumentKind kind, const std::string &body) {
    wire::Request request;
    request.mutable_push()->mutable_document()->set_kind(kind);
    request.mutable_push()->mutable_document()->set_body(body);
    return countLoadOrders(
        core.handle(clock.now(), agent::RequestArrived{1, request}));
  };
  const auto serialisedPlan = [](std::uint64_t version,
                                 const std::string &model) {
    plan::Plan p;
    p.Version = version;
    p.Assignments = {{"tutor-llm-1", {{"tutor-llm", model, {}}}}};
    return plan::serialise(p);
  };
  core.handle(clock.now(), agent::ServerObserved{true, 60'000, {}});
  push(wire::BUNDLE, keys.serialised(exampleJson(1)));
  EXPECT_EQ(push(wire::PLAN, serialisedPlan(2, "2")), 1U);
  // A leader that was paused until its lease expired could still send this
  // plan.
  EXPECT_EQ(push(wire::PLAN, serialisedPlan(1, "1")), 0U);
  EXPECT_EQ(push(wire::PLAN, serialisedPlan(2, "1")), 0U);
  EXPECT_EQ(core.documents().plan()->Version, 2U);
}

TEST(Limits, OrganisationsAreLimitedIndependently) {
  bundle::Organisation large{"large", "", {}};
  large.Contract.MaxOpen = 3;
  large.Contract.RequestsPerSecond = 1'000;
  bundle::Organisation small = large;
  small.Name = "small";
  entry::OrganisationLimits limits;
  const base::Instant now(1h);
  for (int i = 0; i < 3; ++i)
    EXPECT_TRUE(limits.tryOpen(now, large));
  EXPECT_FALSE(limits.tryOpen(now, large));
  EXPECT_TRUE(limits.tryOpen(now, small));
  limits.close("large");
  EXPECT_TRUE(limits.tryOpen(now, large));
}

TEST(Limits, RateRefillsOverTime) {
  bundle::Organisation o{"o", "", {}};
  o.Contract.MaxOpen = 1'000;
  o.Contract.RequestsPerSecond = 10;
  entry::OrganisationLimits limits;
  const base::Instant now(1h);
  int allowed = 0;
  while (limits.tryOpen(now, o))
    ++allowed;
  EXPECT_EQ(allowed, 20);
  EXPECT_EQ(limits.retryAfter(o), 100ms);
  EXPECT_TRUE(limits.tryOpen(now + 100ms, o));
  EXPECT_FALSE(limits.tryOpen(now + 100ms, o));
}

} // namespace
} // namespace drumlanding::test
