/// Ledger: the generations that run on each engine, from this gateway and from
/// the others, and what they will make of its memory.
///
///   Ledger ledger;
///   ledger.begin(now, server, run);
///   ledger.progress(now, runId, 40, true);
///   auto loads = ledger.loads();
///   ledger.end(runId);
#pragma once

#include "drumlanding/base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace drumlanding::gateway {

/// Names a generation among all gateways: a hash of its attempt's id.
using RunId = std::uint64_t;

/// A generation on an engine.
struct TrackedRun {
  RunId Id = 0;
  std::string Server;
  std::uint32_t PromptTokens = 0;
  /// The caller's estimate of its output, and the most it may make.
  std::uint32_t ExpectedTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint32_t GeneratedTokens = 0;
  bool HasFirstToken = false;
  /// The engine that a copy of its memory is on its way to, or at; empty when
  /// there is none.
  std::string CopyServer;
  base::Instant StartedAt{};
};

/// What is known of an engine's work.
struct EngineLoad {
  int Running = 0;
  /// Copies of other engines' runs, on their way or there.
  int IncomingCopies = 0;
  /// Prompt tokens that wait to be read.
  std::uint64_t PendingPromptTokens = 0;
  /// Memory in use, and forecast for the near future.
  std::uint64_t UsedTokens = 0;
  std::uint64_t ForecastTokens = 0;
};

/// Returns how many tokens a generation is expected to add yet.
std::uint32_t expectedRemainingTokens(const TrackedRun &run);

class RunTable {
public:
  /// Called when a run has come, changed its place, begun or ended.
  std::function<void()> OnChange;

  /// Notes a run of this gateway. A run that exists moves to the new server.
  void upsert(const TrackedRun &run);
  void updateProgress(RunId id, std::uint32_t madeTokens);
  void remove(RunId id);

  /// Replaces what another gateway has told of its runs.
  void applyPeerSnapshot(base::Instant now, const std::string &peer,
                         std::vector<TrackedRun> runs);
  /// Adds another gateway's news: runs that are new or have changed, and those
  /// that have ended.
  void applyPeerDelta(base::Instant now, const std::string &peer,
                      const std::vector<TrackedRun> &changed,
                      const std::vector<RunId> &ended);
  /// Forgets gateways that have not told anything for a while.
  void tick(base::Instant now);

  /// The loads of all engines that have any, by server, in one pass over the
  /// runs. Valid until the next change.
  std::unordered_map<std::string_view, EngineLoad> loads() const;
  /// All generations that run on a server, the other gateways' too.
  std::vector<TrackedRun> runsOn(std::string_view server) const;
  /// This gateway's runs, to be told to the others.
  std::vector<TrackedRun> ownRuns() const;

private:
  void notifyChange() const {
    if (OnChange)
      OnChange();
  }

  struct Peer {
    base::Instant LastSeenAt{};
    std::vector<TrackedRun> Runs;
  };

  template <typename Visit> void forEachRun(Visit visit) const;

  std::unordered_map<RunId, TrackedRun> OwnRuns;
  std::map<std::string, Peer> Peers;
};

} // namespace drumlanding::gateway
