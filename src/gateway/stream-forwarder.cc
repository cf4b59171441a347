#include "stream-forwarder.h"

#include "gateway-metrics.h"
#include "suspect-requests.h"

#include "drumlanding/base/hash.h"

namespace drumlanding::gateway {
namespace {

using base::Reason;
using base::Verdict;

constexpr int HttpOk = 200;
/// Logged as the last event of a stream that has received none.
constexpr std::int64_t NoEvent = -1;

/// Forwards one stream: opens it at a server, relays its events, and resumes it
/// after a migration.
class StreamForwarder {
public:
  StreamForwarder(ForwardedRequest &f, http::Exchange &x, Migrator &migrator)
      : F(f), Ctx(f.Ctx), X(x), Migrations(migrator),
        Run(std::make_shared<StreamRun>(f.shared_from_this())) {
    Run->Id = base::hash64(f.Request.AttemptId);
  }

  asio::awaitable<void> run() {
    Migrations.add(Run);
    const bool isOpen = co_await openStream();
    if (isOpen)
      co_await forwardEvents();
    Migrations.remove(Run);
    unregisterRun();
  }

private:
  asio::awaitable<bool> openStream();
  asio::awaitable<Attempt> attemptOpen(Server server);
  asio::awaitable<void> forwardEvents();
  asio::awaitable<void> waitForMigration();
  asio::awaitable<bool> isWhole();
  asio::awaitable<bool> sendToCaller(std::string events);
  asio::awaitable<bool> resume();
  asio::awaitable<bool> resumeAt(Server server, ResumePoint from);
  void registerRun(const Server &server);
  void unregisterRun();
  void notifyIfLeaving();
  void logStreamEnd(std::string_view outcome);

