#include "simulated-cluster.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;
using base::Duration;
using base::milliseconds;
using base::Verdict;

constexpr Duration TickInterval = 10ms;
constexpr Duration TokenInterval = 20ms;
constexpr Duration MinLinkDelay = 1ms;
constexpr Duration FreezeDuration = 7s;
constexpr Duration PartitionDuration = 4s;
constexpr Duration LongDelay = 3s;
constexpr Duration LateArrivalDelay = 9s;
constexpr Duration LateCopyDelay = 3s;
constexpr Duration RestartDelay = 300ms;
constexpr Duration StoreOutageDuration = 20s;
constexpr Duration ResumeDelay = 150ms;
constexpr Duration SettleDuration = 60s;
/// Number of resumes after which a caller gives up.
constexpr int MaxResumes = 30;

Step stepOf(const wire::Request &r) {
  switch (r.body_case()) {
  case wire::Request::kStart:
    return Step::StartRequest;
  case wire::Request::kRevoke:
    return Step::RevokeRequest;
  case wire::Request::kPoll:
    return Step::PollRequest;
  case wire::Request::kAttach:
    return Step::AttachRequest;
  case wire::Request::kCancel:
    return Step::CancelRequest;
  case wire::Request::kCall:
    return Step::CallRequest;
  case wire::Request::kPush:
    return Step::PushRequest;
  case wire::Request::kFetch:
    return Step::FetchRequest;
  default:
    return Step::SyncRequest;
  }
}

Step replyTo(Step request) {
  return static_cast<Step>(static_cast<int>(request) + 1);
}

std::vector<plan::LoadedModel> allModels() { return {{"tutor-llm", "1", {}}}; }

} // namespace

std::string_view toString(Step s) {
  constexpr std::string_view Names[] = {
      "StartRequest",  "StartReply",  "RevokeRequest", "RevokeReply",
      "PollRequest",   "PollReply",   "AttachRequest", "AttachReply",
      "CancelRequest", "CancelReply", "CallRequest",   "CallReply",
      "SyncRequest",   "SyncReply",   "PushRequest",   "PushReply",
      "FetchRequest",  "FetchReply",  "EngineStart",   "EngineToken",
      "EngineEnd",     "EngineStop",  "ServiceCall",   "ServiceAnswer",
      "BundleRead"};
  return Names[static_cast<int>(s)];
}

std::string_view toString(Fault f) {
  constexpr std::string_view Names[] = {
      "KillEntry",   "RestartAgent", "KillEngine",  "FreezeEntry",
      "FreezeAgent", "CutToAgent",   "CutToEntry",  "Lose",
      "Delay",       "Duplicate",    "LateArrival", "LateCopy",
      "Reorder",     "KvOutage",     "AgentLeaves", "Reclaim"};
  return Names[static_cast<int>(f)];
}

/// A simulated caller and the answers it received.
struct SimulatedCluster::Caller {
  std::string Marker;
  std::string Credential = Credential1;
  bool IsCall = false;
  bool IsCancel = false;
  /// For a call that is sent twice: a NotRun answer then applies to one attempt
  /// only, and the other may have run.
  bool IsRepeated = false;
  std::string Key;
  base::WallTime KeyTime{};
  std::size_t Entry = 0;
  entry::SessionId Session = 0;
  std::string RequestId;
  std::string Seed;
  std::uint32_t NextIndex = 0;
  int Resumes = 0;
  bool IsOver = false;
  bool IsComplete = false;
  bool WasDisconnected = false;
  std::optional<base::Refusal> Refused;
};

struct SimulatedCluster::EntryNode {
  std::unique_ptr<entry::Core> Core;
  /// Incremented at every start. Events for an earlier instance are dropped.
  std::uint64_t Instance = 0;
  bool IsAlive = false;
  bool IsFrozen = false;
  std::vector<std::function<void()>> Backlog;
  milliseconds Skew{0};
};

struct SimulatedCluster::FakeStream {
  wire::Start Start;
  std::string Seed;
  std::uint32_t Produced = 0;
  std::uint32_t Length = 0;
  bool IsRunning = false;
  std::uint64_t Epoch = 0;
};

struct SimulatedCluster::AgentNode {
  std::unique_ptr<agent::Core> Core;
  std::uint64_t Instance = 0;
  bool IsAlive = false;
  bool IsFrozen = false;
  bool IsEngine = false;
  bool IsListedLeaving = false;
  bool EngineAlive = true;
  int Starts = 0;
  /// Entries whose link to or from this agent is partitioned.
  std::set<std::size_t> CutToAgent;
  std::set<std::size_t> CutToEntry;
  std::vector<std::function<void()>> Backlog;
  milliseconds Skew{0};
  std::string Name;
  std::map<std::string, FakeStream> Streams;
  std::uint64_t NextEpoch = 0;
  std::uint64_t NextReply = 1;
  struct PendingReply {
    std::size_t Entry = 0;
    std::uint64_t EntryInstance = 0;
    entry::MessageId Message = 0;
    Step RequestStep = Step::SyncRequest;
  };
  std::map<agent::ReplyId, PendingReply> Replies;
};

