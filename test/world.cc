#include "world.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::test {
namespace {

using namespace std::chrono_literals;
using base::Duration;
using base::milliseconds;
using base::Verdict;

constexpr Duration TickEvery = 10ms;
constexpr Duration TokenEvery = 20ms;
constexpr Duration LinkTime = 1ms;
constexpr Duration FreezeTime = 7s;
constexpr Duration CutTime = 4s;
constexpr Duration LongDelay = 3s;
constexpr Duration LateTime = 9s;
constexpr Duration CopyTime = 3s;
constexpr Duration RestartTime = 300ms;
constexpr Duration KvOutageTime = 20s;
constexpr Duration ResumeTime = 150ms;
constexpr Duration SettleTime = 60s;
/// A resume is tried this often before the caller takes it for lost.
constexpr int MostResumes = 30;

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

/// A caller and what it was told.
struct World::Caller {
  std::string Marker;
  std::string Credential = Credential1;
  bool IsCall = false;
  bool IsCancel = false;
  /// Of a call: sent twice, so a "not run" speaks only for itself.
  bool IsRepeat = false;
  std::string Key;
  base::WallTime KeyTime{};
  std::size_t Entry = 0;
  entry::SessionId Session = 0;
  std::string RequestId;
  std::string Seed;
  std::uint32_t Next = 0;
  int Resumes = 0;
  bool IsOver = false;
  bool IsWhole = false;
  bool WasCut = false;
  std::optional<base::Refusal> Refused;
};

struct World::EntryNode {
  std::unique_ptr<entry::Core> Core;
  /// Counts its lives: what was meant for an earlier one is dropped.
  std::uint64_t Life = 0;
  bool IsAlive = false;
  bool IsFrozen = false;
  std::vector<std::function<void()>> Backlog;
  milliseconds Skew{0};
};

struct World::FakeStream {
  wire::Start Start;
  std::string Seed;
  std::uint32_t Produced = 0;
  std::uint32_t Length = 0;
  bool IsRunning = false;
  std::uint64_t Generation = 0;
};

struct World::AgentNode {
  std::unique_ptr<agent::Core> Core;
  std::uint64_t Life = 0;
  bool IsAlive = false;
  bool IsFrozen = false;
  bool IsEngine = false;
  bool IsListedLeaving = false;
  bool EngineAlive = true;
  int Starts = 0;
  /// Links by entry that are cut, each way.
  std::set<std::size_t> CutToAgent;
  std::set<std::size_t> CutToEntry;
  std::vector<std::function<void()>> Backlog;
  milliseconds Skew{0};
  std::string Name;
  std::map<std::string, FakeStream> Streams;
  std::uint64_t NextGeneration = 0;
  std::uint64_t NextReply = 1;
  struct Waiting {
    std::size_t Entry = 0;
    std::uint64_t EntryLife = 0;
    entry::MessageId Message = 0;
    Step RequestStep = Step::SyncRequest;
  };
  std::map<agent::ReplyId, Waiting> Replies;
};

World::World(WorldOptions options) : Options(options), Random(options.Seed) {
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
  // The agents' memory of keys begins at their start.
  run(8s);
}

World::~World() = default;

void World::at(Duration after, std::function<void()> action) {
  Queue.emplace(Clock.now().Steady + after, std::move(action));
}

base::Now World::nowFor(milliseconds skew) const {
  base::Now now = Clock.now();
  now.Wall += skew;
  return now;
}

Duration World::linkDelay() {
  const auto most = static_cast<std::uint64_t>(Options.MostJitter.count());
  return LinkTime + milliseconds(Random.below(most + 1));
}

// Processes.

void World::startEntry(std::size_t i) {
  EntryNode &node = *EntryNodes[i];
  entry::CoreOptions options;
  options.Name = "entry-" + std::to_string(i + 1);
  options.Place = "hall-a";
  options.Trusted = Keys.trusted();
  options.Seed = Random.next();
  options.On = Options.EntryOn;
  options.Count = [this](std::string_view metric, std::string_view,
                         std::string_view, double) {
    if (metric == "drumlanding_attempts_total")
      ++Attempts;
  };
  node.Core = std::make_unique<entry::Core>(std::move(options));
  node.IsAlive = true;
  node.IsFrozen = false;
  const std::uint64_t life = ++node.Life;
  listVms();
  tickEntry(i, life);
  readBundle(i, life);
}

void World::startAgent(std::size_t i) {
  AgentNode &node = *AgentNodes[i];
  agent::CoreOptions options;
  options.Server = node.Name;
  options.Service = node.IsEngine ? "tutor-llm" : "lernapp";
  options.Place = "hall-a";
  options.Incarnation = Random.next() | 1;
  options.StartedAt = nowFor(node.Skew).Wall;
  options.Trusted = Keys.trusted();
  options.Scheduling.CapacityTokens = Options.EngineCapacity;
  options.On = Options.AgentOn;
  node.Core = std::make_unique<agent::Core>(std::move(options));
  node.IsAlive = true;
  node.IsFrozen = false;
  node.Replies.clear();
  node.Backlog.clear();
  const std::uint64_t life = ++node.Life;
  // As the shell does: streams of an earlier incarnation end.
  node.Streams.clear();
  tickAgent(i, life);
}

void World::tickEntry(std::size_t i, std::uint64_t life) {
  if (EntryNodes[i]->Life != life)
    return;
  if (!EntryNodes[i]->IsFrozen)
    toEntry(i, life, entry::Tick{});
  at(TickEvery, [this, i, life] { tickEntry(i, life); });
}

void World::tickAgent(std::size_t i, std::uint64_t life) {
  AgentNode &node = *AgentNodes[i];
  if (node.Life != life)
    return;
  if (!node.IsFrozen) {
    toAgent(i, life,
            agent::ServerObserved{node.EngineAlive, Options.EngineCapacity,
                                  node.IsEngine && node.EngineAlive
                                      ? allModels()
                                      : std::vector<plan::LoadedModel>()});
    toAgent(i, life, agent::Tick{});
  }
  at(TickEvery, [this, i, life] { tickAgent(i, life); });
}

void World::listVms() {
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
      toEntry(i, EntryNodes[i]->Life, entry::VmsListed{vms});
}

void World::emptyList() {
  for (std::size_t i = 0; i < EntryNodes.size(); ++i)
    toEntry(i, EntryNodes[i]->Life, entry::VmsListed{});
}

void World::readBundle(std::size_t i, std::uint64_t life) {
  if (EntryNodes[i]->Life != life)
    return;
  // Only the first entry watches: the others learn from their peers.
  if (i == 0 && !KvDown && !KvBundle.empty() &&
      reach(Step::BundleRead, i, 0) != Fault::Lose)
    toEntry(i, life, entry::DocumentRead{wire::BUNDLE, KvBundle});
  at(500ms, [this, i, life] { readBundle(i, life); });
}

void World::rollOut(std::uint64_t version) {
  KvBundle = Keys.serialised(exampleJson(version));
}

void World::toEntry(std::size_t i, std::uint64_t life, entry::Event event) {
  EntryNode &node = *EntryNodes[i];
  if (node.Life != life || !node.IsAlive)
    return;
  if (node.IsFrozen) {
    auto kept = std::make_shared<entry::Event>(std::move(event));
    node.Backlog.push_back(
        [this, i, life, kept] { toEntry(i, life, std::move(*kept)); });
    return;
  }
  for (entry::Command &command :
       node.Core->handle(nowFor(node.Skew), std::move(event)))
    execute(i, command);
}

void World::toAgent(std::size_t i, std::uint64_t life, agent::Event event) {
  AgentNode &node = *AgentNodes[i];
  if (node.Life != life || !node.IsAlive)
    return;
  if (node.IsFrozen) {
    auto kept = std::make_shared<agent::Event>(std::move(event));
    node.Backlog.push_back(
        [this, i, life, kept] { toAgent(i, life, std::move(*kept)); });
    return;
  }
  for (agent::Command &command :
       node.Core->handle(nowFor(node.Skew), std::move(event)))
    execute(i, command);
}

// Faults.

int World::reached(Step step) const {
  const auto it = Reached.find(step);
  return it == Reached.end() ? 0 : it->second;
}

void World::injectAt(Step step, Fault fault, int nth) {
  FaultStep = step;
  PlannedFault = fault;
  PlannedNth = reached(step) + nth;
  Injected = false;
}

void World::followWith(Fault fault, Duration after) {
  SecondFault = fault;
  SecondAfter = after;
}

std::optional<Fault> World::reach(Step step, std::size_t entry,
                                  std::size_t agent) {
  const int n = ++Reached[step];
  if (Injected || FaultStep != step || n != PlannedNth)
    return std::nullopt;
  Injected = true;
  inject(PlannedFault, entry, agent);
  if (SecondFault)
    at(SecondAfter,
       [this, entry, agent] { inject(*SecondFault, entry, agent); });
  return PlannedFault;
}

/// Stops a process for a while; what it was sent waits, as in its sockets.
template <typename Node> void World::freeze(Node &node) {
  node.IsFrozen = true;
  at(FreezeTime, [&node, life = node.Life] {
    if (node.Life != life)
      return;
    node.IsFrozen = false;
    for (auto &action : std::exchange(node.Backlog, {}))
      action();
  });
}

/// Its connections break: callers come back elsewhere.
void World::killEntry(std::size_t e) {
  EntryNodes[e]->IsAlive = false;
  for (auto &caller : Callers) {
    if (caller->IsOver || caller->Entry != e)
      continue;
    CallerOfSession.erase(caller->Session);
    at(ResumeTime, [this, c = caller.get()] { resume(*c); });
  }
  at(RestartTime, [this, e] { startEntry(e); });
}

/// The VM vanishes a second after it was told; another takes its place under
/// the same name.
void World::reclaim(std::size_t a) {
  toAgent(a, AgentNodes[a]->Life, agent::LeaveOrdered{Clock.now().Steady + 1s});
  at(1s, [this, a] {
    killEngine(a);
    AgentNodes[a]->IsAlive = false;
  });
  at(3s, [this, a] { startAgent(a); });
}

void World::inject(Fault fault, std::size_t e, std::size_t a) {
  EntryNode &entryNode = *EntryNodes[e];
  AgentNode &agentNode = *AgentNodes[a];
  // What is dead already cannot be killed again.
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
    at(RestartTime, [this, a] { startAgent(a); });
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
    at(CutTime, [this, e, a] { AgentNodes[a]->CutToAgent.erase(e); });
    return;
  case Fault::CutToEntry:
    agentNode.CutToEntry.insert(e);
    at(CutTime, [this, e, a] { AgentNodes[a]->CutToEntry.erase(e); });
    return;
  case Fault::KvOutage:
    KvDown = true;
    at(KvOutageTime, [this] { KvDown = false; });
    return;
  case Fault::AgentLeaves:
    leaveAgent(a);
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
    return; // they strike the message itself
  }
}

