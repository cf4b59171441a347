/// ForwardedRequest: the state of one caller's request while it is forwarded to
/// backend servers.
#pragma once

#include "gateway-context.h"

#include "drumlanding/base/verdict.h"
#include "drumlanding/gateway/attempt-policy.h"
#include "drumlanding/gateway/request-fingerprint.h"
#include "drumlanding/http/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::gateway {

/// Why the gateway no longer works on a request.
enum class AbortReason {
  Expired,
  CallerDisconnected,
  /// A part of the prompt was quarantined.
  Abandoned,
  /// This gateway is about to exit.
  Stopping,
};

/// A caller's request and the state of its forwarding.
struct ForwardedRequest : std::enable_shared_from_this<ForwardedRequest> {
  ForwardedRequest(GatewayContext &ctx, CallerRequest request)
      : Ctx(ctx), Request(std::move(request)), DeadlineTimer(ctx.Io),
        Notified(ctx.Io, asio::steady_timer::time_point::max()) {}

  GatewayContext &Ctx;
  CallerRequest Request;
  /// The routes in force when the request arrived. Keeps MatchedRoute,
  /// ChosenService and CallerOrganisation alive.
  RouteTablePointer Routes;
  const Route *MatchedRoute = nullptr;
  const Service *ChosenService = nullptr;
  /// The organisation that owns the request's key; null when the key is
  /// unknown, which public routes and configs without keys allow.
  const Organisation *CallerOrganisation = nullptr;
  base::Instant ReceivedAt{};
  /// The earlier of the caller's deadline and the route's timeout.
  base::Instant Deadline{};
  asio::steady_timer DeadlineTimer;

  /// The current connection to a server.
  std::shared_ptr<http::Connection> Connection;
  /// Servers that the request was sent to or that were unreachable.
  std::vector<std::string> TriedServers;
  int Sends = 0;
  /// When the request was last sent.
  base::Instant SentAt{};
  /// How often the request was sent to an address, including those where
  /// another server answered.
  int Arrivals = 0;
  bool MayHaveRun = false;
  /// Why the last read from a server failed.
  std::optional<base::ErrorCode> ReadError;
  std::optional<RequestFingerprint> Fingerprint;
  /// The fingerprints of the shared parts of its prompt.
  std::vector<RequestFingerprint> PartFingerprints;
  /// This request holds its gateway's claim to run a suspect request.
  bool HasRunClaim = false;
  /// The quarantined part of its prompt that this request is the trial of.
  std::optional<RequestFingerprint> TrialPart;
  /// The memory of the current response's body, until the caller has read it.
  std::optional<ResponseMemory::Allocation> ResponseBody;
  /// The current response's body has a length or chunks.
  bool IsResponseDelimited = true;
  /// Streams: when the first event arrived.
  std::optional<base::Instant> BeganAt;

  base::milliseconds timeRemaining() const {
    return base::milliseconds(base::toMs(Deadline - Ctx.now()));
  }
  bool isExpired() const { return isAborted(AbortReason::Expired); }
  bool hasCallerDisconnected() const {
    return isAborted(AbortReason::CallerDisconnected);
  }
  bool isAbandoned() const { return isAborted(AbortReason::Abandoned); }
  bool isStopping() const { return isAborted(AbortReason::Stopping); }
  bool isAborted() const { return !AbortReasons.empty(); }
  /// Returns whether the end of the connection to the server says nothing about
  /// the server, since the gateway itself has ended it.
  bool isEndedByGateway() const { return isAbandoned() || isStopping(); }
  /// Computed when it is first needed, which few requests do.
  const RequestFingerprint &fingerprint();
  /// Returns the organisation's name; empty if it is unknown.
  std::string_view organisation() const {
    return CallerOrganisation ? std::string_view(CallerOrganisation->Name)
                              : std::string_view();
  }
  /// Returns the ids of the shared parts of the prompt, separated by commas.
  std::string sharedPartsText() const;
  /// Returns the priority for engines, from 0 (most urgent) to 9. The
  /// organisation's priority takes precedence over the route's.
  int priority() const;
  /// Closes the current connection, which ends pending reads from the server.
  void closeConnection();
  void startDeadlineTimer();
  /// Ends the work on the request: pending reads from the server, and
  /// waitUntil(). May be called again for another reason.
  void abort(AbortReason reason);
  /// Waits until the condition holds or the request is aborted. notify() checks
  /// the condition again.
  asio::awaitable<void> waitUntil(std::function<bool()> holds);
  void notify();

private:
  bool isAborted(AbortReason reason) const;

