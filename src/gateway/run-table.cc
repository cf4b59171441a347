#include "drumlanding/gateway/run-table.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Time without messages after which a gateway's runs are ignored: three of its
/// full reports.
constexpr base::milliseconds PeerTimeout{1'800};
/// Tokens generated within placement's forecast horizon: four seconds at 8 ms
/// per token.
constexpr std::uint32_t ForecastHorizonTokens = 500;
/// A generation that has exceeded its estimate is forecast to produce this
/// fraction of its output again: estimates are right at the median, but widely
/// spread.
constexpr double OverrunRatio = 0.5;

void addKvCache(EngineLoad &load, const TrackedRun &run) {
  const std::uint32_t used = run.PromptTokens + run.GeneratedTokens;
  load.UsedTokens += used;
  load.ForecastTokens += used + expectedRemainingTokens(run);
}

void addCopy(EngineLoad &load, const TrackedRun &run) {
  addKvCache(load, run);
  ++load.IncomingCopies;
}

void addRun(EngineLoad &load, const TrackedRun &run) {
  addKvCache(load, run);
  ++load.Running;
  if (!run.HasFirstToken)
    load.PendingPromptTokens += run.PromptTokens;
}

} // namespace

std::uint32_t expectedRemainingTokens(const TrackedRun &run) {
  const auto overrun =
      static_cast<std::uint32_t>(run.GeneratedTokens * OverrunRatio);
  const std::uint32_t remaining = run.ExpectedTokens > run.GeneratedTokens
                                      ? run.ExpectedTokens - run.GeneratedTokens
                                      : overrun;
  const std::uint32_t maxRemaining = run.MaxTokens > run.GeneratedTokens
                                         ? run.MaxTokens - run.GeneratedTokens
                                         : 0;
  return std::min({remaining, maxRemaining, ForecastHorizonTokens});
}

void RunTable::recordPrefill(base::Instant now, const TrackedRun &run) {
  // A migrated run brings its KV cache along.
  if (!run.HasFirstToken)
    Prefills.record(now, run.Server, run.PromptTokens);
}

void RunTable::upsert(const TrackedRun &run) {
  if (!OwnRuns.contains(run.Id))
    recordPrefill(run.StartedAt, run);
  OwnRuns[run.Id] = run;
  notifyChange();
}

void RunTable::updateProgress(RunId id, std::uint32_t generatedTokens) {
  const auto it = OwnRuns.find(id);
  if (it == OwnRuns.end())
    return;
  it->second.GeneratedTokens = generatedTokens;
  it->second.HasFirstToken = true;
}

void RunTable::remove(RunId id) {
  if (OwnRuns.erase(id) > 0)
    notifyChange();
}

void RunTable::applyPeerSnapshot(base::Instant now, const std::string &peer,
                                 std::vector<TrackedRun> runs) {
  Peer &known = Peers[peer];
  for (const TrackedRun &run : runs)
    if (!known.contains(run.Id))
      recordPrefill(now, run);
  known = {now, std::move(runs)};
  notifyChange();
}

void RunTable::applyPeerDelta(base::Instant now, const std::string &peer,
                              const std::vector<TrackedRun> &changed,
                              const std::vector<RunId> &ended) {
  Peer &known = Peers[peer];
  known.LastSeenAt = now;
  for (const TrackedRun &run : changed)
    if (!known.contains(run.Id))
      recordPrefill(now, run);
  std::erase_if(known.Runs, [&](const TrackedRun &run) {
    const auto isSameRun = [&](const TrackedRun &r) { return r.Id == run.Id; };
    return std::find(ended.begin(), ended.end(), run.Id) != ended.end() ||
           std::any_of(changed.begin(), changed.end(), isSameRun);
  });
  known.Runs.insert(known.Runs.end(), changed.begin(), changed.end());
  notifyChange();
}

void RunTable::tick(base::Instant now) {
  std::erase_if(Peers, [&](const auto &entry) {
    return now - entry.second.LastSeenAt > PeerTimeout;
  });
  Prefills.evict(now);
}

template <typename Visit> void RunTable::forEachRun(Visit visit) const {
  for (const auto &[id, run] : OwnRuns)
    visit(run);
  for (const auto &[name, peer] : Peers)
    for (const TrackedRun &run : peer.Runs)
      visit(run);
}

std::unordered_map<std::string_view, EngineLoad> RunTable::loads() const {
  std::unordered_map<std::string_view, EngineLoad> loads;
  forEachRun([&](const TrackedRun &run) {
    addRun(loads[run.Server], run);
    if (!run.CopyServer.empty() && run.CopyServer != run.Server)
      addCopy(loads[run.CopyServer], run);
  });
  return loads;
}

std::vector<TrackedRun> RunTable::runsOn(std::string_view server) const {
  std::vector<TrackedRun> runs;
  forEachRun([&](const TrackedRun &run) {
    if (run.Server == server)
      runs.push_back(run);
  });
  return runs;
}

std::vector<TrackedRun> RunTable::ownRuns() const {
  std::vector<TrackedRun> runs;
  for (const auto &[id, run] : OwnRuns)
    runs.push_back(run);
  return runs;
}

} // namespace drumlanding::gateway
