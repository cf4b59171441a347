#include "forwarder.h"

#include "gateway-metrics.h"
#include "stream-forwarder.h"
#include "suspect-requests.h"

namespace drumlanding::gateway {
namespace {

using base::Reason;
using base::Verdict;

http::Response plainTextResponse(int status, std::string text) {
  return {status, "text/plain", std::move(text), {}};
}

/// Time an engine takes per token, from its data sheet: 7 ms per step plus 0.12
/// ms for each of about ten running generations.
constexpr double MsPerToken = 8.5;

/// Bounds the evidence that one request may add. Prompts have a few parts.
constexpr std::size_t MaxTrackedParts = 32;

/// Returns the expected duration of a stream; 0 for plain calls.
base::Duration expectedStreamDuration(const ForwardedRequest &f) {
  if (f.MatchedRoute->Kind != RequestKind::Stream)
    return base::Duration(0);
  const double tokens = std::min(f.Request.ExpectedTokens, f.Request.MaxTokens);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(tokens * MsPerToken));
}

} // namespace

asio::awaitable<void> Forwarder::serve(http::Request http, http::Exchange &x) {
  auto f = std::make_shared<ForwardedRequest>(
      Ctx, Ctx.Codec.DecodeRequest(std::move(http)));
  f->ReceivedAt = Ctx.now();
  if (Ctx.IsLeaving)
    x.closeAfterResponse();
  if (auto response = admit(*f)) {
    Ctx.Codec.AddAttemptId(f->Request, *response);
    logRequestEnd(*f, response->Status, "not admitted");
    co_await x.send(std::move(*response));
    co_return;
  }
  ++Ctx.OpenRequests;
  OpenRequests.insert(f.get());
  f->startDeadlineTimer();
  std::weak_ptr<ForwardedRequest> weak = f;
  x.onDisconnect([weak] {
    const auto forwarding = weak.lock();
    if (forwarding)
      forwarding->abort(AbortReason::CallerDisconnected);
  });
  Ctx.Budget.recordFirstSend(f->ReceivedAt, f->ChosenService->Name);
  if (f->MatchedRoute->Kind == RequestKind::Stream)
    co_await forwardStream(*f, x, Migrations);
  else
    co_await forwardCall(*f, x);
  endTurn(*f);
  f->DeadlineTimer.cancel();
  f->closeConnection();
  OpenRequests.erase(f.get());
  --Ctx.OpenRequests;
}

void Forwarder::abortAll(AbortReason reason) {
  for (ForwardedRequest *request : OpenRequests)
    request->abort(reason);
}

std::optional<http::Response> Forwarder::admit(ForwardedRequest &f) {
  if (!Ctx.Routes)
    return makeRefusal(f, Verdict::NotRun, Reason::NotReady);
  f.Routes = Ctx.Routes;
  f.MatchedRoute = f.Routes->find(f.Request.Host, f.Request.Http.path());
  if (!f.MatchedRoute)
    return plainTextResponse(404, "No route has this host and path.\n");
  f.CallerOrganisation = f.Routes->organisationOf(f.Request.Key);
  if (f.Routes->needsKeys() && !f.MatchedRoute->IsPublic &&
      !f.CallerOrganisation)
    return plainTextResponse(401, "The key is missing or unknown.\n");
  if (f.Request.AttemptId.empty())
    return plainTextResponse(400, "The request has no attempt id.\n");
  f.ChosenService =
      f.Routes->config().service(chooseService(*f.MatchedRoute, Ctx.Random));
  if (!f.ChosenService)
    return makeRefusal(f, Verdict::NotRun, Reason::UnknownService);
  const base::milliseconds timeout =
      std::min(f.Request.Timeout.value_or(f.MatchedRoute->Timeout),
               f.MatchedRoute->Timeout);
  f.Deadline = f.ReceivedAt + timeout;
  if (f.Request.SharedPromptParts.size() > MaxTrackedParts)
    f.Request.SharedPromptParts.resize(MaxTrackedParts);
  for (const std::string &id : f.Request.SharedPromptParts)
    f.PartFingerprints.push_back(makePartFingerprint(f.organisation(), id));
  if (Ctx.IsLeaving && mayOutlastStop(f))
    return makeRefusal(f, Verdict::NotRun, Reason::Leaving);
  return std::nullopt;
}

/// Returns whether the request would be interrupted when this gateway exits;
/// another gateway can complete it. After the load balancer has removed this
/// gateway, any request that has time until then may.
bool Forwarder::mayOutlastStop(const ForwardedRequest &f) const {
  const base::Instant end = Ctx.isBalancerRemovalPending()
                                ? f.ReceivedAt + expectedStreamDuration(f)
                                : f.Deadline;
  return end > Ctx.stopDeadline();
}

