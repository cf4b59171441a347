#include "drumlanding/entry/router.h"

#include <array>

namespace drumlanding::entry {
namespace {

/// Redraws per choice before the servers are searched in order.
constexpr int DrawsPerChoice = 4;

std::optional<std::size_t> firstUsableFrom(std::span<const ServerView> views,
                                           std::size_t start) {
  for (std::size_t i = 0; i < views.size(); ++i) {
    const std::size_t at = (start + i) % views.size();
    if (views[at].IsUsable)
      return at;
  }
  return std::nullopt;
}

std::optional<std::size_t> affineServer(std::span<const ServerView> views,
                                        std::uint64_t prefix) {
  std::optional<std::size_t> best;
  std::uint64_t bestRank = 0;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (!views[i].IsUsable)
      continue;
    const std::uint64_t rank = base::mix64(prefix, views[i].NameHash);
    if (best && rank <= bestRank)
      continue;
    best = i;
    bestRank = rank;
  }
  return best;
}

} // namespace

double Router::loadOf(const ServerView &view, const RouteQuery &query) const {
  if (view.CapacityTokens == 0)
    return view.Waiting + view.SentSinceReport;
  const double pending =
      query.RequestTokens * (view.Waiting + view.SentSinceReport);
  return (static_cast<double>(view.UsedTokens) + pending) /
         static_cast<double>(view.CapacityTokens);
}

double Router::averageLoad(std::span<const ServerView> views,
                           const RouteQuery &query, base::Instant now) const {
  double sum = 0;
  int count = 0;
  for (const ServerView &view : views) {
    if (!view.IsUsable || now - view.ReportedAt > Options.StaleAfter)
      continue;
    sum += loadOf(view, query);
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

double Router::costOf(const ServerView &view, const RouteQuery &query,
                      base::Instant now, double average) const {
  double load = loadOf(view, query);
  // The load of a server without a recent report is unknown: assume the average
  // plus the requests sent to it since.
  if (now - view.ReportedAt > Options.StaleAfter) {
    ServerView unknown = view;
    unknown.UsedTokens = 0;
    unknown.Waiting = 0;
    load = average + loadOf(unknown, query);
  }
  return load + view.DistanceMs * Options.LoadPerMs;
}

std::optional<std::size_t> Router::choose(std::span<const ServerView> views,
                                          const RouteQuery &query,
                                          base::Instant now,
                                          base::Random &random) const {
  if (views.empty())
    return std::nullopt;
  if (Options.Policy == RoutingPolicy::Random)
    return firstUsableFrom(views, random.below(views.size()));
  if (Options.Policy == RoutingPolicy::LeastLoaded) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < views.size(); ++i) {
      const double load = static_cast<double>(views[i].UsedTokens);
      if (views[i].IsUsable &&
          (!best || load < static_cast<double>(views[*best].UsedTokens)))
        best = i;
    }
    return best;
  }
  const double average = averageLoad(views, query, now);
  if (query.PrefixHash != 0) {
    const auto affine = affineServer(views, query.PrefixHash);
    if (!affine)
      return std::nullopt;
    if (costOf(views[*affine], query, now, average) <=
        average + Options.AffinitySlack)
      return affine;
  }
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (int i = 0; i < Options.Choices; ++i) {
    std::size_t at = random.below(views.size());
    for (int n = 0; n < DrawsPerChoice && !views[at].IsUsable; ++n)
      at = random.below(views.size());
    const auto usable = firstUsableFrom(views, at);
    if (!usable)
      return std::nullopt;
    const double cost = costOf(views[*usable], query, now, average);
    if (best && cost >= bestCost)
      continue;
    best = usable;
    bestCost = cost;
  }
  return best;
}

} // namespace drumlanding::entry
