#include "policy-simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <unordered_map>

namespace drumlanding::tools {
namespace {

using agent::JobId;
using base::Duration;
using base::Instant;
using namespace std::chrono_literals;

constexpr std::uint32_t MaxOutputTokens = 20'000;
constexpr Duration ReportInterval = 500ms;
constexpr double DriftFactor = 3;
constexpr int LargeOrganisations = 2;
constexpr double LargeOrganisationShare = 4;
constexpr Duration ReclaimDuration = 30s;
constexpr Duration ReportStallTime = 60s;
/// Window over which admissions are counted to predict a wait.
constexpr Duration AdmissionRateWindow = 20s;

double toSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}
double toMs(Duration d) { return toSeconds(d) * 1'000; }

Duration fromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e9));
}

/// Histogram of durations with buckets that are 1% wide.
class TimeHistogram {
public:
  void add(Duration d) {
    const double ms = std::max(toMs(d), MinMs);
    const auto at =
        static_cast<std::size_t>(std::log(ms / MinMs) / LogBucketWidth);
    if (at >= Counts.size())
      Counts.resize(at + 1);
    ++Counts[at];
    ++Total;
  }
  double quantileMs(double fraction) const {
    const auto rank =
        static_cast<std::uint64_t>(fraction * static_cast<double>(Total));
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < Counts.size(); ++i) {
      sum += Counts[i];
      if (sum > rank)
        return MinMs *
               std::exp(LogBucketWidth * (static_cast<double>(i) + 0.5));
    }
    return 0;
  }

private:
  static constexpr double MinMs = 0.1;
  static constexpr double LogBucketWidth = 0.01;
  std::vector<std::uint64_t> Counts;
  std::uint64_t Total = 0;
};

/// One request, from its arrival until it completes or is refused.
struct Request {
  int Organisation = 0;
  EngineJob Job;
  Instant Arrived{};
  Instant LastToken{};
  /// Whether it was yielded or preempted since its last token.
  bool WasInterrupted = false;
  bool IsMeasured = false;
  std::size_t Engine = 0;
};

/// An engine, its agent's scheduler, and the router's view of it.
struct SimulatedServer {
  std::unique_ptr<agent::Scheduler> Scheduler;
  std::unique_ptr<EngineModel> Engine;
  EngineStep Step;
  bool IsStepping = false;
  Instant StepEnds{};
  std::deque<Instant> Admissions;
  entry::ServerView View;
  struct PendingReport {
    Instant VisibleAt;
    entry::ServerView View;
  };
  std::deque<PendingReport> Reports;
  bool IsReclaimed = false;
};

double shareOf(int organisation) {
  return organisation < LargeOrganisations ? LargeOrganisationShare : 1;
}

class PolicySimulation {
public:
  explicit PolicySimulation(const PolicyOptions &options)
      : Options(options), Random(options.Seed), RouteRandom(options.Seed + 1),
        Routing(routerOptions()) {
    for (int i = 0; i < Options.EngineCount; ++i)
      Servers.push_back(makeServer(i));
    measureMeanLength();
    ArrivalsPerSecond = Options.Load * Options.EngineCount *
                        Options.SaturationTokensPerSecond / MeanOutputTokens;
  }

  PolicyResult run() {
    const Instant end = Start + Options.SimulatedTime;
    NextArrival = Start + drawInterarrivalTime();
    NextReport = Start;
    while (true) {
      Now = std::min(NextArrival, NextReport);
      std::size_t nextServer = Servers.size();
      for (std::size_t i = 0; i < Servers.size(); ++i)
        if (Servers[i].IsStepping && Servers[i].StepEnds < Now) {
          Now = Servers[i].StepEnds;
          nextServer = i;
        }
      if (Now >= end)
        break;
      injectFault();
      if (nextServer < Servers.size())
        endStep(nextServer);
      else if (Now == NextReport)
        report();
      else
        addArrival();
    }
    return result();
  }

private:
  entry::RouterOptions routerOptions() const {
    entry::RouterOptions r;
    if (Options.Policy == PolicyKind::RandomRoute)
      r.Policy = entry::RoutingPolicy::Random;
    if (Options.Policy == PolicyKind::LeastLoaded)
      r.Policy = entry::RoutingPolicy::LeastLoaded;
    return r;
  }

