#include "mover.h"

#include "gateway-metrics.h"

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/gateway/migration-order.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using daemon::sleepFor;
using Outcome = CopyResponse::Outcome;

/// A copy that takes this much longer than its bytes need has waited behind
/// others, and so would the last one.
constexpr milliseconds QueueSlack{60};
/// Copies of a long prompt behind others take seconds.
constexpr milliseconds CopyLimit{4'000};
/// A run that has not begun has nothing to copy yet.
constexpr milliseconds AskAgain{60};
/// Leaving engines that say nothing else are gone this long after the notice,
/// at the earliest (shortest notice on the sheets: 1.54 s, less its way).
constexpr milliseconds ShortestNotice{1'500};
/// What a last, short copy takes with its messages (measured: 5 to 25 ms).
constexpr milliseconds LastCopyTime{40};
/// Copies while the run goes on; the last needs no more than this many before.
constexpr int MostCopies = 12;
/// Destinations tried for one run.
constexpr int MostDestinations = 3;
/// Longest wait for a copy to be freed.
constexpr milliseconds FreeLimit{300};
/// A move of one generation takes a quarter of a second, twice that between
/// zones.
constexpr milliseconds MostTurnTime{900};
/// How often a run looks whether its turn has come when nothing is heard of the
/// others.
constexpr milliseconds TurnCheck{100};

} // namespace

std::uint32_t StreamRun::madeTokens() const {
  const int stride =
      F.TheService->Engine ? F.TheService->Engine->TokensPerEvent : 1;
  return static_cast<std::uint32_t>(Events.eventCount() *
                                    static_cast<std::uint64_t>(stride));
}

TrackedRun StreamRun::ledgerRun() const {
  TrackedRun run;
  run.Id = Id;
  run.Server = Server;
  run.CopyServer = CopyServer;
  run.PromptTokens = F.Request.PromptTokens;
  run.ExpectedTokens = F.Request.ExpectedTokens;
  run.MaxTokens = F.Request.MaxTokens;
  run.GeneratedTokens = madeTokens();
  run.HasFirstToken = run.GeneratedTokens > 0;
  return run;
}

Demand StreamRun::remainingDemand() const {
  const TrackedRun run = ledgerRun();
  return {run.PromptTokens + run.GeneratedTokens, expectedRemainingTokens(run)};
}

void Mover::add(const StreamRunPointer &run) { Running.push_back(run); }

void Mover::remove(const StreamRunPointer &run) {
  run->IsOver = true;
  run->MoveEnded.cancel();
  Running.remove(run);
}

void Mover::leave(const Server &server) {
  for (const StreamRunPointer &run : Running)
    if (run->Server == server.Listed.Id)
      moveIfLeaving(run);
}

void Mover::moveIfLeaving(const StreamRunPointer &run) {
  const Server *source = W.Servers.find(run->Server);
  const auto &engine = run->F.TheService->Engine;
  if (!source || !source->IsLeaving || !engine || !engine->CanMigrate ||
      run->IsMoving || run->IsOver)
    return;
  run->IsMoving = true;
  asio::co_spawn(W.Io, move(run, run->Server), asio::detached);
}

base::Instant Mover::goneAt(const Server &server) const {
  const Server *known = W.Servers.find(server.Listed.Id);
  if (known && known->ShutdownAt != base::Instant{})
    return known->ShutdownAt;
  return server.LeavingSince +
         (known && known->IsPlannedLeave ? W.Settings.Drain : ShortestNotice);
}

base::Duration Mover::copyTimeOf(const StreamRun &run, const Server &source,
                                 const Server &destination) const {
  const TrackedRun known = run.ledgerRun();
  return copyTime(*run.F.TheService->Engine,
                  known.PromptTokens + known.GeneratedTokens,
                  source.Listed.Zone != destination.Listed.Zone);
}

/// Waits until the runs that come before it are gone, or until nothing has
/// changed for so long that whoever moves them must have failed.
asio::awaitable<void> Mover::waitForTurn(StreamRunPointer run,
                                         std::string sourceId) {
  std::size_t before = 0;
  base::Instant changedAt = W.now();
  while (run->isOn(sourceId) && W.Servers.find(sourceId)) {
    const std::vector<TrackedRun> there = W.Runs.runsOn(sourceId);
    if (isNextToMigrate(there, run->ledgerRun()))
      co_return;
    const base::Instant now = W.now();
    if (there.size() != before)
      changedAt = now;
    before = there.size();
    if (now - changedAt > MostTurnTime)
      co_return;
    co_await waitForChange();
  }
}

asio::awaitable<void> Mover::waitForChange() {
  const auto it = TurnChecks.emplace(TurnChecks.end(), W.Io);
  it->expires_after(TurnCheck);
  boost::system::error_code ec;
  co_await it->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  TurnChecks.erase(it);
}

void Mover::runsChanged() {
  for (asio::steady_timer &check : TurnChecks)
    check.cancel();
}

asio::awaitable<CopyResponse> Mover::copy(StreamRunPointer run, Server source,
                                          Server destination, bool isLast) {
  const CopyRequest order{run->F.Request.AttemptId, destination.Listed.Address,
                          isLast};
  http::Request request = W.Words.EncodeCopyRequest(order);
  const base::Instant asked = W.now();
  http::Fetched fetched = co_await http::fetch(source.Listed.Address,
                                               std::move(request), CopyLimit);
  const CopyResponse answer = W.Words.DecodeCopyResponse(fetched.Answer);
  countMove(W.Metrics, isLast ? "copied last" : "copied",
            answer.Code == Outcome::Copied);
  W.Log.write("move-copied", {{"request", run->F.Request.AttemptId},
                              {"from", source.Listed.Id},
                              {"to", destination.Listed.Id},
                              {"last", isLast},
                              {"outcome", static_cast<int>(answer.Code)},
                              {"events", answer.EventsGenerated},
                              {"ms", base::toMs(W.now() - asked)}});
  co_return answer;
}

/// Copies until the links are free or the time has come; false when the
/// destination takes nothing or the run is over.
asio::awaitable<bool> Mover::copyWhileRunning(StreamRunPointer run,
                                              Server source,
                                              Server destination) {
  base::Duration expected = copyTimeOf(*run, source, destination);
  for (int i = 0; i < MostCopies; ++i) {
    const base::Instant asked = W.now();
    // With too little time for a copy and its rest, the last must do alone.
    if (asked + expected + LastCopyTime > goneAt(source))
      co_return true;
    const CopyResponse answer = co_await copy(run, source, destination, false);
    if (!run->isOn(source.Listed.Id)) {
      if (answer.Code == Outcome::Copied)
        co_await freeCopy(source.Listed.Address, answer.Handle);
      co_return false;
    }
    if (answer.Code == Outcome::NoRoom || answer.Code == Outcome::Failed)
      co_return false;
    const bool isCopied = answer.Code == Outcome::Copied;
    if (isCopied && W.now() - asked < expected + QueueSlack)
      co_return true;
    if (isCopied)
      expected = base::Duration(0);
    else
      co_await sleepFor(AskAgain);
  }
  co_return true;
}

/// Tells the other gateways where a copy goes, so that theirs go elsewhere.
void Mover::announceCopy(const StreamRunPointer &run, std::string server) {
  if (run->IsOver)
    return;
  run->CopyServer = std::move(server);
  W.Runs.upsert(run->ledgerRun());
  W.TellPeers();
}

asio::awaitable<void> Mover::freeCopy(base::Endpoint at, std::string handle) {
  http::Request request = W.Words.EncodeReleaseCopy(handle);
  co_await http::fetch(at, std::move(request), FreeLimit);
}

/// Lets the next run's turn come: this one goes on at `next`.
void Mover::passTurn(const StreamRunPointer &run, const std::string &next) {
  if (run->IsOver)
    return;
  TrackedRun moved = run->ledgerRun();
  moved.Server = next;
  moved.CopyServer.clear();
  W.Runs.upsert(moved);
  W.TellPeers();
}

/// Returns true when the run has stopped, or is over, and false when another
/// destination may be tried.
asio::awaitable<bool> Mover::moveTo(StreamRunPointer run, Server source,
                                    Server destination) {
  const bool isCopied = co_await copyWhileRunning(run, source, destination);
  const bool isThere = run->isOn(source.Listed.Id);
  if (!isThere || !isCopied)
    co_return !isThere;
  const CopyResponse answer = co_await copy(run, source, destination, true);
  if (answer.Handle.empty())
    co_return false;
  // When the last copy failed, the source has stopped and kept the memory.
  const bool isComplete = answer.Code == Outcome::Copied;
  run->Next = ResumePoint{source.Listed.Address, answer.Handle, 0};
  run->NextServer = isComplete ? destination.Listed.Id : source.Listed.Id;
  // Not before: the next run's copy would hold up this last, short one.
  passTurn(run, run->NextServer);
  co_return true;
}

asio::awaitable<void> Mover::move(StreamRunPointer run, std::string sourceId) {
  std::vector<std::string> tried{sourceId};
  co_await waitForTurn(run, sourceId);
  for (int i = 0; i < MostDestinations && run->isOn(sourceId); ++i) {
    const Server *source = W.Servers.find(sourceId);
    if (!source)
      break;
    const Server from = *source;
    const Choice choice = W.Placing.chooseForMigration(
        W.now(), *run->F.TheService, run->remainingDemand(), from, tried);
    if (!choice.Chosen)
      break;
    const Server to = *choice.Chosen;
    tried.push_back(to.Listed.Id);
    announceCopy(run, to.Listed.Id);
    countMove(W.Metrics, "begun", true);
    W.Log.write("move-begun",
                {{"request", run->F.Request.AttemptId},
                 {"from", sourceId},
                 {"to", to.Listed.Id},
                 {"cost_ms", choice.CostMs},
                 {"ms_left", base::toMs(goneAt(from) - W.now())}});
    const bool isDone = co_await moveTo(run, from, to);
    if (isDone)
      break;
  }
  run->IsMoving = false;
  if (run->isOn(sourceId))
    announceCopy(run, "");
  run->MoveEnded.cancel();
  // It may have come to another server that leaves meanwhile.
  if (!run->isOn(sourceId))
    moveIfLeaving(run);
}

} // namespace drumlanding::gateway
