/// Forwarder: routes callers' requests to backend servers according to the
/// config in force and returns the responses.
#pragma once

#include "forwarded-request.h"
#include "migrator.h"

#include "drumlanding/http/http.h"

#include <unordered_set>

namespace drumlanding::gateway {

class Forwarder {
public:
  Forwarder(GatewayContext &ctx, Migrator &migrator)
      : Ctx(ctx), Migrations(migrator) {}

  /// Handles one request of a caller.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

  /// Ends the work on all open requests. Those without a response get one.
  void abortAll(AbortReason reason);

private:
  /// Matches the request with a route and checks its key. Returns the response
  /// when the request is rejected, and nullopt when it is to be forwarded.
  std::optional<http::Response> admit(ForwardedRequest &f);
  bool mayOutlastStop(const ForwardedRequest &f) const;
  asio::awaitable<std::optional<Server>> nextServer(ForwardedRequest &f,
                                                    http::Exchange &x);
  asio::awaitable<void> forwardCall(ForwardedRequest &f, http::Exchange &x);
  asio::awaitable<Attempt> attemptCall(ForwardedRequest &f, Server server);
  const Server *chooseServer(ForwardedRequest &f);
  void logRequestEnd(const ForwardedRequest &f, int status,
                     std::string_view cause);

  GatewayContext &Ctx;
  Migrator &Migrations;
  std::unordered_set<ForwardedRequest *> OpenRequests;
};

} // namespace drumlanding::gateway