  ForwardedRequest &F;
  GatewayContext &Ctx;
  http::Exchange &X;
  Migrator &Migrations;
  StreamRunPointer Run;
  /// The server that the run is on, and its life.
  ServerInstance RunningOn;
  ServerResponse Head;
  bool IsHeadSent = false;
  bool IsSurvivalRecorded = false;
  base::Instant LastEventAt{};
  /// Time from the request to the first event; 0 until the first event arrives.
  base::Duration TimeToFirstEvent{0};
  base::Duration MaxPause{0};
};

void StreamForwarder::registerRun(const Server &server) {
  RunningOn = {server.Listed.Id, server.Listed.StartedAt};
  Run->Server = server.Listed.Id;
  Run->CopyServer.clear();
  TrackedRun run = Run->trackedRun();
  run.StartedAt = Ctx.now();
  Ctx.Runs.upsert(run);
  if (Ctx.NotifyPeers)
    Ctx.NotifyPeers();
}

void StreamForwarder::unregisterRun() {
  Ctx.Runs.remove(Run->Id);
  notifyIfLeaving();
  Run->Server.clear();
}

/// Notifies the peers of this run's progress if its server is leaving. Runs
/// migrate off a leaving server one after another, so the next one may have
/// been waiting for this change.
void StreamForwarder::notifyIfLeaving() {
  const Server *server = Ctx.Servers.find(Run->Server);
  if (server && server->IsLeaving && Ctx.NotifyPeers)
    Ctx.NotifyPeers();
}

asio::awaitable<Attempt> StreamForwarder::attemptOpen(Server server) {
  Attempt attempt;
  F.Connection = co_await connectTo(F, server);
  if (!F.Connection || F.isAborted()) {
    attempt.Cause = "no connection";
    co_return attempt;
  }
  ++F.Sends;
  attempt.End = AttemptOutcome::Incomplete;
  attempt.Cause = "no head";
  sendTo(F, server, std::nullopt);
  auto head = co_await readMatchingHead(F, server);
  if (!head)
    co_return attempt;
  Head = std::move(*head);
  attempt.End = classifyResponse(Head);
  attempt.Cause = "answered";
  if (attempt.End == AttemptOutcome::Served && Head.Status == HttpOk)
    co_return attempt;
  auto body = co_await readBody(F);
  if (!body) {
    attempt.End = AttemptOutcome::Incomplete;
    attempt.Cause = "a failure that is not whole";
    co_return attempt;
  }
  attempt.Response = CompleteResponse{Head, std::move(*body)};
  co_return attempt;
}

/// Opens the stream at a server, retrying as the attempt policy allows. Returns
/// false when the request has been answered or aborted.
asio::awaitable<bool> StreamForwarder::openStream() {
  for (;;) {
    const Turn turn = co_await waitForTurn(F);
    if (F.hasCallerDisconnected()) {
      logStreamEnd("caller left");
      co_return false;
    }
    if (turn != Turn::Granted) {
      logStreamEnd("suspect");
      co_await X.send(refuseSuspect(F, turn));
      co_return false;
    }
    const Demand demand{F.Request.PromptTokens, F.Request.ExpectedTokens};
    const Choice choice = Ctx.Placer.chooseForGeneration(
        Ctx.now(), *F.ChosenService, demand, F.TriedServers);
    const auto wait = logReachedLimits(F, choice.Chosen);
    if (!choice.Chosen) {
      logStreamEnd(wait ? "request limits" : "no server");
      co_await X.send(makeNoServerRefusal(F, wait));
      co_return false;
    }
    const Server server = *choice.Chosen;
    const std::string id = server.Listed.Id;
    Ctx.Log.write("placed", {{"request", F.Request.AttemptId},
                             {"server", id},
                             {"candidates", choice.Candidates},
                             {"cost_ms", choice.CostMs},
                             {"running", choice.Load.Running},
                             {"forecast_tokens", choice.Load.ForecastTokens},
                             {"parts", F.sharedPartsText()},
                             {"prompt_tokens", F.Request.PromptTokens},
                             {"expected_tokens", F.Request.ExpectedTokens}});
    countTowardsLimit(Ctx, id);
    registerRun(server);
    Ctx.Servers.requestStarted(id);
    Attempt attempt = co_await attemptOpen(server);
    Ctx.Servers.requestEnded(id);
    F.TriedServers.push_back(id);
    bool isOpen = attempt.End == AttemptOutcome::Served && !attempt.Response;
    // The connection may have ended because the run migrated before the server
    // sent a response head.
    if (attempt.End == AttemptOutcome::Incomplete)
      isOpen = co_await resume();
    if (isOpen) {
      recordOutcome(F, id, attempt);
      co_return true;
    }
    unregisterRun();
    recordOutcome(F, id, attempt);
    if (attempt.End == AttemptOutcome::Incomplete)
      recordUnanswered(F, server);
    else if (isCompleted(attempt.End))
      recordCompleted(F, server, attempt.End);
    F.closeConnection();
    const bool hasServer = Ctx.Placer
                               .chooseForGeneration(Ctx.now(), *F.ChosenService,
                                                    demand, F.TriedServers)
                               .Chosen != nullptr;
    const Step step = decideNextStep(F, attempt, hasServer);
    if (attempt.End == AttemptOutcome::Incomplete ||
        attempt.End == AttemptOutcome::Failed)
      F.MayHaveRun = true;
    if (step == Step::TryAnother)
      continue;
    logStreamEnd(attempt.Cause);
    if (F.hasCallerDisconnected())
      co_return false;
    http::Response response;
    if (step == Step::Deliver)
      response = toResponse(std::move(*attempt.Response));
    else if (step == Step::RefuseNotRun)
      response = makeRefusal(F, Verdict::NotRun, Reason::Overloaded);
    else
      response = makeRefusal(F, Verdict::MayHaveRun,
                             lossReason(F, Reason::EngineLost));
    co_await X.send(std::move(response));
    co_return false;
  }
}

asio::awaitable<bool> StreamForwarder::sendToCaller(std::string events) {
  if (events.empty())
    co_return true;
  const base::Instant now = Ctx.now();
  if (LastEventAt == base::Instant{}) {
    TimeToFirstEvent = now - F.ReceivedAt;
    F.BeganAt = now;
  } else {
    MaxPause = std::max(MaxPause, now - LastEventAt);
  }
  LastEventAt = now;
  Ctx.Runs.updateProgress(Run->Id, Run->generatedTokens());
  if (!IsHeadSent)
    notifyIfLeaving();
  if (!IsHeadSent) {
    IsHeadSent = true;
    if (!co_await X.beginBody(Head.Status, Head.Headers))
      co_return false;
  }
  co_return co_await X.body(std::move(events));
}

asio::awaitable<void> StreamForwarder::waitForMigration() {
  co_await F.waitUntil([this] { return !Run->IsMigrating; });
}

/// Returns whether a body that has ended is the whole stream. One without a
/// delimiter also ends when a migration has stopped the run.
asio::awaitable<bool> StreamForwarder::isWhole() {
  if (Run->Events.hasPartialEvent())
    co_return false;
  if (F.IsResponseDelimited)
    co_return true;
  if (Run->State != RunState::Running)
    co_await waitForMigration();
  co_return F.BeganAt && Run->State == RunState::Running;
}

asio::awaitable<void> StreamForwarder::forwardEvents() {
  for (;;) {
    auto piece = co_await F.Connection->read();
    if (ok(piece) && !value(piece).empty()) {
      recordServerResponse(Ctx, RunningOn);
      if (!IsSurvivalRecorded && hasSurvived(F)) {
        IsSurvivalRecorded = true;
        recordSurvival(F);
      }
      std::string events = Run->Events.feed(value(piece));
      if (!co_await sendToCaller(std::move(events))) {
        logStreamEnd("caller left");
        co_return;
      }
      if (!Run->Events.isTooLarge())
        continue;
      piece = base::Error{base::ErrorCode::TooLarge, Run->Server, "event"};
      F.closeConnection();
    }
    const bool isEnd = ok(piece) && co_await isWhole();
    if (isEnd) {
      if (!IsHeadSent)
        co_await X.beginBody(Head.Status, Head.Headers);
      co_await X.endBody();
      if (const Server *server = Ctx.Servers.find(Run->Server))
        recordCompleted(F, *server, AttemptOutcome::Served);
      logStreamEnd("whole");
      co_return;
    }
    F.ReadError = ok(piece) ? base::ErrorCode::Closed : error(piece).Code;
    const bool isResumed = co_await resume();
    if (isResumed)
      continue;
    if (const Server *server = Ctx.Servers.find(Run->Server))
      recordUnanswered(F, *server);
    logStreamEnd("broken off");
    if (IsHeadSent || F.hasCallerDisconnected())
      co_return;
    http::Response response =
        makeRefusal(F, Verdict::MayHaveRun, lossReason(F, Reason::EngineLost));
    co_await X.send(std::move(response));
    co_return;
  }
}

/// Resumes the stream after its connection has ended: at the migration's
/// destination, or at the source when the destination fails. Returns false when
/// the stream cannot be resumed.
asio::awaitable<bool> StreamForwarder::resume() {
  co_await waitForMigration();
  if (F.isAborted() || !Run->ResumeFrom)
    co_return false;
  ResumePoint from = *Run->ResumeFrom;
  Run->ResumeFrom.reset();
  const std::string source = Run->Server;
  const Server *server = Ctx.Servers.find(Run->ResumeServer);
  if (server) {
    const bool isDone = co_await resumeAt(*server, from);
    if (isDone)
      co_return true;
  }
  // The source has stopped the run and keeps its KV cache for a limited time.
  const Server *stopped = Ctx.Servers.find(source);
  if (!stopped || source == Run->ResumeServer || F.isAborted())
    co_return false;
  co_return co_await resumeAt(*stopped, from);
}

asio::awaitable<bool> StreamForwarder::resumeAt(Server server,
                                                ResumePoint from) {
  F.closeConnection();
  F.Connection = co_await connectTo(F, server);
  if (!F.Connection || F.isAborted())
    co_return false;
  Run->Events.discardPartialEvent();
  from.LastEventId = Run->Events.lastId();
  if (server.Listed.Id != Run->CountedServer)
    countTowardsLimit(Ctx, server.Listed.Id);
  Run->CountedServer.clear();
  sendTo(F, server, from);
  const auto head = co_await readMatchingHead(F, server);
  const bool isAccepted = head && head->Status == HttpOk;
  countMigrationStep(Ctx.Metrics, "continued", isAccepted);
  Ctx.Log.write("move-continued",
                {{"request", F.Request.AttemptId},
                 {"server", server.Listed.Id},
                 {"status", head ? head->Status : 0},
                 {"last_event", from.LastEventId.value_or(NoEvent)},
                 {"ms_since_event", base::toMs(Ctx.now() - LastEventAt)}});
  if (!isAccepted)
    co_return false;
  if (!IsHeadSent)
    Head = *head;
  Run->State = RunState::Running;
  registerRun(server);
  Migrations.migrateIfLeaving(Run);
  co_return true;
}

void StreamForwarder::logStreamEnd(std::string_view outcome) {
  Ctx.Log.write("stream-ended", {{"request", F.Request.AttemptId},
                                 {"route", F.MatchedRoute->Name},
                                 {"server", Run->Server},
                                 {"how", outcome},
                                 {"events", Run->Events.eventCount()},
                                 {"longest_pause_ms", base::toMs(MaxPause)},
                                 {"ms", base::toMs(Ctx.now() - F.ReceivedAt)}});
  countStream(Ctx.Metrics, {F.MatchedRoute->Name, outcome, TimeToFirstEvent,
                            MaxPause, Ctx.now() - F.ReceivedAt});
}

} // namespace

asio::awaitable<void> forwardStream(ForwardedRequest &f, http::Exchange &x,
                                    Migrator &migrator) {
  StreamForwarder forwarder(f, x, migrator);
  co_await forwarder.run();
}

} // namespace drumlanding::gateway
