/// Told runs: what the other gateways have been told of this gateway's runs, so
/// that a message carries only what has changed.
///
///   ToldRuns told;
///   RunNews news = told.newsOf(ledger.ownRuns());
///   if (!news.isEmpty()) send(news);
#pragma once

#include "drumlanding/gateway/run-table.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace drumlanding::gateway {

/// Changes of runs since the last message.
struct RunDelta {
  std::vector<TrackedRun> Changed;
  std::vector<RunId> Ended;

  bool isEmpty() const { return Changed.empty() && Ended.empty(); }
};

class RunDeltaTracker {
public:
  /// Returns what has changed since the last call, and takes it as told.
  /// Progress alone is no news: it is told with the whole.
  RunDelta nextDelta(std::span<const TrackedRun> runs);

private:
  std::unordered_map<RunId, TrackedRun> LastSent;
};

} // namespace drumlanding::gateway
