#include "suspect-requests.h"

#include "gateway-metrics.h"
#include "server-call.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using Json = nlohmann::json;

/// A suspect request waits this long while another copy of it runs: several
/// times as long as most plain calls take.
constexpr milliseconds MaxTurnWait{250};
constexpr milliseconds TurnCheckInterval{5};
/// Connecting and the response take a few ms.
constexpr milliseconds VerifyTimeout{400};
/// A server that has sent nothing to any request for this long may have ended.
constexpr milliseconds MinSilence{250};

bool hasAnnouncedEnd(const GatewayContext &ctx, const Server &server) {
  const Server *known = ctx.Servers.find(server.Listed.Id);
  return known && known->IsLeaving && !known->IsPresumedLeaving &&
         !known->IsReplaced;
}

/// Returns how the server stopped answering; none if it is known to be alive or
/// has announced its end.
std::optional<EndKind> classifyEnd(const ForwardedRequest &f,
                                   const Server &server) {
  const Server *known = f.Ctx.Servers.find(server.Listed.Id);
  if (!known || f.isEndedByGateway() ||
      f.ReadError == base::ErrorCode::Malformed ||
      f.ReadError == base::ErrorCode::TooLarge)
    return std::nullopt;
  if (hasAnnouncedEnd(f.Ctx, server))
    return std::nullopt;
  if (f.ReadError == base::ErrorCode::Closed)
    return EndKind::Closed;
  const base::Instant lastAlive = std::max(known->LastResponseAt, f.SentAt);
  if (f.Ctx.now() - lastAlive >= MinSilence)
    return EndKind::Silent;
  return std::nullopt;
}

std::string_view toString(Turn turn) {
  return turn == Turn::Quarantined ? "quarantined" : "suspect and busy";
}

struct SuspectStatus {
  bool IsSuspect = false;
  bool IsQuarantined = false;
  base::Duration UntilTrial{0};
};

Json toJson(const SuspectReport &report, const SuspectStatus &status) {
  Json ends = Json::array();
  for (const EndReport &end : report.Ends)
    ends.push_back({{"server", end.Server.Id},
                    {"started_ms", end.Server.StartedAt.count()},
                    {"age_ms", base::toMs(end.Age)},
                    {"silent", end.Kind == EndKind::Silent},
                    {"withdrawn", end.IsWithdrawn}});
  return {{"fingerprint", toString(report.Fingerprint)},
          {"organisation", report.Organisation},
          {"part", report.Part},
          {"quarantined", status.IsQuarantined},
          {"suspect", status.IsSuspect},
          {"trial_in_ms", base::toMs(status.UntilTrial)},
          {"ends", std::move(ends)}};
}

} // namespace

void endTurn(ForwardedRequest &f) {
  if (f.TrialPart)
    f.Ctx.SuspectParts.evidence().endClaim(*f.TrialPart);
  if (!f.HasRunClaim)
    return;
  f.HasRunClaim = false;
  f.Ctx.Suspects.endClaim(f.fingerprint());
}

