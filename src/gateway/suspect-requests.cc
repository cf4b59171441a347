#include "suspect-requests.h"

#include "gateway-metrics.h"

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

/// Returns how the server stopped answering; none if it is known to be alive or
/// has announced its end.
std::optional<EndKind> classifyEnd(const ForwardedRequest &f,
                                   const Server &server) {
  const Server *known = f.Ctx.Servers.find(server.Listed.Id);
  if (!known || f.ReadError == base::ErrorCode::Malformed ||
      f.ReadError == base::ErrorCode::TooLarge)
    return std::nullopt;
  const bool isAnnounced =
      known->IsLeaving && !known->IsPresumedLeaving && !known->IsReplaced;
  if (isAnnounced)
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

Json toJson(const SuspectReport &report, const Quarantine &suspects,
            base::Instant now) {
  Json ends = Json::array();
  for (const EndReport &end : report.Ends)
    ends.push_back({{"server", end.Server.Id},
                    {"started_ms", end.Server.StartedAt.count()},
                    {"age_ms", base::toMs(end.Age)},
                    {"silent", end.Kind == EndKind::Silent},
                    {"withdrawn", end.IsWithdrawn}});
  const auto state = suspects.state(now, report.Fingerprint);
  return {{"fingerprint", toString(report.Fingerprint)},
          {"organisation", report.Organisation},
          {"quarantined", state == Quarantine::State::Quarantined},
          {"suspect", state != Quarantine::State::Clear},
          {"trial_in_ms",
           base::toMs(suspects.timeUntilTrial(now, report.Fingerprint))},
          {"ends", std::move(ends)}};
}

} // namespace

void endTurn(ForwardedRequest &f) {
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

} // namespace

asio::awaitable<Turn> waitForTurn(ForwardedRequest &f) {
  if (f.Ctx.Suspects.isEmpty())
    co_return Turn::Granted;
  const base::Instant until =
      f.Ctx.now() + std::min(MaxTurnWait, f.timeRemaining());
  for (;;) {
    const base::Instant now = f.Ctx.now();
    const Quarantine::State state = f.Ctx.Suspects.state(now, f.fingerprint());
    if (state == Quarantine::State::Clear)
      co_return Turn::Granted;
    if (state == Quarantine::State::Quarantined)
      co_return Turn::Quarantined;
    if (holdsClaim(f, now))
      co_return Turn::Granted;
    if (now >= until || f.isAborted())
      co_return Turn::Busy;
    co_await daemon::sleepFor(TurnCheckInterval);
  }
}

http::Response refuseSuspect(ForwardedRequest &f, Turn turn) {
  const base::Duration wait =
      f.Ctx.Suspects.timeUntilTrial(f.Ctx.now(), f.fingerprint());
  f.Ctx.Log.write("suspect-refused",
                  {{"request", f.Request.AttemptId},
                   {"fingerprint", toString(f.fingerprint())},
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

/// Asks a server for its start time. Returns none if it does not respond: a
/// port that accepts connections may outlive its server.
asio::awaitable<std::optional<VerificationResponse>>
requestVerification(GatewayContext &ctx, ListedServer server) {
  const Service *service =
      ctx.Routes ? ctx.Routes->config().service(server.Service) : nullptr;
  const bool isEngine = service && service->Engine;
  http::Request request = isEngine ? ctx.Codec.EncodeReportRequest()
                                   : ctx.Codec.EncodeHealthRequest();
  const base::Instant requestedAt = ctx.now();
  const http::FetchResult fetched =
      co_await http::fetch(server.Address, std::move(request), VerifyTimeout);
  if (!ok(fetched.Outcome))
    co_return std::nullopt;
  auto instance = identify(ctx, server, isEngine, value(fetched.Outcome));
  if (!instance)
    co_return std::nullopt;
  co_return VerificationResponse{std::move(*instance), requestedAt, ctx.now()};
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
    const auto response = co_await requestVerification(ctx, server.Listed);
    if (response)
      ctx.Suspects.recordVerification(*response);
    ctx.Log.write(
        "server-end-checked",
        {{"server", id},
         {"responds", response.has_value()},
         {"started_ms", response ? response->Server.StartedAt.count() : 0}});
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

void recordUnanswered(ForwardedRequest &f, const Server &server) {
  logUnanswered(f, server);
  const auto kind = classifyEnd(f, server);
  if (!kind)
    return;
  const std::string organisation =
      f.CallerOrganisation ? f.CallerOrganisation->Name : "";
  f.Ctx.Suspects.recordEnd(f.Ctx.now(),
                           {f.fingerprint(),
                            organisation,
                            {server.Listed.Id, server.Listed.StartedAt},
                            f.SentAt,
                            *kind});
  if (*kind == EndKind::Closed)
    scheduleVerification(f.Ctx, server);
}

void recordCompleted(ForwardedRequest &f) {
  if (!f.Ctx.Suspects.isEmpty())
    f.Ctx.Suspects.recordServed(f.Ctx.now(), f.fingerprint());
}

void recordServerResponse(GatewayContext &ctx, const ServerInstance &server) {
  const base::Instant now = ctx.now();
  ctx.Servers.recordResponse(now, server.Id);
  if (!ctx.Suspects.isEmpty())
    ctx.Suspects.recordResponse(now, server);
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
    if (!ctx.Suspects.release(now, *fingerprint))
      return {NotFound, "text/plain", "No such request is suspect.\n", {}};
    return {Ok, "text/plain", "released\n", {}};
  }
  Json list = Json::array();
  for (const SuspectReport &report : ctx.Suspects.reports(now))
    list.push_back(toJson(report, ctx.Suspects, now));
  return {Ok, "application/json", list.dump() + "\n", {}};
}

} // namespace drumlanding::gateway
