#include "limit-simulation.h"

#include "engine-model.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/request-limits.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace drumlanding::tools {
namespace {

using base::Instant;
using base::milliseconds;
using base::seconds;
using gateway::LimitReport;
using gateway::RequestLimits;
using gateway::ServerInstance;

constexpr milliseconds Step{1};
constexpr double StepsPerSecond = seconds(1) / Step;
constexpr milliseconds FullReportInterval{500};
/// The window of the users' rule, and the time until it holds.
constexpr seconds Window{4};
constexpr seconds LearnTime{3};
const Instant Start{std::chrono::hours(1)};

/// Gateways with their limits, and the reports between them.
class Network {
public:
  Network(int gateways, LimitPolicy policy, base::Random &random)
      : Policy(policy), Random(random), Nodes(gateways) {
    for (int i = 0; i < gateways; ++i)
      start(i);
  }

  /// Starts a gateway anew: it knows nothing, and the others do not know it.
  void start(int i) {
    Node &node = Nodes[i];
    ++node.Incarnation;
    node.StartedAt = Now;
    node.LastHeard.assign(Nodes.size(), Instant{});
    node.Limits = std::make_unique<RequestLimits>(Random.unit());
    node.Limits->AvailableShare = [this, i](Instant) { return share(i); };
  }

  /// Delivers the reports that have arrived by now.
  void deliver() {
    while (!InTransit.empty() && InTransit.top().At <= Now) {
      const Delivery d = InTransit.top();
      InTransit.pop();
      if (IsFrozen && IsFrozen(d.To))
        continue;
      Node &to = Nodes[d.To];
      to.LastHeard[d.From] = Now;
      to.Limits->applyReport(Now, {std::to_string(d.From), d.Incarnation},
                             d.Report);
    }
  }

  /// Sends a gateway's changes, or all it knows when that is due.
  void sendReports(int from) {
    Node &node = Nodes[from];
    node.LastHeard[from] = Now;
    if (Policy != LimitPolicy::Reports)
      return;
    const auto step = Now.time_since_epoch() / Step;
    const bool isFull = (step + from) % (FullReportInterval / Step) == 0;
    const auto reports = isFull ? node.Limits->reports(Now)
                                : node.Limits->takeChangedReports(Now);
    for (const LimitReport &report : reports)
      for (int to = 0; to < size(); ++to)
        send(from, to, report);
  }

  int size() const { return static_cast<int>(Nodes.size()); }
  RequestLimits &limits(int i) { return *Nodes[i].Limits; }

  Instant Now = Start;
  double LossRatio = 0;
  milliseconds MaxDelay{10};
  std::function<bool(int to, int from)> Hears;
  std::function<bool(int gateway)> IsFrozen;

private:
  struct Node {
    std::unique_ptr<RequestLimits> Limits;
    std::uint64_t Incarnation = 0;
    Instant StartedAt{};
    std::vector<Instant> LastHeard;
  };
  struct Delivery {
    Instant At;
    int From;
    std::uint64_t Incarnation;
    int To;
    LimitReport Report;
    bool operator>(const Delivery &other) const { return At > other.At; }
  };

  void send(int from, int to, const LimitReport &report) {
    if (to == from || (Hears && !Hears(to, from)) || Random.chance(LossRatio))
      return;
    const auto delay = static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(MaxDelay.count())));
    InTransit.push({Now + Step + milliseconds(delay), from,
                    Nodes[from].Incarnation, to, report});
  }

  /// Returns the share of the gateways that were heard lately. Stands for
  /// Peers::heardFraction, which knows the number of gateways from discovery.
  double share(int i) const {
    constexpr milliseconds MaxSilence{1'000};
    if (Policy == LimitPolicy::EqualShares)
      return 1.0 / size();
    const std::vector<Instant> &heard = Nodes[i].LastHeard;
    const auto n = std::count_if(heard.begin(), heard.end(), [&](Instant at) {
      return Now - at < MaxSilence;
    });
    return static_cast<double>(n) / size();
  }

  LimitPolicy Policy;
  base::Random &Random;
  std::vector<Node> Nodes;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>>
      InTransit;
};