  std::vector<AbortReason> AbortReasons;
  /// Never expires; cancelled by notify().
  asio::steady_timer Notified;
};

using ForwardedRequestPointer = std::shared_ptr<ForwardedRequest>;

/// A server's response with its complete body.
struct CompleteResponse {
  ServerResponse Head;
  std::string Body;
};

/// The result of one attempt to send the request to a server.
struct Attempt {
  AttemptOutcome End = AttemptOutcome::Unreachable;
  /// What ended the attempt, for the log.
  std::string Cause;
  std::optional<CompleteResponse> Response;
};

/// Connects to a server within the remaining time and at most ConnectTimeout.
/// Returns null on failure.
asio::awaitable<std::shared_ptr<http::Connection>>
connectTo(ForwardedRequest &f, Server server);

/// Counts the request towards the limit of the server that it is about to be
/// sent to.
void countTowardsLimit(GatewayContext &ctx, const std::string &server);

/// If servers of the request's service have reached their limits, logs this and
/// where the request was placed instead: at `chosen`, or nowhere if it is null.
/// Returns the time until one of them takes another request.
std::optional<base::Duration> logReachedLimits(ForwardedRequest &f,
                                               const Server *chosen);

/// Records the limit that a server's response names.
void recordLimit(ForwardedRequest &f, const Server &server,
                 const ServerResponse &response);

/// Logs that a server gave no complete response to the request, with what is
/// needed to relate it to other tries and to the server's end.
void logUnanswered(ForwardedRequest &f, const Server &server);

/// Sends the request. From then on it may have run.
void sendTo(ForwardedRequest &f, const Server &server,
            const std::optional<ResumePoint> &from);

/// Reads response heads until one belongs to this request, and records the
/// limit that it names. Returns nullopt when the connection fails or
/// MaxForeignResponses others came first.
asio::awaitable<std::optional<ServerResponse>>
readMatchingHead(ForwardedRequest &f, Server server);

/// Reads the body to its end; returns nullopt when it is truncated or too
/// large.
asio::awaitable<std::optional<std::string>> readBody(ForwardedRequest &f);

/// Classifies a complete response as the end of an attempt.
AttemptOutcome classifyResponse(const ServerResponse &answer);

/// Returns whether too many servers have ended under the request, or under a
/// part of its prompt that it is not the trial of.
bool isQuarantined(ForwardedRequest &f);

/// Returns the quarantined parts of the request's prompt.
std::vector<RequestFingerprint> quarantinedParts(const ForwardedRequest &f);

/// Applies the attempt policy after an attempt has ended. Takes a retry from
/// the budget if the policy needs one. A send that another server answered is
/// not counted.
Step decideNextStep(ForwardedRequest &f, const Attempt &attempt,
                    bool hasServer);

/// Builds the gateway's own response when there is no server response to
/// deliver.
http::Response makeRefusal(const ForwardedRequest &f, base::Verdict verdict,
                           base::Reason reason);

/// Builds the response to a request that has not been read to its end, since
/// its body does not fit into memory.
http::Response makeUnreadRefusal();

/// Returns why a request that was sent has no response: it has expired, is
/// quarantined, or its server was lost, which is `loss`.
base::Reason lossReason(ForwardedRequest &f, base::Reason loss);

/// Builds the response to a request for which no server was chosen. `wait` is
/// the time until a server that has reached its limit takes another request.
http::Response makeNoServerRefusal(const ForwardedRequest &f,
                                   std::optional<base::Duration> wait);

/// Builds the response to a suspect request that is not sent to a server.
/// `untilTrial` is the time until a quarantined request may be tried again;
/// zero if it is not quarantined.
http::Response makeSuspectRefusal(const ForwardedRequest &f,
                                  base::Duration untilTrial);

/// Converts a server's response to the response to the caller.
http::Response toResponse(CompleteResponse answer);

/// Records the outcome of an attempt in the server's health. Attempts that
/// ended because the caller disconnected are ignored.
void recordOutcome(ForwardedRequest &f, const std::string &server,
                   const Attempt &attempt);

} // namespace drumlanding::gateway
