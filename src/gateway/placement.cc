#include "drumlanding/gateway/placement.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Prefill time per prompt token, from the engines' data sheet (14 tokens/ms).
constexpr double PrefillMsPerToken = 1.0 / 14;
/// Time per output token without prefills beside it, from the same sheet.
constexpr double DecodeMsPerToken = 7.5;
/// The recent rate of prompts predicts the delay of this many output tokens.
constexpr std::uint32_t PredictableTokens = 1'000;
/// Cost per token that an engine is forecast to hold. KV cache is an engine's
/// scarcest resource, and an engine with many generations cannot be drained in
/// time. With this value, one more long generation weighs as much as waiting
/// for the prefill of its prompt.
constexpr double KvCacheMsPerToken = 0.06;
/// Costs of a server's failure rate and of each incomplete response since its
/// last complete one. Without them, an engine that breaks off every response
/// would be preferred as the least loaded.
constexpr double FailureRateCostMs = 2'000;
constexpr double IncompleteResponseCostMs = 500;
/// Cost of an engine with incomplete responses for a request that should not be
/// its next trial: a long generation, or a second one while the first has not
/// completed.
constexpr double NonTrialCostMs = 10'000;
/// Maximum expected output of a trial generation. According to the clients'
/// data sheets, short generations produce about 16 tokens and long ones 750.
constexpr std::uint32_t MaxTrialTokens = 100;
/// Fraction of its KV cache above which an engine starts to preempt.
constexpr double MaxKvCacheFraction = 0.92;
/// Cost of each token above that limit: a preempted generation repeats its
/// prefill.
constexpr double OverflowMsPerToken = 2;
/// Cost of placing a request in another zone: traffic between zones is charged.
constexpr double OtherZoneCostMs = 120;
/// Cost of copying to another zone, which takes twice as long.
constexpr double OtherZoneCopyCostMs = 900;
/// Cost of each copy in transit to an engine: copies queue on its link, for a
/// quarter of a second each.
constexpr double IncomingCopyCostMs = 1'500;
/// Maximum of a fixed cost per pair of servers. When several engines start to
/// leave at the same time, their copies are not in the run table yet; this cost
/// spreads them over destinations.
constexpr double MaxSpreadCostMs = 300;

/// Costs of failures for plain servers, in open requests.
constexpr double FailureRateWeight = 2;
constexpr double IncompleteResponseWeight = 1;

bool wasTried(std::span<const std::string> tried, const std::string &id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

/// Returns true if a generation may serve as a trial of an engine that recently
/// returned incomplete responses: the generation is short and no other one runs
/// on the engine.
bool isTrial(const Demand &demand, const EngineLoad &load) {
  return demand.ExpectedTokens <= MaxTrialTokens && load.Running == 0;
}

/// Returns the cost of a generation on an engine: the delay that it would
/// encounter and cause there.
double engineCost(base::Instant now, const Server &server,
                  const EngineTraits &engine, const EngineLoad &load,
                  const Demand &demand, double prefillTokensPerMs) {
  double cost =
      static_cast<double>(load.PendingPromptTokens) * PrefillMsPerToken;
  cost += static_cast<double>(load.ForecastTokens) * KvCacheMsPerToken;
  // Prefills of other prompts delay the generation's tokens. Long generations
  // therefore avoid the engines that get many prompts, and these collect there.
  const double prefillShare =
      std::min(prefillTokensPerMs * PrefillMsPerToken, 1.0);
  cost += prefillShare * DecodeMsPerToken *
          std::min(demand.ExpectedTokens, PredictableTokens);
  cost += static_cast<double>(
      std::max(std::int64_t{0}, base::toMs(server.ColdUntil - now)));
  cost += server.FailureRate * FailureRateCostMs;
  if (const int n = recentIncompleteResponses(server, now); n > 0)
    cost +=
        isTrial(demand, load) ? n * IncompleteResponseCostMs : NonTrialCostMs;
  const double limit =
      MaxKvCacheFraction * static_cast<double>(engine.KvCacheTokens);
  const double forecast = static_cast<double>(load.ForecastTokens) +
                          demand.PromptTokens + demand.ExpectedTokens;
  if (engine.KvCacheTokens > 0 && forecast > limit)
    cost += (forecast - limit) * OverflowMsPerToken;
  return cost;
}

/// Returns a number from 0 to 1 that is fixed for a pair of servers.
double spreadFactor(const Server &a, const Server &b) {
  base::Random random(base::hash64(a.Listed.Id, base::hash64(b.Listed.Id)));
  return random.unit();
}

} // namespace