  SimulatedServer makeServer(int i) {
    SimulatedServer server;
    agent::SchedulerOptions o = Options.Scheduling;
    o.CapacityTokens = Options.Engine.CapacityTokens;
    if (Options.Policy == PolicyKind::Greedy)
      o.Rule = agent::AdmissionRule::Greedy;
    if (Options.Policy == PolicyKind::Reserve)
      o.Rule = agent::AdmissionRule::Reserve;
    const bool isBaseline = Options.Policy == PolicyKind::Greedy ||
                            Options.Policy == PolicyKind::Reserve ||
                            Options.Policy == PolicyKind::Oracle;
    if (isBaseline)
      o.StepTarget = base::milliseconds(0);
    if (Options.Policy == PolicyKind::Oracle) {
      o.RiskFactor = 0;
      o.OverShareCapacityFraction = 1;
      o.Survival = [this](const agent::JobView &view, std::uint32_t more) {
        const Request &r = Requests.at(view.Id);
        return view.Produced + more < r.Job.OutputTokens ? 1.0 : 0.0;
      };
    }
    server.Scheduler = std::make_unique<agent::Scheduler>(std::move(o));
    server.Engine = std::make_unique<EngineModel>(Options.Engine);
    server.View.NameHash = base::mix64(static_cast<std::uint64_t>(i), 99);
    server.View.CapacityTokens = Options.Engine.CapacityTokens;
    server.View.ReportedAt = Start;
    return server;
  }

  // Arrivals.

  RequestSizes drawSizes(base::Random &random) const {
    switch (Options.Lengths) {
    case LengthSource::Pwani:
      return drawRequestSizes(LengthDistribution::Pwani, random);
    case LengthSource::Mixed:
      return drawRequestSizes(LengthDistribution::Mixed, random);
    case LengthSource::File: {
      RequestSizes sizes =
          drawRequestSizes(LengthDistribution::Lernwerk, random);
      sizes.OutputTokens =
          Options.FileLengths[random.below(Options.FileLengths.size())];
      return sizes;
    }
    default:
      return drawRequestSizes(LengthDistribution::Lernwerk, random);
    }
  }

  void measureMeanLength() {
    base::Random sampleRandom(12345);
    constexpr int Samples = 200'000;
    double totalTokens = 0;
    for (int i = 0; i < Samples; ++i)
      totalTokens += drawSizes(sampleRandom).OutputTokens;
    MeanOutputTokens = totalTokens / Samples;
  }

  Duration drawInterarrivalTime() {
    double rate = ArrivalsPerSecond;
    if (isSecondHalf() && Options.Lengths == LengthSource::Drift)
      rate /= DriftFactor;
    return fromSeconds(-std::log(1 - Random.unit()) / rate);
  }

  bool isSecondHalf() const { return Now - Start > Options.SimulatedTime / 2; }

  int drawOrganisation() {
    double total = 0;
    const auto weight = [&](int o) {
      const bool bursts = o == 0 && isSecondHalf();
      return shareOf(o) * (bursts ? Options.BurstFactor : 1);
    };
    for (int o = 0; o < Options.OrganisationCount; ++o)
      total += weight(o);
    double at = Random.unit() * total;
    for (int o = 0; o < Options.OrganisationCount; ++o) {
      at -= weight(o);
      if (at < 0)
        return o;
    }
    return Options.OrganisationCount - 1;
  }

  void addArrival() {
    // The burst adds requests and leaves the other organisations' rates as they
    // are.
    double rateFactor = 1;
    if (Options.BurstFactor > 1 && isSecondHalf()) {
      const double normalWeight =
          LargeOrganisations * LargeOrganisationShare +
          (Options.OrganisationCount - LargeOrganisations);
      rateFactor =
          (normalWeight + LargeOrganisationShare * (Options.BurstFactor - 1)) /
          normalWeight;
    }
    NextArrival =
        Now +
        Duration(static_cast<std::int64_t>(
            static_cast<double>(drawInterarrivalTime().count()) / rateFactor));
    RequestSizes sizes = drawSizes(Random);
    if (Options.Lengths == LengthSource::Drift && isSecondHalf())
      sizes.OutputTokens = std::min<std::uint32_t>(
          MaxOutputTokens,
          static_cast<std::uint32_t>(sizes.OutputTokens * DriftFactor));
    const JobId id = ++LastId;
    Request &r = Requests[id];
    r.Organisation = drawOrganisation();
    r.Arrived = Now;
    r.IsMeasured = isMeasuredNow(r.Organisation);
    r.Job.Id = id;
    r.Job.PromptTokens = sizes.PromptTokens;
    r.Job.OutputTokens = sizes.OutputTokens;
    if (Random.chance(Options.SharedPrefixFraction)) {
      r.Job.PrefixHash =
          1 + Random.below(static_cast<std::uint64_t>(Options.PrefixCount));
      r.Job.PrefixTokens = sizes.PromptTokens / 2;
    }
    if (r.IsMeasured)
      ++Result.Requests;
    route(id, r);
  }