void World::leaveAgent(std::size_t a) {
  AgentNodes[a]->IsListedLeaving = true;
  listVms();
}

void World::orderLeave(std::size_t a) {
  toAgent(a, AgentNodes[a]->Life, agent::LeaveOrdered{});
}

void World::replaceAgent(std::size_t a) {
  AgentNodes[a]->IsListedLeaving = false;
  listVms();
  startAgent(a);
}

void World::killEngine(std::size_t a) {
  AgentNode &node = *AgentNodes[a];
  const std::uint64_t life = node.Life;
  node.EngineAlive = false;
  std::vector<std::string> ids;
  for (const auto &[id, stream] : node.Streams)
    if (stream.IsRunning)
      ids.push_back(id);
  node.Streams.clear();
  for (const std::string &id : ids)
    toAgent(a, life, agent::EngineStreamEnded{id, agent::EngineEnd::Lost});
  at(RestartTime, [this, a] { AgentNodes[a]->EngineAlive = true; });
}

// The network.

void World::carry(Step step, std::size_t e, std::size_t a, bool toAgent,
                  std::function<void()> deliver) {
  const std::optional<Fault> fault = reach(step, e, a);
  const AgentNode &node = *AgentNodes[a];
  const bool isCut =
      toAgent ? node.CutToAgent.contains(e) : node.CutToEntry.contains(e);
  const bool isLost =
      fault == Fault::Lose || fault == Fault::LateArrival || isCut ||
      (!Healing && Options.LosePart > 0 && Random.chance(Options.LosePart));
  Duration delay = linkDelay();
  if (fault == Fault::Delay)
    delay = LongDelay;
  if (fault == Fault::Reorder)
    delay = 40ms;
  if (!isLost)
    at(delay, deliver);
  const bool isDoubled =
      fault == Fault::Duplicate ||
      (!Healing && Options.DoublePart > 0 && Random.chance(Options.DoublePart));
  if (isDoubled)
    at(delay + linkDelay(), deliver);
  // All is over when it arrives.
  if (fault == Fault::LateArrival)
    at(LateTime, deliver);
  if (fault == Fault::LateCopy)
    at(CopyTime, deliver);
}

