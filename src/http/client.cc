#include "drumlanding/http/http.h"

#include "message-head.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace drumlanding::http {
namespace {

namespace beast = boost::beast;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

/// Maximum number of bytes that wait to be parsed. The parser has no limit of
/// its own on the header of a chunk.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;
/// Maximum size of a server-sent event.
constexpr std::size_t MaxEventBytes = 1 << 20;
/// A transfer slower than this counts as stalled. A megabyte takes a minute.
constexpr std::size_t MinBytesPerSecond = 16 << 10;

beast::http::request<beast::http::string_body>
toMessage(const base::Endpoint &to, Request request) {
  beast::http::request<beast::http::string_body> message;
  message.version(11);
  message.method_string(request.Method);
  message.target(request.Target);
  message.set(beast::http::field::host, base::toString(to));
  for (const Header &h : request.Headers)
    message.set(h.Name, h.Value);
  message.keep_alive(false);
  message.body() = std::move(request.Body);
  message.prepare_payload();
  return message;
}

template <typename Message> std::vector<Header> copyHeaders(const Message &m) {
  std::vector<Header> headers;
  for (const auto &field : m.base())
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return headers;
}

base::Error toError(const base::Endpoint &to, const error_code &ec) {
  const bool isTimeout = ec == beast::error::timeout;
  return {isTimeout ? base::ErrorCode::TimedOut : base::ErrorCode::Unavailable,
          base::toString(to), ec.message()};
}

/// Returns an error that tells how much of the response had been received.
base::Error toReadError(const base::Endpoint &to, const error_code &ec,
                        std::size_t bodyBytes) {
  base::Error e = toError(to, ec);
  e.Message += " after " + std::to_string(bodyBytes) + " bytes of the body";
  return e;
}

asio::awaitable<error_code> connect(beast::tcp_stream &stream,
                                    const base::Endpoint &to) {
  error_code ec;
  const auto address = asio::ip::make_address(to.Address, ec);
  if (ec)
    co_return ec;
  co_await stream.async_connect(tcp::endpoint(address, to.Port),
                                asio::redirect_error(use_awaitable, ec));
  if (!ec)
    stream.socket().set_option(tcp::no_delay(true));
  co_return ec;
}

/// Splits a byte stream into server-sent events.
class EventParser {
public:
  /// Calls `onEvent` for every event that `bytes` completes; returns false once
  /// it does, or when an event is larger than MaxEventBytes.
  bool feed(std::string_view bytes, const EventHandler &onEvent) {
    Pending += bytes;
    std::size_t from = 0;
    for (;;) {
      const auto end = Pending.find('\n', from);
      if (end == std::string::npos)
        break;
      std::string_view line(Pending.data() + from, end - from);
      from = end + 1;
      if (line.ends_with('\r'))
        line.remove_suffix(1);
      if (!processLine(line, onEvent))
        return false;
    }
    Pending.erase(0, from);
    return Pending.size() + Current.Data.size() <= MaxEventBytes;
  }

private:
  bool processLine(std::string_view line, const EventHandler &onEvent) {
    if (line.empty()) {
      const bool isEvent = !Current.Data.empty() || !Current.Name.empty();
      const bool shouldContinue = !isEvent || onEvent(Current);
      Current = ServerEvent();
      return shouldContinue;
    }
    const auto fieldValue = [&](std::string_view field) {
      line.remove_prefix(field.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      return std::string(line);
    };
    if (line.starts_with("id:"))
      Current.Id = fieldValue("id:");
    else if (line.starts_with("event:"))
      Current.Name = fieldValue("event:");
    else if (line.starts_with("data:"))
      Current.Data += fieldValue("data:");
    return true;
  }

  std::string Pending;
  ServerEvent Current;
};

} // namespace

namespace {

using StringParser = beast::http::response_parser<beast::http::string_body>;
using StringRequest = beast::http::request<beast::http::string_body>;
/// Unset when the response timeout covers the whole call.
using IdleTimeout = std::optional<base::milliseconds>;

/// Sends a request. The idle timeout starts anew with each write.
asio::awaitable<error_code> writeRequest(beast::tcp_stream &stream,
                                         StringRequest message,
                                         IdleTimeout idleTimeout) {
  beast::http::request_serializer<beast::http::string_body> serializer(message);
  error_code ec;
  while (!serializer.is_done() && !ec) {
    if (idleTimeout)
      stream.expires_after(*idleTimeout);
    co_await beast::http::async_write_some(
        stream, serializer, asio::redirect_error(use_awaitable, ec));
  }
  co_return ec;
}

/// Reads the rest of a response. The idle timeout starts anew with each read.
asio::awaitable<error_code> readBody(beast::tcp_stream &stream,
                                     beast::flat_buffer &buffer,
                                     StringParser &parser,
                                     IdleTimeout idleTimeout,
                                     const ProgressHandler &onProgress) {
  using SteadyClock = std::chrono::steady_clock;
  const auto startedAt = SteadyClock::now();
  error_code ec;
  while (!parser.is_done() && !ec) {
    if (onProgress)
      onProgress();
    const std::chrono::seconds slowest(parser.get().body().size() /
                                       MinBytesPerSecond);
    if (idleTimeout)
      stream.expires_at(std::min(SteadyClock::now(), startedAt + slowest) +
                        *idleTimeout);
    co_await beast::http::async_read_some(
        stream, buffer, parser, asio::redirect_error(use_awaitable, ec));
  }
  co_return ec;
}

Response toResponse(StringParser::value_type message) {
  Response response;
  response.Status = static_cast<int>(message.result_int());
  response.ContentType = std::string(message[beast::http::field::content_type]);
  response.Headers = copyHeaders(message);
  response.Body = std::move(message.body());
  return response;
}

asio::awaitable<FetchResult> performCall(base::Endpoint to, Request request,
                                         base::milliseconds responseTimeout,
                                         IdleTimeout idleTimeout,
                                         std::size_t maxBodyBytes,
                                         ProgressHandler onProgress) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(responseTimeout);
  if (const error_code ec = co_await connect(stream, to); ec)
    co_return FetchResult{false, toError(to, ec),
                          ec == asio::error::connection_refused};
  auto message = toMessage(to, std::move(request));
  error_code ec =
      co_await writeRequest(stream, std::move(message), idleTimeout);
  beast::flat_buffer buffer(MaxUnparsedBytes);
  StringParser parser;
  parser.body_limit(maxBodyBytes);
  if (idleTimeout)
    stream.expires_after(responseTimeout);
  if (!ec)
    ec = co_await readResponseHead(stream, buffer, parser, parser.get());
  if (!ec)
    ec = co_await readBody(stream, buffer, parser, idleTimeout, onProgress);
  if (ec)
    co_return FetchResult{true,
                          toReadError(to, ec, parser.get().body().size())};
  co_return FetchResult{true, toResponse(parser.release())};
}

} // namespace

asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   TransferTimeouts timeouts,
                                   ProgressHandler onProgress) {
  return performCall(std::move(to), std::move(request), timeouts.Response,
                     timeouts.Idle, MaxResponseBytes, std::move(onProgress));
}

asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   base::milliseconds timeout,
                                   std::size_t maxBodyBytes) {
  return performCall(std::move(to), std::move(request), timeout, std::nullopt,
                     maxBodyBytes, {});
}

asio::awaitable<StreamEnd> stream(base::Endpoint to, Request request,
                                  base::milliseconds idleTimeout,
                                  EventHandler onEvent, HeadersHandler onHead) {
  StreamEnd end;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(idleTimeout);
  if (const error_code ec = co_await connect(stream, to); ec)
    co_return end;
  end.IsConnected = true;
  auto message = toMessage(to, std::move(request));
  error_code ec;
  co_await beast::http::async_write(stream, message,
                                    asio::redirect_error(use_awaitable, ec));
  beast::flat_buffer buffer(MaxUnparsedBytes);
  beast::http::response_parser<beast::http::buffer_body> parser;
  parser.body_limit(boost::none);
  if (!ec)
    ec = co_await readResponseHead(stream, buffer, parser, parser.get());
  if (ec)
    co_return end;
  end.Status = static_cast<int>(parser.get().result_int());
  if (onHead)
    onHead(copyHeaders(parser.get()));
  EventParser events;
  std::array<char, 16 << 10> chunk{};
  bool shouldContinue = true;
  while (!parser.is_done() && shouldContinue) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    stream.expires_after(idleTimeout);
    co_await beast::http::async_read_some(
        stream, buffer, parser, asio::redirect_error(use_awaitable, ec));
    if (ec == beast::http::error::need_buffer)
      ec = {};
    const std::size_t n = chunk.size() - parser.get().body().size;
    const std::string_view bytes(chunk.data(), n);
    if (end.Status == 200)
      shouldContinue = events.feed(bytes, onEvent);
    else
      end.Body += bytes;
    if (ec || end.Body.size() > MaxResponseBytes)
      break;
  }
  end.IsComplete = shouldContinue && parser.is_done() && !ec;
  stream.socket().shutdown(tcp::socket::shutdown_both, ec);
  co_return end;
}

} // namespace drumlanding::http
