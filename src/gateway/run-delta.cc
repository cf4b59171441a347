#include "drumlanding/gateway/run-delta.h"

#include <tuple>

namespace drumlanding::gateway {
namespace {

bool isSamePlace(const TrackedRun &a, const TrackedRun &b) {
  return std::tie(a.Server, a.CopyServer, a.HasFirstToken) ==
         std::tie(b.Server, b.CopyServer, b.HasFirstToken);
}

} // namespace

RunDelta RunDeltaTracker::nextDelta(std::span<const TrackedRun> runs) {
  RunDelta news;
  std::unordered_map<RunId, TrackedRun> told;
  for (const TrackedRun &run : runs) {
    const auto it = LastSent.find(run.Id);
    if (it == LastSent.end() || !isSamePlace(it->second, run))
      news.Changed.push_back(run);
    told.emplace(run.Id, run);
  }
  for (const auto &[id, run] : LastSent)
    if (!told.contains(id))
      news.Ended.push_back(id);
  LastSent = std::move(told);
  return news;
}

} // namespace drumlanding::gateway