std::vector<const Server *>
Placement::candidates(base::Instant now, std::string_view service,
                      std::span<const std::string> tried) const {
  std::vector<const Server *> servers = Servers.usable(now, service);
  std::erase_if(servers, [&](const Server *server) {
    return wasTried(tried, server->Listed.Id) ||
           !Limits.hasRoom(now, server->Listed.Id);
  });
  return servers;
}

std::optional<base::Duration>
Placement::timeUntilRoom(base::Instant now, std::string_view service,
                         std::span<const std::string> tried) const {
  std::optional<base::Duration> shortest;
  for (const Server *server : Servers.usable(now, service)) {
    if (wasTried(tried, server->Listed.Id))
      continue;
    const base::Duration wait = Limits.timeUntilRoom(now, server->Listed.Id);
    if (wait > base::Duration(0) && (!shortest || wait < *shortest))
      shortest = wait;
  }
  return shortest;
}

template <typename NetworkCost>
Choice Placement::choose(base::Instant now, const Service &service,
                         const Demand &demand,
                         std::span<const std::string> tried,
                         NetworkCost networkCost) const {
  // A route may send part of its streams to a plain service.
  const EngineTraits engine = service.Engine.value_or(EngineTraits());
  const auto loads = Runs.loads();
  Choice best;
  for (const Server *server : candidates(now, service.Name, tried)) {
    ++best.Candidates;
    const auto it = loads.find(server->Listed.Id);
    const EngineLoad load = it == loads.end() ? EngineLoad() : it->second;
    const double cost =
        engineCost(now, *server, engine, load, demand,
                   Runs.prefillTokensPerMs(now, server->Listed.Id)) +
        networkCost(*server, load);
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
  const auto networkCost = [this](const Server &server, const EngineLoad &) {
    return server.Listed.Zone == Zone ? 0 : OtherZoneCostMs;
  };
  return choose(now, service, demand, tried, networkCost);
}

Choice Placement::chooseForMigration(base::Instant now, const Service &service,
                                     const Demand &demand, const Server &source,
                                     std::span<const std::string> tried) const {
  const auto networkCost = [&](const Server &server, const EngineLoad &load) {
    const bool isSameZone = server.Listed.Zone == source.Listed.Zone;
    return (isSameZone ? 0 : OtherZoneCopyCostMs) +
           load.IncomingCopies * IncomingCopyCostMs +
           MaxSpreadCostMs * spreadFactor(source, server);
  };
  return choose(now, service, demand, tried, networkCost);
}

const Server *Placement::chooseForRequest(base::Instant now,
                                          std::string_view service,
                                          std::span<const std::string> tried,
                                          base::Random &random) const {
  const Server *best = nullptr;
  double bestRank = 0;
  for (const Server *server : candidates(now, service, tried)) {
    // Both terms stay below one open request: the zone counts first, then
    // chance.
    const double zonePenalty = server->Listed.Zone == Zone ? 0 : 0.5;
    const double rank =
        server->OpenRequests + zonePenalty + random.unit() * 0.4 +
        server->FailureRate * FailureRateWeight +
        recentIncompleteResponses(*server, now) * IncompleteResponseWeight;
    if (best && rank >= bestRank)
      continue;
    best = server;
    bestRank = rank;
  }
  return best;
}

} // namespace drumlanding::gateway
