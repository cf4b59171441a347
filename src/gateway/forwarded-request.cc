#include "forwarded-request.h"

#include "gateway-metrics.h"
#include "suspect-requests.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::Reason;
using base::Verdict;

/// Added to the deadline so that the response of a server that answers at its
/// own time limit still arrives.
constexpr milliseconds DeadlineSlack{100};
/// Connecting takes a few ms. A lost SYN is sent again only after 1 s; trying
/// another server is faster.
constexpr milliseconds ConnectTimeout{400};
/// Maximum number of late responses to earlier requests that are skipped.
constexpr int MaxForeignResponses = 3;
/// With less time remaining, another attempt is unlikely to succeed and only
/// adds load.
constexpr milliseconds MinAttemptTime{20};
/// Retry-After for all other reasons, such as no available server.
constexpr milliseconds DefaultRetryAfter{250};
/// Retry-After while the gateway has no config: it first has to read one from
/// the store or from a peer.
constexpr milliseconds NotReadyRetryAfter{1'000};
/// Shortest Retry-After; less is rounded to zero.
constexpr milliseconds MinRetryAfter{10};
/// Retry-After when this gateway is stopping: another gateway can serve the
/// request immediately.
constexpr milliseconds LeavingRetryAfter{20};

milliseconds retryAfter(Reason reason) {
  if (reason == Reason::NotReady)
    return NotReadyRetryAfter;
  return reason == Reason::Leaving ? LeavingRetryAfter : DefaultRetryAfter;
}
/// Prompts have a few parts; more would not fit into a line of the log.
constexpr std::size_t MaxLoggedParts = 16;
constexpr int HighestPriority = 0;
constexpr int LowestPriority = 9;
/// Number of route priorities within each organisation priority.
constexpr int RoutePriorityLevels = 3;

} // namespace

int ForwardedRequest::priority() const {
  const int own =
      std::clamp(MatchedRoute->Priority, 0, RoutePriorityLevels - 1);
  const int first = CallerOrganisation && CallerOrganisation->Priority
                        ? *CallerOrganisation->Priority
                        : 0;
  return std::clamp(first * RoutePriorityLevels + own, HighestPriority,
                    LowestPriority);
}

const RequestFingerprint &ForwardedRequest::fingerprint() {
  if (!Fingerprint)
    Fingerprint = makeFingerprint(Request, organisation());
  return *Fingerprint;
}

std::string ForwardedRequest::sharedPartsText() const {
  const auto &ids = Request.SharedPromptParts;
  const std::size_t n = std::min(ids.size(), MaxLoggedParts);
  return fmt::format("{}{}", fmt::join(ids.begin(), ids.begin() + n, ","),
                     n < ids.size() ? ",..." : "");
}

void ForwardedRequest::closeConnection() {
  if (Connection)
    Connection->close();
}

void ForwardedRequest::startDeadlineTimer() {
  DeadlineTimer.expires_at(Deadline + DeadlineSlack);
  DeadlineTimer.async_wait(
      [self = weak_from_this()](boost::system::error_code ec) {
        const ForwardedRequestPointer f = self.lock();
        if (ec || !f)
          return;
        f->abort(AbortReason::Expired);
      });
}

bool ForwardedRequest::isAborted(AbortReason reason) const {
  return std::find(AbortReasons.begin(), AbortReasons.end(), reason) !=
         AbortReasons.end();
}

void ForwardedRequest::abort(AbortReason reason) {
  if (!isAborted(reason))
    AbortReasons.push_back(reason);
  closeConnection();
  notify();
}

