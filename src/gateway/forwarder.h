/// Forwarder: takes callers' requests, asks the config in force what to do with
/// them, and brings them to backend servers and the answers back.
#pragma once

#include "forwarded-request.h"
#include "migrator.h"

#include "drumlanding/http/http.h"

namespace drumlanding::gateway {

class Forwarder {
public:
  Forwarder(GatewayContext &ctx, Migrator &migrator)
      : Ctx(ctx), Migrations(migrator) {}

  /// Answers one request of a caller.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

private:
  /// Returns the final answer when the request goes no further.
  std::optional<http::Response> admit(ForwardedRequest &f);
  asio::awaitable<void> forwardCall(ForwardedRequest &f, http::Exchange &x);
  asio::awaitable<Attempt> attemptCall(ForwardedRequest &f, Server server);
  const Server *chooseServer(ForwardedRequest &f);
  void logRequestEnd(const ForwardedRequest &f, int status,
                     std::string_view why);

  GatewayContext &Ctx;
  Migrator &Migrations;
};

} // namespace drumlanding::gateway
