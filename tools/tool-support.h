/// Shared by the fake servers and `load`: flags, a single-threaded HTTP server,
/// and JSON responses.
#pragma once

#include "drumlanding/base/settings.h"
#include "drumlanding/daemon/sleep.h"
#include "drumlanding/http/http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <span>
#include <string>

namespace drumlanding::tools {

namespace asio = boost::asio;
using daemon::sleepFor;
using Json = nlohmann::json;

inline http::Response jsonResponse(int status, const Json &json) {
  return {status, "application/json", json.dump() + "\n", {}};
}

inline http::Response emptyResponse(int status) {
  return jsonResponse(status, Json::object());
}

inline http::Response errorResponse(int status, const char *message) {
  return jsonResponse(status, {{"error", message}});
}

/// Parses a decimal number; returns `fallback` if `text` does not start with
/// one.
inline std::uint64_t parseNumberOr(std::string_view text,
                                   std::uint64_t fallback) {
  std::uint64_t n = fallback;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

/// Reads the flags of a program; exits with status 2 if they are invalid.
inline void readToolFlags(int argc, char **argv, std::string_view synopsis,
                          std::span<const std::string_view> flags) {
  if (sodium_init() < 0)
    std::exit(2);
  const auto settings = base::readSettings(argc, argv, synopsis, flags);
  if (!ok(settings))
    base::exitOnBadSettings(error(settings));
}

/// Serves on the calling thread until SIGTERM or SIGINT, then exits the
/// process.
inline int serveUntilStopped(asio::io_context &io, std::string_view listen,
                             http::Handler handler) {
  const auto endpoint = base::parseEndpoint("--listen", listen);
  if (!ok(endpoint))
    base::exitOnBadSettings(error(endpoint));
  auto server =
      http::Server::listen(io, value(endpoint), {}, std::move(handler));
  if (!ok(server))
    base::exitOnBadSettings(error(server));
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  std::_Exit(0);
}

} // namespace drumlanding::tools
