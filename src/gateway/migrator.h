/// Migrator: migrates running generations off leaving engines. The KV cache is
/// copied while the generation runs; for the short final copy the generation
/// stops, and the stream resumes at the destination engine.
#pragma once

#include "forwarded-request.h"

#include "drumlanding/gateway/event-splitter.h"
#include "drumlanding/gateway/final-copy.h"

#include <list>
#include <memory>

namespace drumlanding::gateway {

/// A running generation of a caller and the state of its migration.
struct StreamRun {
  explicit StreamRun(ForwardedRequestPointer f)
      : RequestRef(std::move(f)), F(*RequestRef) {}

  /// Keeps the request alive, since a migration may outlive its stream.
  ForwardedRequestPointer RequestRef;
  ForwardedRequest &F;
  RunId Id = 0;
  std::string Server;
  /// The engine that its KV cache is being copied to; empty when there is none.
  std::string CopyServer;
  EventSplitter Events;
  bool HasEnded = false;
  /// A migration is in progress, so the end of the connection may be part of
  /// it.
  bool IsMigrating = false;
  RunState State = RunState::Running;
  /// Where the stream resumes after the source has stopped the run.
  std::optional<ResumePoint> ResumeFrom;
  std::string ResumeServer;
  /// The destination whose limit already includes the resumed request.
  std::string CountedServer;
  base::Instant StoppedAt{};

  /// Returns whether the run has not ended and is, as far as is known, on that
  /// server.
  bool isRunningOn(const std::string &server) const {
    return !HasEnded && Server == server;
  }
  std::uint32_t generatedTokens() const;
  TrackedRun trackedRun() const;
  Demand remainingDemand() const;
};
using StreamRunPointer = std::shared_ptr<StreamRun>;

class Migrator {
public:
  explicit Migrator(GatewayContext &ctx) : Ctx(ctx) {}

  void add(const StreamRunPointer &run);
  void remove(const StreamRunPointer &run);
  /// Starts to migrate all generations that run on a leaving server.
  void migrateAllFrom(const Server &server);
  /// Ends the connections of generations that a part of their prompts has
  /// quarantined, unless their servers have survived them.
  void abandonQuarantined();
  /// Called when a run was added, changed its server or ended: the waiting
  /// migrations check again whether it is their turn.
  void onRunsChanged();
  /// Starts to migrate a run if its server is leaving, its engine supports
  /// migration, and no migration of it is in progress.
  void migrateIfLeaving(const StreamRunPointer &run);

private:
  asio::awaitable<void> migrate(StreamRunPointer run, std::string source);
  asio::awaitable<bool> migrateTo(StreamRunPointer run, Server source,
                                  Server destination);
  void announceCopy(const StreamRunPointer &run, std::string server);
  void releaseTurn(const StreamRunPointer &run, const std::string &next);
  asio::awaitable<void> waitForTurn(StreamRunPointer run, std::string source);
  asio::awaitable<void> waitForRunChange();
  asio::awaitable<bool> copyWhileRunning(StreamRunPointer run, Server source,
                                         Server destination);
  asio::awaitable<CopyResponse> copyKvCache(StreamRunPointer run, Server source,
                                            Server destination, bool isLast);
  asio::awaitable<void> freeCopy(base::Endpoint at, std::string handle);
  base::Instant shutdownAt(const Server &server) const;
  base::Duration estimateCopyTime(const StreamRun &run, const Server &source,
                                  const Server &destination) const;

  GatewayContext &Ctx;
  std::list<StreamRunPointer> Runs;
  /// Timers of the migrations that wait for their turn; cancelled when any run
  /// changes.
  std::list<asio::steady_timer> TurnTimers;
};

} // namespace drumlanding::gateway
