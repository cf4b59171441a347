#include "migrator.h"

#include "gateway-metrics.h"
#include "server-call.h"
#include "suspect-requests.h"

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/gateway/copy-sequence.h"
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

/// Copies of a long prompt that queue behind others take seconds.
constexpr milliseconds CopyTimeout{4'000};
/// Delay before the next copy request when the source has not begun the run, so
/// that there is nothing to copy yet, or is busy with another copy.
constexpr milliseconds CopyRetryInterval{60};
/// Time from an engine's notice to its shutdown when the notice gives none. The
/// shortest notice on the data sheets is 1.54 s; part of it passes while the
/// notice is on its way.
constexpr milliseconds MinShutdownNotice{1'500};
/// Time reserved for the final copy and its messages (measured: 5 to 25 ms).
constexpr milliseconds FinalCopyTime{40};
/// Maximum number of copies before the final one.
constexpr int MaxCopies = 12;
/// Maximum number of destinations tried in one migration.
constexpr int MaxDestinations = 3;
/// Timeout for the request that frees a copy.
constexpr milliseconds FreeCopyTimeout{300};
/// A run waits this long without a change among the runs on its server before
/// it proceeds out of turn. Migrating one generation takes about 250 ms, and
/// twice that between zones.
constexpr milliseconds MaxTurnTime{900};
/// Interval at which a waiting run checks its turn when no change is reported.
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
  // Its next engine would probably end too.
  if (isQuarantined(run->F))
    return;
  run->IsMigrating = true;
  asio::co_spawn(Ctx.Io, migrate(run, run->Server), asio::detached);
}

void Migrator::abandonQuarantined() {
  for (const StreamRunPointer &run : Runs) {
    ForwardedRequest &f = run->F;
    if (f.PartFingerprints.empty() || hasSurvived(f) || !isQuarantined(f))
      continue;
    f.abort(AbortReason::Abandoned);
  }
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

/// Waits until the runs that migrate before this one have left the server.
/// Stops waiting when the number of runs there has not changed for MaxTurnTime:
/// the gateway of a run that migrates first has probably failed.
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
  for (asio::steady_timer &timer : TurnTimers)
    timer.cancel();
}

asio::awaitable<CopyResponse> Migrator::copyKvCache(StreamRunPointer run,
                                                    Server source,
                                                    Server destination,
                                                    bool isLast) {
  const CopyRequest copy{run->F.Request.AttemptId, destination.Listed.Address,
                         isLast};
  http::Request request = Ctx.Codec.EncodeCopyRequest(copy);
  const base::Instant startedAt = Ctx.now();
  http::FetchResult fetched = co_await callServer(
      source.Listed.Address, std::move(request), CopyTimeout);
  CopyResponse response = Ctx.Codec.DecodeCopyResponse(fetched.Outcome);
  if (!fetched.IsConnected)
    response.Code = Outcome::NotSent;
  countMigrationStep(Ctx.Metrics, isLast ? "copied last" : "copied",
                     response.Code == Outcome::Copied);
  Ctx.Log.write("move-copied", {{"request", run->F.Request.AttemptId},
                                {"from", source.Listed.Id},
                                {"to", destination.Listed.Id},
                                {"last", isLast},
                                {"outcome", static_cast<int>(response.Code)},
                                {"events", response.EventsGenerated},
                                {"ms", base::toMs(Ctx.now() - startedAt)}});
  co_return response;
}

/// Copies the KV cache while the run continues, at most MaxCopies times, until
/// the final copy is not delayed by others on the link or only that one fits
/// before the shutdown. Returns false when the destination accepts no copy, the
/// run has left the source, or the source has ended it.
asio::awaitable<bool> Migrator::copyWhileRunning(StreamRunPointer run,
                                                 Server source,
                                                 Server destination) {
  CopySequence copies(estimateCopyTime(*run, source, destination));
  for (int i = 0; i < MaxCopies; ++i) {
    const base::Instant startedAt = Ctx.now();
    // Another copy and the final one no longer fit before the shutdown: the
    // final copy has to transfer all that is not yet at the destination.
    if (startedAt + copies.expectedTime() + FinalCopyTime > shutdownAt(source))
      co_return true;
    const CopyResponse response =
        co_await copyKvCache(run, source, destination, false);
    if (!run->isRunningOn(source.Listed.Id)) {
      if (response.Code == Outcome::Copied)
        co_await freeCopy(source.Listed.Address, response.Handle);
      co_return false;
    }
    if (response.Code == Outcome::NoRoom || response.Code == Outcome::Failed ||
        response.Code == Outcome::NotSent)
      co_return false;
    // Nothing to wait for: an earlier final copy has stopped the run.
    if (response.Code == Outcome::NoSuchRun && run->State != RunState::Running)
      co_return false;
    if (response.Code == Outcome::Copied)
      copies.recordCopy(Ctx.now() - startedAt);
    else
      co_await sleepFor(CopyRetryInterval);
    if (copies.isReadyForFinalCopy())
      co_return true;
  }
  co_return true;
}

/// Publishes the destination of a copy, so that the other gateways count it in
/// that engine's load. An empty name withdraws it.
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
  co_await callServer(at, std::move(request), FreeCopyTimeout);
}

/// Publishes that the run continues at `next`, so that the next run in the
/// migration order may start.
void Migrator::releaseTurn(const StreamRunPointer &run,
                           const std::string &next) {
  if (run->HasEnded)
    return;
  TrackedRun migrated = run->trackedRun();
  migrated.Server = next;
  migrated.CopyServer.clear();
  Ctx.Runs.upsert(migrated);
  Ctx.NotifyPeers();
}

/// Migrates a run to one destination. Returns true when the source has stopped
/// the run or the run has left it, and false when another destination may be
/// tried.
asio::awaitable<bool> Migrator::migrateTo(StreamRunPointer run, Server source,
                                          Server destination) {
  const bool isCopied = co_await copyWhileRunning(run, source, destination);
  const bool isOnSource = run->isRunningOn(source.Listed.Id);
  if (!isOnSource || !isCopied)
    co_return !isOnSource;
  const RunState before = run->State;
  run->State = RunState::MayBeStopped;
  const CopyResponse response =
      co_await copyKvCache(run, source, destination, true);
  run->State = afterFinalCopy(before, response);
  if (response.Handle.empty())
    co_return false;
  // When only the final copy failed, the source has stopped the run and kept
  // its KV cache: the run resumes there.
  const bool isComplete = response.Code == Outcome::Copied;
  run->ResumeFrom =
      ResumePoint{source.Listed.Address, response.Handle, std::nullopt};
  run->ResumeServer = isComplete ? destination.Listed.Id : source.Listed.Id;
  // Released only now: the next run's copy would delay this final, short one.
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
    countTowardsLimit(Ctx, to.Listed.Id);
    run->CountedServer = to.Listed.Id;
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
  run->F.notify();
  // The run may have resumed on a server that started leaving in the meantime.
  if (!run->isRunningOn(sourceId))
    migrateIfLeaving(run);
}

} // namespace drumlanding::gateway
