#include "mover.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using daemon::sleepFor;
using Outcome = MoveAnswer::Outcome;

/// A copy this short shows that the links are free: the last one, of what is
/// made meanwhile, will be as short.
constexpr milliseconds ShortCopy{60};
/// Copies of a long prompt behind others take seconds.
constexpr milliseconds CopyLimit{4'000};
/// A run that has not begun has nothing to copy yet.
constexpr milliseconds AskAgain{60};
/// Leaving engines that say nothing else are gone this long after the notice,
/// at the earliest (shortest notice seen on the sheets: 1.5 s, less its way).
constexpr milliseconds ShortestNotice{1'400};
/// The last copy starts this long before the engine is gone.
constexpr milliseconds LastCopyMargin{250};
/// Copies while the run goes on; the last needs no more than this many before.
constexpr int MostCopies = 12;
/// Destinations tried for one run.
constexpr int MostDestinations = 3;
constexpr milliseconds ReportLimit{300};

} // namespace

std::uint32_t StreamRun::madeTokens() const {
  const int stride = F.TheService->Engine ? F.TheService->Engine->TokensPerEvent
                                          : 1;
  return static_cast<std::uint32_t>(Events.events() *
                                    static_cast<std::uint64_t>(stride));
}

Demand StreamRun::remainingDemand() const {
  LedgerRun run;
  run.ExpectedTokens = F.Request.ExpectedTokens;
  run.MostTokens = F.Request.MostTokens;
  run.MadeTokens = madeTokens();
  return {F.Request.PromptTokens + run.MadeTokens, expectedRemaining(run)};
}

void Mover::add(const StreamRunPointer &run) { Running.push_back(run); }

void Mover::remove(const StreamRunPointer &run) {
  run->IsOver = true;
  run->MoveEnded.cancel();
  Running.remove(run);
}

void Mover::leave(const Server &server) {
  bool hasRuns = false;
  for (const StreamRunPointer &run : Running) {
    if (run->Server != server.Listed.Id)
      continue;
    hasRuns = true;
    moveIfLeaving(run);
  }
  if (hasRuns)
    asio::co_spawn(W.Io, askWhenGone(server.Listed.Id), asio::detached);
}

void Mover::moveIfLeaving(const StreamRunPointer &run) {
  const Server *source = W.Servers.find(run->Server);
  const auto &engine = run->F.TheService->Engine;
  if (!source || !source->IsLeaving || !engine || !engine->CanMove ||
      run->IsMoving || run->IsOver)
    return;
  run->IsMoving = true;
  asio::co_spawn(W.Io, move(run, run->Server), asio::detached);
}

asio::awaitable<void> Mover::askWhenGone(std::string id) {
  const Server *server = W.Servers.find(id);
  if (!server)
    co_return;
  const base::Endpoint at = server->Listed.Address;
  http::Fetched fetched =
      co_await http::fetch(at, W.Words.ToReport(), ReportLimit);
  if (!ok(fetched.Answer))
    co_return;
  const auto report = W.Words.ReadReport(value(fetched.Answer));
  if (!ok(report) || !value(report).LeavesIn)
    co_return;
  W.Servers.setGoneAt(id, W.now() + *value(report).LeavesIn);
  W.Log.write("server-leaves-in",
              {{"server", id}, {"ms", value(report).LeavesIn->count()}});
}

base::Instant Mover::lastCopyTime(const Server &source) const {
  const Server *server = W.Servers.find(source.Listed.Id);
  if (server && server->GoneAt != base::Instant{})
    return server->GoneAt - LastCopyMargin;
  return source.LeavingSince + ShortestNotice - LastCopyMargin;
}

asio::awaitable<MoveAnswer> Mover::copy(StreamRunPointer run, Server source,
                                        Server destination, bool isLast) {
  const MoveOrder order{run->F.Request.AttemptId, destination.Listed.Address,
                        isLast};
  http::Request request = W.Words.ToMove(order);
  http::Fetched fetched = co_await http::fetch(source.Listed.Address,
                                               std::move(request), CopyLimit);
  co_return W.Words.ReadMove(fetched.Answer);
}

/// Copies until the links are free or the time has come; false when the
/// destination takes nothing or the run is over.
asio::awaitable<bool> Mover::copyWhileRunning(StreamRunPointer run,
                                              Server source,
                                              Server destination) {
  for (int i = 0; i < MostCopies; ++i) {
    const base::Instant asked = W.now();
    const MoveAnswer answer = co_await copy(run, source, destination, false);
    const base::Instant now = W.now();
    W.Log.write("move-copied", {{"request", run->F.Request.AttemptId},
                                {"to", destination.Listed.Id},
                                {"outcome", static_cast<int>(answer.What)},
                                {"ms", base::toMs(now - asked)}});
    if (run->IsOver) {
      if (answer.What == Outcome::Copied)
        co_await freeCopy(source.Listed.Address, answer.Handle);
      co_return false;
    }
    if (answer.What == Outcome::NoRoom || answer.What == Outcome::Failed)
      co_return false;
    const bool isFree =
        answer.What == Outcome::Copied && now - asked < ShortCopy;
    if (isFree || (answer.What == Outcome::Copied &&
                   now >= lastCopyTime(source)))
      co_return true;
    if (answer.What != Outcome::Copied)
      co_await sleepFor(AskAgain);
  }
  co_return true;
}

asio::awaitable<void> Mover::freeCopy(base::Endpoint at, std::string handle) {
  http::Request request = W.Words.ToFreeCopy(handle);
  co_await http::fetch(at, std::move(request), ReportLimit);
}

asio::awaitable<void> Mover::move(StreamRunPointer run, std::string sourceId) {
  std::vector<std::string> tried{sourceId};
  for (int i = 0; i < MostDestinations && !run->IsOver; ++i) {
    const Server *source = W.Servers.find(sourceId);
    if (!source)
      break;
    const Server from = *source;
    const Choice choice =
        W.Placing.forGeneration(W.now(), *run->F.TheService,
                                run->remainingDemand(), tried, from.Listed.Zone);
    if (!choice.Chosen)
      break;
    const Server to = *choice.Chosen;
    tried.push_back(to.Listed.Id);
    W.Log.write("move-begun", {{"request", run->F.Request.AttemptId},
                               {"from", sourceId},
                               {"to", to.Listed.Id},
                               {"cost_ms", choice.CostMs}});
    const bool isCopied = co_await copyWhileRunning(run, from, to);
    if (run->IsOver)
      break;
    if (!isCopied)
      continue;
    const base::Instant asked = W.now();
    const MoveAnswer answer = co_await copy(run, from, to, true);
    W.Log.write("move-stopped", {{"request", run->F.Request.AttemptId},
                                 {"outcome", static_cast<int>(answer.What)},
                                 {"events", answer.EventsMade},
                                 {"ms", base::toMs(W.now() - asked)}});
    if (answer.What == Outcome::Copied) {
      run->Next = Continuation{from.Listed.Address, answer.Handle, 0};
      run->NextServer = to.Listed.Id;
      break;
    }
    if (!answer.Handle.empty()) {
      // The source has stopped and kept the memory: it goes on there.
      run->Next = Continuation{from.Listed.Address, answer.Handle, 0};
      run->NextServer = sourceId;
      break;
    }
  }
  run->IsMoving = false;
  run->MoveEnded.cancel();
}

} // namespace drumlanding::gateway