asio::awaitable<void> ForwardedRequest::waitUntil(std::function<bool()> holds) {
  while (!isAborted() && !holds()) {
    boost::system::error_code ec;
    co_await Notified.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void ForwardedRequest::notify() { Notified.cancel(); }

asio::awaitable<std::shared_ptr<http::Connection>>
connectTo(ForwardedRequest &f, Server server) {
  const milliseconds limit =
      std::clamp(f.timeRemaining(), milliseconds(1), ConnectTimeout);
  auto opened = co_await http::Connection::open(server.Listed.Address, limit);
  if (!ok(opened))
    co_return nullptr;
  co_return value(opened);
}

void countTowardsLimit(GatewayContext &ctx, const std::string &server) {
  if (ctx.Limits.recordSend(ctx.now(), server) && ctx.NotifyPeers)
    ctx.NotifyPeers();
}

std::optional<base::Duration> logReachedLimits(ForwardedRequest &f,
                                               const Server *chosen) {
  const auto wait = f.Ctx.Placer.timeUntilRoom(
      f.Ctx.now(), f.ChosenService->Name, f.TriedServers);
  if (!wait)
    return std::nullopt;
  countReachedLimit(f.Ctx.Metrics, f.ChosenService->Name, chosen != nullptr);
  f.Ctx.Log.write(
      "limit-reached",
      {{"request", f.Request.AttemptId},
       {"service", f.ChosenService->Name},
       {"placed", chosen ? std::string_view(chosen->Listed.Id) : ""},
       {"wait_ms", base::toMs(*wait)}});
  return wait;
}

void recordLimit(ForwardedRequest &f, const Server &server,
                 const ServerResponse &response) {
  if (response.IsWrongServer)
    return;
  if (response.HasMalformedLimit) {
    f.Ctx.Log.write("malformed-limit", {{"request", f.Request.AttemptId},
                                        {"server", server.Listed.Id}});
    return;
  }
  // The end of a limit must come from the server itself.
  if (!response.RequestLimit && !response.IsStamped && !response.HasNotRun)
    return;
  const ServerInstance instance{server.Listed.Id, server.Listed.StartedAt};
  f.Ctx.Limits.recordResponse(f.Ctx.now(),
                              {instance, f.SentAt, response.RequestLimit});
}

namespace {

std::string_view connectionEnd(const ForwardedRequest &f) {
  if (f.hasCallerDisconnected())
    return "caller left";
  if (f.isAbandoned())
    return "abandoned";
  if (f.isStopping())
    return "gateway stops";
  if (f.isExpired())
    return "expired";
  if (f.ReadError == base::ErrorCode::Closed)
    return "closed by the server";
  if (f.ReadError == base::ErrorCode::TooLarge)
    return "response too large";
  return f.ReadError == base::ErrorCode::Malformed ? "malformed response"
                                                   : "lost";
}

} // namespace

void logUnanswered(ForwardedRequest &f, const Server &server) {
  f.Ctx.Log.write("request-unanswered",
                  {{"request", f.Request.AttemptId},
                   {"fingerprint", toString(f.fingerprint())},
                   {"organisation", f.organisation()},
                   {"server", server.Listed.Id},
                   {"server_started_ms", server.Listed.StartedAt.count()},
                   {"parts", f.sharedPartsText()},
                   {"end", connectionEnd(f)},
                   {"ms", base::toMs(f.Ctx.now() - f.SentAt)}});
}

void sendTo(ForwardedRequest &f, const Server &server,
            const std::optional<ResumePoint> &from) {
  RequestMetadata order;
  order.ServerId = server.Listed.Id;
  order.TimeRemaining = std::max(f.timeRemaining(), milliseconds(1));
  if (f.CallerOrganisation)
    order.Organisation = f.CallerOrganisation->Name;
  if (f.ChosenService->Engine)
    order.Priority = f.priority();
  order.ResumeFrom = from;
  ++f.Arrivals;
  f.SentAt = f.Ctx.now();
  f.ReadError.reset();
  f.Connection->send(f.Ctx.Codec.EncodeServerRequest(f.Request, order),
                     f.Request.Body);
}

asio::awaitable<std::optional<ServerResponse>>
readMatchingHead(ForwardedRequest &f, Server server) {
  for (int i = 0; i < MaxForeignResponses; ++i) {
    auto head = co_await f.Connection->readHead();
    if (!ok(head)) {
      f.ReadError = error(head).Code;
      co_return std::nullopt;
    }
    f.IsResponseDelimited = value(head).IsDelimited;
    ServerResponse answer =
        f.Ctx.Codec.DecodeResponseHead(f.Request, value(head));
    recordServerResponse(f.Ctx, {server.Listed.Id, server.Listed.StartedAt});
    if (answer.MatchesAttempt || answer.HasNotRun) {
      recordLimit(f, server, answer);
      co_return answer;
    }
    f.Ctx.Log.write("foreign-answer", {{"request", f.Request.AttemptId}});
    const auto skipped = co_await readBody(f);
    if (!skipped)
      co_return std::nullopt;
  }
  co_return std::nullopt;
}

namespace {

/// Waits until the body may grow by this much; meanwhile the server's sends are
/// delayed. Returns false if that will not be.
asio::awaitable<bool> reserveBody(ForwardedRequest &f, std::size_t bytes) {
  ResponseMemory::Allocation &memory = *f.ResponseBody;
  if (!memory.isTooLarge(bytes) && !memory.fits(bytes)) {
    const ResponseMemory::Waiter waiter(memory, [&f] { f.notify(); });
    co_await f.waitUntil(
        [&] { return memory.fits(bytes) || !waiter.isUseful(); });
  }
  co_return memory.grow(bytes);
}

} // namespace

asio::awaitable<std::optional<std::string>> readBody(ForwardedRequest &f) {
  f.ResponseBody.emplace(f.Ctx.ResponseBodies);
  std::string body;
  for (;;) {
    auto piece = co_await f.Connection->read();
    if (!ok(piece)) {
      f.ReadError = error(piece).Code;
      break;
    }
    if (value(piece).empty())
      co_return body;
    const bool isReserved = co_await reserveBody(f, value(piece).size());
    if (!isReserved) {
      f.ReadError = base::ErrorCode::TooLarge;
      break;
    }
    body += value(piece);
  }
  f.ResponseBody.reset();
  co_return std::nullopt;
}

AttemptOutcome classifyResponse(const ServerResponse &answer) {
  constexpr int FirstServerErrorStatus = 500;
  if (answer.IsWrongServer)
    return AttemptOutcome::WrongServer;
  if (answer.HasNotRun)
    return AttemptOutcome::NotRun;
  // A response without the server's stamp was not made by the server.
  if (!answer.IsStamped)
    return AttemptOutcome::Incomplete;
  return answer.Status >= FirstServerErrorStatus ? AttemptOutcome::Failed
                                                 : AttemptOutcome::Served;
}

std::vector<RequestFingerprint> quarantinedParts(const ForwardedRequest &f) {
  std::vector<RequestFingerprint> parts;
  for (const RequestFingerprint &part : f.PartFingerprints)
    if (f.Ctx.SuspectParts.isQuarantined(part))
      parts.push_back(part);
  return parts;
}

bool isQuarantined(ForwardedRequest &f) {
  const auto parts = quarantinedParts(f);
  if (std::any_of(parts.begin(), parts.end(),
                  [&](const auto &part) { return part != f.TrialPart; }))
    return true;
  return !f.Ctx.Suspects.isEmpty() &&
         f.Ctx.Suspects.state(f.Ctx.now(), f.fingerprint()) ==
             Quarantine::State::Quarantined;
}

Step decideNextStep(ForwardedRequest &f, const Attempt &attempt,
                    bool hasServer) {
  if (attempt.End == AttemptOutcome::WrongServer)
    --f.Sends;
  AttemptState state;
  state.Outcome = attempt.End;
  state.Kind = f.MatchedRoute->Kind;
  state.Sends = f.Sends;
  state.Arrivals = f.Arrivals;
  state.MaxSends = f.MatchedRoute->MaxAttempts;
  state.MayHaveRun = f.MayHaveRun;
  state.HasTime = f.timeRemaining() > MinAttemptTime && !f.isAborted();
  state.HasServer = hasServer && !isQuarantined(f);
  return nextStep(state, [&] {
    const base::Instant now = f.Ctx.now();
    const int gateways = f.Ctx.GatewayPeers.gatewayCount(now);
    const bool isGranted =
        f.Ctx.Budget.tryRetry(now, f.ChosenService->Name, gateways);
    countRetry(f.Ctx.Metrics, f.ChosenService->Name, isGranted);
    f.Ctx.Log.write("retry", {{"request", f.Request.AttemptId},
                              {"service", f.ChosenService->Name},
                              {"granted", isGranted},
                              {"arrivals", f.Arrivals},
                              {"gateways", gateways}});
    return isGranted;
  });
}

namespace {

void addRetryAfter(http::Response &response, base::Duration wait) {
  response.Headers.push_back(
      {"Retry-After",
       fmt::format("{:.2f}", std::chrono::duration<double>(wait).count())});
}

/// Builds a response without the request's attempt id.
http::Response makeResponse(Verdict verdict, Reason reason,
                            base::Duration wait) {
  constexpr int NotRunStatus = 503;
  constexpr int ExpiredStatus = 504;
  constexpr int MayHaveRunStatus = 502;
  http::Response response;
  response.Status = MayHaveRunStatus;
  if (reason == Reason::Expired)
    response.Status = ExpiredStatus;
  if (verdict == Verdict::NotRun)
    response.Status = NotRunStatus;
  response.ContentType = "text/plain";
  response.Body = std::string(base::describe(reason)) + "\n";
  if (verdict == Verdict::NotRun)
    addRetryAfter(response, wait);
  response.Headers.push_back(
      {"Drumlanding-Verdict", std::string(toString(verdict))});
  return response;
}

http::Response makeRefusalWithWait(const ForwardedRequest &f, Verdict verdict,
                                   Reason reason, base::Duration wait) {
  http::Response response = makeResponse(verdict, reason, wait);
  f.Ctx.Codec.AddAttemptId(f.Request, response);
  return response;
}

} // namespace

http::Response makeRefusal(const ForwardedRequest &f, Verdict verdict,
                           Reason reason) {
  return makeRefusalWithWait(f, verdict, reason, retryAfter(reason));
}

http::Response makeUnreadRefusal() {
  return makeResponse(Verdict::NotRun, Reason::Overloaded,
                      retryAfter(Reason::Overloaded));
}

Reason lossReason(ForwardedRequest &f, Reason loss) {
  if (f.isExpired())
    return Reason::Expired;
  if (f.isStopping())
    return Reason::Leaving;
  if (f.ReadError == base::ErrorCode::TooLarge)
    return Reason::AnswerTooLarge;
  return isQuarantined(f) ? Reason::Quarantined : loss;
}

http::Response makeNoServerRefusal(const ForwardedRequest &f,
                                   std::optional<base::Duration> wait) {
  if (f.MayHaveRun)
    return makeRefusal(f, Verdict::MayHaveRun, Reason::NoBackendServer);
  if (!wait)
    return makeRefusal(f, Verdict::NotRun, Reason::NoBackendServer);
  return makeRefusalWithWait(f, Verdict::NotRun, Reason::RequestLimit,
                             std::max<base::Duration>(*wait, MinRetryAfter));
}

http::Response makeSuspectRefusal(const ForwardedRequest &f,
                                  base::Duration untilTrial) {
  const Verdict verdict = f.MayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
  return makeRefusalWithWait(
      f, verdict, Reason::Quarantined,
      std::max<base::Duration>(untilTrial, DefaultRetryAfter));
}

http::Response toResponse(CompleteResponse answer) {
  http::Response response;
  response.Status = answer.Head.Status;
  response.Headers = std::move(answer.Head.Headers);
  response.Body = std::move(answer.Body);
  return response;
}

void recordOutcome(ForwardedRequest &f, const std::string &server,
                   const Attempt &attempt) {
  if (f.hasCallerDisconnected() || f.isEndedByGateway())
    return;
  ServerOutcome outcome = ServerOutcome::Served;
  switch (attempt.End) {
  case AttemptOutcome::Served:
    break;
  case AttemptOutcome::Failed:
    outcome = ServerOutcome::Failed;
    break;
  case AttemptOutcome::Incomplete:
    outcome = ServerOutcome::Incomplete;
    break;
  case AttemptOutcome::NotRun:
    outcome = ServerOutcome::Refused;
    break;
  case AttemptOutcome::Unreachable:
    outcome = ServerOutcome::Unreachable;
    break;
  case AttemptOutcome::WrongServer:
    f.Ctx.Servers.markReplaced(f.Ctx.now(), server);
    return;
  }
  f.Ctx.Servers.recordOutcome(f.Ctx.now(), server, outcome);
}

} // namespace drumlanding::gateway
