#include "drumlanding/gateway/run-delta.h"

#include <tuple>

namespace drumlanding::gateway {
namespace {

bool isSamePlacement(const TrackedRun &a, const TrackedRun &b) {
  return std::tie(a.Server, a.CopyServer, a.HasFirstToken) ==
         std::tie(b.Server, b.CopyServer, b.HasFirstToken);
}

} // namespace

RunDelta RunDeltaTracker::nextDelta(std::span<const TrackedRun> runs) {
  RunDelta delta;
  std::unordered_map<RunId, TrackedRun> sent;
  for (const TrackedRun &run : runs) {
    const auto it = LastSent.find(run.Id);
    if (it == LastSent.end() || !isSamePlacement(it->second, run))
      delta.Changed.push_back(run);
    sent.emplace(run.Id, run);
  }
  for (const auto &[id, run] : LastSent)
    if (!sent.contains(id))
      delta.Ended.push_back(id);
  LastSent = std::move(sent);
  return delta;
}

} // namespace drumlanding::gateway