namespace {

/// Returns whether this gateway holds the only claim to run the request.
/// Makes a claim if there is none.
bool holdsClaim(ForwardedRequest &f, base::Instant now) {
  Quarantine &suspects = f.Ctx.Suspects;
  if (!f.HasRunClaim)
    f.HasRunClaim = suspects.claim(now, f.fingerprint());
  if (!f.HasRunClaim)
    return false;
  const Quarantine::ClaimState state =
      suspects.claimState(now, f.fingerprint());
  if (state == Quarantine::ClaimState::None)
    f.HasRunClaim = false;
  return state == Quarantine::ClaimState::Held;
}

/// Claims the trial of a quarantined part for this request.
Turn claimTrial(ForwardedRequest &f, const RequestFingerprint &part,
                base::Instant now) {
  Quarantine &evidence = f.Ctx.SuspectParts.evidence();
  const bool isDue =
      f.Ctx.SuspectParts.timeUntilTrial(now, part) == base::Duration(0);
  if (!f.TrialPart && isDue && evidence.claim(now, part))
    f.TrialPart = part;
  if (f.TrialPart != part)
    return Turn::Quarantined;
  switch (evidence.claimState(now, part)) {
  case Quarantine::ClaimState::Held:
    return Turn::Granted;
  case Quarantine::ClaimState::Settling:
    return Turn::Busy;
  case Quarantine::ClaimState::None:
    break;
  }
  f.TrialPart.reset();
  return Turn::Quarantined;
}

/// Returns whether the parts of the prompt let the request be sent now.
Turn turnOfParts(ForwardedRequest &f, base::Instant now) {
  const std::vector<RequestFingerprint> parts = quarantinedParts(f);
  if (parts.empty())
    return Turn::Granted;
  // The trial of several parts would not tell which one is to blame.
  return parts.size() > 1 ? Turn::Quarantined
                          : claimTrial(f, parts.front(), now);
}

/// Returns whether the request itself, whatever its parts, may be sent now.
Turn turnOfRequest(ForwardedRequest &f, base::Instant now) {
  if (f.Ctx.Suspects.isEmpty())
    return Turn::Granted;
  const Quarantine::State state = f.Ctx.Suspects.state(now, f.fingerprint());
  if (state == Quarantine::State::Quarantined)
    return Turn::Quarantined;
  const bool isGranted =
      state == Quarantine::State::Clear || holdsClaim(f, now);
  return isGranted ? Turn::Granted : Turn::Busy;
}

} // namespace

asio::awaitable<Turn> waitForTurn(ForwardedRequest &f) {
  const base::Instant until =
      f.Ctx.now() + std::min(MaxTurnWait, f.timeRemaining());
  for (;;) {
    const base::Instant now = f.Ctx.now();
    Turn turn = turnOfParts(f, now);
    if (turn == Turn::Granted)
      turn = turnOfRequest(f, now);
    if (turn != Turn::Busy)
      co_return turn;
    if (now >= until || f.isAborted())
      co_return Turn::Busy;
    co_await daemon::sleepFor(TurnCheckInterval);
  }
}

http::Response refuseSuspect(ForwardedRequest &f, Turn turn) {
  const base::Instant now = f.Ctx.now();
  base::Duration wait = f.Ctx.Suspects.timeUntilTrial(now, f.fingerprint());
  const std::vector<RequestFingerprint> parts = quarantinedParts(f);
  for (const RequestFingerprint &part : parts)
    wait = std::max(wait, f.Ctx.SuspectParts.timeUntilTrial(now, part));
  f.Ctx.Log.write("suspect-refused",
                  {{"request", f.Request.AttemptId},
                   {"fingerprint", toString(f.fingerprint())},
                   {"part", parts.empty() ? "" : toString(parts.front())},
                   {"why", toString(turn)},
                   {"trial_in_ms", base::toMs(wait)}});
  countSuspectRefusal(f.Ctx.Metrics, f.ChosenService->Name, toString(turn));
  return makeSuspectRefusal(f, wait);
}

