/// Run table: the generations on each engine, started by this and other
/// gateways, and their forecast KV cache usage.
///
///   RunTable runs;
///   runs.upsert(run);
///   runs.updateProgress(runId, 40);
///   auto loads = runs.loads();
///   runs.remove(runId);
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/gateway/prefill-history.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace drumlanding::gateway {

/// Identifies a generation across all gateways: a hash of its attempt id.
using RunId = std::uint64_t;

/// A generation on an engine.
struct TrackedRun {
  RunId Id = 0;
  std::string Server;
  std::uint32_t PromptTokens = 0;
  /// The client's estimate of the output length, and its limit.
  std::uint32_t ExpectedTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint32_t GeneratedTokens = 0;
  bool HasFirstToken = false;
  /// The engine that a copy of the KV cache is being sent to or is stored on;
  /// empty when there is none.
  std::string CopyServer;
  base::Instant StartedAt{};
};

/// Load of an engine as known to this gateway.
struct EngineLoad {
  int Running = 0;
  /// Copies of other engines' generations, in transit or stored.
  int IncomingCopies = 0;
  /// Prompt tokens that wait for prefill.
  std::uint64_t PendingPromptTokens = 0;
  /// KV cache in use, and forecast for the near future.
  std::uint64_t UsedTokens = 0;
  std::uint64_t ForecastTokens = 0;
};

/// Returns the number of tokens that a generation is forecast to add.
std::uint32_t expectedRemainingTokens(const TrackedRun &run);

class RunTable {
public:
  /// Called when a run is added, changed, moved to another server or removed,
  /// but not on progress.
  std::function<void()> OnChange;

  /// Adds a run of this gateway, or replaces it, for example after a migration.
  void upsert(const TrackedRun &run);
  void updateProgress(RunId id, std::uint32_t generatedTokens);
  void remove(RunId id);

  /// Replaces all runs of another gateway.
  void applyPeerSnapshot(base::Instant now, const std::string &peer,
                         std::vector<TrackedRun> runs);
  /// Applies another gateway's delta: new or changed runs, and ended ones.
  void applyPeerDelta(base::Instant now, const std::string &peer,
                      const std::vector<TrackedRun> &changed,
                      const std::vector<RunId> &ended);
  /// Forgets gateways that have sent nothing for a while.
  void tick(base::Instant now);

  /// Returns the load of every engine that has any, by server, in one pass over
  /// the runs. Valid until the next change.
  std::unordered_map<std::string_view, EngineLoad> loads() const;
  /// Returns the prompt tokens per ms that an engine has recently been given.
  double prefillTokensPerMs(base::Instant now, std::string_view server) const {
    return Prefills.tokensPerMs(now, server);
  }
  /// Returns all generations on a server, including other gateways' runs.
  std::vector<TrackedRun> runsOn(std::string_view server) const;
  /// Returns this gateway's runs, to be sent to the others.
  std::vector<TrackedRun> ownRuns() const;

private:
  void notifyChange() const {
    if (OnChange)
      OnChange();
  }

  struct Peer {
    base::Instant LastSeenAt{};
    std::vector<TrackedRun> Runs;

    bool contains(RunId id) const {
      return std::any_of(Runs.begin(), Runs.end(),
                         [&](const TrackedRun &run) { return run.Id == id; });
    }
  };

  template <typename Visit> void forEachRun(Visit visit) const;

  /// Records the prefill of a run that was not known before.
  void recordPrefill(base::Instant now, const TrackedRun &run);

  PrefillHistory Prefills;
  std::unordered_map<RunId, TrackedRun> OwnRuns;
  std::map<std::string, Peer> Peers;
};

} // namespace drumlanding::gateway