SimulatedCluster::SimulatedCluster(SimulatedClusterOptions options)
    : Options(options), Random(options.Seed) {
  for (int i = 0; i < Options.Entries; ++i) {
    EntryNodes.push_back(std::make_unique<EntryNode>());
    EntryNodes.back()->Skew = milliseconds(Random.below(1'500));
  }
  for (int i = 0; i < Options.Engines + Options.Services; ++i) {
    auto node = std::make_unique<AgentNode>();
    node->IsEngine = i < Options.Engines;
    node->Name = node->IsEngine
                     ? "tutor-llm-" + std::to_string(i + 1)
                     : "lernapp-" + std::to_string(i - Options.Engines + 1);
    node->Skew = milliseconds(Random.below(1'500));
    AgentNodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < AgentNodes.size(); ++i)
    startAgent(i);
  for (std::size_t i = 0; i < EntryNodes.size(); ++i)
    startEntry(i);
  rollOut(1);
  // Agents cannot prove anything about keys created before their start (plus
  // the maximum clock skew), so the first calls wait until then.
  run(8s);
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::scheduleAfter(Duration after,
                                     std::function<void()> action) {
  ScheduledActions.emplace(Clock.now().Steady + after, std::move(action));
}

base::Now SimulatedCluster::skewedNow(milliseconds skew) const {
  base::Now now = Clock.now();
  now.Wall += skew;
  return now;
}

Duration SimulatedCluster::linkDelay() {
  const auto maxJitterMs =
      static_cast<std::uint64_t>(Options.MaxJitter.count());
  return MinLinkDelay + milliseconds(Random.below(maxJitterMs + 1));
}

// Processes.

void SimulatedCluster::startEntry(std::size_t i) {
  EntryNode &node = *EntryNodes[i];
  entry::CoreOptions options;
  options.Name = "entry-" + std::to_string(i + 1);
  options.Place = "hall-a";
  options.Trusted = Keys.trusted();
  options.Seed = Random.next();
  options.Enabled = Options.EntryMechanisms;
  options.IncrementMetric = [this](std::string_view metric, std::string_view,
                                   std::string_view, double) {
    if (metric == "drumlanding_attempts_total")
      ++Attempts;
  };
  node.Core = std::make_unique<entry::Core>(std::move(options));
  node.IsAlive = true;
  node.IsFrozen = false;
  const std::uint64_t instance = ++node.Instance;
  publishServerList();
  tickEntry(i, instance);
  readBundle(i, instance);
}

void SimulatedCluster::startAgent(std::size_t i) {
  AgentNode &node = *AgentNodes[i];
  agent::CoreOptions options;
  options.Server = node.Name;
  options.Service = node.IsEngine ? "tutor-llm" : "lernapp";
  options.Place = "hall-a";
  options.Incarnation = Random.next() | 1;
  options.StartedAt = skewedNow(node.Skew).Wall;
  options.Trusted = Keys.trusted();
  options.Scheduling.CapacityTokens = Options.EngineCapacity;
  options.Enabled = Options.AgentMechanisms;
  node.Core = std::make_unique<agent::Core>(std::move(options));
  node.IsAlive = true;
  node.IsFrozen = false;
  node.Replies.clear();
  node.Backlog.clear();
  const std::uint64_t instance = ++node.Instance;
  // The shell stops the streams of an earlier incarnation as well.
  node.Streams.clear();
  tickAgent(i, instance);
}

void SimulatedCluster::tickEntry(std::size_t i, std::uint64_t instance) {
  if (EntryNodes[i]->Instance != instance)
    return;
  if (!EntryNodes[i]->IsFrozen)
    deliverToEntry(i, instance, entry::Tick{});
  scheduleAfter(TickInterval, [this, i, instance] { tickEntry(i, instance); });
}

void SimulatedCluster::tickAgent(std::size_t i, std::uint64_t instance) {
  AgentNode &node = *AgentNodes[i];
  if (node.Instance != instance)
    return;
  if (!node.IsFrozen) {
    deliverToAgent(
        i, instance,
        agent::ServerObserved{node.EngineAlive, Options.EngineCapacity,
                              node.IsEngine && node.EngineAlive
                                  ? allModels()
                                  : std::vector<plan::LoadedModel>()});
    deliverToAgent(i, instance, agent::Tick{});
  }
  scheduleAfter(TickInterval, [this, i, instance] { tickAgent(i, instance); });
}

void SimulatedCluster::publishServerList() {
  std::vector<entry::ListedVm> vms;
  for (const auto &node : AgentNodes)
    vms.push_back({node->Name, "agent",
                   node->IsEngine ? "tutor-llm" : "lernapp", "hall-a",
                   base::Endpoint{"127.0.0.1", 1}, node->IsListedLeaving});
  for (std::size_t i = 0; i < EntryNodes.size(); ++i)
    vms.push_back({"entry-" + std::to_string(i + 1), "entry", "", "hall-a",
                   base::Endpoint{"127.0.0.1", 2}, false});
  for (std::size_t i = 0; i < EntryNodes.size(); ++i)
    if (EntryNodes[i]->Core)
      deliverToEntry(i, EntryNodes[i]->Instance, entry::VmsListed{vms});
}

void SimulatedCluster::clearServerList() {
  for (std::size_t i = 0; i < EntryNodes.size(); ++i)
    deliverToEntry(i, EntryNodes[i]->Instance, entry::VmsListed{});
}

void SimulatedCluster::readBundle(std::size_t i, std::uint64_t instance) {
  if (EntryNodes[i]->Instance != instance)
    return;
  // Only the first entry reads the store; the others receive bundles from
  // peers.
  if (i == 0 && !IsStoreDown && !StoredBundle.empty() &&
      recordStep(Step::BundleRead, i, 0) != Fault::Lose)
    deliverToEntry(i, instance,
                   entry::DocumentRead{wire::BUNDLE, StoredBundle});
  scheduleAfter(500ms, [this, i, instance] { readBundle(i, instance); });
}

void SimulatedCluster::rollOut(std::uint64_t version) {
  StoredBundle = Keys.serialised(exampleJson(version));
}

void SimulatedCluster::deliverToEntry(std::size_t i, std::uint64_t instance,
                                      entry::Event event) {
  EntryNode &node = *EntryNodes[i];
  if (node.Instance != instance || !node.IsAlive)
    return;
  if (node.IsFrozen) {
    auto kept = std::make_shared<entry::Event>(std::move(event));
    node.Backlog.push_back([this, i, instance, kept] {
      deliverToEntry(i, instance, std::move(*kept));
    });
    return;
  }
  for (entry::Command &command :
       node.Core->handle(skewedNow(node.Skew), std::move(event)))
    execute(i, command);
}

void SimulatedCluster::deliverToAgent(std::size_t i, std::uint64_t instance,
                                      agent::Event event) {
  AgentNode &node = *AgentNodes[i];
  if (node.Instance != instance || !node.IsAlive)
    return;
  if (node.IsFrozen) {
    auto kept = std::make_shared<agent::Event>(std::move(event));
    node.Backlog.push_back([this, i, instance, kept] {
      deliverToAgent(i, instance, std::move(*kept));
    });
    return;
  }
  for (agent::Command &command :
       node.Core->handle(skewedNow(node.Skew), std::move(event)))
    execute(i, command);
}

// Faults.

int SimulatedCluster::stepCount(Step step) const {
  const auto it = StepCounts.find(step);
  return it == StepCounts.end() ? 0 : it->second;
}

void SimulatedCluster::injectAt(Step step, Fault fault, int nth) {
  FaultStep = step;
  PlannedFault = fault;
  PlannedNth = stepCount(step) + nth;
  WasFaultInjected = false;
}

void SimulatedCluster::scheduleSecondFault(Fault fault, Duration after) {
  SecondFault = fault;
  SecondFaultDelay = after;
}

std::optional<Fault> SimulatedCluster::recordStep(Step step, std::size_t entry,
                                                  std::size_t agent) {
  const int n = ++StepCounts[step];
  if (WasFaultInjected || FaultStep != step || n != PlannedNth)
    return std::nullopt;
  WasFaultInjected = true;
  inject(PlannedFault, entry, agent);
  if (SecondFault)
    scheduleAfter(SecondFaultDelay,
                  [this, entry, agent] { inject(*SecondFault, entry, agent); });
  return PlannedFault;
}

/// Stops a process for FreezeDuration. Its events are queued, as in socket
/// buffers, and delivered afterwards.
template <typename Node> void SimulatedCluster::freeze(Node &node) {
  node.IsFrozen = true;
  scheduleAfter(FreezeDuration, [&node, instance = node.Instance] {
    if (node.Instance != instance)
      return;
    node.IsFrozen = false;
    for (auto &action : std::exchange(node.Backlog, {}))
      action();
  });
}

/// Kills an entry, which restarts later. Its callers lose their connections and
/// resume at another entry.
void SimulatedCluster::killEntry(std::size_t e) {
  EntryNodes[e]->IsAlive = false;
  for (auto &caller : Callers) {
    if (caller->IsOver || caller->Entry != e)
      continue;
    CallerOfSession.erase(caller->Session);
    scheduleAfter(ResumeDelay, [this, c = caller.get()] { resume(*c); });
  }
  scheduleAfter(RestartDelay, [this, e] { startEntry(e); });
}

/// Reclaims the agent's VM one second after the notice. A new one starts later
/// under the same name.
void SimulatedCluster::reclaim(std::size_t a) {
  deliverToAgent(a, AgentNodes[a]->Instance,
                 agent::LeaveRequested{Clock.now().Steady + 1s});
  scheduleAfter(1s, [this, a] {
    killEngine(a);
    AgentNodes[a]->IsAlive = false;
  });
  scheduleAfter(3s, [this, a] { startAgent(a); });
}

void SimulatedCluster::inject(Fault fault, std::size_t e, std::size_t a) {
  EntryNode &entryNode = *EntryNodes[e];
  AgentNode &agentNode = *AgentNodes[a];
  // A process that is not running cannot be killed.
  if ((fault == Fault::KillEntry && !entryNode.IsAlive) ||
      ((fault == Fault::RestartAgent || fault == Fault::Reclaim) &&
       !agentNode.IsAlive))
    return;
  switch (fault) {
  case Fault::KillEntry:
    killEntry(e);
    return;
  case Fault::RestartAgent:
    agentNode.IsAlive = false;
    scheduleAfter(RestartDelay, [this, a] { startAgent(a); });
    return;
  case Fault::KillEngine:
    killEngine(a);
    return;
  case Fault::FreezeEntry:
    freeze(entryNode);
    return;
  case Fault::FreezeAgent:
    freeze(agentNode);
    return;
  case Fault::CutToAgent:
    agentNode.CutToAgent.insert(e);
    scheduleAfter(PartitionDuration,
                  [this, e, a] { AgentNodes[a]->CutToAgent.erase(e); });
    return;
  case Fault::CutToEntry:
    agentNode.CutToEntry.insert(e);
    scheduleAfter(PartitionDuration,
                  [this, e, a] { AgentNodes[a]->CutToEntry.erase(e); });
    return;
  case Fault::KvOutage:
    IsStoreDown = true;
    scheduleAfter(StoreOutageDuration, [this] { IsStoreDown = false; });
    return;
  case Fault::AgentLeaves:
    listAgentLeaving(a);
    return;
  case Fault::Reclaim:
    reclaim(a);
    return;
  case Fault::Lose:
  case Fault::Delay:
  case Fault::Duplicate:
  case Fault::LateArrival:
  case Fault::LateCopy:
  case Fault::Reorder:
    return; // Applied to the message by transmit().
  }
}

void SimulatedCluster::listAgentLeaving(std::size_t a) {
  AgentNodes[a]->IsListedLeaving = true;
  publishServerList();
}

void SimulatedCluster::requestLeave(std::size_t a) {
  deliverToAgent(a, AgentNodes[a]->Instance, agent::LeaveRequested{});
}

void SimulatedCluster::replaceAgent(std::size_t a) {
  AgentNodes[a]->IsListedLeaving = false;
  publishServerList();
  startAgent(a);
}

void SimulatedCluster::killEngine(std::size_t a) {
  AgentNode &node = *AgentNodes[a];
  const std::uint64_t instance = node.Instance;
  node.EngineAlive = false;
  std::vector<std::string> ids;
  for (const auto &[id, stream] : node.Streams)
    if (stream.IsRunning)
      ids.push_back(id);
  node.Streams.clear();
  for (const std::string &id : ids)
    deliverToAgent(
        a, instance,
        agent::EngineStreamEnded{id, agent::EngineOutcome::ConnectionLost});
  scheduleAfter(RestartDelay, [this, a] { AgentNodes[a]->EngineAlive = true; });
}

// The network.

void SimulatedCluster::transmit(Step step, std::size_t e, std::size_t a,
                                bool isToAgent, std::function<void()> deliver) {
  const std::optional<Fault> fault = recordStep(step, e, a);
  const AgentNode &node = *AgentNodes[a];
  const bool isPartitioned =
      isToAgent ? node.CutToAgent.contains(e) : node.CutToEntry.contains(e);
  const bool isLost = fault == Fault::Lose || fault == Fault::LateArrival ||
                      isPartitioned ||
                      (!FaultsDisabled && Options.LossRate > 0 &&
                       Random.chance(Options.LossRate));
  Duration delay = linkDelay();
  if (fault == Fault::Delay)
    delay = LongDelay;
  if (fault == Fault::Reorder)
    delay = 40ms;
  if (!isLost)
    scheduleAfter(delay, deliver);
  const bool isDuplicated = fault == Fault::Duplicate ||
                            (!FaultsDisabled && Options.DuplicationRate > 0 &&
                             Random.chance(Options.DuplicationRate));
  if (isDuplicated)
    scheduleAfter(delay + linkDelay(), deliver);
  // Late deliveries arrive after the sender has given up.
  if (fault == Fault::LateArrival)
    scheduleAfter(LateArrivalDelay, deliver);
  if (fault == Fault::LateCopy)
    scheduleAfter(LateCopyDelay, deliver);
}

void SimulatedCluster::execute(std::size_t i, entry::Command &command) {
  if (auto *send = std::get_if<entry::SendMessage>(&command)) {
    const std::uint64_t instance = EntryNodes[i]->Instance;
    const entry::MessageId id = send->Message;
    scheduleAfter(send->Timeout, [this, i, instance, id] {
      deliverToEntry(i, instance,
                     entry::ReplyArrived{
                         id, base::Error{base::ErrorCode::TimedOut, "", ""}});
    });
    for (std::size_t a = 0; a < AgentNodes.size(); ++a)
      if (AgentNodes[a]->Name == send->Peer)
        deliverRequest(i, a, id, send->Request);
    for (std::size_t p = 0; p < EntryNodes.size(); ++p)
      if ("entry-" + std::to_string(p + 1) == send->Peer)
        deliverPeer(i, p, id, send->Request);
    return;
  }
  handleCallerCommand(i, command);
}

void SimulatedCluster::deliverRequest(std::size_t e, std::size_t a,
                                      entry::MessageId id,
                                      const wire::Request &request) {
  const Step step = stepOf(request);
  const std::uint64_t entryInstance = EntryNodes[e]->Instance;
  transmit(step, e, a, true, [this, e, a, id, request, step, entryInstance] {
    AgentNode &node = *AgentNodes[a];
    const agent::ReplyId reply = node.NextReply++;
    node.Replies[reply] = {e, entryInstance, id, step};
    deliverToAgent(a, node.Instance, agent::RequestArrived{reply, request});
  });
}

void SimulatedCluster::deliverPeer(std::size_t from, std::size_t to,
                                   entry::MessageId id,
                                   const wire::Request &request) {
  // The reply id encodes the sender and the message id, to route the reply.
  const std::uint64_t reply = (static_cast<std::uint64_t>(from) << 48) | id;
  const std::uint64_t instance = EntryNodes[to]->Instance;
  scheduleAfter(linkDelay(), [this, to, instance, reply, request] {
    deliverToEntry(to, instance, entry::PeerRequestArrived{reply, request});
  });
}

void SimulatedCluster::execute(std::size_t a, agent::Command &command) {
  if (auto *send = std::get_if<agent::SendReply>(&command)) {
    AgentNode &node = *AgentNodes[a];
    const auto it = node.Replies.find(send->Reply);
    if (it == node.Replies.end())
      return;
    const AgentNode::PendingReply waiting = it->second;
    node.Replies.erase(it);
    transmit(replyTo(waiting.RequestStep), waiting.Entry, a, false,
             [this, waiting, message = send->Message] {
               deliverToEntry(waiting.Entry, waiting.EntryInstance,
                              entry::ReplyArrived{waiting.Message, message});
             });
    return;
  }
  if (auto *start = std::get_if<agent::StartOnEngine>(&command))
    startStream(a, *start);
  if (auto *stop = std::get_if<agent::StopOnEngine>(&command))
    stopStream(a, *stop);
  if (auto *call = std::get_if<agent::CallService>(&command))
    callService(a, *call);
}

// Engines and services.

void SimulatedCluster::startStream(std::size_t a,
                                   const agent::StartOnEngine &c) {
  AgentNode &node = *AgentNodes[a];
  const std::uint64_t instance = node.Instance;
  const auto fault = recordStep(Step::EngineStart, 0, a);
  const auto end = [this, a, instance,
                    id = c.RequestId](agent::EngineOutcome how) {
    scheduleAfter(1ms, [this, a, instance, id, how] {
      deliverToAgent(a, instance, agent::EngineStreamEnded{id, how});
    });
  };
  if (!node.EngineAlive) {
    end(agent::EngineOutcome::Unreachable);
    return;
  }
  if (c.ResumeFrom > 0 && !node.Streams.contains(c.RequestId)) {
    end(agent::EngineOutcome::Unresumable);
    return;
  }
  if (Options.RefusalRate > 0 && Random.chance(Options.RefusalRate)) {
    end(agent::EngineOutcome::Refused);
    return;
  }
  FakeStream &stream = node.Streams[c.RequestId];
  if (c.ResumeFrom == 0) {
    stream.Start = c.Start;
    stream.Seed = std::to_string(Random.next());
    stream.Length = 1 + static_cast<std::uint32_t>(
                            Random.below(Random.chance(0.2) ? 600 : 60));
    if (IsEndless)
      stream.Length = c.Start.max_tokens();
    stream.Length = std::min(stream.Length, c.Start.max_tokens());
    ++GenerationRuns[c.Start.prompt()];
    ++node.Starts;
  }
  stream.IsRunning = true;
  stream.Epoch = ++node.NextEpoch;
  // The connection is lost after the engine has started the generation.
  if (fault == Fault::Lose) {
    node.Streams.erase(c.RequestId);
    end(agent::EngineOutcome::ConnectionLost);
    return;
  }
  scheduleAfter(TokenInterval, [this, a, id = c.RequestId, g = stream.Epoch] {
    stepStream(a, id, g);
  });
}

void SimulatedCluster::stopStream(std::size_t a, const agent::StopOnEngine &c) {
  AgentNode &node = *AgentNodes[a];
  const auto fault = recordStep(Step::EngineStop, 0, a);
  const Duration delay = fault == Fault::Delay ? LongDelay : Duration(5ms);
  scheduleAfter(delay, [this, a, id = c.RequestId, keep = c.KeepState,
                        instance = node.Instance] {
    AgentNode &n = *AgentNodes[a];
    const auto it = n.Streams.find(id);
    if (it == n.Streams.end())
      return;
    if (!keep) {
      n.Streams.erase(it);
      return;
    }
    if (!it->second.IsRunning)
      return;
    it->second.IsRunning = false;
    deliverToAgent(
        a, instance,
        agent::EngineStreamEnded{id, agent::EngineOutcome::Released});
  });
}

void SimulatedCluster::stepStream(std::size_t a, const std::string &id,
                                  std::uint64_t epoch) {
  AgentNode &node = *AgentNodes[a];
  const auto it = node.Streams.find(id);
  if (it == node.Streams.end() || !it->second.IsRunning ||
      it->second.Epoch != epoch)
    return;
  FakeStream &stream = it->second;
  const std::uint64_t instance = node.Instance;
  const std::uint32_t index = stream.Produced++;
  const bool isLast = stream.Produced >= stream.Length;
  const std::string token = stream.Seed + "." + std::to_string(index);
  const auto fault = recordStep(Step::EngineToken, 0, a);
  const agent::TokensArrived arrived{id, index, {token}};
  if (fault != Fault::Lose)
    deliverToAgent(a, instance, arrived);
  if (fault == Fault::Duplicate)
    deliverToAgent(a, instance, arrived);
  // A fault injected above may have removed the stream.
  const auto again = node.Streams.find(id);
  if (again == node.Streams.end())
    return;
  if (!isLast) {
    scheduleAfter(TokenInterval,
                  [this, a, id, epoch] { stepStream(a, id, epoch); });
    return;
  }
  again->second.IsRunning = false;
  const auto endFault = recordStep(Step::EngineEnd, 0, a);
  const auto how = endFault == Fault::Lose
                       ? agent::EngineOutcome::ConnectionLost
                       : agent::EngineOutcome::Finished;
  deliverToAgent(a, instance, agent::EngineStreamEnded{id, how});
  node.Streams.erase(id);
}

void SimulatedCluster::callService(std::size_t a, const agent::CallService &c) {
  const std::uint64_t instance = AgentNodes[a]->Instance;
  const auto fault = recordStep(Step::ServiceCall, 0, a);
  const auto end = [this, a, instance, id = c.RequestId](bool stepCount,
                                                         bool answered) {
    scheduleAfter(10ms, [this, a, instance, id, stepCount, answered] {
      agent::CallEnded ended{id, stepCount, answered, {}};
      ended.Reply.set_status(200);
      ended.Reply.set_body(id);
      deliverToAgent(a, instance, ended);
    });
  };
  if (fault == Fault::Lose || !AgentNodes[a]->EngineAlive) {
    end(false, false);
    return;
  }
  ++ServiceRuns[c.Call.body()];
  const auto answerFault = recordStep(Step::ServiceAnswer, 0, a);
  end(true, answerFault != Fault::Lose);
}

// Callers.

void SimulatedCluster::requestGeneration(std::size_t e) {
  auto caller = std::make_unique<Caller>();
  caller->Marker = "g" + std::to_string(Callers.size());
  Callers.push_back(std::move(caller));
  sendRequest(*Callers.back(), e);
}

void SimulatedCluster::requestCall(std::size_t e, bool repeats) {
  auto caller = std::make_unique<Caller>();
  caller->Marker = "c" + std::to_string(Callers.size());
  caller->IsCall = true;
  caller->IsRepeated = repeats;
  caller->Key = caller->Marker;
  caller->KeyTime = Clock.now().Wall;
  Callers.push_back(std::move(caller));
  Caller &first = *Callers.back();
  sendRequest(first, e);
  if (!repeats)
    return;
  auto copy = std::make_unique<Caller>(first);
  copy->IsOver = false;
  Callers.push_back(std::move(copy));
  scheduleAfter(milliseconds(Random.below(3'000)),
                [this, c = Callers.back().get(), e] {
                  sendRequest(*c, (e + 1) % EntryNodes.size());
                });
}

void SimulatedCluster::cancelGeneration(std::size_t e) {
  for (const auto &caller : Callers) {
    if (caller->IsCall || caller->IsOver || caller->RequestId.empty())
      continue;
    auto cancel = std::make_unique<Caller>();
    cancel->IsCancel = true;
    cancel->RequestId = caller->RequestId;
    cancel->Marker = "x";
    Callers.push_back(std::move(cancel));
    sendRequest(*Callers.back(), e);
    return;
  }
}

void SimulatedCluster::disconnectCaller(bool isNoticed) {
  for (const auto &caller : Callers) {
    if (caller->IsCall || caller->IsOver || caller->RequestId.empty())
      continue;
    CallerOfSession.erase(caller->Session);
    if (isNoticed)
      deliverToEntry(caller->Entry, EntryNodes[caller->Entry]->Instance,
                     entry::SessionClosed{caller->Session});
    resume(*caller);
    return;
  }
}

void SimulatedCluster::sendRequest(Caller &caller, std::size_t e) {
  caller.Entry = e;
  caller.Session = NextSession++;
  CallerOfSession[caller.Session] = &caller;
  const std::uint64_t instance = EntryNodes[e]->Instance;
  if (!EntryNodes[e]->IsAlive) {
    // No process listens; a load balancer would have chosen another entry.
    caller.IsOver = true;
    caller.WasDisconnected = true;
    return;
  }
  if (caller.IsCancel) {
    deliverToEntry(e, instance,
                   entry::CancelRequested{caller.Session, caller.Credential,
                                          caller.RequestId});
    return;
  }
  if (caller.IsCall) {
    deliverToEntry(e, instance,
                   entry::CallRequested{caller.Session, caller.Credential,
                                        "lernapp", "POST", "/progress",
                                        caller.Marker, false, caller.Key,
                                        caller.KeyTime});
    return;
  }
  deliverToEntry(e, instance,
                 entry::GenerationRequested{caller.Session, caller.Credential,
                                            "tutor-llm", "", "", caller.Marker,
                                            4'000, true});
}

void SimulatedCluster::resume(Caller &caller) {
  if (caller.IsOver)
    return;
  // Only a generation with a known request id can be resumed.
  if (caller.IsCall || caller.IsCancel || caller.RequestId.empty() ||
      ++caller.Resumes > MaxResumes) {
    caller.IsOver = true;
    caller.WasDisconnected = true;
    return;
  }
  CallerOfSession.erase(caller.Session);
  const std::size_t e = (caller.Entry + 1) % EntryNodes.size();
  caller.Entry = e;
  if (!EntryNodes[e]->IsAlive) {
    scheduleAfter(ResumeDelay, [this, c = &caller] { resume(*c); });
    return;
  }
  caller.Session = NextSession++;
  CallerOfSession[caller.Session] = &caller;
  deliverToEntry(e, EntryNodes[e]->Instance,
                 entry::ResumeRequested{caller.Session, caller.Credential,
                                        caller.RequestId, caller.NextIndex});
}

void SimulatedCluster::handleCallerCommand(std::size_t e,
                                           entry::Command &command) {
  const auto callerOf = [&](entry::SessionId id) -> Caller * {
    const auto it = CallerOfSession.find(id);
    if (it == CallerOfSession.end() || it->second->Entry != e)
      return nullptr;
    return it->second;
  };
  if (auto *c = std::get_if<entry::ReplyToPeer>(&command)) {
    const auto to = static_cast<std::size_t>(c->ReplyId >> 48);
    const entry::MessageId id = c->ReplyId & 0xffff'ffff'ffffULL;
    scheduleAfter(linkDelay(), [this, to, id,
                                instance = EntryNodes[to]->Instance,
                                message = c->Message] {
      deliverToEntry(to, instance, entry::ReplyArrived{id, message});
    });
  } else if (auto *c = std::get_if<entry::BeginStream>(&command)) {
    if (Caller *caller = callerOf(c->Session))
      caller->RequestId = c->RequestId;
  } else if (auto *c = std::get_if<entry::DeliverTokens>(&command)) {
    Caller *caller = callerOf(c->Session);
    for (std::size_t i = 0; caller && i < c->Tokens.size(); ++i) {
      const std::string &token = c->Tokens[i];
      const std::string seed = token.substr(0, token.find('.'));
      const std::string index = token.substr(token.find('.') + 1);
      if (c->FirstIndex + i != caller->NextIndex ||
          index != std::to_string(caller->NextIndex))
        Violations += caller->Marker + ": token out of order; ";
      if (!caller->Seed.empty() && caller->Seed != seed)
        Violations +=
            caller->Marker + ": tokens of two generations in one answer; ";
      caller->Seed = seed;
      ++caller->NextIndex;
    }
  } else if (auto *c = std::get_if<entry::EndStream>(&command)) {
    if (Caller *caller = callerOf(c->Session)) {
      caller->IsOver = true;
      caller->IsComplete = !c->Failure;
      caller->Refused = c->Failure;
    }
  } else if (auto *c = std::get_if<entry::RefuseSession>(&command)) {
    Caller *caller = callerOf(c->Session);
    const bool retries = caller && caller->Resumes > 0 &&
                         (c->Why.Reason == base::Reason::NotReady ||
                          c->Why.Reason == base::Reason::NotFound ||
                          c->Why.Reason == base::Reason::BackendServerLost);
    if (retries) {
      scheduleAfter(500ms, [this, caller] { resume(*caller); });
    } else if (caller) {
      caller->IsOver = true;
      caller->Refused = c->Why;
    }
  } else if (auto *c = std::get_if<entry::AnswerSession>(&command)) {
    if (Caller *caller = callerOf(c->Session)) {
      caller->IsOver = true;
      caller->IsComplete = true;
      const std::string expected = "key~school-1~" + caller->Key;
      if (caller->IsCall && c->Answer.body() != expected)
        Violations +=
            caller->Marker + ": received the answer of another call; ";
    }
  }
}

// Execution and verification.

void SimulatedCluster::run(Duration time) {
  const base::Instant until = Clock.now().Steady + time;
  while (!ScheduledActions.empty() &&
         ScheduledActions.begin()->first <= until) {
    const auto first = ScheduledActions.begin();
    if (first->first > Clock.now().Steady)
      Clock.advance(first->first - Clock.now().Steady);
    const auto action = std::move(first->second);
    ScheduledActions.erase(first);
    action();
  }
  Clock.advance(until - Clock.now().Steady);
}

void SimulatedCluster::settle() {
  FaultsDisabled = true;
  run(SettleDuration);
}

std::string SimulatedCluster::check() const {
  std::string violations = Violations;
  for (const auto &caller : Callers) {
    if (!caller->IsOver) {
      violations += caller->Marker + ": received no final answer; ";
      continue;
    }
    const bool wasToldNotRun =
        caller->Refused && caller->Refused->Outcome == Verdict::NotRun;
    const auto &ran = caller->IsCall ? ServiceRuns : GenerationRuns;
    const bool didRun = ran.contains(caller->Marker);
    if (wasToldNotRun && didRun && !caller->IsRepeated &&
        caller->Resumes == 0 && !caller->IsCancel)
      violations +=
          fmt::format("{}: answered NotRun ({}), but it ran; ", caller->Marker,
                      toString(caller->Refused->Reason));
    if (caller->IsComplete && !caller->IsCancel && !didRun)
      violations += caller->Marker + ": complete answer, but it never ran; ";
  }
  for (const auto &[marker, n] : ServiceRuns)
    if (n > 1)
      violations +=
          fmt::format("{}: ran {} times, expected at most once; ", marker, n);
  for (const auto &node : AgentNodes)
    if (!node->Streams.empty())
      for (const auto &[id, stream] : node->Streams)
        if (stream.IsRunning)
          violations += id + ": still running on the engine after settling; ";
  return violations;
}

std::size_t SimulatedCluster::completeAnswers() const {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(),
                    [](const auto &c) { return c->IsComplete; }));
}
std::size_t SimulatedCluster::refusedWith(base::Reason why) const {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(), [&](const auto &c) {
        return c->Refused && c->Refused->Reason == why;
      }));
}
std::size_t SimulatedCluster::requests() const { return Callers.size(); }
std::size_t SimulatedCluster::agents() const { return AgentNodes.size(); }
int SimulatedCluster::startsOn(std::size_t a) const {
  return AgentNodes[a]->Starts;
}
std::size_t SimulatedCluster::runningOn(std::size_t a) const {
  return AgentNodes[a]->Streams.size();
}

std::uint64_t SimulatedCluster::bundleOfEntry(std::size_t i) const {
  return EntryNodes[i]->Core->documents().versions().bundle();
}
std::uint64_t SimulatedCluster::bundleOfAgent(std::size_t i) const {
  return AgentNodes[i]->Core->documents().versions().bundle();
}

} // namespace drumlanding::test