namespace {

/// Returns the server that a response to the verification comes from; none if
/// the response does not come from `server`.
std::optional<ServerInstance> identify(const GatewayContext &ctx,
                                       const ListedServer &server,
                                       bool isEngine,
                                       const http::Response &response) {
  if (isEngine) {
    const auto report = ctx.Codec.DecodeReport(response);
    if (!ok(report))
      return std::nullopt;
    return ServerInstance{server.Id, value(report).StartedAt};
  }
  const ServerHealth health = ctx.Codec.DecodeHealth(response);
  if (health.Id != server.Id)
    return std::nullopt;
  return ServerInstance{health.Id, health.StartedAt};
}

struct Verification {
  /// None if the server does not respond: a port that accepts connections may
  /// outlive it.
  std::optional<VerificationResponse> Response;
  /// No process listens at the server's address.
  bool IsRefused = false;
};

/// Asks a server for its start time.
asio::awaitable<Verification> requestVerification(GatewayContext &ctx,
                                                  ListedServer server) {
  const Service *service =
      ctx.Routes ? ctx.Routes->config().service(server.Service) : nullptr;
  const bool isEngine = service && service->Engine;
  http::Request request = isEngine ? ctx.Codec.EncodeReportRequest()
                                   : ctx.Codec.EncodeHealthRequest();
  const base::Instant requestedAt = ctx.now();
  const http::FetchResult fetched =
      co_await callServer(server.Address, std::move(request), VerifyTimeout);
  Verification verification{{}, fetched.IsRefused};
  std::optional<ServerInstance> instance;
  if (ok(fetched.Outcome))
    instance = identify(ctx, server, isEngine, value(fetched.Outcome));
  if (instance)
    verification.Response = {std::move(*instance), requestedAt, ctx.now()};
  const auto &response = verification.Response;
  ctx.Log.write(
      "server-end-checked",
      {{"server", server.Id},
       {"responds", response.has_value()},
       {"refuses", verification.IsRefused},
       {"started_ms", response ? response->Server.StartedAt.count() : 0}});
  co_return verification;
}

void recordRefusal(GatewayContext &ctx, const ListedServer &server) {
  const ServerInstance instance{server.Id, server.StartedAt};
  ctx.Suspects.recordRefusal(ctx.now(), instance);
  ctx.SuspectParts.recordRefusal(ctx.now(), instance);
}

/// Finds out whether a server that closed a connection has ended. Repeats this
/// if it has closed further connections meanwhile.
asio::awaitable<void> verifyEnd(GatewayContext &ctx, Server server) {
  const std::string id = server.Listed.Id;
  base::Instant closedAt{};
  while (ctx.ClosedAtByServer[id] != closedAt) {
    closedAt = ctx.ClosedAtByServer[id];
    const base::Duration age = ctx.now() - closedAt;
    if (age < Quarantine::MaxExitTime)
      co_await daemon::sleepFor(Quarantine::MaxExitTime - age);
    const Verification verification =
        co_await requestVerification(ctx, server.Listed);
    if (verification.Response) {
      ctx.Suspects.recordVerification(*verification.Response);
      ctx.SuspectParts.recordVerification(*verification.Response);
    }
    if (verification.IsRefused)
      recordRefusal(ctx, server.Listed);
  }
  ctx.ClosedAtByServer.erase(id);
}

void scheduleVerification(GatewayContext &ctx, const Server &server) {
  const auto [it, isNew] =
      ctx.ClosedAtByServer.try_emplace(server.Listed.Id, ctx.now());
  it->second = ctx.now();
  if (isNew)
    asio::co_spawn(ctx.Io, verifyEnd(ctx, server), asio::detached);
}

} // namespace

namespace {

/// Records the end of a server under a request as evidence against the request
/// and the parts of its prompt.
void recordEnd(ForwardedRequest &f, const Server &server, EndKind kind) {
  const base::Instant now = f.Ctx.now();
  UnansweredRequest unanswered;
  unanswered.Fingerprint = f.fingerprint();
  unanswered.Organisation = f.organisation();
  unanswered.Server = {server.Listed.Id, server.Listed.StartedAt};
  unanswered.SentAt = f.SentAt;
  unanswered.Kind = kind;
  f.Ctx.Suspects.recordEnd(now, unanswered);
  if (hasSurvived(f))
    return;
  f.Ctx.SuspectParts.recordEnd(now,
                               {unanswered.Organisation, unanswered.Server,
                                f.SentAt, kind, f.Request.SharedPromptParts});
  f.Ctx.SuspectParts.update(now);
}

void recordServed(ForwardedRequest &f, AttemptOutcome outcome) {
  const base::Instant now = f.Ctx.now();
  if (!f.Ctx.Suspects.isEmpty())
    f.Ctx.Suspects.recordServed(now, f.fingerprint());
  // An error may have been returned before the prompt was read.
  const bool hasBegun =
      f.BeganAt || f.MatchedRoute->Kind != RequestKind::Stream;
  if (outcome != AttemptOutcome::Served || !hasBegun)
    return;
  for (const RequestFingerprint &part : f.PartFingerprints)
    f.Ctx.SuspectParts.recordHarmless(now, part, f.BeganAt.value_or(f.SentAt));
}

/// Records a response that ended with its connection, once it is known whether
/// its server has ended.
asio::awaitable<void> verifyCompletion(ForwardedRequestPointer f, Server server,
                                       AttemptOutcome outcome) {
  co_await daemon::sleepFor(Quarantine::MaxExitTime);
  const Verification verification =
      co_await requestVerification(f->Ctx, server.Listed);
  if (verification.Response) {
    recordServed(*f, outcome);
    co_return;
  }
  if (hasAnnouncedEnd(f->Ctx, server))
    co_return;
  recordEnd(*f, server, EndKind::Closed);
  if (verification.IsRefused)
    recordRefusal(f->Ctx, server.Listed);
}

} // namespace

