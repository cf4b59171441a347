/// Forwarder: takes callers' requests, asks the config in force what to do with
/// them, and brings them to backend servers and the answers back.
#pragma once

#include "forwarding.h"
#include "mover.h"

#include "drumlanding/http/http.h"

namespace drumlanding::gateway {

class Forwarder {
public:
  Forwarder(World &world, Mover &mover) : W(world), Moves(mover) {}

  /// Answers one request of a caller.
  asio::awaitable<void> serve(http::Request request, http::Exchange &x);

private:
  /// Returns the final answer when the request goes no further.
  std::optional<http::Response> admit(Forwarding &f);
  asio::awaitable<void> forwardCall(Forwarding &f, http::Exchange &x);
  asio::awaitable<Attempt> tryCall(Forwarding &f, Server server);
  const Server *nextServer(Forwarding &f);
  void logEnd(const Forwarding &f, int status, std::string_view why);

  World &W;
  Mover &Moves;
};

} // namespace drumlanding::gateway