  bool isMeasuredNow(int organisation) const {
    // Drift and burst set in at the middle of the run. Runs with either, and
    // runs for a subset of the organisations, measure only the second half.
    const bool isSecondHalfOnly = Options.Lengths == LengthSource::Drift ||
                                  Options.BurstFactor > 1 ||
                                  Options.MeasuredOrganisation != -1;
    if (Now - Start < Options.WarmUp || (isSecondHalfOnly && !isSecondHalf()))
      return false;
    if (Options.MeasuredOrganisation == -2)
      return organisation != 0;
    return Options.MeasuredOrganisation == -1 ||
           Options.MeasuredOrganisation == organisation;
  }

  void route(JobId id, Request &r) {
    std::vector<entry::ServerView> views;
    for (const SimulatedServer &server : Servers)
      views.push_back(server.View);
    const entry::RouteQuery query{
        Options.Policy == PolicyKind::Greedy ? 0 : r.Job.PrefixHash,
        static_cast<double>(r.Job.PromptTokens) + MeanOutputTokens};
    const auto chosen = Routing.choose(views, query, Now, RouteRandom);
    if (!chosen) {
      refuse(id, r);
      return;
    }
    r.Engine = *chosen;
    SimulatedServer &server = Servers[*chosen];
    ++server.View.SentSinceReport;
    agent::JobSpec spec;
    spec.Organisation = "o" + std::to_string(r.Organisation);
    spec.Class = agent::lengthClass(spec.Organisation, "model");
    spec.Share = shareOf(r.Organisation);
    spec.StallWeight = Options.StallWeight;
    spec.GapWeight = Options.GapWeight;
    spec.PromptTokens = r.Job.PromptTokens;
    spec.MaxTokens = MaxOutputTokens;
    spec.MaxQueueWait = Options.MaxQueueWait;
    if (predictedWait(server, spec) > Options.MaxQueueWait) {
      refuse(id, r);
      return;
    }
    server.Scheduler->add(Now, id, spec);
    if (!server.IsStepping)
      beginStep(*chosen);
  }

