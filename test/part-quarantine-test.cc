// Tests which parts of prompts are blamed for the ends of servers, on a virtual
// clock.
#include "drumlanding/gateway/part-quarantine.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::Instant Start{seconds(1'000)};

RequestFingerprint part(const std::string &id,
                        const std::string &organisation = "school") {
  return makePartFingerprint(organisation, id);
}

ServerInstance server(int n) {
  return {"s" + std::to_string(n), milliseconds(0)};
}

struct PartQuarantineTest : testing::Test {
  PartQuarantineTest() {
    // The gateway has served requests for a while.
    Q.recordHarmless(Start - seconds(60), part("known"), Start - seconds(60));
  }

  /// A server ends with requests that have these parts.
  void end(base::Instant at, int n, const std::vector<std::string> &parts,
           const std::string &organisation = "school") {
    record(Q, at, server(n), parts, organisation);
  }

  static void record(PartQuarantine &q, base::Instant at,
                     const ServerInstance &server,
                     const std::vector<std::string> &parts,
                     const std::string &organisation = "school") {
    q.recordEnd(at, {organisation, server, at - milliseconds(300),
                     EndKind::Closed, parts});
    q.update(at);
  }

  bool isQuarantined(base::Instant at, const std::string &id) {
    Q.update(at);
    return Q.isQuarantined(part(id));
  }

  PartQuarantine Q{base::Random(1)};
};

TEST_F(PartQuarantineTest, TheOnlyNewPartOnThreeEndedServersIsToBlame) {
  for (int n = 0; n < 3; ++n) {
    EXPECT_FALSE(isQuarantined(Start + milliseconds(200 * n), "deadly"));
    end(Start + milliseconds(200 * n), n,
        {"known", "deadly", "new" + std::to_string(n)});
  }
  const base::Instant now = Start + milliseconds(400);
  EXPECT_TRUE(isQuarantined(now, "deadly"));
  EXPECT_FALSE(isQuarantined(now + seconds(60), "known"));
  EXPECT_FALSE(isQuarantined(now + seconds(60), "new1"));
  EXPECT_FALSE(Q.isQuarantined(part("deadly", "council")));
  EXPECT_GT(Q.timeUntilTrial(now, part("deadly")), seconds(500));
}

