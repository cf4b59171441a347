/// ForwardedRequest: one caller's request on its way to a backend server and
/// back.
#pragma once

#include "gateway-context.h"

#include "drumlanding/base/verdict.h"
#include "drumlanding/gateway/attempt-policy.h"
#include "drumlanding/http/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::gateway {

/// A request that the config in force allows, and what has become of it.
struct ForwardedRequest : std::enable_shared_from_this<ForwardedRequest> {
  ForwardedRequest(GatewayContext &ctx, CallerRequest request)
      : Ctx(ctx), Request(std::move(request)), DeadlineTimer(ctx.Io) {}

  GatewayContext &Ctx;
  CallerRequest Request;
  /// The config that it began with; keeps MatchedRoute and CallerOrganisation
  /// alive.
  RouteTablePointer Routes;
  const Route *MatchedRoute = nullptr;
  const Service *ChosenService = nullptr;
  /// Null on public routes.
  const Organisation *CallerOrganisation = nullptr;
  base::Instant ReceivedAt{};
  /// When the caller, or the operators, want it to be over.
  base::Instant Deadline{};
  asio::steady_timer DeadlineTimer;

  /// The connection to a server that is in use.
  std::shared_ptr<http::Connection> Connection;
  /// The servers that it was sent to or that could not be reached.
  std::vector<std::string> TriedServers;
  int Sends = 0;
  /// How often it has arrived at a server, ended ones too.
  int Arrivals = 0;
  bool MayHaveRun = false;
  bool IsExpired = false;
  bool HasCallerDisconnected = false;

  base::milliseconds timeRemaining() const {
    return base::milliseconds(base::toMs(Deadline - Ctx.now()));
  }
  bool isAborted() const { return IsExpired || HasCallerDisconnected; }
  /// Priority for engines, 0 (first) to 9: the organisation's goes first.
  int priority() const;
  /// Ends whatever waits for a server.
  void closeConnection();
  void startDeadlineTimer();
};

using ForwardedRequestPointer = std::shared_ptr<ForwardedRequest>;

/// A whole answer of a server.
struct CompleteResponse {
  ServerResponse Head;
  std::string Body;
};

/// One attempt at a server.
struct Attempt {
  AttemptOutcome End = AttemptOutcome::Unreachable;
  /// For the log.
  std::string Cause;
  std::optional<CompleteResponse> Response;
};

/// Connects to a server within the time that is left; null when no connection
/// came about.
asio::awaitable<std::shared_ptr<http::Connection>>
connectTo(ForwardedRequest &f, Server server);

/// Sends the request; from here on it may run.
void sendTo(ForwardedRequest &f, const Server &server,
            const std::optional<ResumePoint> &from);

/// Reads heads until one answers this request; none when the connection broke.
asio::awaitable<std::optional<ServerResponse>>
readMatchingHead(ForwardedRequest &f);

/// Reads a body to its end; none when it broke off.
asio::awaitable<std::optional<std::string>> readBody(ForwardedRequest &f);

/// Says how a whole answer ends its attempt.
AttemptOutcome classifyResponse(const ServerResponse &answer);

/// Asks the policy what follows an attempt.
Step decideNextStep(ForwardedRequest &f, const Attempt &attempt,
                    bool hasServer);

/// The final answer when nothing of a server can be passed on.
http::Response makeRefusal(const ForwardedRequest &f, base::Verdict verdict,
                           base::Reason why);

/// Passes a whole answer on.
http::Response toResponse(CompleteResponse answer);

/// Records the outcome of an attempt for the server's health.
void recordOutcome(ForwardedRequest &f, const std::string &server,
                   const Attempt &attempt);

} // namespace drumlanding::gateway
