#include "migrator.h"

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
constexpr milliseconds QueueingSlack{60};
/// Copies of a long prompt behind others take seconds.
constexpr milliseconds CopyTimeout{4'000};
/// A run that has not begun has nothing to copy yet.
constexpr milliseconds CopyRetryInterval{60};
/// Leaving engines that say nothing else are gone this long after the notice,
/// at the earliest (shortest notice on the sheets: 1.54 s, less its way).
constexpr milliseconds MinShutdownNotice{1'500};
/// What a last, short copy takes with its messages (measured: 5 to 25 ms).
constexpr milliseconds FinalCopyTime{40};
/// Copies while the run goes on; the last needs no more than this many
/// before.
constexpr int MaxCopies = 12;
/// Destinations tried for one run.
constexpr int MaxDestinations = 3;
/// Longest wait for a copy to be freed.
constexpr milliseconds FreeCopyTimeout{300};
/// A move of one generation takes a quarter of a second, twice that between
/// zones.
constexpr milliseconds MaxTurnTime{900};
/// How often a run looks whether its turn has come when nothing is heard of the
/// others.
constexpr milliseconds TurnCheckInterval{100};

} // namespace

std::uint32_t StreamRun::generatedTokens() const {
  const int stride =
      F.ChosenService->Engine ? F.ChosenService->Engine->TokensPerEvent : 1;
  return static_cast<std::uint32_t>(Events.eventCount() *
                                    static_cast<std::uint64_t>(stride));
}

TrackedRun StreamRun::trackedRun() const {
  TrackedRun run;
  run.Id = Id;
  run.Server = Server;
  run.CopyServer = CopyServer;
  run.PromptTokens = F.Request.PromptTokens;
  run.ExpectedTokens = F.Request.ExpectedTokens;
  run.MaxTokens = F.Request.MaxTokens;
  run.GeneratedTokens = generatedTokens();
  run.HasFirstToken = run.GeneratedTokens > 0;
  return run;
}

Demand StreamRun::remainingDemand() const {
  const TrackedRun run = trackedRun();
  return {run.PromptTokens + run.GeneratedTokens, expectedRemainingTokens(run)};
}

void Migrator::add(const StreamRunPointer &run) { Runs.push_back(run); }

void Migrator::remove(const StreamRunPointer &run) {
  run->HasEnded = true;
  run->MigrationEnded.cancel();
  Runs.remove(run);
}

void Migrator::migrateAllFrom(const Server &server) {
  for (const StreamRunPointer &run : Runs)
    if (run->Server == server.Listed.Id)
      migrateIfLeaving(run);
}

void Migrator::migrateIfLeaving(const StreamRunPointer &run) {
  const Server *source = Ctx.Servers.find(run->Server);
  const auto &engine = run->F.ChosenService->Engine;
  if (!source || !source->IsLeaving || !engine || !engine->CanMigrate ||
      run->IsMigrating || run->HasEnded)
    return;
  run->IsMigrating = true;
  asio::co_spawn(Ctx.Io, migrate(run, run->Server), asio::detached);
}

base::Instant Migrator::shutdownAt(const Server &server) const {
  const Server *known = Ctx.Servers.find(server.Listed.Id);
  if (known && known->ShutdownAt != base::Instant{})
    return known->ShutdownAt;
  return server.LeavingSince + (known && known->IsPlannedLeave
                                    ? Ctx.Settings.DrainTime
                                    : MinShutdownNotice);
}

base::Duration Migrator::estimateCopyTime(const StreamRun &run,
                                          const Server &source,
                                          const Server &destination) const {
  const TrackedRun known = run.trackedRun();
  return copyTime(*run.F.ChosenService->Engine,
                  known.PromptTokens + known.GeneratedTokens,
                  source.Listed.Zone != destination.Listed.Zone);
}

/// Waits until the runs that come before it are gone, or until nothing
/// has changed for so long that whoever moves them must have failed.
asio::awaitable<void> Migrator::waitForTurn(StreamRunPointer run,
                                            std::string sourceId) {
  std::size_t previousCount = 0;
  base::Instant changedAt = Ctx.now();
  while (run->isRunningOn(sourceId) && Ctx.Servers.find(sourceId)) {
    const std::vector<TrackedRun> runsOnSource = Ctx.Runs.runsOn(sourceId);
    if (isNextToMigrate(runsOnSource, run->trackedRun()))
      co_return;
    const base::Instant now = Ctx.now();
    if (runsOnSource.size() != previousCount)
      changedAt = now;
    previousCount = runsOnSource.size();
    if (now - changedAt > MaxTurnTime)
      co_return;
    co_await waitForRunChange();
  }
}

asio::awaitable<void> Migrator::waitForRunChange() {
  const auto it = TurnTimers.emplace(TurnTimers.end(), Ctx.Io);
  it->expires_after(TurnCheckInterval);
  boost::system::error_code ec;
  co_await it->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  TurnTimers.erase(it);
}

void Migrator::onRunsChanged() {
  for (asio::steady_timer &check : TurnTimers)
    check.cancel();
}

asio::awaitable<CopyResponse> Migrator::copyKvCache(StreamRunPointer run,
                                                    Server source,
                                                    Server destination,
                                                    bool isLast) {
  const CopyRequest order{run->F.Request.AttemptId, destination.Listed.Address,
                          isLast};
  http::Request request = Ctx.Codec.EncodeCopyRequest(order);
  const base::Instant startedAt = Ctx.now();
  http::FetchResult fetched = co_await http::fetch(
      source.Listed.Address, std::move(request), CopyTimeout);
  const CopyResponse answer = Ctx.Codec.DecodeCopyResponse(fetched.Outcome);
  countMigrationStep(Ctx.Metrics, isLast ? "copied last" : "copied",
                     answer.Code == Outcome::Copied);
  Ctx.Log.write("move-copied", {{"request", run->F.Request.AttemptId},
                                {"from", source.Listed.Id},
                                {"to", destination.Listed.Id},
                                {"last", isLast},
                                {"outcome", static_cast<int>(answer.Code)},
                                {"events", answer.EventsGenerated},
                                {"ms", base::toMs(Ctx.now() - startedAt)}});
  co_return answer;
}

/// Copies until the links are free or the time has come; false when the
/// destination takes nothing or the run is over.
asio::awaitable<bool> Migrator::copyWhileRunning(StreamRunPointer run,
                                                 Server source,
                                                 Server destination) {
  base::Duration expected = estimateCopyTime(*run, source, destination);
  for (int i = 0; i < MaxCopies; ++i) {
    const base::Instant startedAt = Ctx.now();
    // With too little time for a copy and its rest, the last must do alone.
    if (startedAt + expected + FinalCopyTime > shutdownAt(source))
      co_return true;
    const CopyResponse answer =
        co_await copyKvCache(run, source, destination, false);
    if (!run->isRunningOn(source.Listed.Id)) {
      if (answer.Code == Outcome::Copied)
        co_await freeCopy(source.Listed.Address, answer.Handle);
      co_return false;
    }
    if (answer.Code == Outcome::NoRoom || answer.Code == Outcome::Failed)
      co_return false;
    const bool isCopied = answer.Code == Outcome::Copied;
    if (isCopied && Ctx.now() - startedAt < expected + QueueingSlack)
      co_return true;
    if (isCopied)
      expected = base::Duration(0);
    else
      co_await sleepFor(CopyRetryInterval);
  }
  co_return true;
}

/// Tells the other gateways where a copy goes, so that theirs go elsewhere.
void Migrator::announceCopy(const StreamRunPointer &run, std::string server) {
  if (run->HasEnded)
    return;
  run->CopyServer = std::move(server);
  Ctx.Runs.upsert(run->trackedRun());
  Ctx.NotifyPeers();
}

asio::awaitable<void> Migrator::freeCopy(base::Endpoint at,
                                         std::string handle) {
  http::Request request = Ctx.Codec.EncodeReleaseCopy(handle);
  co_await http::fetch(at, std::move(request), FreeCopyTimeout);
}

/// Lets the next run's turn come: this one goes on at `next`.
void Migrator::releaseTurn(const StreamRunPointer &run,
                           const std::string &next) {
  if (run->HasEnded)
    return;
  TrackedRun moved = run->trackedRun();
  moved.Server = next;
  moved.CopyServer.clear();
  Ctx.Runs.upsert(moved);
  Ctx.NotifyPeers();
}

/// Returns true when the run has stopped, or is over, and false when another
/// destination may be tried.
asio::awaitable<bool> Migrator::migrateTo(StreamRunPointer run, Server source,
                                          Server destination) {
  const bool isCopied = co_await copyWhileRunning(run, source, destination);
  const bool isOnSource = run->isRunningOn(source.Listed.Id);
  if (!isOnSource || !isCopied)
    co_return !isOnSource;
  const CopyResponse answer =
      co_await copyKvCache(run, source, destination, true);
  if (answer.Handle.empty())
    co_return false;
  // When the last copy failed, the source has stopped and kept the memory.
  const bool isComplete = answer.Code == Outcome::Copied;
  run->ResumeFrom = ResumePoint{source.Listed.Address, answer.Handle, 0};
  run->ResumeServer = isComplete ? destination.Listed.Id : source.Listed.Id;
  // Not before: the next run's copy would hold up this last, short one.
  releaseTurn(run, run->ResumeServer);
  co_return true;
}

asio::awaitable<void> Migrator::migrate(StreamRunPointer run,
                                        std::string sourceId) {
  std::vector<std::string> tried{sourceId};
  co_await waitForTurn(run, sourceId);
  for (int i = 0; i < MaxDestinations && run->isRunningOn(sourceId); ++i) {
    const Server *source = Ctx.Servers.find(sourceId);
    if (!source)
      break;
    const Server from = *source;
    const Choice choice = Ctx.Placer.chooseForMigration(
        Ctx.now(), *run->F.ChosenService, run->remainingDemand(), from, tried);
    if (!choice.Chosen)
      break;
    const Server to = *choice.Chosen;
    tried.push_back(to.Listed.Id);
    announceCopy(run, to.Listed.Id);
    countMigrationStep(Ctx.Metrics, "begun", true);
    Ctx.Log.write("move-begun",
                  {{"request", run->F.Request.AttemptId},
                   {"from", sourceId},
                   {"to", to.Listed.Id},
                   {"cost_ms", choice.CostMs},
                   {"ms_left", base::toMs(shutdownAt(from) - Ctx.now())}});
    const bool isDone = co_await migrateTo(run, from, to);
    if (isDone)
      break;
  }
  run->IsMigrating = false;
  if (run->isRunningOn(sourceId))
    announceCopy(run, "");
  run->MigrationEnded.cancel();
  // It may have come to another server that leaves meanwhile.
  if (!run->isRunningOn(sourceId))
    migrateIfLeaving(run);
}

} // namespace drumlanding::gateway
