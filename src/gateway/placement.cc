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
constexpr double StrikeMs = 500;
/// Above this part of its memory an engine begins to preempt.
constexpr double MemoryLimit = 0.92;
/// Cost of each token above that limit: a preempted generation is read anew.
constexpr double OverflowMsPerToken = 2;
/// Cost of another zone: bytes between zones are paid for.
constexpr double OtherZoneMs = 120;
/// Copies between zones take twice as long.
constexpr double OtherZoneCopyMs = 400;

/// The same for plain servers, in open requests.
constexpr double FailureRank = 2;
constexpr double StrikeRank = 1;

bool wasTried(std::span<const std::string> tried, const std::string &id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

} // namespace

double Placement::costOf(base::Instant now, const Server &server,
                         const EngineTraits &engine, const EngineLoad &load,
                         const Demand &demand, std::string_view near) const {
  const double prompt = demand.PromptTokens;
  double cost = static_cast<double>(load.UnreadTokens) * ReadMsPerToken;
  cost += static_cast<double>(load.ForecastTokens) * HoldMsPerToken;
  cost += static_cast<double>(
      std::max(std::int64_t{0}, base::toMs(server.ColdUntil - now)));
  cost += server.FailurePart * FailureMs + strikesOf(server, now) * StrikeMs;
  const double limit = MemoryLimit * static_cast<double>(engine.MemoryTokens);
  const double filled =
      static_cast<double>(load.ForecastTokens) + prompt + demand.ExpectedTokens;
  if (engine.MemoryTokens > 0 && filled > limit)
    cost += (filled - limit) * OverflowMsPerToken;
  if (near.empty())
    return server.Listed.Zone == Zone ? cost : cost + OtherZoneMs;
  return server.Listed.Zone == near ? cost : cost + OtherZoneCopyMs;
}

Choice Placement::forGeneration(base::Instant now, const Service &service,
                                const Demand &demand,
                                std::span<const std::string> tried,
                                std::string_view near) const {
  // A route may send a part of its streams to a plain service.
  const EngineTraits engine = service.Engine.value_or(EngineTraits());
  Choice best;
  for (const Server *server : Servers.usable(now, service.Name)) {
    if (wasTried(tried, server->Listed.Id))
      continue;
    ++best.Candidates;
    const EngineLoad load = Runs.loadOf(server->Listed.Id);
    const double cost = costOf(now, *server, engine, load, demand, near);
    if (best.Chosen && cost >= best.CostMs)
      continue;
    best.Chosen = server;
    best.Load = load;
    best.CostMs = cost;
  }
  return best;
}

const Server *Placement::forCall(base::Instant now, std::string_view service,
                                 std::span<const std::string> tried,
                                 base::Random &random) const {
  const Server *best = nullptr;
  double bestRank = 0;
  for (const Server *server : Servers.usable(now, service)) {
    if (wasTried(tried, server->Listed.Id))
      continue;
    // Below one open request: first the zone, then chance.
    const double tie = server->Listed.Zone == Zone ? 0 : 0.5;
    const double rank = server->Open + tie + random.unit() * 0.4 +
                        server->FailurePart * FailureRank +
                        strikesOf(*server, now) * StrikeRank;
    if (best && rank >= bestRank)
      continue;
    best = server;
    bestRank = rank;
  }
  return best;
}

} // namespace drumlanding::gateway
