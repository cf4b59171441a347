// Randomised runs of the gateways' decisions: several gateways' directories,
// ledgers, placements, budgets and peers on one virtual clock, with a network
// that loses what they tell each other, a store that goes away, servers that
// come, leave, vanish, crash and give their address to others, and gateways
// that start anew. The shortest run that breaks an invariant is printed.
//
// DRUMLANDING_RANDOM_RUNS sets how many (1,000 in CI); RC_PARAMS overrides the
// seed, which is printed.
#include "gossip-messages.h"

#include "drumlanding/gateway/attempt-policy.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/peers.h"
#include "drumlanding/gateway/placement.h"
#include "drumlanding/gateway/retry-budget.h"
#include "drumlanding/gateway/run-delta.h"
#include "drumlanding/gateway/run-table.h"
#include "drumlanding/gateway/store-reader.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <sstream>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;

constexpr const char *DefaultRuns = "1000";
constexpr const char *Seed = "20261202";
constexpr int GatewayCount = 3;
constexpr int AddressCount = 6;
constexpr milliseconds Tick{50};
constexpr milliseconds WholeEvery{500};
constexpr milliseconds ListEvery{400};
/// A call that gets no answer, and the pause before the next.
constexpr milliseconds LostCallTime{1'100};
/// The stated bounds: after so long without trouble a gateway is in touch, and
/// no request of one in touch goes to a server that left so long ago.
constexpr milliseconds InTouchAfter{3'000};
constexpr milliseconds DrainBound{2'000};
/// After so long without trouble all gateways know the same.
constexpr milliseconds Settled{8'000};
constexpr RetryBudgetOptions Budget{0.2, 12, milliseconds(10'000)};
constexpr int MaxSends = 2;

enum class ActionKind {
  Request,
  BeginRun,
  EndRun,
  StartServer,
  StartAgain,
  LeaveServer,
  VanishServer,
  CrashServer,
  StoreDown,
  StoreUp,
  LossBegins,
  LossEnds,
  CutOff,
  CutEnds,
  Isolate,
  IsolationEnds,
  RestartGateway,
};

struct Action {
  ActionKind Kind = ActionKind::Request;
  int Gateway = 0;
  int Address = 0;
  int Outcome = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &a) {
  constexpr const char *Names[] = {
      "request",        "begin run",    "end run",     "start server",
      "start again",    "leave server", "vanish",      "crash",
      "store down",     "store up",     "loss begins", "loss ends",
      "cut off",        "cut ends",     "isolate",     "isolation ends",
      "restart gateway"};
  return out << Names[static_cast<int>(a.Kind)] << " gateway=" << a.Gateway
             << " address=" << a.Address << " outcome=" << a.Outcome << " then "
             << a.WaitMs << " ms";
}

/// One gateway's decisions.
struct Core {
  Core(base::Instant now, int n, std::uint64_t incarnation)
      : Address("10.0.0." + std::to_string(n + 1) + ":9"),
        Incarnation(incarnation),
        Others(now, {"g" + std::to_string(n),
                     value(base::parseEndpoint("a", Address)), incarnation,
                     seeds()}),
        Placing(Servers, Runs, "a"), Retries(Budget), StartedAt(now) {}

  static std::vector<base::Endpoint> seeds() {
    return {{"10.0.0.1", 9}, {"10.0.0.2", 9}};
  }

  std::string Address;
  std::uint64_t Incarnation;
  Directory Servers;
  RunTable Runs;
  Peers Others;
  Placement Placing;
  RetryBudget Retries;
  base::Instant StartedAt;
  RunDeltaTracker Told;
  bool hasStoreContact(base::Instant now) const {
    return WatchesList && now - ListReadAt < MaxListAge;
  }

  base::Instant ListFrom{};
  base::Instant ListReadAt{};
  std::uint64_t ListRevision = 0;
  bool WatchesList = true;
  /// Its own path to the store is cut.
  bool IsCutOff = false;
  /// Neither the store nor the other gateways reach it.
  bool IsIsolated = false;
  base::Instant IsolatedAt{};
  /// A call to the store that gets no answer is under way until then.
  base::Instant NextCall{};
  base::Instant ListReadFailedAt{};
  std::vector<ServerChange> ListNews;
};

/// The outcome that a directory is told of for each end of an attempt but the
/// one by another server.
ServerOutcome outcomeOf(AttemptOutcome end) {
  switch (end) {
  case AttemptOutcome::Served:
    return ServerOutcome::Served;
  case AttemptOutcome::Failed:
    return ServerOutcome::Failed;
  case AttemptOutcome::Incomplete:
    return ServerOutcome::Incomplete;
  case AttemptOutcome::Unreachable:
    return ServerOutcome::Unreachable;
  case AttemptOutcome::NotRun:
  case AttemptOutcome::WrongServer:
    break;
  }
  return ServerOutcome::Refused;
}

/// What is really there.
struct RealServer {
  std::string Id;
  bool IsUp = false;
  bool IsLeaving = false;
  bool IsListed = false;
  base::Instant LeftAt{};
  /// The store's revision of its entry.
  std::uint64_t Revision = 0;
  std::int64_t StartedAt = 0;
};

class Model {
public:
  Model() {
    Llm.Name = "llm";
    Llm.Engine = EngineTraits{};
    Llm.Engine->KvCacheTokens = 30'000;
    for (int i = 0; i < GatewayCount; ++i)
      Cores.push_back(std::make_unique<Core>(Now, i, ++LastIncarnation));
    for (int i = 0; i < AddressCount; ++i)
      startServer(i);
    wait(Settled);
  }

  void perform(const Action &a) {
    RealServer &server = Real[a.Address];
    switch (a.Kind) {
    case ActionKind::Request:
      request(a.Gateway, a.Outcome);
      break;
    case ActionKind::BeginRun:
      beginRun(a.Gateway);
      break;
    case ActionKind::EndRun:
      endRun(a.Gateway);
      break;
    case ActionKind::StartServer:
      if (!server.IsUp)
        startServer(a.Address);
      break;
    case ActionKind::StartAgain:
      // It crashes, and starts under its id.
      startServer(a.Address, server.Id);
      break;
    case ActionKind::LeaveServer:
      server.IsLeaving = server.IsUp;
      markLeft(server);
      break;
    case ActionKind::VanishServer:
      // Some never say that they leave: their entry goes.
      server.IsListed = false;
      server.IsLeaving = true;
      markLeft(server);
      break;
    case ActionKind::CrashServer:
      server.IsUp = false;
      server.IsListed = false;
      markLeft(server);
      break;
    case ActionKind::StoreDown:
      IsStoreUp = false;
      StoreDownAt = Now;
      break;
    case ActionKind::StoreUp:
      IsStoreUp = true;
      break;
    case ActionKind::LossBegins:
      LosesMessages = true;
      break;
    case ActionKind::LossEnds:
      LosesMessages = false;
      break;
    case ActionKind::CutOff:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsCutOff = true;
      break;
    case ActionKind::CutEnds:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsCutOff = false;
      break;
    case ActionKind::Isolate:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsIsolated = true;
      break;
    case ActionKind::IsolationEnds:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsIsolated = false;
      break;
    case ActionKind::RestartGateway:
      restart(a.Gateway);
      break;
    }
    wait(milliseconds(a.WaitMs));
  }

  /// Ends all trouble and checks that all know the truth.
  void settle() {
    IsStoreUp = true;
    LosesMessages = false;
    for (const auto &core : Cores)
      core->IsCutOff = core->IsIsolated = false;
    wait(Settled);
    for (const auto &core : Cores) {
      checkServers(*core);
      checkRuns(*core);
    }
  }

  std::string Wrong;

private:
  void startServer(int address, std::string id = "") {
    RealServer &server = Real[address];
    server = {};
    ++LastServer;
    server.Id = id.empty() ? "s" + std::to_string(LastServer) : std::move(id);
    server.StartedAt = LastServer;
    server.IsUp = true;
    server.IsListed = true;
    server.Revision = ++StoreRevision;
  }

  void markLeft(RealServer &server) {
    server.Revision = ++StoreRevision;
    // The bound holds for what a stable store has taken.
    const bool isStable = Now - StoreDownAt >= InTouchAfter;
    if (server.LeftAt == base::Instant{} && isStable)
      server.LeftAt = Now;
  }

  /// While a gateway is in touch: itself, and the store through anybody.
  void noteTrouble() {
    const bool isAnyoneConnected =
        std::any_of(Cores.begin(), Cores.end(), [](const auto &core) {
          return !core->IsCutOff && !core->IsIsolated;
        });
    if (!IsStoreUp)
      StoreDownAt = Now;
    for (const auto &core : Cores)
      if (core->IsIsolated)
        core->IsolatedAt = Now;
    if (!IsStoreUp || LosesMessages || !isAnyoneConnected)
      TroubleAt = Now;
  }

  void checkLeft(const Core &core, const Server &server) {
    const RealServer &there = Real[addressOf(server)];
    const bool isInTouch =
        Now - std::max({TroubleAt, core.StartedAt, core.IsolatedAt}) >=
        InTouchAfter;
    if (isInTouch && there.Id == server.Listed.Id &&
        there.LeftAt != base::Instant{} && Now - there.LeftAt > DrainBound)
      Wrong += core.Address + " sends to " + there.Id + ", which left; ";
  }

  ListedServer listed(int address) const {
    const RealServer &server = Real[address];
    ListedServer l;
    l.Id = server.Id;
    l.Service = "llm";
    l.Address = {"10.1.0." + std::to_string(address + 1), 80};
    l.Zone = address % 2 == 0 ? "a" : "b";
    l.State = server.IsLeaving ? ServerState::Leaving : ServerState::Ready;
    l.Revision = server.Revision;
    l.StartedAt = milliseconds(server.StartedAt);
    return l;
  }

  ServerList storeList() const {
    ServerList list{StoreRevision, {}, {}};
    for (int i = 0; i < AddressCount; ++i)
      if (Real[i].IsListed)
        list.Servers.push_back(listed(i));
    return list;
  }

  int addressOf(const Server &server) const {
    const std::string &text = server.Listed.Address.Address;
    return std::stoi(text.substr(text.rfind('.') + 1)) - 1;
  }

  /// Lets one request of a kind that may not be repeated find its server.
  void request(int gateway, int outcome) {
    Core &core = *Cores[static_cast<std::size_t>(gateway)];
    const bool mayRepeat = outcome % 2 == 0;
    std::vector<std::string> tried;
    AttemptState state;
    state.Kind =
        mayRepeat ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    state.MaxSends = MaxSends;
    int runs = 0;
    core.Retries.recordFirstSend(Now, "llm");
    Firsts.push_back(Now);
    for (int i = 0;; ++i) {
      const Choice choice =
          core.Placing.chooseForGeneration(Now, Llm, {100, 10}, tried);
      if (!choice.Chosen)
        return;
      const Server server = *choice.Chosen;
      if (server.IsLeaving || server.IsReplaced)
        Wrong += "a leaving server was chosen; ";
      checkLeft(core, server);
      tried.push_back(server.Listed.Id);
      state.Outcome = meet(server, outcome + i, runs);
      const bool arrived = state.Outcome != AttemptOutcome::Unreachable;
      state.Arrivals += arrived ? 1 : 0;
      if (arrived && state.Arrivals > 1)
        Repeats.push_back(Now);
      state.Sends +=
          arrived && state.Outcome != AttemptOutcome::WrongServer ? 1 : 0;
      noteEnd(core, server.Listed.Id, state.Outcome);
      const Step step = nextStep(state, [&] {
        return core.Retries.tryRetry(Now, "llm", core.Others.gatewayCount(Now));
      });
      state.MayHaveRun |= state.Outcome == AttemptOutcome::Incomplete ||
                          state.Outcome == AttemptOutcome::Failed;
      if (step == Step::TryAnother)
        continue;
      checkRequest(step, runs, mayRepeat, state.Sends);
      return;
    }
  }

  /// What becomes of a request at a server; counts a run.
  AttemptOutcome meet(const Server &server, int outcome, int &runs) {
    const RealServer &there = Real[addressOf(server)];
    if (!there.IsUp)
      return AttemptOutcome::Unreachable;
    if (there.Id != server.Listed.Id)
      return AttemptOutcome::WrongServer;
    switch (outcome % 5) {
    case 0:
      ++runs;
      return AttemptOutcome::Failed;
    case 1:
      return AttemptOutcome::NotRun;
    case 2:
      ++runs;
      return AttemptOutcome::Incomplete;
    default:
      ++runs;
      return AttemptOutcome::Served;
    }
  }

  void noteEnd(Core &core, const std::string &server,
               AttemptOutcome end) const {
    if (end == AttemptOutcome::WrongServer)
      core.Servers.markReplaced(Now, server);
    else
      core.Servers.recordOutcome(Now, server, outcomeOf(end));
  }

  void checkRequest(Step step, int runs, bool mayRepeat, int sends) {
    if (step == Step::RefuseNotRun && runs > 0)
      Wrong += "\"not run\" is untrue; ";
    if (!mayRepeat && runs > 1)
      Wrong += "a request that may not be repeated ran twice; ";
    if (sends > MaxSends)
      Wrong += "sent to too many servers; ";
  }

  void beginRun(int gateway) {
    Core &core = *Cores[static_cast<std::size_t>(gateway)];
    const Choice choice =
        core.Placing.chooseForGeneration(Now, Llm, {100, 10}, {});
    if (!choice.Chosen)
      return;
    TrackedRun run;
    run.Id = ++LastRun;
    run.Server = choice.Chosen->Listed.Id;
    run.PromptTokens = 100;
    core.Runs.upsert(run);
  }

  void endRun(int gateway) {
    Core &core = *Cores[static_cast<std::size_t>(gateway)];
    const std::vector<TrackedRun> runs = core.Runs.ownRuns();
    if (!runs.empty())
      core.Runs.remove(runs.front().Id);
  }

  void restart(int gateway) {
    // One in a window, as the allowance is worked out for.
    if (Now - LastRestart < Budget.Window)
      return;
    LastRestart = Now;
    Cores[static_cast<std::size_t>(gateway)] =
        std::make_unique<Core>(Now, gateway, ++LastIncarnation);
  }

  void wait(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += Tick) {
      Now += Tick;
      ++Ticks;
      for (const auto &core : Cores)
        tick(*core);
      noteTrouble();
      checkBudget();
    }
  }

  void tick(Core &core) {
    core.Runs.tick(Now);
    core.Servers.tick(Now);
    core.WatchesList = core.Others.shouldWatchList(Now);
    if (Ticks % (ListEvery / Tick) == 0)
      followStore(core);
    takeBetterList(core);
    tell(core);
  }

  void followStore(Core &core) {
    if (Now < core.NextCall)
      return;
    if (!IsStoreUp || core.IsCutOff || core.IsIsolated) {
      core.ListReadFailedAt = Now;
      core.NextCall = Now + LostCallTime;
      return;
    }
    if (!core.WatchesList && !core.Servers.isEmpty())
      return;
    noteNews(core, storeList());
    core.ListRevision = StoreRevision;
    const bool hasFailed = core.ListReadFailedAt > core.ListReadAt;
    core.Servers.recordStoreContact(Now,
                                    hasFailed ? core.ListReadFailedAt : Now);
    core.ListFrom = Now;
    core.ListReadAt = Now;
    core.Servers.applySnapshot(Now, storeList());
  }

  /// What a watch would tell the others.
  static void noteNews(Core &core, const ServerList &list) {
    std::set<std::string> ids;
    for (const ListedServer &listed : list.Servers) {
      ids.insert(listed.Id);
      if (!core.Servers.isListedAs(listed))
        core.ListNews.push_back({listed.Id, listed, "", listed.Revision});
    }
    for (const ListedServer &known : core.Servers.list().Servers)
      if (!ids.contains(known.Id))
        core.ListNews.push_back({known.Id, std::nullopt, "", list.Revision});
  }

  Core *coreAt(const base::Endpoint &address) {
    for (const auto &core : Cores)
      if (core->Address == base::toString(address))
        return core.get();
    return nullptr;
  }

  void takeBetterList(Core &core) {
    const auto peer = core.Others.withNewerList(Now, core.ListFrom);
    if (!peer || LosesMessages || core.IsIsolated ||
        coreAt(peer->Address)->IsIsolated)
      return;
    const Core *from = coreAt(peer->Address);
    ServerList list = from->Servers.list();
    list.Revision = from->ListRevision;
    core.Servers.applySnapshot(Now, list, Evidence::Gateway);
    core.ListRevision = std::max(core.ListRevision, list.Revision);
    core.ListFrom = std::max(core.ListFrom, from->ListFrom);
  }

  wire::Gossip messageOf(Core &core) {
    wire::Gossip message;
    message.set_name(core.Address);
    message.set_address(core.Address);
    message.set_incarnation(core.Incarnation);
    message.set_list_digest(core.Servers.digest());
    const bool hasContact = core.hasStoreContact(Now);
    message.set_steady_ms(static_cast<std::uint64_t>(
        base::toMs(Now - core.Servers.storeStableSince())));
    message.set_watches_list(hasContact);
    message.set_list_age_ms(static_cast<std::uint64_t>(
        base::toMs(Now - (hasContact ? core.ListReadAt : core.ListFrom))));
    for (const ServerInstance &life : core.Servers.leaving(Now)) {
      wire::ServerLife &out = *message.add_leaving_servers();
      out.set_id(life.Id);
      out.set_born_ms(static_cast<std::uint64_t>(life.StartedAt.count()));
    }
    const std::vector<TrackedRun> runs = core.Runs.ownRuns();
    const RunDelta news = core.Told.nextDelta(runs);
    const bool isWhole = Ticks % (WholeEvery / Tick) == 0;
    message.set_is_news(!isWhole);
    for (const TrackedRun &run : isWhole ? runs : news.Changed)
      *message.add_runs() = toWire(run);
    for (const RunId id : news.Ended)
      message.add_ended_runs(id);
    for (const ServerChange &change : core.ListNews) {
      if (change.Listed)
        *message.add_changed_servers() = toWire(*change.Listed);
      else
        *message.add_gone_servers() =
            toWire(RemovedServer{change.Id, change.Revision});
    }
    core.ListNews.clear();
    return message;
  }

  void tell(Core &core) {
    const wire::Gossip message = messageOf(core);
    if (message.is_news() && message.runs().empty() &&
        message.ended_runs().empty() && message.changed_servers().empty() &&
        message.gone_servers().empty())
      return;
    for (const base::Endpoint &to : core.Others.sendTargets(Now)) {
      Core *other = coreAt(to);
      if (!other || other->IsIsolated || core.IsIsolated)
        continue;
      if (!(LosesMessages && ++Told % 2 == 0))
        receive(*other, message);
    }
  }

  void receive(Core &core, const wire::Gossip &message) {
    if (core.Others.recordMessage(Now, message) ==
        Peers::ReceiveResult::Ignored)
      return;
    std::vector<TrackedRun> runs;
    for (const wire::Run &run : message.runs())
      runs.push_back(fromWire(run));
    if (message.is_news())
      core.Runs.applyPeerDelta(
          Now, message.address(), runs,
          {message.ended_runs().begin(), message.ended_runs().end()});
    else
      core.Runs.applyPeerSnapshot(Now, message.address(), std::move(runs));
    for (const wire::ServerLife &life : message.leaving_servers())
      core.Servers.markLeaving(Now, {life.id(), milliseconds(life.born_ms())});
    if (message.watches_list())
      core.Servers.recordStoreContact(Now - milliseconds(message.list_age_ms()),
                                      Now - milliseconds(message.steady_ms()));
    for (const ListedServer &listed : fromWire(message.changed_servers()))
      core.Servers.put(Now, listed, Evidence::Gateway);
    for (const wire::GoneServer &gone : message.gone_servers())
      core.Servers.remove(Now, fromWire(gone), Evidence::Gateway);
    if (message.watches_list() && !core.hasStoreContact(Now) &&
        message.list_digest() == core.Servers.digest())
      core.ListFrom =
          std::max(core.ListFrom, Now - milliseconds(message.list_age_ms()));
  }

  /// Over all gateways, within each window.
  void checkBudget() {
    const auto dropOld = [&](std::vector<base::Instant> &times) {
      std::erase_if(times,
                    [&](base::Instant t) { return t < Now - Budget.Window; });
    };
    dropOld(Firsts);
    dropOld(Repeats);
    const double allowed =
        Budget.RetryRatio * static_cast<double>(Firsts.size()) +
        Budget.ExtraRetries;
    if (static_cast<double>(Repeats.size()) > allowed)
      Wrong += "more repeats than the budget; ";
  }

  void checkServers(const Core &core) {
    std::set<std::string> usable;
    for (const Server *server : core.Servers.usable(Now, "llm"))
      usable.insert(server->Listed.Id);
    for (const RealServer &server : Real) {
      const bool isThere = server.IsUp && server.IsListed && !server.IsLeaving;
      // One that fails is avoided for up to eight seconds.
      const Server *known = core.Servers.find(server.Id);
      const bool isAvoided = known && Now < known->EjectedUntil;
      if (isThere && !isAvoided && !usable.contains(server.Id))
        Wrong += core.Address + " does not use " + server.Id + "; ";
      usable.erase(server.Id);
      if (!isThere && !server.IsUp && known && !known->IsLeaving)
        Wrong += core.Address + " still uses " + server.Id + "; ";
    }
    if (!usable.empty())
      Wrong += core.Address + " uses " + *usable.begin() + ", which is gone; ";
  }

  void checkRuns(const Core &core) {
    std::map<std::string, int> running;
    for (const auto &other : Cores)
      for (const TrackedRun &run : other->Runs.ownRuns())
        ++running[run.Server];
    for (const auto &[server, n] : running)
      if (core.Runs.loads()[server].Running != n)
        Wrong += core.Address + " counts other runs on " + server + "; ";
  }

  base::Instant Now{std::chrono::hours(1)};
  std::uint64_t StoreRevision = 0;
  base::Instant LastRestart{};
  base::Instant TroubleAt{};
  base::Instant StoreDownAt{};
  std::int64_t Ticks = 0;
  std::uint64_t LastIncarnation = 0;
  int LastServer = 0;
  RunId LastRun = 0;
  std::uint64_t Told = 0;
  bool IsStoreUp = true;
  bool LosesMessages = false;
  Service Llm;
  std::vector<std::unique_ptr<Core>> Cores;
  std::array<RealServer, AddressCount> Real;
  std::vector<base::Instant> Firsts;
  std::vector<base::Instant> Repeats;
};

rc::Gen<Action> anyAction() {
  const auto kind =
      rc::gen::weightedElement<ActionKind>({{8, ActionKind::Request},
                                            {4, ActionKind::BeginRun},
                                            {2, ActionKind::EndRun},
                                            {3, ActionKind::StartServer},
                                            {2, ActionKind::LeaveServer},
                                            {1, ActionKind::StartAgain},
                                            {1, ActionKind::VanishServer},
                                            {2, ActionKind::CrashServer},
                                            {1, ActionKind::StoreDown},
                                            {1, ActionKind::StoreUp},
                                            {1, ActionKind::LossBegins},
                                            {1, ActionKind::LossEnds},
                                            {1, ActionKind::CutOff},
                                            {1, ActionKind::CutEnds},
                                            {1, ActionKind::Isolate},
                                            {1, ActionKind::IsolationEnds},
                                            {1, ActionKind::RestartGateway}});
  return rc::gen::build<Action>(
      rc::gen::set(&Action::Kind, kind),
      rc::gen::set(&Action::Gateway, rc::gen::inRange(0, GatewayCount)),
      rc::gen::set(&Action::Address, rc::gen::inRange(0, AddressCount)),
      rc::gen::set(&Action::Outcome, rc::gen::inRange(0, 10)),
      rc::gen::set(&Action::WaitMs, rc::gen::inRange(0, 800)));
}

TEST(GatewayRandom, DecisionsHoldUnderAnyMixOfTrouble) {
  const char *runs = std::getenv("DRUMLANDING_RANDOM_RUNS");
  const std::string params = "seed=" + std::string(Seed) +
                             " max_success=" + (runs ? runs : DefaultRuns);
  ::setenv("RC_PARAMS", params.c_str(), 0);
  std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
  const bool isRight = rc::check([] {
    const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
    Model model;
    for (const Action &action : actions)
      model.perform(action);
    model.settle();
    if (!model.Wrong.empty())
      RC_FAIL(model.Wrong);
  });
  EXPECT_TRUE(isRight);
}

} // namespace
} // namespace drumlanding::gateway
