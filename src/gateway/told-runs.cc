#include "drumlanding/gateway/told-runs.h"

#include <tuple>

namespace drumlanding::gateway {
namespace {

bool isSamePlace(const LedgerRun &a, const LedgerRun &b) {
  return std::tie(a.Server, a.CopyServer, a.HasBegun) ==
         std::tie(b.Server, b.CopyServer, b.HasBegun);
}

} // namespace

RunNews ToldRuns::newsOf(std::span<const LedgerRun> runs) {
  RunNews news;
  std::unordered_map<RunId, LedgerRun> told;
  for (const LedgerRun &run : runs) {
    const auto it = Told.find(run.Id);
    if (it == Told.end() || !isSamePlace(it->second, run))
      news.Changed.push_back(run);
    told.emplace(run.Id, run);
  }
  for (const auto &[id, run] : Told)
    if (!told.contains(id))
      news.Ended.push_back(id);
  Told = std::move(told);
  return news;
}

} // namespace drumlanding::gateway
