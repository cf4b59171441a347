/// HTTP/1.1 by Boost.Beast: a small server and client, with server-sent
/// events. Beast itself stays out of this header, since it costs many seconds
/// a file.
///
///   auto server = Server::listen(io, endpoint, options, handler);
///   asio::awaitable<void> handler(Request r, Exchange &x) {
///     co_await x.send({200, "text/plain", "hello\n"});
///   }
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"

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

  /// Returns a header's value, or an empty text. Names ignore case.
  std::string_view header(std::string_view name) const;
  std::string_view path() const;
  /// Returns a parameter of the query, or an empty text.
  std::string_view query(std::string_view name) const;
};

struct Response {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  std::vector<Header> Headers;
};

/// One event of a stream.
struct ServerEvent {
  std::string Id;
  std::string Name;
  std::string Data;
};

/// Answers one request. Use either `send`; or `beginEvents`, `events` and
/// `endEvents`; or `beginBody`, `body` and `endBody`. All return false once the
/// caller is gone. A handler that returns with an open body breaks the
/// connection off, so that the answer does not look whole.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual asio::awaitable<bool> send(Response response) = 0;
  virtual asio::awaitable<bool> beginEvents(std::vector<Header> headers) = 0;
  virtual asio::awaitable<bool> events(std::vector<ServerEvent> events) = 0;
  virtual asio::awaitable<bool> endEvents() = 0;
  /// Begins an answer in chunks of unknown number.
  virtual asio::awaitable<bool> beginBody(int status,
                                          std::vector<Header> headers) = 0;
  virtual asio::awaitable<bool> body(std::string bytes) = 0;
  virtual asio::awaitable<bool> endBody() = 0;
  /// Announces with this answer that the connection closes after it.
  virtual void closeAfterResponse() = 0;
  /// Calls `gone` when the caller closes the connection in mid-answer.
  virtual void onDisconnect(std::function<void()> handler) = 0;
};

using Handler = std::function<asio::awaitable<void>(Request, Exchange &)>;

/// What a caller may send, and how long it may take and rest.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 1 << 20;
  /// From a request's first byte to the end of its headers.
  base::milliseconds HeaderTimeout{10'000};
  /// Between requests, and for each read or write within one.
  base::milliseconds IdleTimeout{60'000};
};

struct ServerOptions {
  CallerLimits Limits;
  /// When set, replaces `Limits` from the next request on.
  std::function<CallerLimits()> CurrentLimits;
  /// What an oversized body is answered with.
  Response BodyTooLarge{413, "text/plain", "The body is too large.\n", {}};
  Response HeaderTooLarge{
      431, "text/plain", "The headers are too large.\n", {}};
  Response RequestTimeout{
      408, "text/plain", "The request came too slowly.\n", {}};
  Response Malformed{400, "text/plain", "The request is malformed.\n", {}};
};

/// A listening server; each connection runs on a strand of its own.
class Server {
public:
  static base::Result<std::unique_ptr<Server>>
  listen(asio::io_context &io, const base::Endpoint &endpoint,
         ServerOptions options, Handler handler);
  ~Server();
  /// Closes the port; open connections go on until their answer is sent.
  void stopAccepting();
  /// From now on each answer closes its connection.
  void closeAfterResponses();
  /// Closes the connections on which no request is being read or answered.
  void closeIdle();

private:
  struct State;
  explicit Server(std::shared_ptr<State> s) : S(std::move(s)) {}
  std::shared_ptr<State> S;
};

/// What became of a request of ours.
struct FetchResult {
  /// False when no connection came about: the other side saw nothing.
  bool IsConnected = false;
  base::Result<Response> Outcome;
};

/// Sends one request on a connection of its own and reads the answer.
asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   base::milliseconds timeout);

/// How a stream of events ended.
struct StreamEnd {
  bool IsConnected = false;
  int Status = 0;
  /// True when the other side ended it properly.
  bool IsComplete = false;
  std::string Body;
};

/// What a caller does with each event; false ends the stream.
using EventHandler = std::function<bool(const ServerEvent &)>;
/// Gets the head of the answer.
using HeadersHandler = std::function<void(const std::vector<Header> &)>;

/// Sends a request and reads server-sent events until the end. `idleLimit` is
/// the longest silence.
asio::awaitable<StreamEnd> stream(base::Endpoint to, Request request,
                                  base::milliseconds idleLimit,
                                  EventHandler onEvent,
                                  HeadersHandler onHead = nullptr);

} // namespace drumlanding::http
