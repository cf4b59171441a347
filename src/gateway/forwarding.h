/// Forwarding: one caller's request on its way to a backend server and back.
#pragma once

#include "world.h"

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
struct Forwarding : std::enable_shared_from_this<Forwarding> {
  Forwarding(World &world, CallerRequest request)
      : W(world), Request(std::move(request)), Limit(world.Io) {}

  World &W;
  CallerRequest Request;
  /// The config that it began with; keeps TheRoute and Holder alive.
  RouteTablePointer Routes;
  const Route *TheRoute = nullptr;
  const Service *TheService = nullptr;
  /// Null on public routes.
  const Organisation *Holder = nullptr;
  base::Instant ReceivedAt{};
  /// When the caller, or the operators, want it to be over.
  base::Instant Deadline{};
  asio::steady_timer Limit;

  /// The connection to a server that is in use.
  std::shared_ptr<http::Connection> Connection;
  /// The servers that it was sent to or that could not be reached.
  std::vector<std::string> Tried;
  int Sends = 0;
  /// How often it has arrived at a server, ended ones too.
  int Arrivals = 0;
  bool MayHaveRun = false;
  bool IsLate = false;
  bool HasCallerLeft = false;

  base::milliseconds timeLeft() const {
    return base::milliseconds(base::toMs(Deadline - W.now()));
  }
  bool isOver() const { return IsLate || HasCallerLeft; }
  /// Priority for engines, 0 (first) to 9: the organisation's goes first.
  int priority() const;
  /// Ends whatever waits for a server.
  void stop();
  void startLimit();
};

using ForwardingPointer = std::shared_ptr<Forwarding>;

/// A whole answer of a server.
struct WholeAnswer {
  ServerResponse Head;
  std::string Body;
};

/// One attempt at a server.
struct Attempt {
  AttemptOutcome End = AttemptOutcome::Unreachable;
  /// For the log.
  std::string Why;
  std::optional<WholeAnswer> Answer;
};

/// Connects to a server within the time that is left; null when no connection
/// came about.
asio::awaitable<std::shared_ptr<http::Connection>> connectTo(Forwarding &f,
                                                             Server server);

/// Sends the request; from here on it may run.
void sendTo(Forwarding &f, const Server &server,
            const std::optional<ResumePoint> &from);

/// Reads heads until one answers this request; none when the connection broke.
asio::awaitable<std::optional<ServerResponse>> readOwnHead(Forwarding &f);

/// Reads a body to its end; none when it broke off.
asio::awaitable<std::optional<std::string>> readBody(Forwarding &f);

/// Says how a whole answer ends its attempt.
AttemptOutcome endOf(const ServerResponse &answer);

/// Asks the policy what follows an attempt.
Step stepAfter(Forwarding &f, const Attempt &attempt, bool hasServer);

/// The final answer when nothing of a server can be passed on.
http::Response refusal(const Forwarding &f, base::Verdict verdict,
                       base::Reason why);

/// Passes a whole answer on.
http::Response toResponse(WholeAnswer answer);

/// Records the outcome of an attempt for the server's health.
void noteOutcome(Forwarding &f, const std::string &server,
                 const Attempt &attempt);

} // namespace drumlanding::gateway