TEST_F(PartQuarantineTest, APartThatWasServedIsBlamedOnlyIfItIsNotServedAgain) {
  for (int n = 0; n < 5; ++n) {
    EXPECT_FALSE(isQuarantined(Start + milliseconds(3'000 * n), "known"));
    end(Start + milliseconds(3'000 * n), n, {"known"});
  }
  const base::Instant fifth = Start + seconds(12);
  EXPECT_FALSE(isQuarantined(fifth + milliseconds(2'400), "known"));
  EXPECT_TRUE(isQuarantined(fifth + PartQuarantine::ConfirmationTime, "known"));
}

/// Guards against the blame of a part that many requests share for servers
/// that end by themselves.
TEST_F(PartQuarantineTest, APartThatIsServedAgainIsNotBlamed) {
  for (int n = 0; n < 5; ++n)
    end(Start + milliseconds(200 * n), n, {"known"});
  const base::Instant later = Start + seconds(2);
  Q.recordHarmless(later, part("known"), later - milliseconds(50));
  EXPECT_FALSE(isQuarantined(later + seconds(60), "known"));
}

/// Guards against the clearance by a request that began before the ends.
TEST_F(PartQuarantineTest, AnEarlierBeginProvesNothing) {
  for (int n = 0; n < 5; ++n)
    end(Start + milliseconds(200 * n), n, {"deadly"});
  Q.recordHarmless(Start + seconds(1), part("deadly"), Start - seconds(1));
  EXPECT_TRUE(isQuarantined(Start + seconds(4), "deadly"));
}

/// Guards against the blame of a part for the loss of a failure domain.
TEST_F(PartQuarantineTest, EndsAtTheSameTimeNeedConfirmation) {
  for (int n = 0; n < 5; ++n)
    end(Start + milliseconds(n), n, {"new"});
  EXPECT_FALSE(isQuarantined(Start + seconds(1), "new"));
  Q.recordHarmless(Start + seconds(2), part("new"), Start + seconds(1));
  EXPECT_FALSE(isQuarantined(Start + seconds(60), "new"));
}

TEST_F(PartQuarantineTest, SeveralDeadlyPartsAreToldApart) {
  // Servers 2 and 4 ran both.
  for (int n = 0; n < 5; ++n)
    end(Start + milliseconds(200 * n), n,
        n % 2 == 0 && n > 0 ? std::vector<std::string>{"a", "b"}
                            : std::vector<std::string>{"a"});
  EXPECT_TRUE(isQuarantined(Start + seconds(1), "a"));
  EXPECT_FALSE(isQuarantined(Start + seconds(1), "b"));
  for (int n = 5; n < 8; ++n)
    end(Start + milliseconds(200 * n), n, {"b"});
  EXPECT_TRUE(isQuarantined(Start + seconds(2), "b"));
}

/// Guards against the blame of the part that all requests of an organisation
/// share, before one of them was served, in place of the deadly one.
TEST_F(PartQuarantineTest, APartThatExplainsMoreThanTheCauseIsNotCertain) {
  end(Start, 0, {"first", "other"});
  for (int n = 1; n < 4; ++n)
    end(Start + milliseconds(200 * n), n, {"first", "deadly"});
  const base::Instant now = Start + milliseconds(800);
  EXPECT_FALSE(isQuarantined(now, "first"));
  EXPECT_FALSE(isQuarantined(now, "deadly"));
  Q.recordHarmless(now + seconds(1), part("first"), now);
  EXPECT_TRUE(isQuarantined(now + seconds(1), "deadly"));
  EXPECT_FALSE(isQuarantined(now + seconds(60), "first"));
}

/// Guards against ends of a restarted server that are explained by the ends of
/// its former lives.
TEST_F(PartQuarantineTest, EndsOfARestartedServerAreDistinct) {
  const auto endLife = [this](int life, const std::string &id) {
    record(Q, Start + milliseconds(200 * life), {"s0", seconds(life + 1)},
           {id});
  };
  for (int life = 0; life < 3; ++life)
    endLife(life, "a");
  for (int life = 3; life < 6; ++life)
    endLife(life, "b");
  EXPECT_TRUE(isQuarantined(Start + seconds(2), "a"));
  EXPECT_TRUE(isQuarantined(Start + seconds(2), "b"));
}

/// Parts that cannot be told apart are tried one by one.
TEST_F(PartQuarantineTest, EquallyGoodExplanationsAreTried) {
  for (int n = 0; n < 5; ++n)
    end(Start + milliseconds(200 * n), n, {"a", "b"});
  const base::Instant fifth = Start + milliseconds(800);
  EXPECT_FALSE(isQuarantined(fifth, "a"));
  const base::Instant confirmed = fifth + PartQuarantine::ConfirmationTime;
  EXPECT_TRUE(isQuarantined(confirmed, "a"));
  EXPECT_TRUE(isQuarantined(confirmed, "b"));
  const base::Instant trial = fifth + PartQuarantine::FirstTrialDelay;
  EXPECT_EQ(Q.timeUntilTrial(trial, part("a")), base::Duration(0));
  EXPECT_GT(Q.timeUntilTrial(trial - milliseconds(1), part("a")),
            base::Duration(0));
  Q.recordHarmless(trial + seconds(2), part("a"), trial + seconds(1));
  EXPECT_FALSE(isQuarantined(trial + seconds(2), "a"));
  EXPECT_TRUE(isQuarantined(trial + seconds(2), "b"));
  // A failed trial makes the next one wait longer.
  end(trial + seconds(3), 4, {"b"});
  EXPECT_GT(Q.timeUntilTrial(trial + seconds(3), part("b")), seconds(15));
}

/// Guards against a gateway that has just started and takes the part that all
/// requests share for the cause.
TEST_F(PartQuarantineTest, AGatewayThatHasJustStartedIsNotCertain) {
  PartQuarantine started(base::Random(2));
  for (int n = 0; n < 3; ++n) {
    const base::Instant at = Start + milliseconds(200 * n);
    record(started, at, server(n), {"first"});
  }
  EXPECT_FALSE(started.isQuarantined(part("first")));
}

TEST_F(PartQuarantineTest, EvidenceOfSeveralGatewaysIsMerged) {
  PartQuarantine other(base::Random(2));
  other.recordHarmless(Start - seconds(60), part("known"), Start - seconds(60));
  const auto exchange = [&](base::Instant now) {
    for (const SuspectReport &r : Q.takeChangedReports(now))
      other.applyReport(now, "a", r);
    for (const SuspectReport &r : other.takeChangedReports(now))
      Q.applyReport(now, "b", r);
    Q.update(now);
    other.update(now);
  };
  for (int n = 0; n < 3; ++n) {
    const base::Instant at = Start + milliseconds(200 * n);
    PartQuarantine &observer = n == 1 ? other : Q;
    record(observer, at, server(n), {"deadly"});
    exchange(at + milliseconds(5));
  }
  EXPECT_TRUE(Q.isQuarantined(part("deadly")));
  EXPECT_TRUE(other.isQuarantined(part("deadly")));
  // A gateway that starts learns of it from a full message.
  PartQuarantine started(base::Random(3));
  const base::Instant now = Start + seconds(1);
  for (const SuspectReport &r : Q.reports(now))
    started.applyReport(now, "a", r);
  started.update(now);
  EXPECT_TRUE(started.isQuarantined(part("deadly")));
}

/// Guards against an organisation that ends servers under a new part each time,
/// and so has another one's part blamed that is on all of them (issue 32).
TEST_F(PartQuarantineTest, AnOrganisationThatVariesItsPartsPoisonsNoOther) {
  for (int n = 0; n < 30; ++n) {
    const base::Instant at = Start + milliseconds(200 * n);
    // Some of its prompts have no shared part.
    end(at, n,
        n % 2 == 0 ? std::vector<std::string>{}
                   : std::vector<std::string>{"varied" + std::to_string(n)},
        "council");
    end(at, n, {"victim"});
    EXPECT_FALSE(isQuarantined(at, "victim")) << n;
  }
  EXPECT_FALSE(isQuarantined(Start + seconds(60), "victim"));
}

TEST_F(PartQuarantineTest, AServerThatLivesOnWithdrawsItsEnd) {
  for (int n = 0; n < 3; ++n)
    end(Start + milliseconds(200 * n), n, {"deadly"});
  const base::Instant asked = Start + milliseconds(400) + milliseconds(40);
  Q.recordVerification({server(2), asked, asked + milliseconds(5)});
  EXPECT_FALSE(isQuarantined(asked + seconds(60), "deadly"));
}

TEST_F(PartQuarantineTest, AnOperatorReleasesAPart) {
  for (int n = 0; n < 3; ++n)
    end(Start + milliseconds(200 * n), n, {"deadly"});
  EXPECT_TRUE(Q.release(Start + seconds(1), part("deadly")));
  EXPECT_FALSE(isQuarantined(Start + seconds(1), "deadly"));
  EXPECT_FALSE(Q.release(Start + seconds(1), part("other")));
}

/// A part that ends more servers than are remembered is still found.
TEST_F(PartQuarantineTest, OnlyTheLatestEndsAreKept) {
  // Another part explains the first ends.
  for (int n = 0; n < 30; ++n)
    end(Start + milliseconds(200 * n), n, {"a", "b"});
  for (int n = 30; n < 50; ++n)
    end(Start + milliseconds(200 * n), n, {"b"});
  EXPECT_TRUE(isQuarantined(Start + seconds(20), "b"));
}

/// Engines that end by themselves and under a deadly part, among prompts with a
/// first part per organisation and a second part that is mostly new.
class Traffic {
public:
  explicit Traffic(std::uint64_t seed) : Random(seed) {}

  static constexpr int Engines = 9;
  static constexpr int Organisations = 5;
  static constexpr milliseconds Tick{50};
  static constexpr milliseconds RestartTime{3'000};

  void run(base::Duration length, base::Instant deadlyFrom) {
    for (Now = Start; Now < Start + length; Now += Tick) {
      Q.update(Now);
      send(Now >= deadlyFrom);
      progress();
      if (Random.chance(CrashChance))
        crash(static_cast<int>(Random.below(Engines)));
      for (int o = 1; o < Organisations; ++o)
        for (const char *id : {"first", "hot"})
          PoisonedTicks +=
              Q.isQuarantined(part(id, "org" + std::to_string(o))) ? 1 : 0;
    }
  }

  int DeadlyEnds = 0;
  int DeadlySendsAfterBound = 0;
  /// Sound requests by organisation.
  std::array<int, Organisations> Sent{};
  std::array<int, Organisations> Refused{};
  PartQuarantine Q{base::Random(7)};
  /// Chance per tick that an engine ends by itself.
  double CrashChance = 0.02;
  /// Deadly requests have a new part each time.
  bool VariesDeadlyPart = false;
  /// The requests of all other organisations have a second part in common.
  bool HasHotPart = false;
  /// Ticks in which a part of another organisation was quarantined.
  int PoisonedTicks = 0;

private:
  struct Run {
    int Engine = 0;
    std::string Organisation;
    std::vector<std::string> Parts;
    base::Instant SentAt{};
    base::Instant BeginsAt{};
    base::Instant EndsAt{};
    bool IsDeadly = false;
  };

  void send(bool withDeadly) {
    const std::string newPart = "new" + std::to_string(++LastPart);
    if (Random.chance(0.4)) {
      const int organisation = static_cast<int>(Random.below(Organisations));
      const bool isHot = HasHotPart && organisation > 0;
      add(organisation, isHot ? "hot" : newPart, false);
    }
    if (withDeadly && Random.chance(0.1))
      add(0, VariesDeadlyPart ? newPart : "deadly", true);
  }

  void add(int organisation, std::string second, bool isDeadly) {
    Run run;
    run.Organisation = "org" + std::to_string(organisation);
    run.Parts = {"first", std::move(second)};
    if (!isDeadly)
      ++Sent[static_cast<std::size_t>(organisation)];
    if (!isAllowed(run)) {
      Refused[static_cast<std::size_t>(organisation)] += isDeadly ? 0 : 1;
      return;
    }
    run.Engine = static_cast<int>(Random.below(Engines));
    if (Now < BackAt[static_cast<std::size_t>(run.Engine)])
      return;
    run.SentAt = Now;
    run.BeginsAt = Now + milliseconds(300 + Random.below(500));
    const bool isLong = Random.chance(0.4);
    run.EndsAt = run.BeginsAt + (isLong ? seconds(8) : milliseconds(200));
    run.IsDeadly = isDeadly;
    if (isDeadly && FifthEndAt && Now > *FifthEndAt + seconds(3))
      ++DeadlySendsAfterBound;
    Runs.push_back(std::move(run));
  }

  /// A request with one quarantined part may be its trial.
  bool isAllowed(const Run &run) const {
    std::vector<RequestFingerprint> quarantined;
    for (const std::string &id : run.Parts)
      if (Q.isQuarantined(part(id, run.Organisation)))
        quarantined.push_back(part(id, run.Organisation));
    return quarantined.empty() ||
           (quarantined.size() == 1 &&
            Q.timeUntilTrial(Now, quarantined[0]) == base::Duration(0) &&
            !isRunning(quarantined[0]));
  }

  bool isRunning(const RequestFingerprint &id) const {
    return std::any_of(Runs.begin(), Runs.end(), [&](const Run &run) {
      return std::any_of(run.Parts.begin(), run.Parts.end(),
                         [&](const std::string &p) {
                           return part(p, run.Organisation) == id;
                         });
    });
  }

  void progress() {
    for (std::size_t i = 0; i < Runs.size();) {
      const Run run = Runs[i];
      if (run.IsDeadly && Now >= run.BeginsAt) {
        if (++DeadlyEnds == 5)
          FifthEndAt = Now;
        crash(run.Engine);
        i = 0;
        continue;
      }
      const bool hasSurvived =
          Now - run.BeginsAt >= PartQuarantine::MinSurvivalTime;
      if (hasSurvived || Now >= run.EndsAt)
        for (const std::string &id : run.Parts)
          Q.recordHarmless(Now, part(id, run.Organisation), run.BeginsAt);
      if (Now >= run.EndsAt)
        Runs.erase(Runs.begin() + static_cast<std::ptrdiff_t>(i));
      else
        ++i;
    }
  }

  void crash(int engine) {
    const int life = ++Lives;
    BackAt[static_cast<std::size_t>(engine)] = Now + RestartTime;
    for (const Run &run : Runs)
      if (run.Engine == engine &&
          Now - run.BeginsAt < PartQuarantine::MinSurvivalTime)
        blame(run, life);
    std::erase_if(Runs, [&](const Run &run) { return run.Engine == engine; });
    Q.update(Now);
  }

  void blame(const Run &run, int life) {
    Q.recordEnd(Now, {run.Organisation, server(life), run.SentAt,
                      EndKind::Closed, run.Parts});
  }

  base::Random Random;
  base::Instant Now{};
  std::vector<Run> Runs;
  std::array<base::Instant, Engines> BackAt{};
  std::optional<base::Instant> FifthEndAt;
  int Lives = 0;
  int LastPart = 0;
};

/// The users' bound: sound requests are served half as often as usual at least.
void expectMostServed(const Traffic &traffic, std::uint64_t seed) {
  for (std::size_t i = 0; i < traffic.Sent.size(); ++i)
    EXPECT_LT(2 * traffic.Refused[i], traffic.Sent[i]) << seed;
}

/// Guards against a deadly part that is found too late, and sound requests that
/// are refused for long, over random traffic (issue 32, BUDGET and LOST).
TEST(PartQuarantineTraffic, TheDeadlyPartIsFoundAndNoOther) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Traffic traffic(seed);
    traffic.run(seconds(60), Start + seconds(10));
    EXPECT_TRUE(traffic.Q.isQuarantined(part("deadly", "org0"))) << seed;
    EXPECT_LE(traffic.DeadlySendsAfterBound, 3) << seed;
    expectMostServed(traffic, seed);
  }
}

/// Guards against an organisation that has the parts of others refused by
/// ending the engines under them, with a new part each time (issue 32).
TEST(PartQuarantineTraffic, NoPartOfAnotherOrganisationIsPoisoned) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Traffic traffic(seed);
    traffic.CrashChance = 0;
    traffic.VariesDeadlyPart = true;
    traffic.HasHotPart = true;
    traffic.run(seconds(60), Start + seconds(2));
    EXPECT_EQ(traffic.PoisonedTicks, 0) << seed;
  }
}

/// Guards against the blame of parts when engines end often by themselves.
TEST(PartQuarantineTraffic, NoPartIsBlamedForPlainCrashes) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Traffic traffic(seed);
    traffic.CrashChance = 0.05;
    traffic.run(seconds(60), Start + seconds(1'000));
    expectMostServed(traffic, seed);
  }
}

} // namespace
} // namespace drumlanding::gateway
