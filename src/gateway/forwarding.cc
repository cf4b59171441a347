#include "forwarding.h"

#include "gateway-metrics.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::Reason;
using base::Verdict;

/// A server that answers at its own time limit may still be heard.
constexpr milliseconds LimitSlack{100};
/// Connections come about in a few ms; a lost first packet is sent again only
/// after a second, when another server is the better choice.
constexpr milliseconds ConnectLimit{400};
/// Late answers to earlier requests that are read past.
constexpr int MostForeignAnswers = 3;
/// With less time left no further attempt is worth its load.
constexpr milliseconds LeastTime{20};
/// When to come back if no server could be found.
constexpr milliseconds RetryAfter{250};
/// A gateway without a config needs a call to the store, or a peer.
constexpr milliseconds RetryAfterStart{1'000};
/// Another gateway can take the request at once.
constexpr milliseconds RetryElsewhere{20};

milliseconds retryAfter(Reason why) {
  if (why == Reason::NotReady)
    return RetryAfterStart;
  return why == Reason::Leaving ? RetryElsewhere : RetryAfter;
}
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;
/// Routes' priorities within one priority of organisations.
constexpr int RouteLevels = 3;

} // namespace

int Forwarding::priority() const {
  const int own = std::clamp(TheRoute->Priority, 0, RouteLevels - 1);
  const int first = Holder && Holder->Priority ? *Holder->Priority : 0;
  return std::clamp(first * RouteLevels + own, MostUrgent, LeastUrgent);
}

void Forwarding::stop() {
  if (Connection)
    Connection->close();
}

void Forwarding::startLimit() {
  Limit.expires_at(Deadline + LimitSlack);
  Limit.async_wait([self = weak_from_this()](boost::system::error_code ec) {
    const ForwardingPointer f = self.lock();
    if (ec || !f)
      return;
    f->IsLate = true;
    f->stop();
  });
}

asio::awaitable<std::shared_ptr<http::Connection>> connectTo(Forwarding &f,
                                                             Server server) {
  const milliseconds limit =
      std::clamp(f.timeLeft(), milliseconds(1), ConnectLimit);
  auto opened = co_await http::Connection::open(server.Listed.Address, limit);
  if (!ok(opened))
    co_return nullptr;
  co_return value(opened);
}

void sendTo(Forwarding &f, const Server &server,
            const std::optional<ResumePoint> &from) {
  RequestMetadata order;
  order.ServerId = server.Listed.Id;
  order.TimeRemaining = std::max(f.timeLeft(), milliseconds(1));
  if (f.Holder)
    order.Organisation = f.Holder->Name;
  if (f.TheService->Engine)
    order.Priority = f.priority();
  order.ResumeFrom = from;
  ++f.Arrivals;
  f.Connection->send(f.W.Words.EncodeServerRequest(f.Request, order));
}

asio::awaitable<std::optional<ServerResponse>> readOwnHead(Forwarding &f) {
  for (int i = 0; i < MostForeignAnswers; ++i) {
    auto head = co_await f.Connection->readHead();
    if (!ok(head))
      co_return std::nullopt;
    ServerResponse answer =
        f.W.Words.DecodeResponseHead(f.Request, value(head));
    if (answer.MatchesAttempt || answer.HasNotRun)
      co_return answer;
    f.W.Log.write("foreign-answer", {{"request", f.Request.AttemptId}});
    const auto skipped = co_await readBody(f);
    if (!skipped)
      co_return std::nullopt;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>> readBody(Forwarding &f) {
  std::string body;
  for (;;) {
    auto piece = co_await f.Connection->read();
    if (!ok(piece))
      co_return std::nullopt;
    if (value(piece).empty())
      co_return body;
    body += value(piece);
  }
}

AttemptOutcome endOf(const ServerResponse &answer) {
  constexpr int FirstFailure = 500;
  if (answer.IsWrongServer)
    return AttemptOutcome::WrongServer;
  if (answer.HasNotRun)
    return AttemptOutcome::NotRun;
  // Without its stamp it is not the server's answer.
  if (!answer.IsStamped)
    return AttemptOutcome::Incomplete;
  return answer.Status >= FirstFailure ? AttemptOutcome::Failed
                                       : AttemptOutcome::Served;
}

Step stepAfter(Forwarding &f, const Attempt &attempt, bool hasServer) {
  if (attempt.End == AttemptOutcome::WrongServer)
    --f.Sends;
  AttemptState state;
  state.Outcome = attempt.End;
  state.Kind = f.TheRoute->Kind;
  state.Sends = f.Sends;
  state.Arrivals = f.Arrivals;
  state.MaxSends = f.TheRoute->MaxAttempts;
  state.MayHaveRun = f.MayHaveRun;
  state.HasTime = f.timeLeft() > LeastTime && !f.isOver();
  state.HasServer = hasServer;
  return nextStep(state, [&] {
    const base::Instant now = f.W.now();
    const bool isGranted = f.W.Budget.tryRetry(now, f.TheService->Name,
                                               f.W.Others.gatewayCount(now));
    countRetry(f.W.Metrics, f.TheService->Name, isGranted);
    return isGranted;
  });
}

http::Response refusal(const Forwarding &f, Verdict verdict, Reason why) {
  constexpr int NotRunStatus = 503;
  constexpr int LateStatus = 504;
  constexpr int MayHaveRunStatus = 502;
  http::Response response;
  response.Status = MayHaveRunStatus;
  if (why == Reason::Expired)
    response.Status = LateStatus;
  if (verdict == Verdict::NotRun)
    response.Status = NotRunStatus;
  response.ContentType = "text/plain";
  response.Body = std::string(base::explain(why)) + "\n";
  if (verdict == Verdict::NotRun)
    response.Headers.push_back(
        {"Retry-After",
         fmt::format("{:.2f}",
                     std::chrono::duration<double>(retryAfter(why)).count())});
  response.Headers.push_back(
      {"Drumlanding-Verdict", std::string(toString(verdict))});
  f.W.Words.AddAttemptId(f.Request, response);
  return response;
}

http::Response toResponse(WholeAnswer answer) {
  http::Response response;
  response.Status = answer.Head.Status;
  response.Headers = std::move(answer.Head.Headers);
  response.Body = std::move(answer.Body);
  return response;
}

void noteOutcome(Forwarding &f, const std::string &server,
                 const Attempt &attempt) {
  if (f.HasCallerLeft)
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
    f.W.Servers.markReplaced(f.W.now(), server);
    return;
  }
  f.W.Servers.recordOutcome(f.W.now(), server, outcome);
}

} // namespace drumlanding::gateway
