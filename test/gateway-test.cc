// Tests of the gateway's decisions, without I/O and with times of their own.
#include "drumlanding/gateway/attempt-policy.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/event-log.h"
#include "drumlanding/gateway/event-splitter.h"
#include "drumlanding/gateway/ledger.h"
#include "drumlanding/gateway/move-plan.h"
#include "drumlanding/gateway/peers.h"
#include "drumlanding/gateway/placement.h"
#include "drumlanding/gateway/retry-budget.h"
#include "drumlanding/gateway/routes.h"
#include "gateway.pb.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <unistd.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;

const base::Instant Start(std::chrono::hours(1));

Route route(std::string host, std::string prefix, std::string service) {
  Route r;
  r.Name = host + prefix;
  r.Host = std::move(host);
  r.PathPrefix = std::move(prefix);
  r.Services = {{std::move(service), 1}};
  return r;
}

ListedServer server(std::string id, std::string service = "llm",
                    std::string zone = "a", std::uint16_t port = 1) {
  ListedServer s;
  s.Id = std::move(id);
  s.Service = std::move(service);
  s.Address = {"10.0.0.1", port};
  s.Zone = std::move(zone);
  return s;
}

LedgerRun run(RunId id, std::string on, std::uint32_t prompt,
              std::uint32_t most = 2000) {
  LedgerRun r;
  r.Id = id;
  r.Server = std::move(on);
  r.PromptTokens = prompt;
  r.ExpectedTokens = most / 2;
  r.MostTokens = most;
  return r;
}

// Routes.

TEST(Routes, LongestPrefixOfTheHostWins) {
  Config config;
  config.Routes = {route("a.example", "/x/", "one"),
                   route("a.example", "/x/y/", "two"),
                   route("b.example", "/x/", "three")};
  const RouteTable table(config);
  EXPECT_EQ(table.find("a.example", "/x/y/z")->Services[0].Service, "two");
  EXPECT_EQ(table.find("A.Example:8080", "/x/z")->Services[0].Service, "one");
  EXPECT_EQ(table.find("b.example", "/x/y/z")->Services[0].Service, "three");
  EXPECT_EQ(table.find("b.example", "/y/"), nullptr);
  EXPECT_EQ(table.find("c.example", "/x/"), nullptr);
  EXPECT_EQ(table.find("a.example", "/x"), nullptr);
}

TEST(Routes, KeysLeadToTheirHolder) {
  Config config;
  config.Organisations = {{"school", {"k1", "k2"}, 1}, {"library", {"k3"}, 0}};
  const RouteTable table(config);
  EXPECT_TRUE(table.needsKeys());
  EXPECT_EQ(table.organisationOf("k2")->Name, "school");
  EXPECT_EQ(table.organisationOf("k3")->Name, "library");
  EXPECT_EQ(table.organisationOf(""), nullptr);
  EXPECT_EQ(table.organisationOf("k"), nullptr);
}

TEST(Routes, ServicesShareByWeight) {
  Route r = route("a", "/", "one");
  r.Services = {{"one", 90}, {"two", 10}};
  base::Random random(7);
  int two = 0;
  constexpr int Draws = 10'000;
  for (int i = 0; i < Draws; ++i)
    two += chooseService(r, random) == "two" ? 1 : 0;
  EXPECT_NEAR(two, Draws / 10, Draws / 50);
  r.Services.clear();
  EXPECT_EQ(chooseService(r, random), "");
}

// Directory.

/// The store is heard all the time until then.
void keepStoreContactUntil(Directory &d, base::Instant until) {
  constexpr seconds While{12};
  for (base::Instant t = until - While; t <= until; t += milliseconds(500))
    d.noteStoreContact(t, until - While);
}

TEST(Directory, LapsedEntriesHaveTimeToComeBackAfterAnOutage) {
  Directory d;
  d.noteStoreContact(Start, Start);
  d.put(Start, server("s1"));
  d.put(Start, server("s2"));
  d.remove(Start + seconds(4), {"s1"});
  d.tick(Start + seconds(4));
  EXPECT_EQ(d.usable(Start + seconds(4), "llm").size(), 2U);
  const base::Instant back = Start + seconds(5);
  d.noteStoreContact(back, back);
  d.replaceAll(back, {});
  EXPECT_EQ(d.usable(back, "llm").size(), 2U);
  d.put(back + seconds(1), server("s1"));
  d.noteStoreContact(back + seconds(2), back);
  d.tick(back + Directory::GraceAfterReturn - milliseconds(1));
  EXPECT_EQ(d.usable(back + seconds(2), "llm").size(), 2U);
  d.tick(back + Directory::GraceAfterReturn + milliseconds(1));
  const auto left = d.usable(back + seconds(3), "llm");
  ASSERT_EQ(left.size(), 1U);
  EXPECT_EQ(left[0]->Listed.Id, "s1");
}

TEST(Directory, AnEntryRemovedInCalmTimesIsLeavingAtOnce) {
  Directory d;
  int told = 0;
  d.OnLeaving = [&](const Server &) { ++told; };
  d.put(Start, server("s1"));
  keepStoreContactUntil(d, Start + seconds(9));
  d.remove(Start + seconds(9), {"s1"});
  EXPECT_TRUE(d.usable(Start + seconds(9), "llm").empty());
  EXPECT_EQ(told, 1);
  d.markLeaving(Start + seconds(10), {"s1"});
  EXPECT_EQ(told, 1);
}

/// Guards against an outage of one gateway's path to the store that is taken
/// for one of the store, since a server that has left was used for 12 s (issue
/// 17).
TEST(Directory, AnEntryThatGoesWhileAnotherGatewayHearsTheStoreIsNoLapse) {
  Directory d;
  d.put(Start, server("s1"));
  d.put(Start, server("s2"));
  // This gateway's own session is lost; another one still reads the list.
  const base::Instant gone = Start + seconds(5);
  keepStoreContactUntil(d, gone);
  d.remove(gone, {"s1"}, Evidence::Gateway);
  const auto left = d.usable(gone, "llm");
  ASSERT_EQ(left.size(), 1U);
  EXPECT_EQ(left[0]->Listed.Id, "s2");
}

