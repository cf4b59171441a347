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

constexpr std::size_t LargestAnswer = 8 << 20;

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

template <typename Message> std::vector<Header> headersOf(const Message &m) {
  std::vector<Header> headers;
  for (const auto &field : m.base())
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return headers;
}

base::Error failure(const base::Endpoint &to, const error_code &ec) {
  const bool late = ec == beast::error::timeout;
  return {late ? base::ErrorCode::TimedOut : base::ErrorCode::Unavailable,
          base::toString(to), ec.message()};
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
  /// Calls `each` for every event completed by `bytes`; false when it ends.
  bool feed(std::string_view bytes, const EventHandler &each) {
    Rest += bytes;
    std::size_t from = 0;
    for (;;) {
      const auto end = Rest.find('\n', from);
      if (end == std::string::npos)
        break;
      std::string_view line(Rest.data() + from, end - from);
      from = end + 1;
      if (line.ends_with('\r'))
        line.remove_suffix(1);
      if (!take(line, each))
        return false;
    }
    Rest.erase(0, from);
    return true;
  }

private:
  bool take(std::string_view line, const EventHandler &each) {
    if (line.empty()) {
      const bool isEvent = !Current.Data.empty() || !Current.Name.empty();
      const bool goOn = !isEvent || each(Current);
      Current = ServerEvent();
      return goOn;
    }
    const auto valueOf = [&](std::string_view field) {
      line.remove_prefix(field.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      return std::string(line);
    };
    if (line.starts_with("id:"))
      Current.Id = valueOf("id:");
    else if (line.starts_with("event:"))
      Current.Name = valueOf("event:");
    else if (line.starts_with("data:"))
      Current.Data += valueOf("data:");
    return true;
  }

  std::string Rest;
  ServerEvent Current;
};

} // namespace

asio::awaitable<Fetched> fetch(base::Endpoint to, Request request,
                               base::milliseconds timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  if (const error_code ec = co_await connect(stream, to); ec)
    co_return Fetched{false, failure(to, ec)};
  auto message = toMessage(to, std::move(request));
  error_code ec;
  co_await beast::http::async_write(stream, message,
                                    asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return Fetched{true, failure(to, ec)};
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(LargestAnswer);
  co_await beast::http::async_read(stream, buffer, parser,
                                   asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return Fetched{true, failure(to, ec)};
  auto answer = parser.release();
  Response response;
  response.Status = static_cast<int>(answer.result_int());
  response.ContentType = std::string(answer[beast::http::field::content_type]);
  response.Headers = headersOf(answer);
  response.Body = std::move(answer.body());
  co_return Fetched{true, std::move(response)};
}

asio::awaitable<StreamEnd> stream(base::Endpoint to, Request request,
                                  base::milliseconds idleLimit,
                                  EventHandler onEvent, HeadHandler onHead) {
  StreamEnd end;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(idleLimit);
  if (const error_code ec = co_await connect(stream, to); ec)
    co_return end;
  end.Reached = true;
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
    onHead(headersOf(parser.get()));
  EventParser events;
  std::array<char, 16 << 10> chunk{};
  bool goOn = true;
  while (!parser.is_done() && goOn) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    stream.expires_after(idleLimit);
    co_await beast::http::async_read_some(
        stream, buffer, parser, asio::redirect_error(use_awaitable, ec));
    if (ec == beast::http::error::need_buffer)
      ec = {};
    const std::size_t n = chunk.size() - parser.get().body().size;
    const std::string_view bytes(chunk.data(), n);
    if (end.Status == 200)
      goOn = events.feed(bytes, onEvent);
    else
      end.Body += bytes;
    if (ec)
      break;
  }
  end.Whole = goOn && parser.is_done() && !ec;
  stream.socket().shutdown(tcp::socket::shutdown_both, ec);
  co_return end;
}

} // namespace drumlanding::http
