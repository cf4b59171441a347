#include "drumlanding/gateway/placement.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Prefill time per prompt token, from the engines' data sheet (14 tokens/ms).
constexpr double ReadMsPerToken = 1.0 / 14;
/// Cost per token that an engine is forecast to hold. KV cache is an engine's
/// scarcest resource, and an engine with many generations cannot be drained in
/// time. With this value, one more long generation weighs as much as waiting
/// for the prefill of its prompt.
constexpr double HoldMsPerToken = 0.06;
/// Costs of a server's failure rate and of each incomplete response since its
/// last complete one. Without them, an engine that breaks off every response
/// would be preferred as the least loaded.
constexpr double FailureMs = 2'000;
constexpr double BrokenAnswerMs = 500;
/// Cost of an engine with incomplete responses for a request that should not be
/// its next trial: a long generation, or a second one while the first has not
/// completed.
constexpr double UntriedMs = 10'000;
/// Maximum expected output of a trial generation. According to the clients'
/// data sheets, short generations produce about 16 tokens and long ones 750.
constexpr std::uint32_t TrialTokens = 100;
/// Fraction of its KV cache above which an engine starts to preempt.
constexpr double MemoryLimit = 0.92;
/// Cost of each token above that limit: a preempted generation repeats its
/// prefill.
constexpr double OverflowMsPerToken = 2;
/// Cost of placing a request in another zone: traffic between zones is charged.
constexpr double OtherZoneMs = 120;
/// Cost of copying to another zone, which takes twice as long.
constexpr double OtherZoneCopyMs = 900;
/// Cost of each copy in transit to an engine: copies queue on its link, for a
/// quarter of a second each.
constexpr double IncomingCopyMs = 1'500;
/// Maximum of a fixed cost per pair of servers. Engines that start to leave at
/// the same time do not know of each other's copies yet; this spreads them over
/// destinations.
constexpr double SpreadMs = 300;

/// Costs of failures for plain servers, in open requests.
constexpr double FailureRank = 2;
constexpr double BrokenAnswerRank = 1;

bool wasTried(std::span<const std::string> tried, const std::string &id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

/// Returns true if a generation may test whether an engine with incomplete
/// responses has recovered: a short one, and one at a time.
bool isTrial(const Demand &demand, const EngineLoad &load) {
  return demand.ExpectedTokens <= TrialTokens && load.Running == 0;
}

/// Returns the cost of a generation on an engine: the delay that it would
/// encounter and cause there.
double engineCost(base::Instant now, const Server &server,
                  const EngineTraits &engine, const EngineLoad &load,
                  const Demand &demand) {
  double cost = static_cast<double>(load.PendingPromptTokens) * ReadMsPerToken;
  cost += static_cast<double>(load.ForecastTokens) * HoldMsPerToken;
  cost += static_cast<double>(
      std::max(std::int64_t{0}, base::toMs(server.ColdUntil - now)));
  cost += server.FailureRate * FailureMs;
  if (const int n = recentIncompleteResponses(server, now); n > 0)
    cost += isTrial(demand, load) ? n * BrokenAnswerMs : UntriedMs;
  const double limit = MemoryLimit * static_cast<double>(engine.KvCacheTokens);
  const double filled = static_cast<double>(load.ForecastTokens) +
                        demand.PromptTokens + demand.ExpectedTokens;
  if (engine.KvCacheTokens > 0 && filled > limit)
    cost += (filled - limit) * OverflowMsPerToken;
  return cost;
}

/// Returns a number from 0 to 1 that is fixed for a pair of servers.
double rankOf(const Server &a, const Server &b) {
  base::Random random(base::hash64(a.Listed.Id, base::hash64(b.Listed.Id)));
  return random.unit();
}

} // namespace

template <typename WayCost>
Choice Placement::choose(base::Instant now, const Service &service,
                         const Demand &demand,
                         std::span<const std::string> tried,
                         WayCost wayCost) const {
  // A route may send part of its streams to a plain service.
  const EngineTraits engine = service.Engine.value_or(EngineTraits());
  const auto loads = Runs.loads();
  Choice best;
  for (const Server *server : Servers.usable(now, service.Name)) {
    if (wasTried(tried, server->Listed.Id))
      continue;
    ++best.Candidates;
    const auto it = loads.find(server->Listed.Id);
    const EngineLoad load = it == loads.end() ? EngineLoad() : it->second;
    const double cost =
        engineCost(now, *server, engine, load, demand) + wayCost(*server, load);
    if (best.Chosen && cost >= best.CostMs)
      continue;
    best.Chosen = server;
    best.Load = load;
    best.CostMs = cost;
  }
  return best;
}

Choice
Placement::chooseForGeneration(base::Instant now, const Service &service,
                               const Demand &demand,
                               std::span<const std::string> tried) const {
  const auto wayCost = [this](const Server &server, const EngineLoad &) {
    return server.Listed.Zone == Zone ? 0 : OtherZoneMs;
  };
  return choose(now, service, demand, tried, wayCost);
}

Choice Placement::chooseForMigration(base::Instant now, const Service &service,
                                     const Demand &demand, const Server &source,
                                     std::span<const std::string> tried) const {
  const auto wayCost = [&](const Server &server, const EngineLoad &load) {
    const bool isNear = server.Listed.Zone == source.Listed.Zone;
    return (isNear ? 0 : OtherZoneCopyMs) +
           load.IncomingCopies * IncomingCopyMs +
           SpreadMs * rankOf(source, server);
  };
  return choose(now, service, demand, tried, wayCost);
}

const Server *Placement::chooseForRequest(base::Instant now,
                                          std::string_view service,
                                          std::span<const std::string> tried,
                                          base::Random &random) const {
  const Server *best = nullptr;
  double bestRank = 0;
  for (const Server *server : Servers.usable(now, service)) {
    if (wasTried(tried, server->Listed.Id))
      continue;
    // Both terms stay below one open request: the zone counts first, then
    // chance.
    const double tie = server->Listed.Zone == Zone ? 0 : 0.5;
    const double rank =
        server->OpenRequests + tie + random.unit() * 0.4 +
        server->FailureRate * FailureRank +
        recentIncompleteResponses(*server, now) * BrokenAnswerRank;
    if (best && rank >= bestRank)
      continue;
    best = server;
    bestRank = rank;
  }
  return best;
}

} // namespace drumlanding::gateway