/// Guards against a gateway that was isolated and keeps servers that have left
/// for as long as after an outage of the store.
TEST(Directory, WhoWasIsolatedIsToldThatThereWasNoOutage) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, server("s1"));
  const base::Instant back = Start + seconds(8);
  d.noteStoreContact(back, back);
  d.remove(back, {"s1"});
  EXPECT_EQ(d.usable(back, "llm").size(), 1U);
  d.noteStoreContact(back + milliseconds(100), Start - seconds(9));
  d.tick(back + milliseconds(100));
  EXPECT_TRUE(d.usable(back + milliseconds(100), "llm").empty());
  EXPECT_EQ(d.steadySince(), Start - seconds(9));
}

/// Guards against a grace that begins when the store is heard again, up to a
/// second after its return (random runs, seed 80).
TEST(Directory, TheGraceBeginsWithTheEarliestReturnOfTheStore) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, server("s1"));
  const base::Instant failed = Start + seconds(4);
  const base::Instant back = failed + milliseconds(900);
  d.noteStoreContact(back, failed);
  d.remove(back, {"s1"});
  d.tick(failed + Directory::GraceAfterReturn - milliseconds(1));
  EXPECT_EQ(d.usable(back, "llm").size(), 1U);
  d.tick(failed + Directory::GraceAfterReturn);
  EXPECT_TRUE(d.usable(back, "llm").empty());
}

