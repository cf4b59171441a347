#include "stream-forwarder.h"

#include "gateway-metrics.h"

#include "drumlanding/base/hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::gateway {
namespace {

using base::Reason;
using base::Verdict;

constexpr int Fine = 200;

/// A stream on its way; the functions below are its steps.
class StreamForwarder {
public:
  StreamForwarder(Forwarding &f, http::Exchange &x, Mover &mover)
      : F(f), W(f.W), X(x), Moves(mover),
        Run(std::make_shared<StreamRun>(f.shared_from_this())) {
    Run->Id = base::hash64(f.Request.AttemptId);
  }

  asio::awaitable<void> run() {
    Moves.add(Run);
    const bool isOpen = co_await open();
    if (isOpen)
      co_await passEvents();
    Moves.remove(Run);
    leaveLedger();
  }

private:
  asio::awaitable<bool> open();
  asio::awaitable<Attempt> tryOpen(Server server);
  asio::awaitable<void> passEvents();
  asio::awaitable<bool> pass(std::string events);
  asio::awaitable<bool> recover();
  asio::awaitable<bool> continueAt(Server server, ResumePoint from);
  void enterLedger(const std::string &server);
  void leaveLedger();
  void tellIfLeaving();
  void logEnd(std::string_view how);

  Forwarding &F;
  World &W;
  http::Exchange &X;
  Mover &Moves;
  StreamRunPointer Run;
  ServerResponse Head;
  bool IsHeadSent = false;
  base::Instant LastEvent{};
  /// From the request to its first event; 0 before that.
  base::Duration FirstEvent{0};
  base::Duration LongestPause{0};
};

void StreamForwarder::enterLedger(const std::string &server) {
  Run->Server = server;
  Run->CopyServer.clear();
  TrackedRun run = Run->ledgerRun();
  run.StartedAt = W.now();
  W.Runs.upsert(run);
  if (W.TellPeers)
    W.TellPeers();
}

void StreamForwarder::leaveLedger() {
  W.Runs.remove(Run->Id);
  tellIfLeaving();
  Run->Server.clear();
}

/// Other runs on a server that leaves wait for their turn to move.
void StreamForwarder::tellIfLeaving() {
  const Server *server = W.Servers.find(Run->Server);
  if (server && server->IsLeaving && W.TellPeers)
    W.TellPeers();
}

asio::awaitable<Attempt> StreamForwarder::tryOpen(Server server) {
  Attempt attempt;
  F.Connection = co_await connectTo(F, server);
  if (!F.Connection || F.isOver()) {
    attempt.Why = "no connection";
    co_return attempt;
  }
  ++F.Sends;
  attempt.End = AttemptOutcome::Incomplete;
  attempt.Why = "no head";
  sendTo(F, server, std::nullopt);
  auto head = co_await readOwnHead(F);
  if (!head)
    co_return attempt;
  Head = std::move(*head);
  attempt.End = endOf(Head);
  attempt.Why = "answered";
  if (attempt.End == AttemptOutcome::Served && Head.Status == Fine)
    co_return attempt;
  auto body = co_await readBody(F);
  if (!body) {
    attempt.End = AttemptOutcome::Incomplete;
    attempt.Why = "a failure that is not whole";
    co_return attempt;
  }
  attempt.Answer = WholeAnswer{Head, std::move(*body)};
  co_return attempt;
}

/// Finds a server that takes the stream; false when the request is over.
asio::awaitable<bool> StreamForwarder::open() {
  for (;;) {
    const Demand demand{F.Request.PromptTokens, F.Request.ExpectedTokens};
    const Choice choice =
        W.Placing.chooseForGeneration(W.now(), *F.TheService, demand, F.Tried);
    if (!choice.Chosen) {
      logEnd("no server");
      http::Response response =
          refusal(F, Verdict::NotRun, Reason::NoBackendServer);
      co_await X.send(std::move(response));
      co_return false;
    }
    const Server server = *choice.Chosen;
    const std::string id = server.Listed.Id;
    W.Log.write("placed", {{"request", F.Request.AttemptId},
                           {"server", id},
                           {"candidates", choice.Candidates},
                           {"cost_ms", choice.CostMs},
                           {"running", choice.Load.Running},
                           {"forecast_tokens", choice.Load.ForecastTokens},
                           {"prompt_tokens", F.Request.PromptTokens},
                           {"expected_tokens", F.Request.ExpectedTokens}});
    enterLedger(id);
    W.Servers.requestStarted(id);
    Attempt attempt = co_await tryOpen(server);
    W.Servers.requestEnded(id);
    F.Tried.push_back(id);
    bool isOpen = attempt.End == AttemptOutcome::Served && !attempt.Answer;
    // A move may have taken the run away before it answered.
    if (attempt.End == AttemptOutcome::Incomplete)
      isOpen = co_await recover();
    if (isOpen) {
      noteOutcome(F, id, attempt);
      co_return true;
    }
    leaveLedger();
    noteOutcome(F, id, attempt);
    F.stop();
    const bool hasServer =
        W.Placing.chooseForGeneration(W.now(), *F.TheService, demand, F.Tried)
            .Chosen != nullptr;
    const Step step = stepAfter(F, attempt, hasServer);
    if (attempt.End == AttemptOutcome::Incomplete ||
        attempt.End == AttemptOutcome::Failed)
      F.MayHaveRun = true;
    if (step == Step::TryAnother)
      continue;
    logEnd(attempt.Why);
    if (F.HasCallerLeft)
      co_return false;
    http::Response response;
    if (step == Step::Deliver)
      response = toResponse(std::move(*attempt.Answer));
    else if (step == Step::RefuseNotRun)
      response = refusal(F, Verdict::NotRun, Reason::Overloaded);
    else
      response = refusal(F, Verdict::MayHaveRun,
                         F.IsLate ? Reason::Expired : Reason::EngineLost);
    co_await X.send(std::move(response));
    co_return false;
  }
}

asio::awaitable<bool> StreamForwarder::pass(std::string events) {
  if (events.empty())
    co_return true;
  const base::Instant now = W.now();
  if (LastEvent == base::Instant{})
    FirstEvent = now - F.ReceivedAt;
  else
    LongestPause = std::max(LongestPause, now - LastEvent);
  LastEvent = now;
  W.Runs.updateProgress(Run->Id, Run->madeTokens());
  if (!IsHeadSent)
    tellIfLeaving();
  if (!IsHeadSent) {
    IsHeadSent = true;
    if (!co_await X.beginBody(Head.Status, Head.Headers))
      co_return false;
  }
  co_return co_await X.body(std::move(events));
}

asio::awaitable<void> StreamForwarder::passEvents() {
  for (;;) {
    auto piece = co_await F.Connection->read();
    if (ok(piece) && !value(piece).empty()) {
      std::string events = Run->Events.feed(value(piece));
      if (!co_await pass(std::move(events))) {
        logEnd("caller left");
        co_return;
      }
      continue;
    }
    const bool isEnd = ok(piece) && !Run->Events.hasPartialEvent();
    if (isEnd) {
      if (!IsHeadSent)
        co_await X.beginBody(Head.Status, Head.Headers);
      co_await X.endBody();
      logEnd("whole");
      co_return;
    }
    const bool goesOn = co_await recover();
    if (goesOn)
      continue;
    logEnd("broken off");
    if (IsHeadSent || F.HasCallerLeft)
      co_return;
    http::Response response =
        refusal(F, Verdict::MayHaveRun,
                F.IsLate ? Reason::Expired : Reason::EngineLost);
    co_await X.send(std::move(response));
    co_return;
  }
}

/// Goes on at another server after a connection's end; false when it cannot.
asio::awaitable<bool> StreamForwarder::recover() {
  while (Run->IsMoving && !F.isOver()) {
    boost::system::error_code ec;
    co_await Run->MoveEnded.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  if (F.isOver() || !Run->Next)
    co_return false;
  ResumePoint from = *Run->Next;
  Run->Next.reset();
  const std::string source = Run->Server;
  const Server *server = W.Servers.find(Run->NextServer);
  if (server) {
    const bool isDone = co_await continueAt(*server, from);
    if (isDone)
      co_return true;
  }
  // The source has stopped and keeps the memory for a while.
  const Server *stopped = W.Servers.find(source);
  if (!stopped || source == Run->NextServer || F.isOver())
    co_return false;
  co_return co_await continueAt(*stopped, from);
}

asio::awaitable<bool> StreamForwarder::continueAt(Server server,
                                                  ResumePoint from) {
  F.stop();
  F.Connection = co_await connectTo(F, server);
  if (!F.Connection || F.isOver())
    co_return false;
  Run->Events.discardPartialEvent();
  from.LastEventId = Run->Events.lastId().value_or(0);
  sendTo(F, server, from);
  const auto head = co_await readOwnHead(F);
  const bool isTaken = head && head->Status == Fine;
  countMove(W.Metrics, "continued", isTaken);
  W.Log.write("move-continued",
              {{"request", F.Request.AttemptId},
               {"server", server.Listed.Id},
               {"status", head ? head->Status : 0},
               {"last_event", from.LastEventId},
               {"ms_since_event", base::toMs(W.now() - LastEvent)}});
  if (!isTaken)
    co_return false;
  if (!IsHeadSent)
    Head = *head;
  enterLedger(server.Listed.Id);
  Moves.moveIfLeaving(Run);
  co_return true;
}

void StreamForwarder::logEnd(std::string_view how) {
  W.Log.write("stream-ended", {{"request", F.Request.AttemptId},
                               {"route", F.TheRoute->Name},
                               {"server", Run->Server},
                               {"how", how},
                               {"events", Run->Events.eventCount()},
                               {"longest_pause_ms", base::toMs(LongestPause)},
                               {"ms", base::toMs(W.now() - F.ReceivedAt)}});
  countStream(W.Metrics, {F.TheRoute->Name, how, FirstEvent, LongestPause,
                          W.now() - F.ReceivedAt});
}

} // namespace

asio::awaitable<void> forwardStream(Forwarding &f, http::Exchange &x,
                                    Mover &mover) {
  StreamForwarder forwarder(f, x, mover);
  co_await forwarder.run();
}

} // namespace drumlanding::gateway