class LimitSimulation {
public:
  explicit LimitSimulation(const LimitOptions &options)
      : Options(options), Random(options.Seed),
        Gateways(options.Gateways, options.Policy, Random) {
    Gateways.LossRatio = options.LossRatio;
    Gateways.MaxDelay = options.MaxDelay;
    Gateways.Hears = [this](int to, int from) { return hears(to, from); };
    Gateways.IsFrozen = [this](int i) { return isFrozen(i); };
    for (int i = 0; i < options.Gateways; ++i)
      nameLimit(i);
  }

  LimitResult run() {
    const Instant end = Start + Options.SimulatedTime;
    for (; Gateways.Now < end; Gateways.Now += Step) {
      const auto third = 3 * (Gateways.Now - Start) / Options.SimulatedTime;
      IsDisturbed = third == 1;
      restartInTurn();
      Gateways.deliver();
      for (int i = 0; i < Options.Gateways; ++i)
        if (!isFrozen(i))
          stepGateway(i);
    }
    return result();
  }

private:
  bool isActive(LimitFault fault) const {
    return IsDisturbed && Options.Fault == fault;
  }

  bool isFrozen(int i) const {
    return isActive(LimitFault::Freeze) && i % 10 == 0;
  }

  bool hears(int to, int from) const {
    if (isActive(LimitFault::NobodyHears))
      return false;
    if (isActive(LimitFault::OneIsNotHeard))
      return from != 0;
    return !isActive(LimitFault::HalvesApart) || to % 2 == from % 2;
  }

  void nameLimit(int i) {
    const Instant now = Gateways.Now;
    Gateways.limits(i).recordResponse(now, {Server, now, Options.Limit});
  }

  void restartInTurn() {
    constexpr milliseconds RestartInterval{500};
    const auto sinceStart = Gateways.Now - Start;
    if (!isActive(LimitFault::Restarts) || sinceStart % RestartInterval != Step)
      return;
    Gateways.start(
        static_cast<int>(sinceStart / RestartInterval % Options.Gateways));
  }

  void stepGateway(int i) {
    const Instant now = Gateways.Now;
    const bool hasDemand = i < Options.BusyFraction * Options.Gateways &&
                           !isActive(LimitFault::NoDemand);
    if (hasDemand && Random.chance(Options.Demand / StepsPerSecond) &&
        Gateways.limits(i).hasRoom(now, Server.Id)) {
      // The response names the limit to a gateway that did not know it.
      if (!Gateways.limits(i).recordSend(now, Server.Id))
        nameLimit(i);
      Sends.push_back(now);
    }
    Gateways.sendReports(i);
  }

  LimitResult result() const {
    LimitResult result;
    result.UsedFraction =
        static_cast<double>(Sends.size()) /
        (Options.Limit * static_cast<double>(Options.SimulatedTime.count()));
    auto last = Sends.begin();
    for (auto first = Sends.begin(); first != Sends.end(); ++first) {
      while (last != Sends.end() && *last < *first + Window)
        ++last;
      if (*first >= Start + LearnTime)
        result.MostInWindow =
            std::max(result.MostInWindow, static_cast<int>(last - first));
    }
    return result;
  }

  const ServerInstance Server{"s1", milliseconds(1)};
  LimitOptions Options;
  base::Random Random;
  Network Gateways;
  bool IsDisturbed = false;
  std::deque<Instant> Sends;
};

class CallerSimulation {
public:
  explicit CallerSimulation(const CallerOptions &options)
      : Options(options), Random(options.Seed),
        Gateways(options.Gateways, options.Policy, Random) {
    for (int i = 0; i < options.Engines; ++i) {
      const double factor = i < options.SlowEngines ? options.SlowFactor : 1;
      EngineOptions engine;
      engine.StepMs *= factor;
      engine.StreamMs *= factor;
      engine.PrefillTokenMs *= factor;
      engine.MaxUnlimitedJobs = 8;
      Engines.push_back({{"e" + std::to_string(i), milliseconds(1)},
                         EngineModel(engine),
                         Start});
    }
  }