/// A connection that dies in silence is noticed before any entry can lapse.
TEST(Directory, AShortSilenceOfTheStoreIsNoOutage) {
  Directory d(milliseconds(1'000));
  int outages = 0;
  d.OnOutageOver = [&](base::Duration) { ++outages; };
  keepStoreContactUntil(d, Start);
  d.put(Start, server("s1"));
  d.noteStoreContact(Start + milliseconds(1'990), Start + milliseconds(1'990));
  d.remove(Start + milliseconds(1'990), {"s1"});
  EXPECT_TRUE(d.usable(Start + milliseconds(1'990), "llm").empty());
  EXPECT_EQ(outages, 0);
  d.noteStoreContact(Start + milliseconds(4'000), Start + milliseconds(4'000));
  EXPECT_EQ(outages, 1);
}

/// With 3,000 servers each change made 75 gateways fetch 195 KB (sweep).
TEST(Directory, ChangesOfTheListSuffice) {
  Directory follower;
  Directory other;
  keepStoreContactUntil(follower, Start);
  keepStoreContactUntil(other, Start);
  for (const char *id : {"s1", "s2"}) {
    follower.put(Start, server(id));
    other.put(Start, server(id));
  }
  ListedServer leaving = server("s1");
  leaving.State = ServerState::Leaving;
  EXPECT_TRUE(follower.isListedAs(server("s1")));
  EXPECT_FALSE(follower.isListedAs(leaving));
  follower.put(Start, leaving);
  follower.put(Start, server("s3"));
  follower.remove(Start, {"s2"});
  other.put(Start, leaving, Evidence::Gateway);
  other.put(Start, server("s3"), Evidence::Gateway);
  other.remove(Start, {"s2"}, Evidence::Gateway);
  EXPECT_EQ(other.digest(), follower.digest());
  EXPECT_TRUE(other.find("s1")->IsLeaving);
  EXPECT_TRUE(other.find("s2")->IsLeaving);
}

ListedServer listedAt(std::string id, std::uint64_t revision) {
  ListedServer listed = server(std::move(id));
  listed.Revision = revision;
  return listed;
}

/// A change that comes late through another gateway would bring back a server
/// that the store has taken away since, and nothing would correct it.
TEST(Directory, AnOlderChangeUndoesNothing) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, listedAt("s1", 10));
  d.remove(Start, {"s1", 12});
  EXPECT_TRUE(d.usable(Start, "llm").empty());
  d.put(Start, listedAt("s1", 11), Evidence::Gateway);
  EXPECT_TRUE(d.usable(Start, "llm").empty());
  EXPECT_FALSE(d.isListed("s1"));
  d.put(Start, listedAt("s1", 13), Evidence::Gateway);
  EXPECT_EQ(d.usable(Start, "llm").size(), 1U);
  // Messages of two gateways overtake each other.
  d.remove(Start, {"s1", 12}, Evidence::Gateway);
  EXPECT_EQ(d.usable(Start, "llm").size(), 1U);
}

/// Guards against the list of a gateway that has just started: it knows nothing
/// (random runs, seed 80).
TEST(Directory, AnEmptyListOfAGatewayThatHasJustStartedTakesNothingAway) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, listedAt("s1", 10));
  d.replaceAll(Start, {0, {}, {}}, Evidence::Gateway);
  EXPECT_EQ(d.usable(Start, "llm").size(), 1U);
}

/// Guards against a gateway that ignores what others tell of the list for a
/// second after its own session was lost, and used a server 2.1 s after it
/// left.
TEST(Directory, AChangeOfAnotherGatewayHoldsWhileThisOneHearsTheStore) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, listedAt("s1", 10));
  d.remove(Start + milliseconds(50), {"s1", 11}, Evidence::Gateway);
  EXPECT_TRUE(d.usable(Start + milliseconds(50), "llm").empty());
}

/// Gateways change places in following the list: one that knew a new engine
/// fetched a list without it and never used it again (four of seven engines
/// left on pwani-minutes scale-1, forecasts of 35,000 tokens for 34,000).
TEST(Directory, AnOlderListOfAPeerTakesNothingAway) {
  Directory d;
  keepStoreContactUntil(d, Start);
  d.put(Start, listedAt("s1", 10));
  d.put(Start, listedAt("s2", 20));
  d.replaceAll(Start, {19, {listedAt("s1", 10)}, {}}, Evidence::Gateway);
  EXPECT_EQ(d.usable(Start, "llm").size(), 2U);
  d.tick(Start + milliseconds(900));
  EXPECT_EQ(d.usable(Start + milliseconds(900), "llm").size(), 2U);
  d.replaceAll(Start + milliseconds(950), {20, {listedAt("s1", 10)}, {}},
               Evidence::Gateway);
  EXPECT_EQ(d.usable(Start + seconds(1), "llm").size(), 1U);
  // It lists itself again: it never left.
  d.put(Start + seconds(1), listedAt("s2", 21));
  EXPECT_EQ(d.usable(Start + seconds(1), "llm").size(), 2U);
  EXPECT_TRUE(d.leaving(Start + seconds(1)).empty());
  // What another gateway knows to have gone is in its list.
  d.replaceAll(Start + seconds(1), {20, {listedAt("s1", 10)}, {{"s2", 22}}},
               Evidence::Gateway);
  EXPECT_EQ(d.usable(Start + seconds(1), "llm").size(), 1U);
}

TEST(Directory, LeavingServersNeverComeBack) {
  Directory d;
  ListedServer s = server("s1");
  d.put(Start, s);
  s.State = ServerState::Leaving;
  d.put(Start, s);
  s.State = ServerState::Ready;
  d.put(Start + seconds(1), s);
  EXPECT_TRUE(d.usable(Start + seconds(1), "llm").empty());
  // Other gateways are told apart from the list.
  EXPECT_EQ(d.leaving(Start), std::vector<ServerLife>{{"s1"}});
  EXPECT_TRUE(d.leaving(Start + seconds(6)).empty());
}

ListedServer bornAt(std::int64_t ms, ServerState state = ServerState::Ready) {
  ListedServer listed = server("s1");
  listed.BornAt = milliseconds(ms);
  listed.State = state;
  return listed;
}

/// A server that starts again under its id would never be used again, since its
/// earlier life said that it leaves.
TEST(Directory, AServerThatStartsAgainUnderItsIdIsNew) {
  Directory d;
  d.put(Start, bornAt(1'000, ServerState::Leaving));
  d.note(Start, "s1", ServerOutcome::Broken);
  d.opened("s1");
  EXPECT_TRUE(d.usable(Start, "llm").empty());
  const std::uint64_t before = d.digest();
  EXPECT_FALSE(d.isListedAs(bornAt(2'000)));
  d.put(Start, bornAt(2'000));
  ASSERT_EQ(d.usable(Start, "llm").size(), 1U);
  EXPECT_NE(d.digest(), before);
  EXPECT_TRUE(d.avoided(Start).empty());
  EXPECT_EQ(d.find("s1")->Open, 1);
  // It can leave again.
  int left = 0;
  d.OnLeaving = [&](const Server &) { ++left; };
  d.put(Start, bornAt(2'000, ServerState::Leaving));
  EXPECT_EQ(left, 1);
}

TEST(Directory, NewsOfAnEarlierLifeOfAServerSayNothing) {
  Directory d;
  d.put(Start, bornAt(2'000));
  d.put(Start, bornAt(1'000, ServerState::Leaving));
  d.markLeaving(Start, {"s1", milliseconds(1'000)});
  ServerNotice earlier{bornAt(1'000), true, milliseconds(500)};
  d.applyNotice(Start, earlier);
  d.applyAvoided(Start, {"s1", 3, seconds(1), milliseconds(1'000)});
  EXPECT_EQ(d.usable(Start, "llm").size(), 1U);
  EXPECT_TRUE(d.avoided(Start).empty());
  EXPECT_EQ(d.find("s1")->Listed.BornAt, milliseconds(2'000));
  // A later life may be heard of from the process beside it first.
  ServerNotice later{bornAt(3'000), true, milliseconds(500)};
  d.applyNotice(Start, later);
  EXPECT_TRUE(d.usable(Start, "llm").empty());
  EXPECT_EQ(d.find("s1")->GoneAt, Start + milliseconds(500));
  d.put(Start, bornAt(2'000));
  EXPECT_TRUE(d.usable(Start, "llm").empty());
}

ServerNotice notice(std::string id, std::uint16_t port) {
  ServerNotice n;
  n.Seen = server(std::move(id), "llm", "a", port);
  return n;
}

TEST(Directory, NoticesSayWhenAServerIsGone) {
  Directory d;
  d.put(Start, server("s1", "llm", "a", 1));
  d.put(Start, server("s2", "llm", "a", 2));
  ServerNotice n = notice("s2", 2);
  n.IsLeaving = true;
  n.LeavesIn = milliseconds(1'700);
  d.applyNotice(Start, n);
  EXPECT_FALSE(d.find("s1")->IsLeaving);
  EXPECT_TRUE(d.find("s2")->IsLeaving);
  EXPECT_FALSE(d.find("s2")->IsPlannedLeave);
  EXPECT_EQ(d.find("s2")->GoneAt, Start + milliseconds(1'700));
  // A repeated notice does not put it off.
  d.applyNotice(Start + seconds(1), n);
  EXPECT_EQ(d.find("s2")->GoneAt, Start + milliseconds(1'700));
  EXPECT_EQ(d.leaving(Start + seconds(1)), std::vector<ServerLife>{{"s2"}});
  // What was told does not change what the list says.
  EXPECT_EQ(d.list().Servers[1].State, ServerState::Ready);
}

/// After a power loss of everything the list holds servers that have ended:
/// 11 to 15 streams a day were refused.
TEST(Directory, ANoticeBringsTheServerThatTookAnAddress) {
  Directory d;
  d.put(Start, server("s1", "llm", "a", 1));
  d.applyNotice(Start, notice("s1", 1));
  ASSERT_EQ(d.usable(Start, "llm").size(), 1U);
  d.applyNotice(Start + seconds(1), notice("n1", 1));
  const auto usable = d.usable(Start + seconds(1), "llm");
  ASSERT_EQ(usable.size(), 1U);
  EXPECT_EQ(usable[0]->Listed.Id, "n1");
  EXPECT_TRUE(d.find("s1")->IsReplaced);
  // The list does not hold it yet: others are not told of it, and reading the
  // list does not take it away (it would never come back).
  EXPECT_EQ(d.list().Servers.size(), 1U);
  d.replaceAll(Start + seconds(1), {0, {server("s1", "llm", "a", 1)}, {}});
  EXPECT_EQ(d.usable(Start + seconds(1), "llm").size(), 1U);
  d.put(Start + seconds(2), server("n1", "llm", "a", 1));
  EXPECT_EQ(d.list().Servers.size(), 2U);
  // A notice without an id, or of an unknown one that leaves, says nothing.
  d.applyNotice(Start, notice("", 3));
  ServerNotice leaving = notice("n3", 3);
  leaving.IsLeaving = true;
  d.applyNotice(Start, leaving);
  EXPECT_EQ(d.usable(Start + seconds(2), "llm").size(), 1U);
}

/// The list can hold both for some seconds: eight streams a day were refused.
TEST(Directory, ANoticeEndsTheListedServerBeforeItAtItsAddress) {
  Directory d;
  d.put(Start, server("s1", "llm", "a", 1));
  d.put(Start, server("n1", "llm", "a", 1));
  EXPECT_EQ(d.usable(Start, "llm").size(), 2U);
  d.applyNotice(Start, notice("n1", 1));
  const auto usable = d.usable(Start, "llm");
  ASSERT_EQ(usable.size(), 1U);
  EXPECT_EQ(usable[0]->Listed.Id, "n1");
}

TEST(Directory, AReplacedServerGetsNothingMore) {
  Directory d;
  d.put(Start, server("s1"));
  d.markReplaced(Start, "s1");
  EXPECT_TRUE(d.usable(Start, "llm").empty());
}

TEST(Directory, FailingServersAreAvoidedAndTriedAgain) {
  Directory d;
  d.put(Start, server("s1"));
  d.put(Start, server("s2"));
  for (int i = 0; i < 20; ++i)
    d.note(Start, "s1", ServerOutcome::Failed);
  ASSERT_EQ(d.usable(Start, "llm").size(), 1U);
  EXPECT_EQ(d.usable(Start + seconds(3), "llm").size(), 2U);
  // When all fail, all are tried.
  for (int i = 0; i < 20; ++i)
    d.note(Start, "s2", ServerOutcome::Failed);
  EXPECT_EQ(d.usable(Start, "llm").size(), 2U);
}

/// A server that resets everything is the emptiest of all: every gateway must
/// hear of it after the first broken answer.
TEST(Directory, ABrokenAnswerIsToldToTheOthers) {
  Directory here;
  Directory there;
  for (Directory *d : {&here, &there}) {
    d->put(Start, server("s1"));
    d->put(Start, server("s2"));
  }
  here.note(Start, "s1", ServerOutcome::Broken);
  ASSERT_EQ(here.avoided(Start).size(), 1U);
  there.applyAvoided(Start, here.avoided(Start)[0]);
  EXPECT_EQ(there.usable(Start, "llm").size(), 1U);
  EXPECT_EQ(there.usable(Start + seconds(2), "llm").size(), 2U);
  // Again: twice as long. What is known already does not put it off.
  there.note(Start + seconds(2), "s1", ServerOutcome::Broken);
  EXPECT_EQ(there.usable(Start + milliseconds(3'900), "llm").size(), 1U);
  there.applyAvoided(Start + seconds(3), {"s1", 1, milliseconds(9'000)});
  EXPECT_EQ(there.usable(Start + milliseconds(4'100), "llm").size(), 2U);
  there.note(Start + seconds(5), "s1", ServerOutcome::Served);
  EXPECT_EQ(there.find("s1")->BrokenAnswers, 0);
}

TEST(Directory, DigestsTellListsApart) {
  Directory a;
  Directory b;
  for (Directory *d : {&a, &b}) {
    d->put(Start, server("s1"));
    d->put(Start, server("s2"));
  }
  EXPECT_EQ(a.digest(), b.digest());
  // What a gateway knows besides does not change what it was told.
  a.markLeaving(Start, {"s1"});
  a.applyNotice(Start, notice("s9", 9));
  EXPECT_EQ(a.digest(), b.digest());
  b.put(Start, server("s1", "llm", "a"));
  ListedServer leaving = server("s1");
  leaving.State = ServerState::Leaving;
  b.put(Start, leaving);
  EXPECT_NE(a.digest(), b.digest());
}

TEST(Directory, OrdinaryFailuresDoNotCount) {
  Directory d;
  d.put(Start, server("s1"));
  d.put(Start, server("s2"));
  base::Random random(3);
  for (int i = 0; i < 1'000; ++i)
    d.note(Start, "s1",
           random.chance(0.14) ? ServerOutcome::Failed : ServerOutcome::Served);
  EXPECT_EQ(d.usable(Start, "llm").size(), 2U);
}

// Attempt policy.

struct PolicyCase {
  AttemptEnd End;
  RequestKind Kind;
  int Sends;
  int MaxSends;
  bool MayHaveRun;
  Step Expected;
};

TEST(AttemptPolicy, OnlyProofOrRepeatabilityAllowsAnotherServer) {
  using E = AttemptEnd;
  using K = RequestKind;
  const PolicyCase cases[] = {
      {E::Served, K::Stream, 1, 1, false, Step::Deliver},
      {E::Failed, K::NonIdempotent, 1, 3, false, Step::Deliver},
      {E::Failed, K::Idempotent, 1, 2, false, Step::TryAnother},
      {E::Failed, K::Idempotent, 2, 2, true, Step::Deliver},
      {E::Broken, K::NonIdempotent, 1, 3, false, Step::GiveUpMayHaveRun},
      {E::Broken, K::Stream, 1, 3, false, Step::GiveUpMayHaveRun},
      {E::Broken, K::Idempotent, 1, 2, false, Step::TryAnother},
      {E::Broken, K::Idempotent, 2, 2, true, Step::GiveUpMayHaveRun},
      {E::NotRun, K::NonIdempotent, 1, 2, false, Step::TryAnother},
      {E::NotRun, K::NonIdempotent, 1, 1, false, Step::RefuseNotRun},
      {E::NotRun, K::Idempotent, 2, 2, true, Step::GiveUpMayHaveRun},
      {E::Unreachable, K::NonIdempotent, 0, 1, false, Step::TryAnother},
      {E::OtherServer, K::Stream, 0, 1, false, Step::TryAnother},
  };
  for (const PolicyCase &c : cases) {
    AttemptState state;
    state.End = c.End;
    state.Kind = c.Kind;
    state.Sends = c.Sends;
    state.Arrivals = c.End == AttemptEnd::OtherServer ? 1 : c.Sends;
    state.MaxSends = c.MaxSends;
    state.MayHaveRun = c.MayHaveRun;
    EXPECT_EQ(nextStep(state, [] { return true; }), c.Expected)
        << static_cast<int>(c.End) << " " << static_cast<int>(c.Kind);
  }
}

/// Every combination: "not run" is said only of what cannot have run, and what
/// may have run once is never sent again unless it may be repeated.
TEST(AttemptPolicy, HoldsItsPromisesInEveryCase) {
  for (int end = 0; end <= static_cast<int>(AttemptEnd::Unreachable); ++end)
    for (int kind = 0; kind <= static_cast<int>(RequestKind::Stream); ++kind)
      for (int bits = 0; bits < 32; ++bits)
        for (int sends = 0; sends <= 3; ++sends) {
          AttemptState s;
          s.End = static_cast<AttemptEnd>(end);
          s.Kind = static_cast<RequestKind>(kind);
          s.Sends = sends;
          s.Arrivals = sends;
          s.MaxSends = 2;
          s.MayHaveRun = (bits & 1) != 0;
          s.HasTime = (bits & 2) != 0;
          s.HasServer = (bits & 4) != 0;
          const bool hasBudget = (bits & 8) != 0;
          const Step step = nextStep(s, [&] { return hasBudget; });
          const bool mayHaveRunNow =
              s.End == AttemptEnd::Broken || s.End == AttemptEnd::Failed;
          if (step == Step::RefuseNotRun) {
            EXPECT_FALSE(mayHaveRunNow || s.MayHaveRun);
          }
          if (step == Step::TryAnother && s.Kind != RequestKind::Idempotent) {
            EXPECT_FALSE(mayHaveRunNow);
          }
          if (step == Step::TryAnother) {
            EXPECT_TRUE(s.HasTime && s.HasServer);
            EXPECT_TRUE(sends == 0 || (hasBudget && sends < s.MaxSends));
          }
        }
}

TEST(AttemptPolicy, TakesFromTheBudgetOnlyWhatItUses) {
  AttemptState s;
  s.End = AttemptEnd::Broken;
  s.Kind = RequestKind::Idempotent;
  s.Sends = 1;
  s.Arrivals = 1;
  s.MaxSends = 2;
  int taken = 0;
  const auto take = [&] { return ++taken > 0; };
  s.HasTime = false;
  EXPECT_EQ(nextStep(s, take), Step::GiveUpMayHaveRun);
  s.HasTime = true;
  s.HasServer = false;
  EXPECT_EQ(nextStep(s, take), Step::GiveUpMayHaveRun);
  EXPECT_EQ(taken, 0);
  s.HasServer = true;
  EXPECT_EQ(nextStep(s, take), Step::TryAnother);
  EXPECT_EQ(taken, 1);
}

/// A power loss of everything changes all servers at once: 841 arrivals beyond
/// the first in 10 s, where 232 were allowed.
TEST(AttemptPolicy, EndedServersDrawOnTheBudgetToo) {
  AttemptState s;
  s.End = AttemptEnd::OtherServer;
  s.Kind = RequestKind::Stream;
  s.Sends = 0;
  s.Arrivals = 1;
  EXPECT_EQ(nextStep(s, [] { return false; }), Step::RefuseNotRun);
  EXPECT_EQ(nextStep(s, [] { return true; }), Step::TryAnother);
  s.Arrivals = MostArrivals;
  EXPECT_EQ(nextStep(s, [] { return true; }), Step::RefuseNotRun);
}

// Retry budget.

TEST(RetryBudget, StaysBelowItsPartOfEveryWindow) {
  RetryBudget budget({0.2, 50, seconds(10)});
  constexpr int Gateways = 5;
  base::Random random(11);
  std::deque<base::Instant> firsts;
  std::deque<base::Instant> retries;
  for (int ms = 0; ms < 60'000; ms += 20) {
    const base::Instant now = Start + milliseconds(ms);
    // Bursts of everything failing.
    const bool isBurst = (ms / 7'000) % 2 == 1;
    if (random.chance(0.5)) {
      budget.firstSend(now, "shop");
      firsts.push_back(now);
    }
    if (isBurst && budget.tryRetry(now, "shop", Gateways))
      retries.push_back(now);
    while (!firsts.empty() && firsts.front() < now - seconds(10))
      firsts.pop_front();
    while (!retries.empty() && retries.front() < now - seconds(10))
      retries.pop_front();
    EXPECT_LE(static_cast<double>(retries.size()),
              0.2 * static_cast<double>(firsts.size()) + 50.0 / Gateways);
  }
}

TEST(RetryBudget, ServicesDoNotShareIt) {
  RetryBudget budget({0.0, 2, seconds(10)});
  EXPECT_TRUE(budget.tryRetry(Start, "a", 1));
  EXPECT_FALSE(budget.tryRetry(Start, "a", 1));
  EXPECT_TRUE(budget.tryRetry(Start, "b", 1));
  EXPECT_TRUE(budget.tryRetry(Start + seconds(11), "a", 1));
}

// Event splitter.

TEST(EventSplitter, KeepsACutEventBack) {
  EventSplitter s;
  EXPECT_EQ(s.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_TRUE(s.hasRest());
  EXPECT_EQ(s.lastId(), 1);
  s.restart();
  EXPECT_EQ(s.feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(s.hasRest());
  EXPECT_EQ(s.events(), 2U);
}

TEST(EventSplitter, DropsWhatHasPassed) {
  EventSplitter s;
  s.feed("id: 4\ndata: a\n\n");
  EXPECT_EQ(s.feed("id: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: b\n\n"),
            "id: 5\ndata: b\n\n");
}

TEST(EventSplitter, TakesBytesOneByOneAndAnyLineEnd) {
  for (const std::string eol : {"\n", "\r\n"}) {
    const std::string text = "versions: 3" + eol + "id: 0" + eol + "data: a" +
                             eol + eol + ": note" + eol + eol + "id:1" + eol +
                             "data: b" + eol + eol;
    EventSplitter s;
    std::string out;
    for (const char c : text)
      out += s.feed({&c, 1});
    EXPECT_EQ(out, text);
    EXPECT_EQ(s.lastId(), 1);
    EXPECT_EQ(s.events(), 2U);
  }
}

// Ledger and placement.

TEST(Ledger, ForecastsWhatRunsWillAdd) {
  LedgerRun r = run(1, "s", 1'000);
  r.ExpectedTokens = 300;
  r.MadeTokens = 100;
  EXPECT_EQ(expectedRemaining(r), 200U);
  r.MadeTokens = 400; // it has outrun its estimate
  EXPECT_EQ(expectedRemaining(r), 200U);
  r.MostTokens = 450;
  EXPECT_EQ(expectedRemaining(r), 50U);
}

TEST(Ledger, AddsTheOtherGatewaysAndForgetsSilentOnes) {
  Ledger ledger;
  ledger.begin(run(1, "s", 1'000));
  ledger.takePeer(Start, "peer", {run(2, "s", 500), run(3, "t", 700)});
  EXPECT_EQ(ledger.loads()["s"].Running, 2);
  EXPECT_EQ(ledger.loads()["s"].UsedTokens, 1'500U);
  EXPECT_EQ(ledger.runsOn("t").size(), 1U);
  ledger.tick(Start + seconds(5));
  EXPECT_EQ(ledger.loads()["s"].Running, 1);
  ledger.end(1);
  EXPECT_EQ(ledger.loads()["s"].Running, 0);
}

struct PlacementTest : testing::Test {
  PlacementTest() {
    Llm.Name = "llm";
    Llm.Engine = EngineTraits{};
    Llm.Engine->MemoryTokens = 30'000;
  }
  Directory Servers;
  Ledger Runs;
  Service Llm;
  Placement Placing{Servers, Runs, "a"};
};

TEST_F(PlacementTest, ChoosesTheEngineThatWillHoldLeast) {
  Servers.put(Start, server("s1"));
  Servers.put(Start, server("s2"));
  LedgerRun long1 = run(1, "s1", 3'000);
  long1.HasBegun = true;
  Runs.begin(long1);
  const Choice c = Placing.forGeneration(Start, Llm, {3'000, 1'000}, {});
  ASSERT_NE(c.Chosen, nullptr);
  EXPECT_EQ(c.Chosen->Listed.Id, "s2");
  EXPECT_EQ(c.Candidates, 2);
}

TEST_F(PlacementTest, AvoidsEnginesWhoseMemoryWouldOverflow) {
  Servers.put(Start, server("full", "llm", "a"));
  Servers.put(Start, server("far", "llm", "b"));
  for (RunId i = 0; i < 8; ++i) {
    LedgerRun r = run(i, "full", 3'300);
    r.HasBegun = true;
    Runs.begin(r);
  }
  const Choice c = Placing.forGeneration(Start, Llm, {3'000, 1'000}, {});
  EXPECT_EQ(c.Chosen->Listed.Id, "far");
}

/// Gateways that take the list from others hear of a cold server once.
TEST_F(PlacementTest, ColdServersWarmUpWithTime) {
  ListedServer cold = server("cold", "llm", "a");
  cold.ColdLeft = milliseconds(1'000);
  Servers.put(Start, cold);
  Servers.put(Start, server("far", "llm", "b"));
  EXPECT_EQ(Placing.forGeneration(Start, Llm, {100, 10}, {}).Chosen->Listed.Id,
            "far");
  EXPECT_EQ(Placing.forGeneration(Start + seconds(1), Llm, {100, 10}, {})
                .Chosen->Listed.Id,
            "cold");
}

/// Configs divide routes of streams between an engine and a plain service.
TEST_F(PlacementTest, StreamsOfPlainServicesFindAServer) {
  Servers.put(Start, server("plain", "shop"));
  Service shop;
  shop.Name = "shop";
  const Choice c = Placing.forGeneration(Start, shop, {3'000, 1'000}, {});
  ASSERT_NE(c.Chosen, nullptr);
  EXPECT_EQ(c.Chosen->Listed.Id, "plain");
}

TEST_F(PlacementTest, PrefersTheOwnZoneAmongEquals) {
  Servers.put(Start, server("far", "llm", "b"));
  Servers.put(Start, server("near", "llm", "a"));
  EXPECT_EQ(Placing.forGeneration(Start, Llm, {100, 10}, {}).Chosen->Listed.Id,
            "near");
  // A move looks at the zone that the copy comes from.
  const Server source{server("source", "llm", "b")};
  EXPECT_EQ(
      Placing.forMove(Start, Llm, {100, 10}, source, {}).Chosen->Listed.Id,
      "far");
}

/// Engines that reset every request and say that they are well were tried again
/// by long streams, several at once (lernwerk-ob-grown trouble-1, 25 lost).
TEST_F(PlacementTest, AStruckEngineIsTriedByOneShortGenerationAtATime) {
  Servers.put(Start, server("failing"));
  Servers.put(Start, server("busy"));
  Servers.note(Start, "failing", ServerOutcome::Broken);
  for (RunId i = 0; i < 4; ++i) {
    LedgerRun r = run(i, "busy", 4'000);
    r.HasBegun = true;
    Runs.begin(r);
  }
  const base::Instant later = Start + seconds(2);
  const auto chosen = [&](std::uint32_t expected) {
    return Placing.forGeneration(later, Llm, {2'000, expected}, {})
        .Chosen->Listed.Id;
  };
  EXPECT_EQ(chosen(700), "busy");
  EXPECT_EQ(chosen(20), "failing");
  Runs.begin(run(9, "failing", 2'000, 40));
  EXPECT_EQ(chosen(20), "busy");
  Servers.note(later, "failing", ServerOutcome::Served);
  EXPECT_EQ(chosen(700), "failing");
}

/// Three engines of one zone left at once, and all their generations went to
/// one destination after another: each copy waited behind two others, and the
/// last ones came after the engines' end (lernwerk-ob-grown scale-1, 21 streams
/// cut).
TEST_F(PlacementTest, MovesOfSeveralSourcesSpreadOverDestinations) {
  constexpr int Destinations = 12;
  for (int i = 0; i < Destinations; ++i)
    Servers.put(Start, server("d" + std::to_string(i)));
  std::set<std::string> chosen;
  for (const char *id : {"u", "v", "w", "x", "y", "z"}) {
    const Server source{server(id)};
    const Choice c = Placing.forMove(Start, Llm, {3'000, 500}, source, {});
    chosen.insert(c.Chosen->Listed.Id);
  }
  EXPECT_GE(chosen.size(), 4U);
}

TEST_F(PlacementTest, AMoveKeepsAwayFromWhereAnotherCopyGoes) {
  Servers.put(Start, server("d1"));
  Servers.put(Start, server("d2"));
  const Server source{server("source")};
  const std::string first =
      Placing.forMove(Start, Llm, {3'000, 500}, source, {}).Chosen->Listed.Id;
  LedgerRun moving = run(1, "other", 3'000);
  moving.CopyServer = first;
  Runs.begin(moving);
  EXPECT_NE(
      Placing.forMove(Start, Llm, {3'000, 500}, source, {}).Chosen->Listed.Id,
      first);
}

TEST_F(PlacementTest, NeverChoosesLeavingOrTriedServers) {
  Servers.put(Start, server("s1"));
  Servers.put(Start, server("s2"));
  Servers.markLeaving(Start, {"s1"});
  const std::vector<std::string> tried{"s2"};
  EXPECT_EQ(Placing.forGeneration(Start, Llm, {1, 1}, tried).Chosen, nullptr);
  base::Random random(1);
  EXPECT_EQ(Placing.forCall(Start, "llm", tried, random), nullptr);
}

TEST_F(PlacementTest, CallsGoWhereFewestAreOpen) {
  Servers.put(Start, server("near", "shop", "a"));
  Servers.put(Start, server("far", "shop", "b"));
  base::Random random(1);
  EXPECT_EQ(Placing.forCall(Start, "shop", {}, random)->Listed.Id, "near");
  Servers.opened("near");
  EXPECT_EQ(Placing.forCall(Start, "shop", {}, random)->Listed.Id, "far");
  Servers.closed("near");
  EXPECT_EQ(Placing.forCall(Start, "shop", {}, random)->Listed.Id, "near");
}

// Move plan.

TEST(MovePlan, GatewaysAgreeOnOneOrder) {
  std::vector<LedgerRun> there;
  for (RunId i = 1; i <= 6; ++i)
    there.push_back(run(i, "s", 1'000 + static_cast<std::uint32_t>(i % 3),
                        i == 6 ? 40 : 2'000));
  std::vector<RunId> order;
  while (!there.empty()) {
    std::vector<RunId> turns;
    for (std::size_t i = 0; i < there.size(); ++i) {
      // Each gateway sees the list in an order of its own.
      std::vector<LedgerRun> seen = there;
      std::rotate(seen.begin(), seen.begin() + static_cast<std::ptrdiff_t>(i),
                  seen.end());
      if (isTurn(seen, there[i]))
        turns.push_back(there[i].Id);
    }
    ASSERT_EQ(turns.size(), 1U);
    order.push_back(turns[0]);
    std::erase_if(there, [&](const LedgerRun &r) { return r.Id == turns[0]; });
  }
  // What ends within the notice comes last.
  EXPECT_EQ(order.back(), 6U);
}

TEST(MovePlan, ProgressDoesNotChangeTheOrder) {
  LedgerRun a = run(1, "s", 1'000);
  LedgerRun b = run(2, "s", 1'000);
  a.HasBegun = true;
  b.HasBegun = true;
  const std::vector<LedgerRun> before{a, b};
  const bool aFirst = isTurn(before, a);
  a.MadeTokens = 500;
  b.MadeTokens = 3;
  const std::vector<LedgerRun> after{a, b};
  EXPECT_EQ(isTurn(after, a), aFirst);
  EXPECT_NE(isTurn(after, b), aFirst);
}

/// A generation whose prompt was still being read held up the others of a
/// leaving engine for 0.9 s, and then all copied at once (pwani-minutes-grown
/// trouble-3, 49 streams cut).
TEST(MovePlan, WhatHasNotBegunHoldsNobodyUp) {
  LedgerRun unread = run(1, "s", 1'000, 8'000);
  LedgerRun begun = run(2, "s", 4'000, 400);
  begun.HasBegun = true;
  const std::vector<LedgerRun> there{unread, begun};
  EXPECT_TRUE(isTurn(there, begun));
  EXPECT_FALSE(isTurn(there, unread));
}

TEST(MovePlan, ACopyUnderWayIsNotOvertaken) {
  LedgerRun moving = run(1, "s", 4'000, 400);
  moving.HasBegun = true;
  moving.CopyServer = "d";
  LedgerRun better = run(2, "s", 1'000, 8'000);
  better.HasBegun = true;
  const std::vector<LedgerRun> there{moving, better};
  EXPECT_TRUE(isTurn(there, moving));
  EXPECT_FALSE(isTurn(there, better));
}

TEST(MovePlan, WhatIsWorthMostForItsCopyGoesFirst) {
  LedgerRun large = run(1, "s", 6'000, 2'000);
  large.HasBegun = true;
  LedgerRun small = run(2, "s", 1'500, 2'000);
  small.HasBegun = true;
  const std::vector<LedgerRun> there{large, small};
  EXPECT_TRUE(isTurn(there, small));
}

TEST(MovePlan, CopiesTakeTheTimeOfTheirBytes) {
  EngineTraits engine;
  engine.BytesPerToken = 18'432;
  engine.LinkMbps = 2'700;
  const base::Duration near = copyTime(engine, 4'000, false);
  EXPECT_NEAR(static_cast<double>(base::toMs(near)), 218, 1);
  EXPECT_EQ(copyTime(engine, 4'000, true), 2 * near);
  engine.LinkMbps = 0;
  EXPECT_EQ(copyTime(engine, 4'000, false), base::Duration(0));
}

// Peers.

wire::Gossip gossip(std::string address, std::uint64_t version = 0) {
  wire::Gossip message;
  message.set_name(address);
  message.set_address(std::move(address));
  message.set_config_version(version);
  return message;
}

TEST(Peers, AreFoundFromSeedsAndFromEachOther) {
  Peers peers(Start,
              {"own", {"10.0.0.1", 9}, 1, {{"10.0.0.2", 9}, {"10.0.0.1", 9}}});
  // The own address is no peer.
  ASSERT_EQ(peers.due(Start).size(), 1U);
  EXPECT_TRUE(peers.live(Start).empty());
  wire::Gossip message = gossip("10.0.0.2:9", 7);
  message.add_peers("10.0.0.3:9");
  message.add_peers("10.0.0.1:9");
  message.add_peers("nonsense");
  EXPECT_EQ(peers.heard(Start, message), Peers::Heard::Newcomer);
  EXPECT_EQ(peers.heard(Start, message), Peers::Heard::Known);
  ASSERT_EQ(peers.live(Start).size(), 1U);
  EXPECT_EQ(peers.live(Start)[0].ConfigVersion, 7U);
  EXPECT_EQ(peers.due(Start).size(), 2U);
  EXPECT_EQ(peers.heard(Start, gossip("10.0.0.1:9")), Peers::Heard::Nothing);
  EXPECT_EQ(peers.heard(Start, gossip("garbage")), Peers::Heard::Nothing);
}

TEST(Peers, SilentOnesAreToldSeldomAndStillCountForAWhile) {
  Peers peers(Start, {"own", {"10.0.0.1", 9}, 1, {}});
  peers.heard(Start, gossip("10.0.0.2:9"));
  // Just after the start nobody may have been heard yet: after a power loss
  // each gateway took the whole allowance for itself.
  EXPECT_GE(peers.gateways(Start), 20);
  const base::Instant later = Start + seconds(5);
  EXPECT_TRUE(peers.live(later).empty());
  EXPECT_EQ(peers.gateways(later), 2);
  EXPECT_EQ(peers.due(later).size(), 1U);
  EXPECT_TRUE(peers.due(later + milliseconds(500)).empty());
  EXPECT_EQ(peers.due(later + milliseconds(1'100)).size(), 1U);
  EXPECT_TRUE(peers.due(Start + seconds(30)).empty());
  EXPECT_EQ(peers.gateways(Start + seconds(30)), 1);
}

TEST(Peers, AFewFollowTheListForAll) {
  constexpr int Gateways = 9;
  const auto address = [](int i) {
    return base::Endpoint{"10.0.0." + std::to_string(i), 9};
  };
  std::vector<std::unique_ptr<Peers>> all;
  for (int i = 0; i < Gateways; ++i)
    all.push_back(std::make_unique<Peers>(
        Start, PeersOptions{std::to_string(i), address(i), 1,
                            std::vector<base::Endpoint>{}}));
  std::vector<bool> watches(Gateways, true);
  const auto talk = [&](base::Instant now, int cutOff) {
    for (int from = 0; from < Gateways; ++from)
      for (int to = 0; to < Gateways; ++to) {
        wire::Gossip message = gossip(base::toString(address(from)));
        message.set_watches_list(watches[from]);
        message.set_list_age_ms(from == cutOff ? 5'000 : 0);
        if (from != to)
          all[to]->heard(now, message);
      }
    for (int i = 0; i < Gateways; ++i)
      watches[i] = all[i]->shouldWatchList(now);
  };
  talk(Start, -1);
  talk(Start, -1);
  EXPECT_EQ(std::count(watches.begin(), watches.end(), true), 2);
  // One of them is turned away by the store: another takes its place.
  const auto first = std::find(watches.begin(), watches.end(), true);
  const int cutOff = static_cast<int>(first - watches.begin());
  talk(Start, cutOff);
  const auto others = std::count(watches.begin(), watches.end(), true) -
                      (watches[cutOff] ? 1 : 0);
  EXPECT_EQ(others, 2);
}

TEST(Peers, AGoodbyeEndsThePeer) {
  Peers peers(Start, {"own", {"10.0.0.1", 9}, 1, {}});
  wire::Gossip message = gossip("10.0.0.2:9");
  peers.heard(Start, message);
  message.set_is_last(true);
  peers.heard(Start, message);
  EXPECT_TRUE(peers.live(Start).empty());
}

// Event log.

TEST(EventLog, LinesAreJsonWhateverCallersSend) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  EventLog log("p", ends[1]);
  log.write("test", {{"text", "a\"b\\c\n\x01"},
                     {"number", -3},
                     {"part", 0.5},
                     {"flag", true}});
  char buf[512];
  const auto n = ::read(ends[0], buf, sizeof(buf));
  ASSERT_GT(n, 0);
  const auto json = nlohmann::json::parse(std::string(buf, buf + n));
  EXPECT_EQ(json["text"], "a\"b\\c\n\x01");
  EXPECT_EQ(json["number"], -3);
  EXPECT_EQ(json["flag"], true);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST(EventLog, AReaderThatStopsCostsLinesAndNoTime) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  EventLog log("p", ends[1]);
  const std::string text(500, 'x');
  for (int i = 0; i < 1'000; ++i)
    log.write("test", {{"text", text}});
  EXPECT_GT(log.dropped(), 0U);
  std::string all;
  char buf[4096];
  for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof(buf))) > 0;)
    all.append(buf, static_cast<std::size_t>(n));
  log.write("after", {});
  const auto n = ::read(ends[0], buf, sizeof(buf));
  ASSERT_GT(n, 0);
  const auto json = nlohmann::json::parse(std::string(buf, buf + n));
  EXPECT_EQ(json["lines_dropped_before"], log.dropped());
  ::close(ends[0]);
  ::close(ends[1]);
}

} // namespace
} // namespace drumlanding::gateway