bool hasSurvived(const ForwardedRequest &f) {
  return f.BeganAt &&
         f.Ctx.now() - *f.BeganAt >= PartQuarantine::MinSurvivalTime;
}

void recordUnanswered(ForwardedRequest &f, const Server &server) {
  logUnanswered(f, server);
  const auto kind = classifyEnd(f, server);
  if (!kind)
    return;
  recordEnd(f, server, *kind);
  if (*kind == EndKind::Closed)
    scheduleVerification(f.Ctx, server);
}

void recordCompleted(ForwardedRequest &f, const Server &server,
                     AttemptOutcome outcome) {
  if (f.IsResponseDelimited)
    recordServed(f, outcome);
  else
    asio::co_spawn(f.Ctx.Io,
                   verifyCompletion(f.shared_from_this(), server, outcome),
                   asio::detached);
}

void recordSurvival(ForwardedRequest &f) {
  const base::Instant now = f.Ctx.now();
  for (const RequestFingerprint &part : f.PartFingerprints)
    f.Ctx.SuspectParts.recordHarmless(now, part, *f.BeganAt);
}

void recordServerResponse(GatewayContext &ctx, const ServerInstance &server) {
  const base::Instant now = ctx.now();
  ctx.Servers.recordResponse(now, server.Id);
  if (!ctx.Suspects.isEmpty())
    ctx.Suspects.recordResponse(now, server);
  ctx.SuspectParts.recordResponse(now, server);
}

http::Response serveSuspects(GatewayContext &ctx, const http::Request &request,
                             std::string_view subpath) {
  constexpr int Ok = 200;
  constexpr int BadRequest = 400;
  constexpr int NotFound = 404;
  const base::Instant now = ctx.now();
  if (request.Method == "DELETE") {
    if (subpath.starts_with('/'))
      subpath.remove_prefix(1);
    const auto fingerprint = parseFingerprint(subpath);
    if (!fingerprint)
      return {BadRequest,
              "text/plain",
              "A fingerprint has 32 hexadecimal digits.\n",
              {}};
    const bool isRequest = ctx.Suspects.release(now, *fingerprint);
    const bool isPart = ctx.SuspectParts.release(now, *fingerprint);
    if (!isRequest && !isPart)
      return {NotFound, "text/plain", "No such request is suspect.\n", {}};
    return {Ok, "text/plain", "released\n", {}};
  }
  Json list = Json::array();
  for (const SuspectReport &report : ctx.Suspects.reports(now)) {
    const RequestFingerprint &id = report.Fingerprint;
    const Quarantine::State state = ctx.Suspects.state(now, id);
    SuspectStatus status;
    status.IsSuspect = state != Quarantine::State::Clear;
    status.IsQuarantined = state == Quarantine::State::Quarantined;
    status.UntilTrial = ctx.Suspects.timeUntilTrial(now, id);
    list.push_back(toJson(report, status));
  }
  for (const SuspectReport &report : ctx.SuspectParts.reports(now)) {
    // Organisations are listed among the evidence too.
    if (report.Part.empty())
      continue;
    const RequestFingerprint &id = report.Fingerprint;
    SuspectStatus status;
    status.IsQuarantined = ctx.SuspectParts.isQuarantined(id);
    status.IsSuspect = status.IsQuarantined;
    status.UntilTrial = ctx.SuspectParts.timeUntilTrial(now, id);
    list.push_back(toJson(report, status));
  }
  return {Ok, "application/json", list.dump() + "\n", {}};
}

} // namespace drumlanding::gateway
