// Tests of the length model, the scheduler and the router, and of complete
// policies under simulated load.
#include "drumlanding/agent/scheduler.h"
#include "drumlanding/entry/router.h"
#include "policy-simulation.h"

#include <gtest/gtest.h>

namespace drumlanding::agent {
namespace {

using namespace std::chrono_literals;

JobSpec spec(const std::string &organisation, std::uint32_t prompt = 100) {
  JobSpec s;
  s.Organisation = organisation;
  s.Class = lengthClass(organisation, "m");
  s.PromptTokens = prompt;
  s.MaxTokens = 20'000;
  s.MaxQueueWait = 10s;
  return s;
}

TEST(Lengths, AdaptsToLengthDrift) {
  LengthModel lengths;
  const LengthClass cls = lengthClass("o", "m");
  for (int i = 0; i < 500; ++i) {
    lengths.recordProgress(cls, 0, 100);
    lengths.recordEnd(cls, 100);
  }
  EXPECT_LT(lengths.survival(cls, 0, 400), 0.1);
  EXPECT_NEAR(lengths.expectedRemaining(cls, 0, 20'000), 100, 40);
  for (int i = 0; i < 500; ++i) {
    lengths.recordProgress(cls, 0, 800);
    lengths.recordEnd(cls, 800);
  }
  EXPECT_GT(lengths.survival(cls, 0, 400), 0.6);
}

TEST(Lengths, RunningGenerationsCountBeforeTheyEnd) {
  // If only ended generations counted, the estimate would stay at 50 tokens
  // while the running ones are far longer.
  LengthModel lengths;
  const LengthClass cls = lengthClass("o", "m");
  for (int i = 0; i < 300; ++i) {
    lengths.recordProgress(cls, 0, 50);
    lengths.recordEnd(cls, 50);
  }
  const double before = lengths.survival(cls, 0, 1'000);
  for (int i = 0; i < 300; ++i)
    lengths.recordProgress(cls, 0, 2'000);
  EXPECT_GT(lengths.survival(cls, 0, 1'000), before * 3);
}

TEST(Lengths, UnknownClassUsesEstimateOfAllClasses) {
  LengthModel lengths;
  for (int i = 0; i < 1'000; ++i) {
    lengths.recordProgress(1, 0, 20);
    lengths.recordEnd(1, 20);
  }
  EXPECT_LT(lengths.survival(2, 0, 200), 0.15);
}

TEST(Scheduler, FullKvCacheYieldsOneGenerationAndResumesIt) {
  SchedulerOptions options;
  options.CapacityTokens = 1'000;
  options.Rule = AdmissionRule::Reserve;
  options.ReserveTokens = 400;
  Scheduler s(options);
  base::Instant now(1h);
  s.add(now, 1, spec("a"));
  s.add(now, 2, spec("b"));
  std::vector<JobId> started = s.decide(now).Start;
  s.recordTokens(now, started.at(0), 1);
  for (JobId id : s.decide(now).Start)
    started.push_back(id);
  ASSERT_EQ(started.size(), 2U);
  s.recordTokens(now, started.at(1), 1);
  // Both produce tokens until the KV cache is full.
  std::vector<JobId> yielded;
  for (int i = 0; i < 2'000 && yielded.empty(); ++i) {
    s.recordTokens(now, 1, 1);
    s.recordTokens(now, 2, 1);
    yielded = s.decide(now).Yield;
    EXPECT_LE(s.load().UsedTokens, 1'000U);
  }
  ASSERT_EQ(yielded.size(), 1U);
  const JobId victim = yielded[0];
  s.recordYielded(now, victim);
  EXPECT_TRUE(s.decide(now).Start.empty());
  // The yielded generation resumes before a new one starts.
  s.add(now, 3, spec("c"));
  s.remove(now, victim == 1 ? 2 : 1, true);
  const Decisions back = s.decide(now);
  ASSERT_FALSE(back.Start.empty());
  EXPECT_EQ(back.Start[0], victim);
  EXPECT_EQ(s.yieldCount(victim), 1U);
}

TEST(Scheduler, LimitsPrefillPerStep) {
  SchedulerOptions options;
  Scheduler s(options);
  const base::Instant now(1h);
  for (JobId id = 1; id <= 20; ++id)
    s.add(now, id, spec("a", 400));
  // With 0.1 ms per prefill token on top of a 30 ms step, one prompt of 400
  // tokens (70 ms) already exceeds the target of 60 ms: one prefill at a time.
  const auto first = s.decide(now).Start;
  EXPECT_EQ(first.size(), 1U);
  EXPECT_TRUE(s.decide(now).Start.empty());
  s.recordTokens(now, first[0], 1);
  EXPECT_EQ(s.decide(now).Start.size(), 1U);
}

TEST(Scheduler, BurstDoesNotDelayOtherOrganisations) {
  SchedulerOptions options;
  options.StepTarget = base::milliseconds(0);
  Scheduler s(options);
  const base::Instant now(1h);
  for (JobId id = 1; id <= 1'000; ++id)
    s.add(now, id, spec("large"));
  const auto first = s.decide(now).Start;
  for (JobId id : first)
    s.recordTokens(now, id, 50);
  s.add(now, 5'000, spec("small"));
  for (std::size_t i = 0; i < first.size() / 2; ++i)
    s.remove(now, first[i], true);
  // Half of the large organisation's jobs have left the engine, so there is
  // room again; the small organisation is served next.
  const auto next = s.decide(now).Start;
  ASSERT_FALSE(next.empty()) << s.load().UsedTokens;
  EXPECT_EQ(next[0], 5'000U);
}

TEST(Router, PrefersPrefixServerUntilItIsLoaded) {
  const entry::Router router({});
  base::Random random(1);
  const base::Instant now(1h);
  std::vector<entry::ServerView> views(8);
  for (std::size_t i = 0; i < views.size(); ++i)
    views[i] = {i + 1, true, 0, 10'000, 60'000, 0, now, 0};
  const entry::RouteQuery query{77, 600};
  const auto affine = router.choose(views, query, now, random);
  EXPECT_EQ(router.choose(views, query, now, random), affine);
  views[*affine].UsedTokens = 59'000;
  EXPECT_NE(router.choose(views, query, now, random), affine);
}

TEST(Router, DoesNotHerdOntoLeastLoadedServer) {
  const entry::Router router({});
  base::Random random(1);
  const base::Instant now(1h);
  std::vector<entry::ServerView> views(8);
  for (std::size_t i = 0; i < views.size(); ++i)
    views[i] = {i + 1, true, 0, 40'000, 60'000, 0, now, 0};
  views[3].UsedTokens = 1'000;
  std::vector<int> got(views.size());
  for (int i = 0; i < 400; ++i) {
    const auto at = router.choose(views, {0, 600}, now, random);
    ++got[*at];
    ++views[*at].SentSinceReport;
  }
  // Server 3 has about 40,000 more free tokens than the others, enough for 65
  // requests. A router that ignored the requests sent since the last report
  // would send all of them there.
  EXPECT_LT(got[3], 130);
}

TEST(Router, NeverChoosesUnusableServers) {
  const entry::Router router({});
  base::Random random(1);
  const base::Instant now(1h);
  std::vector<entry::ServerView> views(5);
  for (std::size_t i = 0; i < views.size(); ++i)
    views[i] = {i + 1, i == 2, 0, 0, 60'000, 0, now, 0};
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(router.choose(views, {0, 600}, now, random), 2U);
  views[2].IsUsable = false;
  EXPECT_FALSE(router.choose(views, {5, 600}, now, random).has_value());
}

/// A short run of the benchmark with a fixed seed: the bounds must hold on
/// every run.
TEST(Policy, FewerPreemptionsAndShorterGapsThanGreedy) {
  for (auto lengths :
       {tools::LengthSource::Lernwerk, tools::LengthSource::Pwani}) {
    tools::PolicyOptions o;
    o.Lengths = lengths;
    o.Load = 1.4;
    o.SaturationTokensPerSecond = 1'300;
    o.SimulatedTime = base::seconds(300);
    const auto own = tools::simulatePolicy(o);
    o.Policy = tools::PolicyKind::Greedy;
    const auto greedy = tools::simulatePolicy(o);
    EXPECT_LT(own.PreemptionsPerThousand, 0.2 * greedy.PreemptionsPerThousand);
    EXPECT_LT(own.StallMsPerRequest, 0.2 * greedy.StallMsPerRequest);
    EXPECT_LT(own.GapP999Ms, 0.8 * greedy.GapP999Ms);
    EXPECT_GT(own.TokensPerSecond, 0.9 * greedy.TokensPerSecond);
  }
}

TEST(Policy, HigherStallWeightReducesStalls) {
  tools::PolicyOptions o;
  o.Lengths = tools::LengthSource::Pwani;
  o.Load = 1.2;
  o.SaturationTokensPerSecond = 1'200;
  o.SimulatedTime = base::seconds(300);
  const auto plain = tools::simulatePolicy(o);
  o.StallWeight = 4;
  const auto careful = tools::simulatePolicy(o);
  EXPECT_LE(careful.StallMsPerRequest, plain.StallMsPerRequest);
}

} // namespace
} // namespace drumlanding::agent
