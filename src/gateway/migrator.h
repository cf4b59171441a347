/// Migrator: brings running generations away from engines that leave. The
/// memory is copied while the generation runs; the last, short copy stops it,
/// and the stream goes on from the other engine.
#pragma once

#include "forwarded-request.h"

#include "drumlanding/gateway/event-splitter.h"

#include <list>
#include <memory>

namespace drumlanding::gateway {

/// A generation that is running for a caller.
struct StreamRun {
  explicit StreamRun(ForwardedRequestPointer f)
      : RequestRef(std::move(f)), F(*RequestRef), MigrationEnded(F.Ctx.Io) {
    MigrationEnded.expires_at(base::Instant::max());
  }

  /// A move may outlast the request.
  ForwardedRequestPointer RequestRef;
  ForwardedRequest &F;
  RunId Id = 0;
  std::string Server;
  /// The engine that a copy of its memory is on its way to; empty when none is.
  std::string CopyServer;
  EventSplitter Events;
  bool HasEnded = false;
  /// A move is under way: the end of the connection is part of it.
  bool IsMigrating = false;
  /// The source has stopped, or will have: the stream goes on from here.
  std::optional<ResumePoint> ResumeFrom;
  std::string ResumeServer;
  base::Instant StoppedAt{};
  /// Cancelled when a move ends.
  asio::steady_timer MigrationEnded;

  /// True while it runs on that server, as far as is known.
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
  /// Migrates all generations that run there.
  void migrateAllFrom(const Server &server);
  /// Looks whose turn it is: a run has come, changed its place or ended.
  void onRunsChanged();
  /// Migrates one that began, or arrived, on a server that leaves.
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
  /// Cancelled when a run has changed, for those that wait for their turn.
  std::list<asio::steady_timer> TurnTimers;
};

} // namespace drumlanding::gateway
