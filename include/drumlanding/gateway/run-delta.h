/// Run delta: tracks which of this gateway's runs the other gateways have
/// received, so that a message carries only changes.
///
///   RunDeltaTracker tracker;
///   RunDelta delta = tracker.nextDelta(runs.ownRuns());
///   if (!delta.isEmpty()) send(delta);
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
  /// Returns the changes since the last call and marks them as sent. Progress
  /// alone is no change: it is sent with the full state.
  RunDelta nextDelta(std::span<const TrackedRun> runs);

private:
  std::unordered_map<RunId, TrackedRun> LastSent;
};

} // namespace drumlanding::gateway
