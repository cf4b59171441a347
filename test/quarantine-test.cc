// Tests the decisions of the quarantine on a virtual clock: of one gateway, and
// of several whose reports are lost, late, repeated and reordered.
#include "drumlanding/gateway/quarantine.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;
using State = Quarantine::State;
using ClaimState = Quarantine::ClaimState;

constexpr base::Instant Start{seconds(1'000)};

RequestFingerprint fingerprint(std::uint8_t n) {
  RequestFingerprint f;
  f.Digest[0] = n;
  return f;
}

const RequestFingerprint Deadly = fingerprint(1);

ServerInstance server(int n, int life = 1) {
  return {"s" + std::to_string(n), milliseconds(1'000 * life)};
}

struct QuarantineTest : testing::Test {
  void end(base::Instant at, int n, EndKind kind = EndKind::Closed,
           int life = 1) {
    Q.recordEnd(at,
                {Deadly, "org", server(n, life), at - milliseconds(20), kind});
  }
  void endThree(base::Instant at) {
    for (int n = 0; n < 3; ++n)
      end(at, n);
  }

  /// A response that takes no time.
  void verify(base::Instant at, const ServerInstance &from) {
    Q.recordVerification({from, at, at});
  }

  Quarantine Q{base::Random(1)};
  Quarantine Other{base::Random(2)};
};

TEST_F(QuarantineTest, ThreeEndedServersQuarantineARequest) {
  EXPECT_EQ(Q.state(Start, Deadly), State::Clear);
  end(Start, 1);
  EXPECT_EQ(Q.state(Start, Deadly), State::Suspect);
  end(Start, 2);
  EXPECT_EQ(Q.state(Start, Deadly), State::Suspect);
  end(Start, 3);
  EXPECT_EQ(Q.state(Start, Deadly), State::Quarantined);
  EXPECT_EQ(Q.state(Start, fingerprint(2)), State::Clear);
}

TEST_F(QuarantineTest, ALifeOfAServerEndsOnce) {
  for (int copy = 0; copy < 5; ++copy)
    end(Start, 1);
  EXPECT_EQ(Q.reports(Start).at(0).Ends.size(), 1u);
}

TEST_F(QuarantineTest, AnotherLifeOfAServerCounts) {
  end(Start, 1, EndKind::Closed, 1);
  end(Start + seconds(1), 1, EndKind::Closed, 2);
  // The third life is not in the list yet.
  end(Start + seconds(2), 1, EndKind::Closed, 2);
  EXPECT_EQ(Q.state(Start + seconds(2), Deadly), State::Quarantined);
}

TEST_F(QuarantineTest, AServedRequestIsCleared) {
  endThree(Start);
  Q.recordServed(Start + seconds(1), Deadly);
  EXPECT_EQ(Q.state(Start + seconds(1), Deadly), State::Clear);
}

TEST_F(QuarantineTest, AResponseProvesThatAServerLivesOn) {
  end(Start, 1);
  end(Start, 2, EndKind::Silent);
  // The process may respond until it has ended.
  verify(Start + milliseconds(5), server(1));
  EXPECT_FALSE(Q.reports(Start).at(0).Ends.at(0).IsWithdrawn);
  const base::Instant later = Start + Quarantine::MaxExitTime;
  verify(later, server(1));
  verify(later, server(2));
  EXPECT_TRUE(Q.reports(Start).at(0).Ends.at(0).IsWithdrawn);
  EXPECT_FALSE(Q.reports(Start).at(0).Ends.at(1).IsWithdrawn);
}

TEST_F(QuarantineTest, AKnownStartTimeProvesThatAServerLivesOnAtAnyTime) {
  end(Start, 1, EndKind::Closed, 7);
  verify(Start + seconds(10), server(1, 7));
  EXPECT_EQ(Q.state(Start + seconds(10), Deadly), State::Clear);
}

/// Guards against a server that has ended and started again, and is taken for
/// one that lived on (soak, seeds 503 and 504).
TEST_F(QuarantineTest, AResponseAfterARestartProvesNothing) {
  end(Start, 1, EndKind::Closed, 0);
  Q.recordVerification({server(1, 0), Start + Quarantine::MaxExitTime,
                        Start + Quarantine::MinRestartTime});
  EXPECT_EQ(Q.state(Start + seconds(1), Deadly), State::Suspect);
}

TEST_F(QuarantineTest, ADifferentLifeProvesNothing) {
  end(Start, 1);
  const base::Instant later = Start + Quarantine::MaxExitTime;
  verify(later, server(1, 2));
  EXPECT_EQ(Q.state(later, Deadly), State::Suspect);
}

/// A response without a start time counts only when it is early.
TEST_F(QuarantineTest,
       AnEarlyResponseWithoutStartTimeProvesThatAServerLivesOn) {
  end(Start, 1);
  const base::Instant later = Start + Quarantine::MaxExitTime;
  verify(later, server(1, 0));
  EXPECT_EQ(Q.state(later, Deadly), State::Clear);
}

TEST_F(QuarantineTest, AServerThatOutlivesTheEvidenceIsNotEnded) {
  endThree(Start);
  Q.withdrawOutlived(Start + seconds(6),
                     [](const ServerInstance &s, base::Instant endAt) {
                       return s.Id == "s1" && endAt == Start;
                     });
  EXPECT_EQ(Q.state(Start + seconds(6), Deadly), State::Suspect);
}

/// Guards against a server that has ended and restarted under its id, whose
/// renewed entry is taken for a proof that it did not end (issue 32).
TEST_F(QuarantineTest, AnEntryProvesNothingAfterARefusalIfNoStartTimeIsKnown) {
  constexpr seconds EntryLifetime{6};
  const auto hasOutlived = [](const ServerInstance &, base::Instant) {
    return true;
  };
  end(Start, 1, EndKind::Closed, 0);
  Q.recordRefusal(Start, server(1, 0));
  const auto reports = Q.reports(Start);
  Other.applyReport(Start, "a", reports.at(0));
  for (Quarantine *q : {&Q, &Other}) {
    q->withdrawOutlived(Start + EntryLifetime, hasOutlived);
    EXPECT_EQ(q->state(Start + EntryLifetime, Deadly), State::Suspect);
  }
}

TEST_F(QuarantineTest, AnEntryWithTheSameStartTimeProvesThatAServerLivesOn) {
  constexpr seconds EntryLifetime{6};
  end(Start, 1, EndKind::Closed, 7);
  Q.recordRefusal(Start, server(1, 7));
  Q.withdrawOutlived(Start + EntryLifetime, [](const ServerInstance &,
                                               base::Instant) { return true; });
  EXPECT_EQ(Q.state(Start + EntryLifetime, Deadly), State::Clear);
}

TEST_F(QuarantineTest, AResponseEndsASilenceButNoClosedLife) {
  end(Start, 1, EndKind::Silent);
  end(Start, 2, EndKind::Closed);
  Q.recordResponse(Start + milliseconds(100), server(1));
  Q.recordResponse(Start + seconds(1), server(2));
  EXPECT_EQ(Q.reports(Start).at(0).Ends.size(), 2u);
  EXPECT_FALSE(Q.reports(Start).at(0).Ends.at(0).IsWithdrawn);
  Q.recordResponse(Start + seconds(1), server(1));
  EXPECT_TRUE(Q.reports(Start).at(0).Ends.at(0).IsWithdrawn);
  EXPECT_FALSE(Q.reports(Start).at(0).Ends.at(1).IsWithdrawn);
}

TEST_F(QuarantineTest, EvidenceMergesInAnyOrder) {
  end(Start, 1);
  const auto first = Q.takeChangedReports(Start);
  end(Start + seconds(1), 2);
  end(Start + seconds(1), 3);
  const auto second = Q.takeChangedReports(Start + seconds(1));
  const base::Instant now = Start + seconds(2);
  for (const auto *reports : {&second, &first, &second, &first})
    Other.applyReport(now, "a", reports->at(0));
  EXPECT_EQ(Other.state(now, Deadly), State::Quarantined);
  EXPECT_EQ(Other.reports(now).at(0).Ends.size(), 3u);
  EXPECT_TRUE(Other.takeChangedReports(now).empty());
}

TEST_F(QuarantineTest, ALateReportDoesNotBlameAClearedRequest) {
  endThree(Start);
  const auto reports = Q.reports(Start + milliseconds(100));
  Other.applyReport(Start + milliseconds(100), "a", reports.at(0));
  Other.recordServed(Start + milliseconds(200), Deadly);
  // The datagram was on its way for a short time only, but is repeated.
  const auto repeated = Q.reports(Start + seconds(1));
  Other.applyReport(Start + seconds(1), "a", repeated.at(0));
  EXPECT_EQ(Other.state(Start + seconds(1), Deadly), State::Clear);
  const auto cleared = Other.reports(Start + seconds(1));
  Q.applyReport(Start + seconds(1), "b", cleared.at(0));
  EXPECT_EQ(Q.state(Start + seconds(1), Deadly), State::Clear);
}

/// Guards against a request that was cleared so often that no further end is
/// recorded.
TEST_F(QuarantineTest, ARequestThatWasClearedOftenCanBeQuarantined) {
  base::Instant at = Start;
  for (int n = 0; n < 100; ++n) {
    at += milliseconds(100);
    end(at, n);
    Q.recordServed(at + milliseconds(1), Deadly);
  }
  endThree(at + seconds(1));
  EXPECT_EQ(Q.state(at + seconds(1), Deadly), State::Quarantined);
  // What does not count is dropped in time.
  Q.evict(at + seconds(60));
  EXPECT_EQ(Q.reports(at + seconds(60)).at(0).Ends.size(), 3u);
}

TEST_F(QuarantineTest, ServersThatEndAfterAClearanceCountAnew) {
  endThree(Start);
  Q.recordServed(Start + seconds(1), Deadly);
  end(Start + seconds(2), 7);
  EXPECT_EQ(Q.state(Start + seconds(2), Deadly), State::Suspect);
}

TEST_F(QuarantineTest, ATrialFollowsWhenTheEvidenceExpires) {
  end(Start, 1);
  end(Start + seconds(10), 2);
  end(Start + seconds(20), 3);
  const base::Instant now = Start + seconds(30);
  const base::Duration wait = Q.timeUntilTrial(now, Deadly);
  EXPECT_EQ(Q.state(now + wait - milliseconds(1), Deadly), State::Quarantined);
  EXPECT_EQ(Q.state(now + wait, Deadly), State::Suspect);
  // The trial ends another server.
  end(now + wait, 4);
  EXPECT_EQ(Q.state(now + wait, Deadly), State::Quarantined);
  const base::Instant later = Start + seconds(3'000);
  Q.evict(later);
  EXPECT_TRUE(Q.isEmpty());
}

TEST_F(QuarantineTest, OneClaimHoldsAtATime) {
  end(Start, 1);
  EXPECT_TRUE(Q.claim(Start, Deadly));
  EXPECT_FALSE(Q.claim(Start, Deadly));
  EXPECT_EQ(Q.claimState(Start, Deadly), ClaimState::Settling);
  const base::Instant settled = Start + Quarantine::ClaimSettleTime;
  EXPECT_EQ(Q.claimState(settled, Deadly), ClaimState::Held);
  Other.applyClaims(settled, "a", Q.ownClaims());
  EXPECT_FALSE(Other.claim(settled, Deadly));
  Q.endClaim(Deadly);
  Other.applyClaims(settled, "a", Q.ownClaims());
  EXPECT_TRUE(Other.claim(settled, Deadly));
}

TEST_F(QuarantineTest, OfTwoClaimsAtOnceOneHolds) {
  EXPECT_TRUE(Q.claim(Start, Deadly));
  EXPECT_TRUE(Other.claim(Start, Deadly));
  const auto a = Q.ownClaims();
  const auto b = Other.ownClaims();
  Other.applyClaims(Start + milliseconds(5), "a", a);
  Q.applyClaims(Start + milliseconds(5), "b", b);
  const base::Instant settled = Start + Quarantine::ClaimSettleTime;
  const bool isHeld = Q.claimState(settled, Deadly) == ClaimState::Held;
  const bool isOthers = Other.claimState(settled, Deadly) == ClaimState::Held;
  EXPECT_NE(isHeld, isOthers);
}

TEST_F(QuarantineTest, AClaimOfASilentGatewayIsVoid) {
  Other.claim(Start, Deadly);
  Q.applyClaims(Start, "b", Other.ownClaims());
  EXPECT_FALSE(Q.claim(Start + seconds(1), Deadly));
  EXPECT_TRUE(Q.claim(Start + seconds(2), Deadly));
}

TEST_F(QuarantineTest, MemoryAndMessagesAreBounded) {
  endThree(Start);
  for (std::uint32_t i = 0; i < 3 * Quarantine::MaxSuspects; ++i) {
    RequestFingerprint f;
    f.Digest = {9, static_cast<std::uint8_t>(i),
                static_cast<std::uint8_t>(i >> 8)};
    Q.recordEnd(Start + milliseconds(i),
                {f, "org", server(static_cast<int>(i)),
                 Start + milliseconds(i) - milliseconds(20), EndKind::Closed});
  }
  const base::Instant now = Start + seconds(4);
  EXPECT_LE(Q.count(now, State::Suspect), Quarantine::MaxSuspects);
  // The request with the most evidence is kept and reported.
  EXPECT_EQ(Q.state(now, Deadly), State::Quarantined);
  const auto reports = Q.reports(now);
  EXPECT_EQ(reports.size(), Quarantine::MaxReports);
  EXPECT_EQ(reports.front().Fingerprint, Deadly);
  EXPECT_EQ(Q.takeChangedReports(now).size(), Quarantine::MaxReports);
}

/// Several gateways that send each other reports and claims over a network that
/// loses, delays, repeats and reorders them, and a request that ends servers.
class LossyGateways {
public:
  static constexpr std::size_t Gateways = 5;
  static constexpr milliseconds Step{1};
  static constexpr milliseconds RunTime{20};
  static constexpr milliseconds FullReportInterval{500};
  /// A change is sent this long after it, with those that follow meanwhile.
  static constexpr milliseconds BatchDelay{4};

  LossyGateways(std::uint64_t seed, double loss, milliseconds maxDelay)
      : Random(seed), Loss(loss), MaxDelay(maxDelay) {
    for (std::size_t i = 0; i < Gateways; ++i) {
      Members.emplace_back(base::Random(seed * Gateways + i));
      Members.back().OnUpdate = [this, i] {
        DueAt[i] = std::min(DueAt[i], Now + BatchDelay);
      };
      DueAt[i] = FullDueAt[i] = Start + milliseconds(100 * i);
    }
  }

  /// A caller sends the request again every few ms, each time at another
  /// gateway.
  void run(base::Duration length) {
    for (const base::Instant until = Now + length; Now < until; Now += Step) {
      deliver();
      endRuns();
      if (Random.chance(0.2))
        Waiting.push_back({Random.below(Gateways)});
      startRuns();
      for (std::size_t i = 0; i < Gateways; ++i)
        if (Now >= DueAt[i])
          broadcast(i);
    }
  }

  int Ended = 0;
  /// Runs that began when the end of the third server was known to all gateways
  /// that no message was lost to.
  int StartedLate = 0;
  /// By gateway: all ends, and the runs begun before the first of them.
  std::array<int, Gateways> EndedBy{};
  std::array<int, Gateways> StartedEarly{};

private:
  struct WaitingRun {
    std::size_t Gateway;
    bool HasClaim = false;
  };
  struct Run {
    std::size_t Gateway;
    base::Instant SentAt;
    bool HasClaim;
  };
  struct Message {
    base::Instant At;
    std::size_t From;
    std::size_t To;
    std::vector<SuspectReport> Reports;
    std::vector<RunClaim> Claims;
    base::Instant SentAt;
  };

  void startRuns() {
    std::erase_if(Waiting, [&](WaitingRun &run) {
      Quarantine &q = Members[run.Gateway];
      const State state = q.state(Now, Deadly);
      if (state == State::Suspect && !holdsClaim(q, run))
        return false;
      if (state == State::Quarantined) {
        if (run.HasClaim)
          q.endClaim(Deadly);
        return true;
      }
      StartedLate += Now > ThirdEndKnownAt ? 1 : 0;
      StartedEarly[run.Gateway] += EndedBy[run.Gateway] == 0 ? 1 : 0;
      Runs.push_back({run.Gateway, Now, run.HasClaim});
      return true;
    });
  }

  bool holdsClaim(Quarantine &q, WaitingRun &run) {
    if (!run.HasClaim)
      run.HasClaim = q.claim(Now, Deadly);
    if (!run.HasClaim)
      return false;
    const ClaimState state = q.claimState(Now, Deadly);
    run.HasClaim = state != ClaimState::None;
    return state == ClaimState::Held;
  }

  void endRuns() {
    std::erase_if(Runs, [&](const Run &run) {
      if (Now - run.SentAt < RunTime)
        return false;
      if (Ended == 2)
        ThirdEndKnownAt = Now + BatchDelay + MaxDelay;
      Members[run.Gateway].recordEnd(
          Now, {Deadly, "org", server(++Ended), run.SentAt, EndKind::Closed});
      if (run.HasClaim)
        Members[run.Gateway].endClaim(Deadly);
      ++EndedBy[run.Gateway];
      return true;
    });
  }

  void broadcast(std::size_t from) {
    Quarantine &q = Members[from];
    const bool isFull = Now >= FullDueAt[from];
    const auto reports = isFull ? q.reports(Now) : q.takeChangedReports(Now);
    if (isFull)
      FullDueAt[from] = Now + FullReportInterval;
    DueAt[from] = FullDueAt[from];
    for (std::size_t to = 0; to < Gateways; ++to) {
      if (to == from || Random.chance(Loss))
        continue;
      const int copies = Random.chance(0.05) ? 2 : 1;
      for (int i = 0; i < copies; ++i)
        Messages.push_back(
            {Now + milliseconds(1 + Random.below(static_cast<std::uint64_t>(
                                        MaxDelay.count()))),
             from, to, reports, q.ownClaims(), Now});
    }
  }

  void deliver() {
    std::erase_if(Messages, [&](const Message &m) {
      if (m.At > Now)
        return false;
      for (const SuspectReport &report : m.Reports)
        Members[m.To].applyReport(Now, std::to_string(m.From), report);
      Members[m.To].applyClaims(Now, std::to_string(m.From), m.Claims);
      return true;
    });
  }

  base::Random Random;
  double Loss;
  milliseconds MaxDelay;
  base::Instant Now = Start;
  base::Instant ThirdEndKnownAt = base::Instant::max();
  std::vector<Quarantine> Members;
  std::array<base::Instant, Gateways> DueAt{};
  std::array<base::Instant, Gateways> FullDueAt{};
  std::vector<WaitingRun> Waiting;
  std::vector<Run> Runs;
  std::vector<Message> Messages;
};

/// Guards against a request that goes on ending servers when the gateways hear
/// each other (issue 26, BUDGET).
TEST(QuarantineNetwork, ThreeServersEndAndThoseOnTheirWay) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LossyGateways gateways(seed, 0, milliseconds(4));
    gateways.run(seconds(10));
    EXPECT_EQ(gateways.StartedLate, 0) << "seed " << seed;
  }
}

/// With lost and late messages, each other gateway may run it once more. All
/// evidence is repeated every half second.
TEST(QuarantineNetwork, LostAndLateMessagesCostFewServers) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LossyGateways gateways(seed, 0.2, milliseconds(20));
    gateways.run(seconds(10));
    EXPECT_LE(gateways.StartedLate,
              static_cast<int>(LossyGateways::Gateways) - 1)
        << "seed " << seed;
  }
}

/// What is left when gateways do not hear each other: three ends each, or as
/// many as there were runs before the first end.
TEST(QuarantineNetwork, IsolatedGatewaysEndThreeServersEach) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LossyGateways gateways(seed, 1, milliseconds(4));
    gateways.run(seconds(10));
    for (std::size_t i = 0; i < LossyGateways::Gateways; ++i)
      EXPECT_LE(gateways.EndedBy[i], std::max(3, gateways.StartedEarly[i]))
          << "seed " << seed;
  }
}

} // namespace
} // namespace drumlanding::gateway
