/// HTTP/1.1 server and client on Boost.Beast, with server-sent events. This
/// header does not include Beast, which adds many seconds to the compilation of
/// each file.
///
///   auto server = Server::listen(io, endpoint, options, handler);
///   asio::awaitable<void> handler(Request r, Exchange &x) {
///     co_await x.send({200, "text/plain", "hello\n"});
///   }
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/http/body-budget.h"
#include "drumlanding/http/connection-table.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::http {

namespace asio = boost::asio;

struct Header {
  std::string Name;
  std::string Value;
};

struct Request {
  std::string Method;
  /// Path and query, as sent.
  std::string Target;
  std::vector<Header> Headers;
  std::string Body;

  /// Returns a header's value, or an empty text if it is missing. Names are
  /// case-insensitive.
  std::string_view header(std::string_view name) const;
  std::string_view path() const;
  /// Returns a query parameter, or an empty text if it is missing.
  std::string_view query(std::string_view name) const;
};

struct Response {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  std::vector<Header> Headers;
};

/// One server-sent event.
struct ServerEvent {
  std::string Id;
  std::string Name;
  std::string Data;
};

/// Sends the response to one request. Use either `send`; or `beginEvents`,
/// `events` and `endEvents`; or `beginBody`, `body` and `endBody`. All return
/// false after the caller has disconnected. If a handler returns before
/// `endBody`, the connection is closed, so that the caller sees a truncated
/// response.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual asio::awaitable<bool> send(Response response) = 0;
  virtual asio::awaitable<bool> beginEvents(std::vector<Header> headers) = 0;
  virtual asio::awaitable<bool> events(std::vector<ServerEvent> events) = 0;
  virtual asio::awaitable<bool> endEvents() = 0;
  /// Starts a response with chunked transfer coding.
  virtual asio::awaitable<bool> beginBody(int status,
                                          std::vector<Header> headers) = 0;
  virtual asio::awaitable<bool> body(std::string bytes) = 0;
  virtual asio::awaitable<bool> endBody() = 0;
  /// Closes the connection after this response, and announces this in its
  /// headers.
  virtual void closeAfterResponse() = 0;
  /// Calls `handler` if the caller disconnects during the response.
  virtual void onDisconnect(std::function<void()> handler) = 0;
};

using Handler = std::function<asio::awaitable<void>(Request, Exchange &)>;

/// Limits on the size of callers' requests and on the time that they take.
struct CallerLimits {
  /// Of the head, of a chunk's header, and of the trailer, each.
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 1 << 20;
  /// From a request's first byte to the end of its headers.
  base::milliseconds HeaderTimeout{10'000};
  /// Between requests, for reading the body of one, and for each write.
  base::milliseconds IdleTimeout{60'000};
};

struct ServerOptions {
  CallerLimits Limits;
  /// If set, overrides `Limits` for each request that begins.
  std::function<CallerLimits()> CurrentLimits;
  /// When there are more connections, those that have waited for their clients
  /// for longest are closed. When all requests are being handled, new ones are
  /// closed unread.
  std::size_t MaxConnections = 2'000;
  /// Bounds connections and the memory of requests; may be shared by servers.
  /// The server has one of its own if unset.
  std::shared_ptr<ConnectionTable> Connections;
  /// If set, a new connection for which it returns false is closed unread.
  std::function<bool()> AcceptsConnection;
  /// If set, bounds the memory of all bodies; may be shared by servers.
  std::shared_ptr<BodyBudget> Bodies;
  /// The response to a request that does not fit into `Bodies` or
  /// `Connections`.
  Response NoRoom{503, "text/plain", "Too many large requests.\n", {}};
  /// Responses to requests that exceed a limit or cannot be parsed.
  Response BodyTooLarge{413, "text/plain", "The body is too large.\n", {}};
  Response HeaderTooLarge{
      431, "text/plain", "The headers are too large.\n", {}};
  Response RequestTimeout{
      408, "text/plain", "The request came too slowly.\n", {}};
  Response Malformed{400, "text/plain", "The request is malformed.\n", {}};
};

/// A listening server; each connection runs on its own strand. If the process
/// has no descriptors left, the server lowers the limit on connections.
class Server {
public:
  static base::Result<std::unique_ptr<Server>>
  listen(asio::io_context &io, const base::Endpoint &endpoint,
         ServerOptions options, Handler handler);
  ~Server();
  /// Closes the port; open connections are not affected.
  void stopAccepting();
  /// Closes each connection after its open response, or if there is none, after
  /// the response to its next request.
  void closeAfterResponses();
  /// Closes the connections on which no request is being read or processed.
  void closeIdle();

private:
  struct State;
  explicit Server(std::shared_ptr<State> s) : S(std::move(s)) {}
  std::shared_ptr<State> S;
};

/// The result of fetch().
struct FetchResult {
  /// False if no connection was established: the server received nothing.
  bool IsConnected = false;
  base::Result<Response> Outcome;
  /// The VM refused the connection: no process listens at the address.
  bool IsRefused = false;
};

/// The largest body of a response that fetch() reads.
inline constexpr std::size_t MaxResponseBytes = 8 << 20;

/// Sends a request on a new connection and reads the response. The timeout
/// covers the whole call, so use it only for small responses. A body larger
/// than `maxBodyBytes` is an error.
asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   base::milliseconds timeout,
                                   std::size_t maxBodyBytes = MaxResponseBytes);

/// Time limits of a call whose response may be large. How long a large response
/// takes depends on the bandwidth, so that only a lack of progress is an error.
struct TransferTimeouts {
  /// For the connection attempt, and from the end of the request to the end of
  /// the response's headers.
  base::milliseconds Response;
  /// For each write of the request and each read of the response's body.
  base::milliseconds Idle;
};

/// Called before each read of a response's body.
using ProgressHandler = std::function<void()>;

/// Sends a request on a new connection and reads a response of any size.
asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   TransferTimeouts timeouts,
                                   ProgressHandler onProgress = {});

/// How a stream of events ended.
struct StreamEnd {
  bool IsConnected = false;
  int Status = 0;
  /// True if the server ended the response properly.
  bool IsComplete = false;
  std::string Body;
};

/// Handles an event; returns false to end the stream.
using EventHandler = std::function<bool(const ServerEvent &)>;
/// Handles the headers of the response.
using HeadersHandler = std::function<void(const std::vector<Header> &)>;

/// Sends a request and reads server-sent events until the end. `idleTimeout` is
/// the maximum time without data.
asio::awaitable<StreamEnd> stream(base::Endpoint to, Request request,
                                  base::milliseconds idleTimeout,
                                  EventHandler onEvent,
                                  HeadersHandler onHead = nullptr);

} // namespace drumlanding::http
