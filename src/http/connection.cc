#include "drumlanding/http/connection.h"

#include "message-head.h"
#include "socket-options.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace drumlanding::http {
namespace {

namespace beast = boost::beast;
using asio::use_awaitable;
using asio::ip::tcp;
using base::Result;
using boost::system::error_code;

/// Maximum number of body bytes that one read returns.
constexpr std::size_t MaxReadBytes = 16 << 10;
/// Lower statuses are those of interim responses.
constexpr unsigned FirstFinalStatus = 200;
/// Maximum number of interim responses before the final one.
constexpr int MaxInterimResponses = 16;
/// Maximum number of bytes that wait to be parsed. The parser has no limit of
/// its own on the header of a chunk.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;

base::ErrorCode toErrorCode(const error_code &ec) {
  namespace error = boost::asio::error;
  if (ec == beast::error::timeout)
    return base::ErrorCode::TimedOut;
  if (ec == beast::http::error::end_of_stream ||
      ec == beast::http::error::partial_message || ec == error::eof ||
      ec == error::connection_reset || ec == error::broken_pipe)
    return base::ErrorCode::Closed;
  if (ec == beast::http::error::header_limit ||
      ec == beast::http::error::buffer_overflow)
    return base::ErrorCode::TooLarge;
  // All other errors of the parser.
  if (ec.category() ==
      beast::http::make_error_code(beast::http::error::bad_status).category())
    return base::ErrorCode::Malformed;
  return base::ErrorCode::Unavailable;
}

base::Error toError(const base::Endpoint &to, const error_code &ec) {
  return {toErrorCode(ec), base::toString(to), ec.message()};
}

/// Returns the request line and the headers.
std::string serialiseHead(const Request &head, std::size_t bodyBytes) {
  std::string text = head.Method + " " + head.Target + " HTTP/1.1\r\n";
  for (const Header &h : head.Headers)
    text += h.Name + ": " + h.Value + "\r\n";
  const bool hasBody =
      bodyBytes > 0 || head.Method == "POST" || head.Method == "PUT";
  if (hasBody)
    text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  return text + "\r\n";
}

class TcpConnection final : public Connection {
public:
  TcpConnection(base::Endpoint to, beast::tcp_stream stream)
      : Peer(std::move(to)), Stream(std::move(stream)),
        SendEnded(Stream.get_executor(),
                  asio::steady_timer::time_point::max()) {}

  using Connection::send;
  void send(const Request &head, SharedBody body) override {
    IsHeadRequest = head.Method == "HEAD";
    auto text =
        std::make_shared<std::string>(serialiseHead(head, body->size()));
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(*text),
                                                    asio::buffer(*body)};
    IsSending = true;
    asio::async_write(Stream.socket(), buffers,
                      [self = shared_from_this(), this, text,
                       body](error_code ec, std::size_t) {
                        WriteError = ec;
                        IsSending = false;
                        SendEnded.cancel();
                      });
  }

  asio::awaitable<Result<ResponseHead>> readHead() override {
    for (int i = 0; i <= MaxInterimResponses; ++i) {
      Parser.emplace();
      Parser->body_limit(boost::none);
      Parser->skip(IsHeadRequest);
      const error_code ec =
          co_await readResponseHead(Stream, Buffer, *Parser, Parser->get());
      if (ec)
        co_return toError(Peer, ec);
      if (Parser->get().result_int() >= FirstFinalStatus)
        co_return makeHead();
    }
    co_return base::Error{base::ErrorCode::Malformed, base::toString(Peer),
                          "too many interim responses"};
  }

  asio::awaitable<Result<std::string>> read() override {
    std::string chunk;
    while (chunk.empty() && !Parser->is_done()) {
      chunk.resize(MaxReadBytes);
      Parser->get().body().data = chunk.data();
      Parser->get().body().size = chunk.size();
      error_code ec;
      co_await beast::http::async_read_some(
          Stream, Buffer, *Parser, asio::redirect_error(use_awaitable, ec));
      chunk.resize(chunk.size() - Parser->get().body().size);
      if (ec == beast::http::error::need_buffer)
        ec = {};
      if (ec && chunk.empty())
        co_return toError(Peer, ec);
      // Return the data received before an error; the next read reports it.
    }
    if (chunk.empty() && Parser->need_eof()) {
      const error_code failure = co_await findFailure();
      if (failure)
        co_return toError(Peer, failure);
    }
    co_return chunk;
  }

  void close() override {
    error_code ec;
    Stream.socket().close(ec);
  }

private:
  using BodyParser = beast::http::response_parser<beast::http::buffer_body>;

  ResponseHead makeHead() const {
    ResponseHead head;
    head.Status = static_cast<int>(Parser->get().result_int());
    head.IsDelimited = !Parser->need_eof() || Parser->is_done();
    for (const auto &field : Parser->get().base())
      head.Headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    return head;
  }

  /// Returns why a body that has ended with its connection is truncated; no
  /// error if it is complete. A socket reports a reset or a timeout only once:
  /// after a send has got it, reads see a regular end.
  asio::awaitable<error_code> findFailure() {
    // The send has failed too, but its completion may still be queued.
    while (IsSending && isFullyClosed(Stream.socket())) {
      error_code ec;
      co_await SendEnded.async_wait(asio::redirect_error(use_awaitable, ec));
    }
    // A reset after the server's regular end fails the send with EPIPE.
    if (WriteError == asio::error::broken_pipe)
      co_return error_code();
    co_return WriteError;
  }

  base::Endpoint Peer;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<BodyParser> Parser;
  bool IsHeadRequest = false;
  bool IsSending = false;
  /// Cancelled when the request has been sent, or could not be sent.
  asio::steady_timer SendEnded;
  /// Why the request could not be sent; a server may respond all the same.
  error_code WriteError;
};

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return beast::iequals(beast::string_view(a.data(), a.size()),
                        beast::string_view(b.data(), b.size()));
}

std::string_view findHeader(const std::vector<Header> &headers,
                            std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const Header &h) {
        return equalIgnoringCase(h.Name, name);
      });
  return it == headers.end() ? std::string_view() : it->Value;
}

std::string_view ResponseHead::header(std::string_view name) const {
  return findHeader(Headers, name);
}

asio::awaitable<Result<std::shared_ptr<Connection>>>
Connection::open(base::Endpoint to, base::milliseconds timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  error_code ec;
  const auto address = asio::ip::make_address(to.Address, ec);
  if (ec)
    co_return toError(to, ec);
  stream.expires_after(timeout);
  co_await stream.async_connect(tcp::endpoint(address, to.Port),
                                asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return toError(to, ec);
  stream.expires_never();
  setSocketOptions(stream.socket());
  std::shared_ptr<Connection> connection =
      std::make_shared<TcpConnection>(std::move(to), std::move(stream));
  co_return connection;
}

} // namespace drumlanding::http