const Server *Forwarder::chooseServer(ForwardedRequest &f) {
  return Ctx.Placer.chooseForRequest(Ctx.now(), f.ChosenService->Name,
                                     f.TriedServers, Ctx.Random);
}

asio::awaitable<Attempt> Forwarder::attemptCall(ForwardedRequest &f,
                                                Server server) {
  Attempt attempt;
  f.Connection = co_await connectTo(f, server);
  if (!f.Connection) {
    attempt.Cause = "no connection";
    co_return attempt;
  }
  if (f.isAborted()) {
    attempt.Cause = "over before it was sent";
    co_return attempt;
  }
  ++f.Sends;
  attempt.End = AttemptOutcome::Incomplete;
  attempt.Cause = "no whole answer";
  sendTo(f, server, std::nullopt);
  auto head = co_await readMatchingHead(f, server);
  if (!head)
    co_return attempt;
  auto body = co_await readBody(f);
  if (!body)
    co_return attempt;
  attempt.End = classifyResponse(*head);
  attempt.Cause = "answered";
  attempt.Response = CompleteResponse{std::move(*head), std::move(*body)};
  co_return attempt;
}

/// Returns the server to send the request to next. When there is none, or the
/// request may not be sent, answers it and returns nullopt.
asio::awaitable<std::optional<Server>>
Forwarder::nextServer(ForwardedRequest &f, http::Exchange &x) {
  const Turn turn = co_await waitForTurn(f);
  if (f.hasCallerDisconnected()) {
    logRequestEnd(f, 0, "caller left");
    co_return std::nullopt;
  }
  if (turn != Turn::Granted) {
    http::Response response = refuseSuspect(f, turn);
    logRequestEnd(f, response.Status, "suspect");
    co_await x.send(std::move(response));
    co_return std::nullopt;
  }
  const Server *next = chooseServer(f);
  const auto wait = logReachedLimits(f, next);
  if (next)
    co_return *next;
  http::Response response = makeNoServerRefusal(f, wait);
  logRequestEnd(f, response.Status, wait ? "request limits" : "no server");
  co_await x.send(std::move(response));
  co_return std::nullopt;
}

asio::awaitable<void> Forwarder::forwardCall(ForwardedRequest &f,
                                             http::Exchange &x) {
  for (;;) {
    const std::optional<Server> next = co_await nextServer(f, x);
    if (!next)
      co_return;
    const Server server = *next;
    const std::string id = server.Listed.Id;
    countTowardsLimit(Ctx, id);
    Ctx.Servers.requestStarted(id);
    Attempt attempt = co_await attemptCall(f, server);
    Ctx.Servers.requestEnded(id);
    f.closeConnection();
    f.TriedServers.push_back(id);
    recordOutcome(f, id, attempt);
    if (attempt.End == AttemptOutcome::Incomplete)
      recordUnanswered(f, server);
    else if (isCompleted(attempt.End))
      recordCompleted(f, server, attempt.End);
    Ctx.Log.write("attempt-ended", {{"request", f.Request.AttemptId},
                                    {"server", id},
                                    {"end", static_cast<int>(attempt.End)},
                                    {"why", attempt.Cause}});
    const bool hasServer = chooseServer(f) != nullptr;
    const Step step = decideNextStep(f, attempt, hasServer);
    if (attempt.End == AttemptOutcome::Incomplete ||
        attempt.End == AttemptOutcome::Failed)
      f.MayHaveRun = true;
    if (step == Step::TryAnother)
      continue;
    if (f.hasCallerDisconnected()) {
      logRequestEnd(f, 0, "caller left");
      co_return;
    }
    http::Response response;
    if (step == Step::Deliver)
      response = toResponse(std::move(*attempt.Response));
    else if (step == Step::RefuseNotRun)
      response = makeRefusal(f, Verdict::NotRun, Reason::Overloaded);
    else
      response = makeRefusal(f, Verdict::MayHaveRun,
                             lossReason(f, Reason::BackendServerLost));
    logRequestEnd(f, response.Status, attempt.Cause);
    co_await x.send(std::move(response));
    co_return;
  }
}

void Forwarder::logRequestEnd(const ForwardedRequest &f, int status,
                              std::string_view cause) {
  Ctx.Log.write(
      "request-ended",
      {{"request", f.Request.AttemptId},
       {"route", f.MatchedRoute ? std::string_view(f.MatchedRoute->Name) : ""},
       {"status", status},
       {"why", cause},
       {"sends", f.Sends},
       {"ms", base::toMs(Ctx.now() - f.ReceivedAt)}});
  countCall(Ctx.Metrics,
            {f.MatchedRoute ? std::string_view(f.MatchedRoute->Name) : "",
             status, Ctx.now() - f.ReceivedAt});
}

} // namespace drumlanding::gateway