  CallerResult run() {
    const Instant end = Start + Options.SimulatedTime;
    for (; Gateways.Now < end; Gateways.Now += Step) {
      Gateways.deliver();
      for (Engine &engine : Engines)
        stepEngine(engine);
      if (Random.chance(Options.Demand / StepsPerSecond))
        place(static_cast<int>(
            Random.below(static_cast<std::uint64_t>(Options.Gateways))));
      for (int i = 0; i < Options.Gateways; ++i)
        Gateways.sendReports(i);
    }
    // What has no first token yet is late as well.
    const double late = Late + static_cast<double>(Waiting.size());
    const double all = InTime + late + Refused;
    return {InTime / all, late / all, Refused / all};
  }

private:
  struct Engine {
    ServerInstance Instance;
    EngineModel Model;
    Instant BusyUntil;
    std::vector<int> OpenByGateway = {};
  };
  struct Job {
    int Gateway;
    int Engine;
    Instant SentAt;
  };

  /// Chooses as Placement does: the fewest open requests of this gateway among
  /// the engines with room.
  void place(int gateway) {
    const Instant now = Gateways.Now;
    RequestLimits &limits = Gateways.limits(gateway);
    Engine *best = nullptr;
    double bestRank = 0;
    for (Engine &engine : Engines) {
      engine.OpenByGateway.resize(static_cast<std::size_t>(Options.Gateways));
      const double rank = engine.OpenByGateway[gateway] + Random.unit();
      if ((best && rank >= bestRank) ||
          !limits.hasRoom(now, engine.Instance.Id))
        continue;
      best = &engine;
      bestRank = rank;
    }
    if (!best) {
      ++Refused;
      return;
    }
    limits.recordSend(now, best->Instance.Id);
    ++best->OpenByGateway[gateway];
    EngineJob job;
    job.Id = ++LastJob;
    job.PromptTokens = 2'200;
    job.OutputTokens = 16;
    best->Model.submit(job);
    const int engine = static_cast<int>(best - Engines.data());
    Waiting.emplace(job.Id, Job{gateway, engine, now});
    Open.emplace(job.Id, Job{gateway, engine, now});
  }

  void stepEngine(Engine &engine) {
    if (engine.Model.isIdle() || Gateways.Now < engine.BusyUntil)
      return;
    const EngineStep step = engine.Model.step();
    engine.BusyUntil = Gateways.Now + step.Elapsed;
    for (const EngineToken &token : step.Tokens) {
      if (token.Index == 0)
        recordFirstToken(engine, token.Id);
      if (!token.IsLast)
        continue;
      const Job &job = Open.at(token.Id);
      --Engines[job.Engine].OpenByGateway[job.Gateway];
      Open.erase(token.Id);
    }
  }

  /// The first token arrives at the end of the step, with the response's head.
  void recordFirstToken(const Engine &engine, std::uint64_t id) {
    const Job job = Waiting.at(id);
    Waiting.erase(id);
    ++(engine.BusyUntil - job.SentAt <= Options.FirstTokenTarget ? InTime
                                                                 : Late);
    if (Options.Policy != LimitPolicy::Ignored)
      Gateways.limits(job.Gateway)
          .recordResponse(Gateways.Now, {engine.Instance, job.SentAt,
                                         engine.Model.requestLimit()});
  }

  CallerOptions Options;
  base::Random Random;
  Network Gateways;
  std::vector<Engine> Engines;
  std::map<std::uint64_t, Job> Waiting;
  std::map<std::uint64_t, Job> Open;
  std::uint64_t LastJob = 0;
  double InTime = 0;
  double Late = 0;
  double Refused = 0;
};

} // namespace

LimitResult simulateLimit(const LimitOptions &options) {
  return LimitSimulation(options).run();
}

CallerResult simulateCallers(const CallerOptions &options) {
  return CallerSimulation(options).run();
}

} // namespace drumlanding::tools
