/// Router: which backend server gets a request.
///
///   Router router(options);
///   auto at = router.choose(views, {prefixHash, 600}, now, random);
///
/// A request goes to the server that is likely to hold its prefix, unless that
/// one is clearly busier than the rest; then to the least loaded of a few
/// drawn at random (power of d choices). Reports lag, so the entry adds what it
/// has sent since, and takes the average for a server it has not heard of.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/hash.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace drumlanding::entry {

/// A backend server as the entry sees it.
struct ServerView {
  /// base::hash64 of the server's name.
  std::uint64_t NameHash = 0;
  /// False for one that is leaving, suspect, or was tried already.
  bool IsUsable = true;
  /// One way, from this entry, in milliseconds.
  double DistanceMs = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t CapacityTokens = 0;
  std::uint32_t Waiting = 0;
  base::Instant ReportedAt{};
  /// Requests that this entry sent it since the report.
  std::uint32_t SentSinceReport = 0;
};

struct RouteQuery {
  /// Hash of the prompt's beginning and the model; 0 for no affinity.
  std::uint64_t PrefixHash = 0;
  /// What a request is expected to occupy, in tokens.
  double RequestTokens = 600;
};

enum class RoutingPolicy {
  Balanced,    ///< Prefix affinity with bounded load, then d choices.
  Random,      ///< Baseline.
  LeastLoaded, ///< Baseline: the least load by the last report.
};

struct RouterOptions {
  RoutingPolicy Policy = RoutingPolicy::Balanced;
  /// Servers drawn at random.
  int Choices = 3;
  /// An affine server may be this much above the average load.
  double AffinitySlack = 0.15;
  /// A millisecond of distance weighs as much as this part of a server's load.
  double LoadPerMs = 0.01;
  /// An older report is not believed.
  base::milliseconds StaleAfter{3'000};
};

class Router {
public:
  explicit Router(RouterOptions options) : Options(options) {}

  /// Returns the index of the chosen view; none when no server is usable.
  std::optional<std::size_t> choose(std::span<const ServerView> views,
                                    const RouteQuery &query, base::Instant now,
                                    base::Random &random) const;

private:
  double loadOf(const ServerView &view, const RouteQuery &query) const;
  double costOf(const ServerView &view, const RouteQuery &query,
                base::Instant now, double average) const;
  double averageLoad(std::span<const ServerView> views, const RouteQuery &query,
                     base::Instant now) const;

  RouterOptions Options;
};

} // namespace drumlanding::entry