void World::execute(std::size_t i, entry::Command &command) {
  if (auto *send = std::get_if<entry::SendMessage>(&command)) {
    const std::uint64_t life = EntryNodes[i]->Life;
    const entry::MessageId id = send->Message;
    at(send->Timeout, [this, i, life, id] {
      toEntry(i, life,
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
  onCallersCommand(i, command);
}

void World::deliverRequest(std::size_t e, std::size_t a, entry::MessageId id,
                           const wire::Request &request) {
  const Step step = stepOf(request);
  const std::uint64_t entryLife = EntryNodes[e]->Life;
  carry(step, e, a, true, [this, e, a, id, request, step, entryLife] {
    AgentNode &node = *AgentNodes[a];
    const agent::ReplyId reply = node.NextReply++;
    node.Replies[reply] = {e, entryLife, id, step};
    toAgent(a, node.Life, agent::RequestArrived{reply, request});
  });
}

void World::deliverPeer(std::size_t from, std::size_t to, entry::MessageId id,
                        const wire::Request &request) {
  // The peer's reply finds its way back by the two numbers.
  const std::uint64_t reply = (static_cast<std::uint64_t>(from) << 48) | id;
  const std::uint64_t life = EntryNodes[to]->Life;
  at(linkDelay(), [this, to, life, reply, request] {
    toEntry(to, life, entry::PeerRequestArrived{reply, request});
  });
}

void World::execute(std::size_t a, agent::Command &command) {
  if (auto *send = std::get_if<agent::SendReply>(&command)) {
    AgentNode &node = *AgentNodes[a];
    const auto it = node.Replies.find(send->Reply);
    if (it == node.Replies.end())
      return;
    const AgentNode::Waiting waiting = it->second;
    node.Replies.erase(it);
    carry(replyTo(waiting.RequestStep), waiting.Entry, a, false,
          [this, waiting, message = send->Message] {
            toEntry(waiting.Entry, waiting.EntryLife,
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

void World::startStream(std::size_t a, const agent::StartOnEngine &c) {
  AgentNode &node = *AgentNodes[a];
  const std::uint64_t life = node.Life;
  const auto fault = reach(Step::EngineStart, 0, a);
  const auto end = [this, a, life, id = c.RequestId](agent::EngineEnd how) {
    at(1ms, [this, a, life, id, how] {
      toAgent(a, life, agent::EngineStreamEnded{id, how});
    });
  };
  if (!node.EngineAlive) {
    end(agent::EngineEnd::Unreached);
    return;
  }
  if (c.ResumeFrom > 0 && !node.Streams.contains(c.RequestId)) {
    end(agent::EngineEnd::Unresumable);
    return;
  }
  if (Options.RefusePart > 0 && Random.chance(Options.RefusePart)) {
    end(agent::EngineEnd::Refused);
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
    ++Started[c.Start.prompt()];
    ++node.Starts;
  }
  stream.IsRunning = true;
  stream.Generation = ++node.NextGeneration;
  // The answer to the start is lost though the engine runs it.
  if (fault == Fault::Lose) {
    node.Streams.erase(c.RequestId);
    end(agent::EngineEnd::Lost);
    return;
  }
  at(TokenEvery, [this, a, id = c.RequestId, g = stream.Generation] {
    stepStream(a, id, g);
  });
}

void World::stopStream(std::size_t a, const agent::StopOnEngine &c) {
  AgentNode &node = *AgentNodes[a];
  const auto fault = reach(Step::EngineStop, 0, a);
  const Duration delay = fault == Fault::Delay ? LongDelay : Duration(5ms);
  at(delay, [this, a, id = c.RequestId, keep = c.Keep, life = node.Life] {
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
    toAgent(a, life, agent::EngineStreamEnded{id, agent::EngineEnd::LetGo});
  });
}

void World::stepStream(std::size_t a, const std::string &id,
                       std::uint64_t generation) {
  AgentNode &node = *AgentNodes[a];
  const auto it = node.Streams.find(id);
  if (it == node.Streams.end() || !it->second.IsRunning ||
      it->second.Generation != generation)
    return;
  FakeStream &stream = it->second;
  const std::uint64_t life = node.Life;
  const std::uint32_t index = stream.Produced++;
  const bool isLast = stream.Produced >= stream.Length;
  const std::string token = stream.Seed + "." + std::to_string(index);
  const auto fault = reach(Step::EngineToken, 0, a);
  const agent::TokensArrived arrived{id, index, {token}};
  if (fault != Fault::Lose)
    toAgent(a, life, arrived);
  if (fault == Fault::Duplicate)
    toAgent(a, life, arrived);
  // A fault can have ended the stream.
  const auto again = node.Streams.find(id);
  if (again == node.Streams.end())
    return;
  if (!isLast) {
    at(TokenEvery,
       [this, a, id, generation] { stepStream(a, id, generation); });
    return;
  }
  again->second.IsRunning = false;
  const auto endFault = reach(Step::EngineEnd, 0, a);
  const auto how = endFault == Fault::Lose ? agent::EngineEnd::Lost
                                           : agent::EngineEnd::Finished;
  toAgent(a, life, agent::EngineStreamEnded{id, how});
  node.Streams.erase(id);
}

void World::callService(std::size_t a, const agent::CallService &c) {
  const std::uint64_t life = AgentNodes[a]->Life;
  const auto fault = reach(Step::ServiceCall, 0, a);
  const auto end = [this, a, life, id = c.RequestId](bool reached,
                                                     bool answered) {
    at(10ms, [this, a, life, id, reached, answered] {
      agent::CallEnded ended{id, reached, answered, {}};
      ended.Reply.set_status(200);
      ended.Reply.set_body(id);
      toAgent(a, life, ended);
    });
  };
  if (fault == Fault::Lose || !AgentNodes[a]->EngineAlive) {
    end(false, false);
    return;
  }
  ++ServiceRuns[c.Call.body()];
  const auto answerFault = reach(Step::ServiceAnswer, 0, a);
  end(true, answerFault != Fault::Lose);
}

// Callers.

void World::askGeneration(std::size_t e) {
  auto caller = std::make_unique<Caller>();
  caller->Marker = "g" + std::to_string(Callers.size());
  Callers.push_back(std::move(caller));
  sendCaller(*Callers.back(), e);
}

void World::askCall(std::size_t e, bool repeats) {
  auto caller = std::make_unique<Caller>();
  caller->Marker = "c" + std::to_string(Callers.size());
  caller->IsCall = true;
  caller->IsRepeat = repeats;
  caller->Key = caller->Marker;
  caller->KeyTime = Clock.now().Wall;
  Callers.push_back(std::move(caller));
  Caller &first = *Callers.back();
  sendCaller(first, e);
  if (!repeats)
    return;
  auto copy = std::make_unique<Caller>(first);
  copy->IsOver = false;
  Callers.push_back(std::move(copy));
  at(milliseconds(Random.below(3'000)), [this, c = Callers.back().get(), e] {
    sendCaller(*c, (e + 1) % EntryNodes.size());
  });
}

void World::cancelOne(std::size_t e) {
  for (const auto &caller : Callers) {
    if (caller->IsCall || caller->IsOver || caller->RequestId.empty())
      continue;
    auto cancel = std::make_unique<Caller>();
    cancel->IsCancel = true;
    cancel->RequestId = caller->RequestId;
    cancel->Marker = "x";
    Callers.push_back(std::move(cancel));
    sendCaller(*Callers.back(), e);
    return;
  }
}

void World::dropCaller(bool isNoticed) {
  for (const auto &caller : Callers) {
    if (caller->IsCall || caller->IsOver || caller->RequestId.empty())
      continue;
    CallerOfSession.erase(caller->Session);
    if (isNoticed)
      toEntry(caller->Entry, EntryNodes[caller->Entry]->Life,
              entry::SessionClosed{caller->Session});
    resume(*caller);
    return;
  }
}

void World::sendCaller(Caller &caller, std::size_t e) {
  caller.Entry = e;
  caller.Session = NextSession++;
  CallerOfSession[caller.Session] = &caller;
  const std::uint64_t life = EntryNodes[e]->Life;
  if (!EntryNodes[e]->IsAlive) {
    // Nothing listens: the balancer would have sent it elsewhere.
    caller.IsOver = true;
    caller.WasCut = true;
    return;
  }
  if (caller.IsCancel) {
    toEntry(e, life,
            entry::CancelRequested{caller.Session, caller.Credential,
                                   caller.RequestId});
    return;
  }
  if (caller.IsCall) {
    toEntry(e, life,
            entry::CallRequested{caller.Session, caller.Credential, "lernapp",
                                 "POST", "/progress", caller.Marker, false,
                                 caller.Key, caller.KeyTime});
    return;
  }
  toEntry(e, life,
          entry::GenerationRequested{caller.Session, caller.Credential,
                                     "tutor-llm", "", "", caller.Marker, 4'000,
                                     true});
}

void World::resume(Caller &caller) {
  if (caller.IsOver)
    return;
  // Without an id there is nothing to come back for.
  if (caller.IsCall || caller.IsCancel || caller.RequestId.empty() ||
      ++caller.Resumes > MostResumes) {
    caller.IsOver = true;
    caller.WasCut = true;
    return;
  }
  CallerOfSession.erase(caller.Session);
  const std::size_t e = (caller.Entry + 1) % EntryNodes.size();
  caller.Entry = e;
  if (!EntryNodes[e]->IsAlive) {
    at(ResumeTime, [this, c = &caller] { resume(*c); });
    return;
  }
  caller.Session = NextSession++;
  CallerOfSession[caller.Session] = &caller;
  toEntry(e, EntryNodes[e]->Life,
          entry::ResumeRequested{caller.Session, caller.Credential,
                                 caller.RequestId, caller.Next});
}

void World::onCallersCommand(std::size_t e, entry::Command &command) {
  const auto callerOf = [&](entry::SessionId id) -> Caller * {
    const auto it = CallerOfSession.find(id);
    if (it == CallerOfSession.end() || it->second->Entry != e)
      return nullptr;
    return it->second;
  };
  if (auto *c = std::get_if<entry::ReplyToPeer>(&command)) {
    const auto to = static_cast<std::size_t>(c->ReplyId >> 48);
    const entry::MessageId id = c->ReplyId & 0xffff'ffff'ffffULL;
    at(linkDelay(),
       [this, to, id, life = EntryNodes[to]->Life, message = c->Message] {
         toEntry(to, life, entry::ReplyArrived{id, message});
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
      if (c->FirstIndex + i != caller->Next ||
          index != std::to_string(caller->Next))
        Trouble += caller->Marker + ": token out of order; ";
      if (!caller->Seed.empty() && caller->Seed != seed)
        Trouble += caller->Marker + ": two generations mixed; ";
      caller->Seed = seed;
      ++caller->Next;
    }
  } else if (auto *c = std::get_if<entry::EndStream>(&command)) {
    if (Caller *caller = callerOf(c->Session)) {
      caller->IsOver = true;
      caller->IsWhole = !c->Failure;
      caller->Refused = c->Failure;
    }
  } else if (auto *c = std::get_if<entry::RefuseSession>(&command)) {
    Caller *caller = callerOf(c->Session);
    const bool comesBack = caller && caller->Resumes > 0 &&
                           (c->Why.Why == base::Reason::NotReady ||
                            c->Why.Why == base::Reason::NotFound ||
                            c->Why.Why == base::Reason::BackendServerLost);
    if (comesBack) {
      at(500ms, [this, caller] { resume(*caller); });
    } else if (caller) {
      caller->IsOver = true;
      caller->Refused = c->Why;
    }
  } else if (auto *c = std::get_if<entry::AnswerSession>(&command)) {
    if (Caller *caller = callerOf(c->Session)) {
      caller->IsOver = true;
      caller->IsWhole = true;
      const std::string expected = "key~school-1~" + caller->Key;
      if (caller->IsCall && c->Answer.body() != expected)
        Trouble += caller->Marker + ": got another's answer; ";
    }
  }
}

// Running and judging.

void World::run(Duration time) {
  const base::Instant until = Clock.now().Steady + time;
  while (!Queue.empty() && Queue.begin()->first <= until) {
    const auto first = Queue.begin();
    if (first->first > Clock.now().Steady)
      Clock.advance(first->first - Clock.now().Steady);
    const auto action = std::move(first->second);
    Queue.erase(first);
    action();
  }
  Clock.advance(until - Clock.now().Steady);
}

void World::settle() {
  Healing = true;
  run(SettleTime);
}

std::string World::check() const {
  std::string wrong = Trouble;
  for (const auto &caller : Callers) {
    if (!caller->IsOver) {
      wrong += caller->Marker + ": never got a final answer; ";
      continue;
    }
    const bool saidNotRun =
        caller->Refused && caller->Refused->Outcome == Verdict::NotRun;
    const auto &ran = caller->IsCall ? ServiceRuns : Started;
    const bool didRun = ran.contains(caller->Marker);
    if (saidNotRun && didRun && !caller->IsRepeat && caller->Resumes == 0 &&
        !caller->IsCancel)
      wrong += fmt::format("{}: said not run ({}), but it ran; ",
                           caller->Marker, toString(caller->Refused->Why));
    if (caller->IsWhole && !caller->IsCancel && !didRun)
      wrong += caller->Marker + ": answered, but never ran; ";
  }
  for (const auto &[marker, n] : ServiceRuns)
    if (n > 1)
      wrong += fmt::format("{}: ran {} times; ", marker, n);
  for (const auto &node : AgentNodes)
    if (!node->Streams.empty())
      for (const auto &[id, stream] : node->Streams)
        if (stream.IsRunning)
          wrong += id + ": still runs unseen; ";
  return wrong;
}

std::size_t World::wholeAnswers() const {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(),
                    [](const auto &c) { return c->IsWhole; }));
}
std::size_t World::refusedWith(base::Reason why) const {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(), [&](const auto &c) {
        return c->Refused && c->Refused->Why == why;
      }));
}
std::size_t World::requests() const { return Callers.size(); }
std::size_t World::agents() const { return AgentNodes.size(); }
int World::startsOn(std::size_t a) const { return AgentNodes[a]->Starts; }
std::size_t World::runningOn(std::size_t a) const {
  return AgentNodes[a]->Streams.size();
}

std::uint64_t World::bundleOfEntry(std::size_t i) const {
  return EntryNodes[i]->Core->documents().versions().bundle();
}
std::uint64_t World::bundleOfAgent(std::size_t i) const {
  return AgentNodes[i]->Core->documents().versions().bundle();
}

} // namespace drumlanding::test
