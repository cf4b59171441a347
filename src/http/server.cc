#include "drumlanding/http/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace drumlanding::http {
namespace {

namespace beast = boost::beast;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t LargestHead = 16 << 10;
constexpr int ListenBacklog = 1024;

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return beast::iequals(beast::string_view(a.data(), a.size()),
                        beast::string_view(b.data(), b.size()));
}

std::string formatted(const ServerEvent &event) {
  std::string text;
  if (!event.Id.empty())
    text += "id: " + event.Id + "\n";
  if (!event.Name.empty())
    text += "event: " + event.Name + "\n";
  return text + "data: " + event.Data + "\n\n";
}

Request toRequest(beast::http::request<beast::http::string_body> message) {
  Request request;
  request.Method = std::string(message.method_string());
  request.Target = std::string(message.target());
  for (const auto &field : message.base())
    request.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  request.Body = std::move(message.body());
  return request;
}

/// One connection's answers.
class Connection final : public Exchange {
public:
  explicit Connection(beast::tcp_stream &stream, bool keepAlive)
      : Stream(stream), KeepAlive(keepAlive) {}

  asio::awaitable<bool> send(Response response) override {
    beast::http::response<beast::http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.Status));
    if (!response.ContentType.empty())
      message.set(beast::http::field::content_type, response.ContentType);
    for (const Header &h : response.Headers)
      message.set(h.Name, h.Value);
    message.keep_alive(KeepAlive);
    message.body() = std::move(response.Body);
    message.prepare_payload();
    error_code ec;
    co_await beast::http::async_write(Stream, message,
                                      asio::redirect_error(use_awaitable, ec));
    co_return !ec;
  }

  asio::awaitable<bool> beginEvents(std::vector<Header> headers) override {
    std::string head = "HTTP/1.1 200 OK\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Cache-Control: no-cache\r\n"
                       "Connection: close\r\n";
    for (const Header &h : headers)
      head += h.Name + ": " + h.Value + "\r\n";
    KeepAlive = false;
    watch();
    co_return co_await write(head + "\r\n");
  }

  asio::awaitable<bool> events(std::vector<ServerEvent> events) override {
    std::string text;
    for (const ServerEvent &event : events)
      text += formatted(event);
    co_return co_await write(std::move(text));
  }

  asio::awaitable<bool> endEvents() override {
    error_code ec;
    Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    co_return !ec;
  }

  void onGone(std::function<void()> gone) override { Gone = std::move(gone); }
  bool keepsAlive() const { return KeepAlive; }

private:
  asio::awaitable<bool> write(std::string text) {
    error_code ec;
    co_await asio::async_write(Stream, asio::buffer(text),
                               asio::redirect_error(use_awaitable, ec));
    co_return !ec;
  }

  /// An event stream's caller says nothing more: a read ends when it leaves.
  void watch() {
    auto byte = std::make_shared<char>();
    std::weak_ptr<bool> alive = Alive;
    Stream.socket().async_read_some(
        asio::buffer(byte.get(), 1),
        [this, byte, alive](error_code ec, std::size_t) {
          if (alive.expired())
            return;
          if (ec && Gone)
            Gone();
        });
  }

  beast::tcp_stream &Stream;
  bool KeepAlive;
  std::function<void()> Gone;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

std::string_view Request::header(std::string_view name) const {
  for (const Header &h : Headers)
    if (equalIgnoringCase(h.Name, name))
      return h.Value;
  return {};
}

std::string_view Request::path() const {
  const std::string_view target = Target;
  return target.substr(0, target.find('?'));
}

std::string_view Request::query(std::string_view name) const {
  const std::string_view target = Target;
  const auto mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name)
      return equals < pair.size() ? pair.substr(equals + 1) : "";
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context &io, ServerOptions options, Handler handler)
      : Io(io), Acceptor(asio::make_strand(io)), Options(std::move(options)),
        Handle(std::move(handler)) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(tcp::socket socket);
  asio::awaitable<bool> serveOne(beast::tcp_stream &stream,
                                 beast::flat_buffer &buffer);

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  ServerOptions Options;
  Handler Handle;
};

asio::awaitable<void> Server::State::accept() {
  const auto self = shared_from_this();
  while (Acceptor.is_open()) {
    error_code ec;
    tcp::socket socket(asio::make_strand(Io));
    co_await Acceptor.async_accept(socket,
                                   asio::redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec)
      continue;
    socket.set_option(tcp::no_delay(true), ec);
    auto executor = socket.get_executor();
    asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Server::State::serve(tcp::socket socket) {
  const auto self = shared_from_this();
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (co_await serveOne(stream, buffer)) {
  }
  error_code ec;
  stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

asio::awaitable<bool> Server::State::serveOne(beast::tcp_stream &stream,
                                              beast::flat_buffer &buffer) {
  beast::http::request_parser<beast::http::string_body> parser;
  parser.body_limit(Options.MaxBodyBytes);
  parser.header_limit(LargestHead);
  stream.expires_after(Options.IdleLimit);
  error_code ec;
  co_await beast::http::async_read(stream, buffer, parser,
                                   asio::redirect_error(use_awaitable, ec));
  stream.expires_never();
  Connection connection(stream,
                        parser.is_header_done() && parser.get().keep_alive());
  if (ec == beast::http::error::body_limit) {
    co_await connection.send(Options.TooLarge);
    co_return false;
  }
  const bool isMalformed =
      ec.category() ==
      beast::http::make_error_code(beast::http::error::bad_method).category();
  const bool isGone = ec == beast::http::error::end_of_stream ||
                      ec == beast::http::error::partial_message;
  if (ec && isMalformed && !isGone)
    co_await connection.send(Options.Malformed);
  if (ec)
    co_return false;
  co_await Handle(toRequest(parser.release()), connection);
  co_return connection.keepsAlive();
}

base::Result<std::unique_ptr<Server>>
Server::listen(asio::io_context &io, const base::Endpoint &endpoint,
               ServerOptions options, Handler handler) {
  auto state =
      std::make_shared<State>(io, std::move(options), std::move(handler));
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.Address, ec);
  const tcp::endpoint at(address, endpoint.Port);
  if (!ec)
    state->Acceptor.open(at.protocol(), ec);
  if (!ec)
    state->Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    state->Acceptor.bind(at, ec);
  if (!ec)
    state->Acceptor.listen(ListenBacklog, ec);
  if (ec)
    return base::Error{base::ErrorCode::Unavailable, base::toString(endpoint),
                       ec.message()};
  asio::co_spawn(state->Acceptor.get_executor(), state->accept(),
                 asio::detached);
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

void Server::stopAccepting() {
  asio::post(S->Acceptor.get_executor(), [s = S] {
    error_code ec;
    s->Acceptor.close(ec);
  });
}

Server::~Server() { stopAccepting(); }

} // namespace drumlanding::http
