/// Mover: brings running generations away from engines that leave. The memory
/// is copied while the generation runs; the last, short copy stops it, and the
/// stream goes on from the other engine.
#pragma once

#include "forwarding.h"

#include "drumlanding/gateway/event-splitter.h"

#include <list>
#include <memory>

namespace drumlanding::gateway {

/// A generation that is running for a caller.
struct StreamRun {
  explicit StreamRun(ForwardingPointer f)
      : Owner(std::move(f)), F(*Owner), MoveEnded(F.W.Io) {
    MoveEnded.expires_at(base::Instant::max());
  }

  /// A move may outlast the request.
  ForwardingPointer Owner;
  Forwarding &F;
  RunId Id = 0;
  std::string Server;
  /// The engine that a copy of its memory is on its way to; empty when none is.
  std::string CopyServer;
  EventSplitter Events;
  bool IsOver = false;
  /// A move is under way: the end of the connection is part of it.
  bool IsMoving = false;
  /// The source has stopped, or will have: the stream goes on from here.
  std::optional<ResumePoint> Next;
  std::string NextServer;
  base::Instant StoppedAt{};
  /// Cancelled when a move ends.
  asio::steady_timer MoveEnded;

  /// True while it runs on that server, as far as is known.
  bool isOn(const std::string &server) const {
    return !IsOver && Server == server;
  }
  std::uint32_t madeTokens() const;
  TrackedRun ledgerRun() const;
  Demand remainingDemand() const;
};
using StreamRunPointer = std::shared_ptr<StreamRun>;

class Mover {
public:
  explicit Mover(World &world) : W(world) {}

  void add(const StreamRunPointer &run);
  void remove(const StreamRunPointer &run);
  /// Moves all generations that run there.
  void leave(const Server &server);
  /// Looks whose turn it is: a run has come, changed its place or ended.
  void runsChanged();
  /// Moves one that began, or arrived, on a server that leaves.
  void moveIfLeaving(const StreamRunPointer &run);

private:
  asio::awaitable<void> move(StreamRunPointer run, std::string source);
  asio::awaitable<bool> moveTo(StreamRunPointer run, Server source,
                               Server destination);
  void announceCopy(const StreamRunPointer &run, std::string server);
  void passTurn(const StreamRunPointer &run, const std::string &next);
  asio::awaitable<void> waitForTurn(StreamRunPointer run, std::string source);
  asio::awaitable<void> waitForChange();
  asio::awaitable<bool> copyWhileRunning(StreamRunPointer run, Server source,
                                         Server destination);
  asio::awaitable<CopyResponse> copy(StreamRunPointer run, Server source,
                                     Server destination, bool isLast);
  asio::awaitable<void> freeCopy(base::Endpoint at, std::string handle);
  base::Instant goneAt(const Server &server) const;
  base::Duration copyTimeOf(const StreamRun &run, const Server &source,
                            const Server &destination) const;

  World &W;
  std::list<StreamRunPointer> Running;
  /// Cancelled when a run has changed, for those that wait for their turn.
  std::list<asio::steady_timer> TurnChecks;
};

} // namespace drumlanding::gateway
