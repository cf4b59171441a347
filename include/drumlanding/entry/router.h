/// Router: chooses the backend server for a request.
///
///   Router router(options);
///   auto at = router.choose(views, {prefixHash, 600}, now, random);
///
/// A request goes to the server that is likely to have its prefix cached,
/// unless that one is clearly busier than the average; then to the one of
/// lowest cost among a few drawn at random (power of d choices). Reports lag,
/// so the entry adds the requests it has sent since the report, and assumes the
/// average load for a server without a recent report.
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

/// An entry's view of a backend server.
struct ServerView {
  /// base::hash64 of the server's name.
  std::uint64_t NameHash = 0;
  /// False for a server that is leaving, suspect, lacks the requested model, or
  /// was already tried.
  bool IsUsable = true;
  /// One-way network delay from this entry.
  double DistanceMs = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t CapacityTokens = 0;
  std::uint32_t Waiting = 0;
  base::Instant ReportedAt{};
  /// Requests that this entry has sent to it since the report.
  std::uint32_t SentSinceReport = 0;
};

struct RouteQuery {
  /// Hash of the prompt's prefix, the model and the adapter; 0 for no affinity.
  std::uint64_t PrefixHash = 0;
  /// Expected prompt and output length, in tokens.
  double RequestTokens = 600;
};

enum class RoutingPolicy {
  Balanced,    ///< Prefix affinity with bounded load, then d choices.
  Random,      ///< Baseline: a random usable server.
  LeastLoaded, ///< Baseline: the fewest used tokens in the last report.
};

struct RouterOptions {
  RoutingPolicy Policy = RoutingPolicy::Balanced;
  /// Number of servers drawn at random.
  int Choices = 3;
  /// How far the affine server's cost may exceed the average load.
  double AffinitySlack = 0.15;
  /// Cost of one millisecond of distance, as a fraction of a server's capacity.
  double LoadPerMs = 0.01;
  /// Reports older than this are ignored.
  base::milliseconds StaleAfter{3'000};
};

class Router {
public:
  explicit Router(RouterOptions options) : Options(options) {}

  /// Returns the index of the chosen view, or nullopt when no server is usable.
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
