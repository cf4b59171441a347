#include "drumlanding/gateway/placement.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Time to read one prompt token, from the engines' data sheet (14 a ms).
constexpr double ReadMsPerToken = 1.0 / 14;
/// Cost of each token that an engine will hold: memory is what an engine runs
/// out of, and an engine with many generations cannot be left in time. With
/// this figure one more long generation weighs as much as its prompt's wait.
constexpr double HoldMsPerToken = 0.06;
/// Cost of a server that fails, by the part of its recent answers, and of each
/// broken answer since its last whole one: an engine that breaks everything off
/// is the emptiest of all.
constexpr double FailureMs = 2'000;
constexpr double BrokenAnswerMs = 500;
/// Cost of such an engine for what should not be its next trial: a generation
/// that is worth much, or a second one while the first has not come back.
constexpr double UntriedMs = 10'000;
/// Output of a generation that is worth little, from the callers' sheets: their
/// short kind makes some 16 tokens, the long one 750.
constexpr std::uint32_t TrialTokens = 100;
/// Above this part of its memory an engine begins to preempt.
constexpr double MemoryLimit = 0.92;
/// Cost of each token above that limit: a preempted generation is read anew.
constexpr double OverflowMsPerToken = 2;
/// Cost of another zone: bytes between zones are paid for.
constexpr double OtherZoneMs = 120;
/// Copies between zones take twice as long.
constexpr double OtherZoneCopyMs = 900;
/// Cost of each copy that is on its way to an engine: copies wait for each
/// other on its link, a quarter of a second each.
constexpr double IncomingCopyMs = 1'500;
/// Engines that leave at the same moment have not heard of each other's copies
/// yet: each ranks the destinations a little differently, up to this.
constexpr double SpreadMs = 300;

/// The same for plain servers, in open requests.
constexpr double FailureRank = 2;
constexpr double BrokenAnswerRank = 1;

bool wasTried(std::span<const std::string> tried, const std::string &id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

/// True when a generation may show whether an engine that broke answers is well
/// again: a short one, and one at a time.
bool isTrial(const Demand &demand, const EngineLoad &load) {
  return demand.ExpectedTokens <= TrialTokens && load.Running == 0;
}

/// Returns what a generation meets and causes on an engine.
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

/// Returns a fixed number from 0 to 1 for a pair of servers.
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
  // A route may send a part of its streams to a plain service.
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
    // Below one open request: first the zone, then chance.
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
