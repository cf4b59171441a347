#include "forwarder.h"

#include "gateway-metrics.h"
#include "stream-forwarder.h"

namespace drumlanding::gateway {
namespace {

using base::Reason;
using base::Verdict;

http::Response plainAnswer(int status, std::string text) {
  return {status, "text/plain", std::move(text), {}};
}

/// Time that an engine takes for a token, from its data sheet: 7 ms a step and
/// 0.12 ms for each of some ten running generations.
constexpr double MsPerToken = 8.5;

/// Returns how long a stream is expected to go on; nothing for plain calls.
base::Duration expectedTime(const Forwarding &f) {
  if (f.TheRoute->Kind != RequestKind::Stream)
    return base::Duration(0);
  const double tokens = std::min(f.Request.ExpectedTokens, f.Request.MaxTokens);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(tokens * MsPerToken));
}

} // namespace

asio::awaitable<void> Forwarder::serve(http::Request http, http::Exchange &x) {
  auto f =
      std::make_shared<Forwarding>(W, W.Words.DecodeRequest(std::move(http)));
  f->ReceivedAt = W.now();
  if (W.IsLeaving)
    x.closeAfter();
  if (auto answer = admit(*f)) {
    W.Words.AddAttemptId(f->Request, *answer);
    logEnd(*f, answer->Status, "not admitted");
    co_await x.send(std::move(*answer));
    co_return;
  }
  ++W.Open;
  f->startLimit();
  std::weak_ptr<Forwarding> weak = f;
  x.onGone([weak] {
    const auto forwarding = weak.lock();
    if (!forwarding)
      return;
    forwarding->HasCallerLeft = true;
    forwarding->stop();
  });
  W.Budget.recordFirstSend(f->ReceivedAt, f->TheService->Name);
  if (f->TheRoute->Kind == RequestKind::Stream)
    co_await forwardStream(*f, x, Moves);
  else
    co_await forwardCall(*f, x);
  f->Limit.cancel();
  f->stop();
  --W.Open;
}

std::optional<http::Response> Forwarder::admit(Forwarding &f) {
  if (!W.Routes)
    return refusal(f, Verdict::NotRun, Reason::NotReady);
  f.Routes = W.Routes;
  f.TheRoute = f.Routes->find(f.Request.Host, f.Request.Http.path());
  if (!f.TheRoute)
    return plainAnswer(404, "No route has this host and path.\n");
  f.Holder = f.Routes->organisationOf(f.Request.Key);
  if (f.Routes->needsKeys() && !f.TheRoute->IsPublic && !f.Holder)
    return plainAnswer(401, "The key is missing or unknown.\n");
  if (f.Request.AttemptId.empty())
    return plainAnswer(400, "The request has no attempt id.\n");
  f.TheService =
      f.Routes->config().service(chooseService(*f.TheRoute, W.Random));
  if (!f.TheService)
    return refusal(f, Verdict::NotRun, Reason::UnknownService);
  const base::milliseconds patience = std::min(
      f.Request.Timeout.value_or(f.TheRoute->Timeout), f.TheRoute->Timeout);
  f.Deadline = f.ReceivedAt + patience;
  // The stop would cut it: another gateway can carry it to its end.
  if (W.IsLeaving && f.ReceivedAt + expectedTime(f) > W.stopAt())
    return refusal(f, Verdict::NotRun, Reason::Leaving);
  return std::nullopt;
}

const Server *Forwarder::nextServer(Forwarding &f) {
  return W.Placing.chooseForRequest(W.now(), f.TheService->Name, f.Tried,
                                    W.Random);
}

asio::awaitable<Attempt> Forwarder::tryCall(Forwarding &f, Server server) {
  Attempt attempt;
  f.Connection = co_await connectTo(f, server);
  if (!f.Connection) {
    attempt.Why = "no connection";
    co_return attempt;
  }
  if (f.isOver()) {
    attempt.Why = "over before it was sent";
    co_return attempt;
  }
  ++f.Sends;
  attempt.End = AttemptOutcome::Incomplete;
  attempt.Why = "no whole answer";
  sendTo(f, server, std::nullopt);
  auto head = co_await readOwnHead(f);
  if (!head)
    co_return attempt;
  auto body = co_await readBody(f);
  if (!body)
    co_return attempt;
  attempt.End = endOf(*head);
  attempt.Why = "answered";
  attempt.Answer = WholeAnswer{std::move(*head), std::move(*body)};
  co_return attempt;
}

asio::awaitable<void> Forwarder::forwardCall(Forwarding &f, http::Exchange &x) {
  const Server *next = nextServer(f);
  for (;;) {
    if (!next) {
      logEnd(f, 503, "no server");
      co_await x.send(refusal(f, Verdict::NotRun, Reason::NoBackendServer));
      co_return;
    }
    const Server server = *next;
    const std::string id = server.Listed.Id;
    W.Servers.requestStarted(id);
    Attempt attempt = co_await tryCall(f, server);
    W.Servers.requestEnded(id);
    f.stop();
    f.Tried.push_back(id);
    noteOutcome(f, id, attempt);
    W.Log.write("attempt-ended", {{"request", f.Request.AttemptId},
                                  {"server", id},
                                  {"end", static_cast<int>(attempt.End)},
                                  {"why", attempt.Why}});
    next = nextServer(f);
    const Step step = stepAfter(f, attempt, next != nullptr);
    if (attempt.End == AttemptOutcome::Incomplete ||
        attempt.End == AttemptOutcome::Failed)
      f.MayHaveRun = true;
    if (step == Step::TryAnother)
      continue;
    if (f.HasCallerLeft) {
      logEnd(f, 0, "caller left");
      co_return;
    }
    http::Response response;
    if (step == Step::Deliver)
      response = toResponse(std::move(*attempt.Answer));
    else if (step == Step::RefuseNotRun)
      response = refusal(f, Verdict::NotRun, Reason::Overloaded);
    else
      response =
          refusal(f, Verdict::MayHaveRun,
                  f.IsLate ? Reason::Expired : Reason::BackendServerLost);
    logEnd(f, response.Status, attempt.Why);
    co_await x.send(std::move(response));
    co_return;
  }
}

void Forwarder::logEnd(const Forwarding &f, int status, std::string_view why) {
  W.Log.write("request-ended",
              {{"request", f.Request.AttemptId},
               {"route", f.TheRoute ? std::string_view(f.TheRoute->Name) : ""},
               {"status", status},
               {"why", why},
               {"sends", f.Sends},
               {"ms", base::toMs(W.now() - f.ReceivedAt)}});
  countCall(W.Metrics, {f.TheRoute ? std::string_view(f.TheRoute->Name) : "",
                        status, W.now() - f.ReceivedAt});
}

} // namespace drumlanding::gateway