  base::milliseconds predictedWait(SimulatedServer &server,
                                   const agent::JobSpec &spec) {
    if (Options.Policy != PolicyKind::Greedy)
      return server.Scheduler->predictedWait(spec);
    while (!server.Admissions.empty() &&
           Now - server.Admissions.front() > AdmissionRateWindow)
      server.Admissions.pop_front();
    const double rate =
        std::max<double>(static_cast<double>(server.Admissions.size()) /
                             toSeconds(AdmissionRateWindow),
                         0.1);
    return base::milliseconds(static_cast<std::int64_t>(
        1'000 * static_cast<double>(server.Engine->queued()) / rate));
  }

  void refuse(JobId id, const Request &r) {
    if (r.IsMeasured)
      ++Result.Refused;
    Requests.erase(id);
  }

  // Engines.

  void beginStep(std::size_t i) {
    SimulatedServer &server = Servers[i];
    if (server.IsReclaimed)
      return;
    const agent::Decisions decisions = server.Scheduler->decide(Now);
    for (JobId id : decisions.Yield) {
      Request &r = Requests.at(id);
      r.Job = server.Engine->stop(id);
      markInterrupted(r);
      server.Scheduler->recordYielded(Now, id);
    }
    // Decide again, to use the capacity that the yields released in the same
    // step.
    const agent::Decisions afterYields = decisions.Yield.empty()
                                             ? agent::Decisions()
                                             : server.Scheduler->decide(Now);
    for (const auto *starts : {&decisions.Start, &afterYields.Start})
      for (JobId id : *starts)
        server.Engine->submit(Requests.at(id).Job);
    server.Step = server.Engine->step();
    for (JobId id : server.Step.Preempted)
      markInterrupted(Requests.at(id));
    server.IsStepping = server.Step.Elapsed.count() > 0;
    server.StepEnds = Now + server.Step.Elapsed;
  }

  void markInterrupted(Request &r) {
    r.WasInterrupted = true;
    if (isMeasuredNow(r.Organisation))
      ++Preemptions;
  }

  void endStep(std::size_t i) {
    SimulatedServer &server = Servers[i];
    server.IsStepping = false;
    server.Scheduler->recordStep(server.Step.Elapsed,
                                 server.Step.PrefillTokens);
    for (const EngineToken &token : server.Step.Tokens)
      deliver(server, token);
    beginStep(i);
  }

  void deliver(SimulatedServer &server, const EngineToken &token) {
    const auto it = Requests.find(token.Id);
    if (it == Requests.end())
      return;
    Request &r = it->second;
    server.Scheduler->recordTokens(Now, token.Id, 1);
    if (isMeasuredNow(r.Organisation))
      ++Tokens;
    if (Now - Start > Options.WarmUp)
      OrganisationTokens[r.Organisation] += 1 / shareOf(r.Organisation);
    if (token.Index == 0)
      server.Admissions.push_back(Now);
    if (r.IsMeasured && token.Index == 0)
      FirstTokens.add(Now - r.Arrived);
    if (r.IsMeasured && token.Index > 0) {
      const Duration gap = Now - r.LastToken;
      TokenGaps.add(gap);
      if (r.WasInterrupted) {
        Stall += gap;
        MaxStall = std::max(MaxStall, gap);
      }
    }
    r.WasInterrupted = false;
    r.LastToken = Now;
    if (!token.IsLast)
      return;
    server.Scheduler->remove(Now, token.Id, true);
    Requests.erase(it);
  }

  // Reports and faults.

  void report() {
    NextReport = Now + ReportInterval;
    for (std::size_t i = 0; i < Servers.size(); ++i) {
      SimulatedServer &server = Servers[i];
      const bool isStalled =
          Options.Fault == PolicyFault::ReportStalled && i == 0 &&
          isSecondHalf() &&
          Now - Start < Options.SimulatedTime / 2 + ReportStallTime;
      if (!isStalled && !server.IsReclaimed) {
        const agent::SchedulerLoad load = server.Scheduler->load();
        entry::ServerView view = server.View;
        view.UsedTokens = load.UsedTokens;
        view.Waiting = load.Waiting;
        view.ReportedAt = Now;
        view.IsUsable = true;
        server.Reports.push_back({Now + Options.ReportLag, view});
      }
      while (!server.Reports.empty() &&
             server.Reports.front().VisibleAt <= Now) {
        // The report lacks requests sent after it was made; about half of those
        // counted so far are assumed to be later.
        const std::uint32_t recent = Options.ReportLag.count() == 0
                                         ? 0
                                         : server.View.SentSinceReport / 2;
        server.View = server.Reports.front().View;
        server.View.SentSinceReport = recent;
        server.Reports.pop_front();
      }
      server.View.IsUsable = !server.IsReclaimed;
    }
  }

  void injectFault() {
    if (Options.Fault != PolicyFault::EngineReclaimed || Servers.size() < 2)
      return;
    SimulatedServer &server = Servers[0];
    const Duration since = Now - Start - Options.SimulatedTime / 2;
    if (!server.IsReclaimed && since.count() > 0 && since < ReclaimDuration) {
      server = makeServer(0);
      server.IsReclaimed = true;
      server.View.IsUsable = false;
      std::erase_if(Requests, [&](const auto &entry) {
        if (entry.second.Engine != 0)
          return false;
        Result.Refused += entry.second.IsMeasured ? 1 : 0;
        return true;
      });
    }
    if (server.IsReclaimed && since >= ReclaimDuration)
      server.IsReclaimed = false;
  }

  PolicyResult result() {
    const auto requests =
        static_cast<double>(std::max<std::uint64_t>(Result.Requests, 1));
    const bool isSecondHalfOnly = Options.Lengths == LengthSource::Drift ||
                                  Options.BurstFactor > 1 ||
                                  Options.MeasuredOrganisation != -1;
    const Duration measured = isSecondHalfOnly
                                  ? Duration(Options.SimulatedTime) / 2
                                  : Options.SimulatedTime - Options.WarmUp;
    Result.PreemptionsPerThousand =
        1'000 * static_cast<double>(Preemptions) / requests;
    Result.StallMsPerRequest = toMs(Stall) / requests;
    // Count the stall of each request that is still interrupted up to now.
    for (const auto &[id, r] : Requests)
      if (r.IsMeasured && r.WasInterrupted && r.LastToken > Start)
        MaxStall = std::max(MaxStall, Now - r.LastToken);
    Result.MaxStallS = toSeconds(MaxStall);
    Result.GapP50Ms = TokenGaps.quantileMs(0.5);
    Result.GapP99Ms = TokenGaps.quantileMs(0.99);
    Result.GapP999Ms = TokenGaps.quantileMs(0.999);
    Result.FirstTokenP95Ms = FirstTokens.quantileMs(0.95);
    Result.TokensPerSecond = static_cast<double>(Tokens) / toSeconds(measured);
    double sum = 0;
    double squares = 0;
    for (const auto &[o, tokens] : OrganisationTokens) {
      sum += tokens;
      squares += tokens * tokens;
    }
    const auto n = static_cast<double>(OrganisationTokens.size());
    Result.Fairness = squares == 0 ? 0 : sum * sum / (n * squares);
    return Result;
  }

  const PolicyOptions &Options;
  base::Random Random;
  base::Random RouteRandom;
  entry::Router Routing;
  std::vector<SimulatedServer> Servers;
  std::unordered_map<JobId, Request> Requests;
  const Instant Start = Instant(1h);
  Instant Now = Start;
  Instant NextArrival{};
  Instant NextReport{};
  double MeanOutputTokens = 0;
  double ArrivalsPerSecond = 0;
  JobId LastId = 0;
  PolicyResult Result;
  TimeHistogram TokenGaps;
  TimeHistogram FirstTokens;
  Duration Stall{0};
  Duration MaxStall{0};
  std::uint64_t Preemptions = 0;
  std::uint64_t Tokens = 0;
  std::unordered_map<int, double> OrganisationTokens;
};

} // namespace

double saturatedTokensPerSecond(const PolicyOptions &options) {
  PolicyOptions o = options;
  o.Policy = PolicyKind::Greedy;
  o.EngineCount = 1;
  o.Load = 1;
  // More tokens per second than an engine reaches with any length source.
  o.SaturationTokensPerSecond = 3'000;
  o.Seed = 4711;
  o.Fault = PolicyFault::None;
  o.BurstFactor = 1;
  o.MeasuredOrganisation = -1;
  o.SimulatedTime = base::seconds(1'000);
  o.WarmUp = base::seconds(100);
  if (o.Lengths == LengthSource::Drift)
    o.Lengths = LengthSource::Lernwerk;
  return PolicySimulation(o).run().TokensPerSecond;
}

PolicyResult simulatePolicy(const PolicyOptions &options) {
  PolicyOptions o = options;
  if (o.SaturationTokensPerSecond <= 0)
    o.SaturationTokensPerSecond = saturatedTokensPerSecond(options);
  return PolicySimulation(o).run();
}
std::string_view toString(PolicyKind kind) {
  switch (kind) {
  case PolicyKind::Own:
    return "own";
  case PolicyKind::Greedy:
    return "greedy";
  case PolicyKind::Reserve:
    return "reserve";
  case PolicyKind::Oracle:
    return "oracle";
  case PolicyKind::RandomRoute:
    return "random-route";
  case PolicyKind::LeastLoaded:
    return "least-loaded";
  }
  return "unknown";
}

std::string_view toString(LengthSource source) {
  switch (source) {
  case LengthSource::Lernwerk:
    return "lernwerk";
  case LengthSource::Pwani:
    return "pwani";
  case LengthSource::Mixed:
    return "mixed";
  case LengthSource::Drift:
    return "drift";
  case LengthSource::File:
    return "file";
  }
  return "unknown";
}

} // namespace drumlanding::tools
