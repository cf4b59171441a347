// Randomised tests of the gateways' decision logic. Several gateways'
// directories, run tables, placements, retry budgets and peers share one
// simulated clock. The network loses messages, the store becomes unavailable,
// servers start, leave, disappear, crash and hand their address to others, and
// gateways restart. On a broken invariant, the shortest failing run is printed.
//
// DRUMLANDING_RANDOM_RUNS sets the number of runs (1,000 in CI); RC_PARAMS
// overrides the seed, which is printed.
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
constexpr milliseconds FullStateInterval{500};
constexpr milliseconds ListReadInterval{400};
/// Duration of a call that gets no answer, and of the pause before the next.
constexpr milliseconds CallTimeout{1'100};
/// The specified bounds: a gateway counts as connected after this long without
/// faults, and then sends no request to a server that left at least DrainBound
/// ago.
constexpr milliseconds ConnectedAfter{3'000};
constexpr milliseconds DrainBound{2'000};
/// Time without faults after which all gateways agree.
constexpr milliseconds SettleTime{8'000};
constexpr RetryBudgetOptions Budget{0.2, 12, milliseconds(10'000)};
constexpr int MaxSends = 2;

enum class ActionKind {
  Request,
  BeginRun,
  EndRun,
  StartServer,
  RestartServer,
  LeaveServer,
  RemoveEntry,
  CrashServer,
  StoreDown,
  StoreUp,
  LossBegins,
  LossEnds,
  StorePathDown,
  StorePathUp,
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
      "request",         "begin run",     "end run",      "start server",
      "restart server",  "leave server",  "remove entry", "crash",
      "store down",      "store up",      "loss begins",  "loss ends",
      "store path down", "store path up", "isolate",      "isolation ends",
      "restart gateway"};
  return out << Names[static_cast<int>(a.Kind)] << " gateway=" << a.Gateway
             << " address=" << a.Address << " outcome=" << a.Outcome << " then "
             << a.WaitMs << " ms";
}

/// The decision logic of one gateway.
struct Core {
  Core(base::Instant now, int n, std::uint64_t incarnation)
      : Address("10.0.0." + std::to_string(n + 1) + ":9"),
        Incarnation(incarnation),
        Others(now, {"g" + std::to_string(n),
                     value(base::parseEndpoint("a", Address)), incarnation,
                     seeds()}),
        Placing(Servers, Runs, Limits, "a"), Retries(Budget), StartedAt(now) {}

  static std::vector<base::Endpoint> seeds() {
    return {{"10.0.0.1", 9}, {"10.0.0.2", 9}};
  }

  std::string Address;
  std::uint64_t Incarnation;
  Directory Servers;
  RunTable Runs;
  Peers Others;
  RequestLimits Limits{0};
  Placement Placing;
  RetryBudget Retries;
  base::Instant StartedAt;
  RunDeltaTracker Deltas;
  bool hasStoreContact(base::Instant now) const {
    return WatchesList && now - ListReadAt < MaxListAge;
  }

  base::Instant ListUpdatedAt{};
  base::Instant ListReadAt{};
  std::uint64_t ListRevision = 0;
  bool WatchesList = true;
  /// Its own path to the store is interrupted.
  bool IsStorePathDown = false;
  /// Neither the store nor the other gateways are reachable.
  bool IsIsolated = false;
  base::Instant IsolatedAt{};
  /// End of a call to the store that gets no answer.
  base::Instant NextCall{};
  base::Instant ListReadFailedAt{};
  std::vector<ServerChange> ListChanges;
};

/// Returns the server outcome recorded for an attempt. WrongServer is not
/// recorded this way.
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

/// Actual state of the server at an address.
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
    wait(SettleTime);
  }

  void perform(const Action &a) {
    RealServer &server = Actual[a.Address];
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
    case ActionKind::RestartServer:
      // The server crashes and restarts under the same id.
      startServer(a.Address, server.Id);
      break;
    case ActionKind::LeaveServer:
      server.IsLeaving = server.IsUp;
      markLeft(server);
      break;
    case ActionKind::RemoveEntry:
      // Some servers leave without notice: only their entry disappears.
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
    case ActionKind::StorePathDown:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsStorePathDown = true;
      break;
    case ActionKind::StorePathUp:
      Cores[static_cast<std::size_t>(a.Gateway)]->IsStorePathDown = false;
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

  /// Ends all faults and checks that every gateway has the actual state.
  void settle() {
    IsStoreUp = true;
    LosesMessages = false;
    for (const auto &core : Cores)
      core->IsStorePathDown = core->IsIsolated = false;
    wait(SettleTime);
    for (const auto &core : Cores) {
      checkServers(*core);
      checkRuns(*core);
    }
  }

  std::string Violations;

private:
  void startServer(int address, std::string id = "") {
    RealServer &server = Actual[address];
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
    // The bound applies only to changes that a stable store has accepted.
    const bool isStable = Now - StoreDownAt >= ConnectedAfter;
    if (server.LeftAt == base::Instant{} && isStable)
      server.LeftAt = Now;
  }

  /// Records faults. A gateway counts as connected while it is not isolated, no
  /// messages are lost, and the store is reachable from at least one gateway.
  void recordFaults() {
    const bool isAnyoneConnected =
        std::any_of(Cores.begin(), Cores.end(), [](const auto &core) {
          return !core->IsStorePathDown && !core->IsIsolated;
        });
    if (!IsStoreUp)
      StoreDownAt = Now;
    for (const auto &core : Cores)
      if (core->IsIsolated)
        core->IsolatedAt = Now;
    if (!IsStoreUp || LosesMessages || !isAnyoneConnected)
      FaultAt = Now;
  }

  void checkLeft(const Core &core, const Server &server) {
    const RealServer &there = Actual[addressOf(server)];
    const bool isConnected =
        Now - std::max({FaultAt, core.StartedAt, core.IsolatedAt}) >=
        ConnectedAfter;
    if (isConnected && there.Id == server.Listed.Id &&
        there.LeftAt != base::Instant{} && Now - there.LeftAt > DrainBound)
      Violations += core.Address + " sends to " + there.Id + ", which left; ";
  }

  ListedServer listed(int address) const {
    const RealServer &server = Actual[address];
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
      if (Actual[i].IsListed)
        list.Servers.push_back(listed(i));
    return list;
  }

  int addressOf(const Server &server) const {
    const std::string &text = server.Listed.Address.Address;
    return std::stoi(text.substr(text.rfind('.') + 1)) - 1;
  }

  /// Sends one request through attempts at several servers until a decision
  /// ends it.
  void request(int gateway, int outcome) {
    Core &core = *Cores[static_cast<std::size_t>(gateway)];
    const bool isIdempotent = outcome % 2 == 0;
    std::vector<std::string> tried;
    AttemptState state;
    state.Kind =
        isIdempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    state.MaxSends = MaxSends;
    int runs = 0;
    core.Retries.recordFirstSend(Now, "llm");
    FirstSends.push_back(Now);
    for (int i = 0;; ++i) {
      const Choice choice =
          core.Placing.chooseForGeneration(Now, Llm, {100, 10}, tried);
      if (!choice.Chosen)
        return;
      const Server server = *choice.Chosen;
      if (server.IsLeaving || server.IsReplaced)
        Violations += "a leaving server was chosen; ";
      checkLeft(core, server);
      tried.push_back(server.Listed.Id);
      state.Outcome = attemptAt(server, outcome + i, runs);
      const bool arrived = state.Outcome != AttemptOutcome::Unreachable;
      state.Arrivals += arrived ? 1 : 0;
      if (arrived && state.Arrivals > 1)
        RetryTimes.push_back(Now);
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
      checkRequest(step, runs, isIdempotent, state.Sends);
      return;
    }
  }

  /// Returns the outcome of a request at a server; counts a run.
  AttemptOutcome attemptAt(const Server &server, int outcome, int &runs) {
    const RealServer &there = Actual[addressOf(server)];
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

  void checkRequest(Step step, int runs, bool isIdempotent, int sends) {
    if (step == Step::RefuseNotRun && runs > 0)
      Violations += "\"not run\" was returned for a request that ran; ";
    if (!isIdempotent && runs > 1)
      Violations += "a non-idempotent request ran twice; ";
    if (sends > MaxSends)
      Violations += "sent to too many servers; ";
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
    // At most one restart per window, which the retry budget allows for.
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
      recordFaults();
      checkBudget();
    }
  }

  void tick(Core &core) {
    core.Runs.tick(Now);
    core.Servers.tick(Now);
    core.WatchesList = core.Others.shouldWatchList(Now);
    if (Ticks % (ListReadInterval / Tick) == 0)
      pollStore(core);
    fetchNewerList(core);
    broadcast(core);
  }

  void pollStore(Core &core) {
    if (Now < core.NextCall)
      return;
    if (!IsStoreUp || core.IsStorePathDown || core.IsIsolated) {
      core.ListReadFailedAt = Now;
      core.NextCall = Now + CallTimeout;
      return;
    }
    if (!core.WatchesList && !core.Servers.isEmpty())
      return;
    collectListChanges(core, storeList());
    core.ListRevision = StoreRevision;
    const bool hasFailed = core.ListReadFailedAt > core.ListReadAt;
    core.Servers.recordStoreContact(Now,
                                    hasFailed ? core.ListReadFailedAt : Now);
    core.ListUpdatedAt = Now;
    core.ListReadAt = Now;
    core.Servers.applySnapshot(Now, storeList());
  }

  /// Collects the changes that a watch of the store would pass on to the
  /// others.
  static void collectListChanges(Core &core, const ServerList &list) {
    std::set<std::string> ids;
    for (const ListedServer &listed : list.Servers) {
      ids.insert(listed.Id);
      if (!core.Servers.isListedAs(listed))
        core.ListChanges.push_back({listed.Id, listed, "", listed.Revision});
    }
    for (const ListedServer &known : core.Servers.list().Servers)
      if (!ids.contains(known.Id))
        core.ListChanges.push_back({known.Id, std::nullopt, "", list.Revision});
  }

  Core *coreAt(const base::Endpoint &address) {
    for (const auto &core : Cores)
      if (core->Address == base::toString(address))
        return core.get();
    return nullptr;
  }

  void fetchNewerList(Core &core) {
    const auto peer = core.Others.withNewerList(Now, core.ListUpdatedAt);
    if (!peer || LosesMessages || core.IsIsolated ||
        coreAt(peer->Address)->IsIsolated)
      return;
    const Core *from = coreAt(peer->Address);
    ServerList list = from->Servers.list();
    list.Revision = from->ListRevision;
    core.Servers.applySnapshot(Now, list, Evidence::Gateway);
    core.ListRevision = std::max(core.ListRevision, list.Revision);
    core.ListUpdatedAt = std::max(core.ListUpdatedAt, from->ListUpdatedAt);
  }

  wire::Gossip buildMessage(Core &core) {
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
        base::toMs(Now - (hasContact ? core.ListReadAt : core.ListUpdatedAt))));
    for (const ServerInstance &instance : core.Servers.leaving(Now)) {
      wire::ServerLife &out = *message.add_leaving_servers();
      out.set_id(instance.Id);
      out.set_born_ms(static_cast<std::uint64_t>(instance.StartedAt.count()));
    }
    const std::vector<TrackedRun> runs = core.Runs.ownRuns();
    const RunDelta delta = core.Deltas.nextDelta(runs);
    const bool isFullState = Ticks % (FullStateInterval / Tick) == 0;
    message.set_is_news(!isFullState);
    for (const TrackedRun &run : isFullState ? runs : delta.Changed)
      *message.add_runs() = toWire(run);
    for (const RunId id : delta.Ended)
      message.add_ended_runs(id);
    for (const ServerChange &change : core.ListChanges) {
      if (change.Listed)
        *message.add_changed_servers() = toWire(*change.Listed);
      else
        *message.add_gone_servers() =
            toWire(RemovedServer{change.Id, change.Revision});
    }
    core.ListChanges.clear();
    return message;
  }

  void broadcast(Core &core) {
    const wire::Gossip message = buildMessage(core);
    if (message.is_news() && message.runs().empty() &&
        message.ended_runs().empty() && message.changed_servers().empty() &&
        message.gone_servers().empty())
      return;
    for (const base::Endpoint &to : core.Others.sendTargets(Now)) {
      Core *other = coreAt(to);
      if (!other || other->IsIsolated || core.IsIsolated)
        continue;
      if (!(LosesMessages && ++SentMessages % 2 == 0))
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
    for (const wire::ServerLife &instance : message.leaving_servers())
      core.Servers.markLeaving(
          Now, {instance.id(), milliseconds(instance.born_ms())});
    if (message.watches_list())
      core.Servers.recordStoreContact(Now - milliseconds(message.list_age_ms()),
                                      Now - milliseconds(message.steady_ms()));
    for (const ListedServer &listed : fromWire(message.changed_servers()))
      core.Servers.put(Now, listed, Evidence::Gateway);
    for (const wire::GoneServer &removed : message.gone_servers())
      core.Servers.remove(Now, fromWire(removed), Evidence::Gateway);
    if (message.watches_list() && !core.hasStoreContact(Now) &&
        message.list_digest() == core.Servers.digest())
      core.ListUpdatedAt = std::max(core.ListUpdatedAt,
                                    Now - milliseconds(message.list_age_ms()));
  }

  /// Checks the retry budget over all gateways in every window.
  void checkBudget() {
    const auto dropOld = [&](std::vector<base::Instant> &times) {
      std::erase_if(times,
                    [&](base::Instant t) { return t < Now - Budget.Window; });
    };
    dropOld(FirstSends);
    dropOld(RetryTimes);
    const double allowed =
        Budget.RetryRatio * static_cast<double>(FirstSends.size()) +
        Budget.ExtraRetries;
    if (static_cast<double>(RetryTimes.size()) > allowed)
      Violations += "more retries than the budget allows; ";
  }

  void checkServers(const Core &core) {
    std::set<std::string> usable;
    for (const Server *server : core.Servers.usable(Now, "llm"))
      usable.insert(server->Listed.Id);
    for (const RealServer &server : Actual) {
      const bool isAvailable =
          server.IsUp && server.IsListed && !server.IsLeaving;
      // A failing server may be ejected for up to eight seconds.
      const Server *known = core.Servers.find(server.Id);
      const bool isEjected = known && Now < known->EjectedUntil;
      if (isAvailable && !isEjected && !usable.contains(server.Id))
        Violations += core.Address + " does not use " + server.Id + "; ";
      usable.erase(server.Id);
      if (!isAvailable && !server.IsUp && known && !known->IsLeaving)
        Violations += core.Address + " still uses " + server.Id + "; ";
    }
    if (!usable.empty())
      Violations +=
          core.Address + " uses " + *usable.begin() + ", which is not there; ";
  }

  void checkRuns(const Core &core) {
    std::map<std::string, int> running;
    for (const auto &other : Cores)
      for (const TrackedRun &run : other->Runs.ownRuns())
        ++running[run.Server];
    for (const auto &[server, n] : running)
      if (core.Runs.loads()[server].Running != n)
        Violations += core.Address + " counts other runs on " + server + "; ";
  }

  base::Instant Now{std::chrono::hours(1)};
  std::uint64_t StoreRevision = 0;
  base::Instant LastRestart{};
  base::Instant FaultAt{};
  base::Instant StoreDownAt{};
  std::int64_t Ticks = 0;
  std::uint64_t LastIncarnation = 0;
  int LastServer = 0;
  RunId LastRun = 0;
  std::uint64_t SentMessages = 0;
  bool IsStoreUp = true;
  bool LosesMessages = false;
  Service Llm;
  std::vector<std::unique_ptr<Core>> Cores;
  std::array<RealServer, AddressCount> Actual;
  std::vector<base::Instant> FirstSends;
  std::vector<base::Instant> RetryTimes;
};

rc::Gen<Action> anyAction() {
  const auto kind =
      rc::gen::weightedElement<ActionKind>({{8, ActionKind::Request},
                                            {4, ActionKind::BeginRun},
                                            {2, ActionKind::EndRun},
                                            {3, ActionKind::StartServer},
                                            {2, ActionKind::LeaveServer},
                                            {1, ActionKind::RestartServer},
                                            {1, ActionKind::RemoveEntry},
                                            {2, ActionKind::CrashServer},
                                            {1, ActionKind::StoreDown},
                                            {1, ActionKind::StoreUp},
                                            {1, ActionKind::LossBegins},
                                            {1, ActionKind::LossEnds},
                                            {1, ActionKind::StorePathDown},
                                            {1, ActionKind::StorePathUp},
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

TEST(GatewayRandom, InvariantsHoldUnderRandomFaults) {
  const char *runs = std::getenv("DRUMLANDING_RANDOM_RUNS");
  const std::string params = "seed=" + std::string(Seed) +
                             " max_success=" + (runs ? runs : DefaultRuns);
  ::setenv("RC_PARAMS", params.c_str(), 0);
  std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
  const bool isCorrect = rc::check([] {
    const auto actions = *rc::gen::container<std::vector<Action>>(anyAction());
    Model model;
    for (const Action &action : actions)
      model.perform(action);
    model.settle();
    if (!model.Violations.empty())
      RC_FAIL(model.Violations);
  });
  EXPECT_TRUE(isCorrect);
}

} // namespace
} // namespace drumlanding::gateway
