#include "drumlanding/http/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace drumlanding::http {
namespace {

namespace beast = boost::beast;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t MaxResponseBytes = 8 << 20;

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
  /// it does.
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
    return true;
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

asio::awaitable<FetchResult> fetch(base::Endpoint to, Request request,
                                   base::milliseconds timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  if (const error_code ec = co_await connect(stream, to); ec)
    co_return FetchResult{false, toError(to, ec)};
  auto message = toMessage(to, std::move(request));
  error_code ec;
  co_await beast::http::async_write(stream, message,
                                    asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return FetchResult{true, toError(to, ec)};
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(MaxResponseBytes);
  co_await beast::http::async_read(stream, buffer, parser,
                                   asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return FetchResult{true,
                          toReadError(to, ec, parser.get().body().size())};
  auto parsed = parser.release();
  Response response;
  response.Status = static_cast<int>(parsed.result_int());
  response.ContentType = std::string(parsed[beast::http::field::content_type]);
  response.Headers = copyHeaders(parsed);
  response.Body = std::move(parsed.body());
  co_return FetchResult{true, std::move(response)};
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
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::buffer_body> parser;
  parser.body_limit(boost::none);
  if (!ec)
    co_await beast::http::async_read_header(
        stream, buffer, parser, asio::redirect_error(use_awaitable, ec));
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
    if (ec)
      break;
  }
  end.IsComplete = shouldContinue && parser.is_done() && !ec;
  stream.socket().shutdown(tcp::socket::shutdown_both, ec);
  co_return end;
}

} // namespace drumlanding::http
