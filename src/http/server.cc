#include "drumlanding/http/http.h"

#include "drumlanding/http/connection-table.h"
#include "drumlanding/http/connection.h"
#include "message-head.h"
#include "socket-options.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <mutex>
#include <optional>
#include <sstream>
#include <sys/socket.h>
#include <unordered_set>

namespace drumlanding::http {
namespace {

namespace beast = boost::beast;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int ListenBacklog = 1024;
/// When descriptors run out, this many are freed for other uses.
constexpr std::size_t ReservedDescriptors = 16;
/// Time after which a failed accept is repeated.
constexpr base::milliseconds AcceptRetryDelay{10};
/// Large enough for the headers and body of most requests.
constexpr std::size_t FirstReadBytes = 4 << 10;
/// Maximum number of bytes of one read.
constexpr std::size_t MaxReadBytes = 64 << 10;

std::string formatEvent(const ServerEvent &event) {
  std::string text;
  if (!event.Id.empty())
    text += "id: " + event.Id + "\n";
  if (!event.Name.empty())
    text += "event: " + event.Name + "\n";
  return text + "data: " + event.Data + "\n\n";
}

/// A request's body in a string. Beast's own allocates the announced length
/// before the first byte arrives.
struct RequestBody {
  using value_type = std::string;

  // Beast requires this name.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, typename Fields>
    reader(beast::http::header<IsRequest, Fields> &, value_type &body)
        : Body(body) {}

    static void init(const boost::optional<std::uint64_t> &, error_code &ec) {
      ec = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers &buffers, error_code &ec) {
      ec = {};
      for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
        Body.append(static_cast<const char *>(buffer.data()), buffer.size());
      return beast::buffer_bytes(buffers);
    }

    static void finish(error_code &ec) { ec = {}; }

  private:
    value_type &Body;
  };
};

/// Converts a request without its body.
Request toRequest(const beast::http::request_header<> &head) {
  Request request;
  request.Method = std::string(head.method_string());
  request.Target = std::string(head.target());
  for (const auto &field : head)
    request.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return request;
}

/// Returns the memory that a request takes without its body.
std::size_t memoryOf(const Request &request) {
  std::size_t bytes = request.Method.size() + request.Target.size();
  for (const Header &h : request.Headers)
    bytes += sizeof(Header) + h.Name.size() + h.Value.size();
  return bytes;
}

/// Bounds what waits to be parsed: the head, and later the header of a chunk or
/// the trailer, for which the parser has no limits.
void limitUnparsedBytes(beast::flat_buffer &buffer,
                        const CallerLimits &limits) {
  buffer.max_size(std::max<std::size_t>(
      {limits.MaxHeaderBytes, FirstReadBytes, buffer.size()}));
}

/// An exchange on a Beast stream.
class HttpExchange final : public Exchange {
public:
  /// `closesAfterResponses` may become true while the request is handled.
  HttpExchange(beast::tcp_stream &stream, bool keepAlive,
               const std::atomic<bool> &closesAfterResponses,
               base::milliseconds writeTimeout)
      : Stream(stream), KeepAlive(keepAlive),
        ClosesAfterResponses(closesAfterResponses), WriteTimeout(writeTimeout) {
  }
  ~HttpExchange() override {
    if (!IsWatching)
      return;
    // Only the wait of watchForDisconnect() can still be pending here.
    error_code ec;
    Stream.socket().cancel(ec);
  }

  asio::awaitable<bool> send(Response response) override {
    beast::http::response<beast::http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.Status));
    if (!response.ContentType.empty())
      message.set(beast::http::field::content_type, response.ContentType);
    for (const Header &h : response.Headers)
      message.insert(h.Name, h.Value);
    message.keep_alive(decideKeepAlive());
    message.body() = std::move(response.Body);
    message.prepare_payload();
    Stream.expires_after(WriteTimeout);
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
    watchForDisconnect();
    co_return co_await write(head + "\r\n");
  }

  asio::awaitable<bool> events(std::vector<ServerEvent> events) override {
    std::string text;
    for (const ServerEvent &event : events)
      text += formatEvent(event);
    co_return co_await write(std::move(text));
  }

  asio::awaitable<bool> endEvents() override {
    error_code ec;
    Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    co_return !ec;
  }

  asio::awaitable<bool> beginBody(int status,
                                  std::vector<Header> headers) override {
    beast::http::response<beast::http::empty_body> head;
    head.version(11);
    head.result(static_cast<unsigned>(status));
    for (const Header &h : headers)
      head.insert(h.Name, h.Value);
    head.keep_alive(decideKeepAlive());
    head.chunked(true);
    IsBodyOpen = true;
    std::ostringstream text;
    text << head.base();
    co_return co_await write(text.str());
  }

  asio::awaitable<bool> body(std::string bytes) override {
    if (bytes.empty())
      co_return true;
    co_return co_await write(fmt::format("{:x}\r\n", bytes.size()) + bytes +
                             "\r\n");
  }

  asio::awaitable<bool> endBody() override {
    const bool isSent = co_await write("0\r\n\r\n");
    IsBodyOpen = !isSent;
    co_return isSent;
  }

  void closeAfterResponse() override { KeepAlive = false; }
  void onDisconnect(std::function<void()> handler) override {
    DisconnectHandler = std::move(handler);
    watchForDisconnect();
  }
  bool shouldKeepAlive() const { return KeepAlive && !IsBodyOpen; }

private:
  /// Decides whether the connection stays open, when a head is written.
  bool decideKeepAlive() {
    KeepAlive = KeepAlive && !ClosesAfterResponses;
    return KeepAlive;
  }

  asio::awaitable<bool> write(std::string text) {
    Stream.expires_after(WriteTimeout);
    error_code ec;
    co_await asio::async_write(Stream, asio::buffer(text),
                               asio::redirect_error(use_awaitable, ec));
    co_return !ec;
  }

  /// Detects that the caller disconnects: its socket becomes readable without
  /// data. The first bytes of a next request end the detection.
  void watchForDisconnect() {
    if (IsWatching)
      return;
    IsWatching = true;
    std::weak_ptr<bool> alive = Alive;
    Stream.socket().async_wait(tcp::socket::wait_read,
                               [this, alive](error_code ec) {
                                 if (alive.expired())
                                   return;
                                 IsWatching = false;
                                 if (ec || !isDisconnected())
                                   return;
                                 KeepAlive = false;
                                 if (DisconnectHandler)
                                   DisconnectHandler();
                               });
  }

  bool isDisconnected() {
    char byte = 0;
    const auto n = ::recv(Stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }

  beast::tcp_stream &Stream;
  bool KeepAlive;
  const std::atomic<bool> &ClosesAfterResponses;
  base::milliseconds WriteTimeout;
  bool IsBodyOpen = false;
  bool IsWatching = false;
  std::function<void()> DisconnectHandler;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

std::string_view Request::header(std::string_view name) const {
  return findHeader(Headers, name);
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

  /// An open connection.
  struct ServerConnection {
    explicit ServerConnection(tcp::socket socket) : Stream(std::move(socket)) {}
    beast::tcp_stream Stream;
    std::optional<ConnectionTable::Entry> Entry;
    /// No byte of the next request has arrived.
    bool IsIdle = true;
    bool IsHandling = false;
    /// The request that is arriving will not be read further.
    bool IsEvicted = false;
  };
  using ConnectionPointer = std::shared_ptr<ServerConnection>;
  using Parser = beast::http::request_parser<RequestBody>;

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(ConnectionPointer connection);
  asio::awaitable<bool> serveOne(ConnectionPointer connection,
                                 beast::flat_buffer &buffer);
  asio::awaitable<bool> waitForBytes(ConnectionPointer connection,
                                     beast::flat_buffer &buffer,
                                     base::milliseconds timeout);
  asio::awaitable<error_code> readSome(ServerConnection &connection,
                                       beast::flat_buffer &buffer,
                                       Parser &parser, std::size_t bytes);
  asio::awaitable<error_code> readHead(ServerConnection &connection,
                                       beast::flat_buffer &buffer,
                                       Parser &parser,
                                       const CallerLimits &limits);
  asio::awaitable<error_code>
  readBody(ServerConnection &connection, beast::flat_buffer &buffer,
           Parser &parser, const CallerLimits &limits, std::size_t headBytes,
           BodyBudget::Reservation *memory);
  const Response *errorResponse(const error_code &ec) const;
  CallerLimits currentLimits() const {
    return Options.CurrentLimits ? Options.CurrentLimits() : Options.Limits;
  }
  void addConnection(const ConnectionPointer &connection);
  void removeConnection(const ConnectionPointer &connection);
  static void stopWaiting(const ConnectionPointer &connection,
                          ConnectionTable::Phase phase);
  void closeIdle();
  bool makeRoom();
  void reserveDescriptors();

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  ServerOptions Options;
  Handler Handle;
  std::atomic<bool> ClosesAfterResponses{false};
  std::mutex Lock;
  /// Guarded by Lock.
  std::unordered_set<ConnectionPointer> Connections;
};

void Server::State::addConnection(const ConnectionPointer &connection) {
  const std::weak_ptr<ServerConnection> weak = connection;
  const auto close = [weak](ConnectionTable::Phase phase) {
    if (const ConnectionPointer closing = weak.lock())
      stopWaiting(closing, phase);
  };
  connection->Entry.emplace(Options.Connections, this, close);
  const std::lock_guard guard(Lock);
  Connections.insert(connection);
}

void Server::State::removeConnection(const ConnectionPointer &connection) {
  connection->Entry.reset();
  const std::lock_guard guard(Lock);
  Connections.erase(connection);
}

/// Closes a connection that waits for its client in this phase, by ending the
/// wait. One that waits no longer, or for something else, stays open.
void Server::State::stopWaiting(const ConnectionPointer &connection,
                                ConnectionTable::Phase phase) {
  const bool isIdle = phase != ConnectionTable::Phase::Receiving;
  asio::post(connection->Stream.get_executor(), [connection, isIdle] {
    if (connection->IsHandling || connection->IsIdle != isIdle)
      return;
    connection->IsEvicted = !isIdle;
    connection->Stream.cancel();
  });
}

/// Makes room for a new connection. Returns false if there is none.
bool Server::State::makeRoom() {
  std::size_t open = 0;
  {
    const std::lock_guard guard(Lock);
    open = Connections.size();
  }
  if (open >= Options.MaxConnections && !Options.Connections->closeOne(this))
    return false;
  return Options.Connections->makeRoom();
}

/// Called when the process has no descriptors left. Closes connections that
/// wait for their clients, and keeps that many descriptors free from then on.
void Server::State::reserveDescriptors() {
  std::size_t closed = 0;
  while (closed < ReservedDescriptors && Options.Connections->closeOne(nullptr))
    ++closed;
  if (closed > 0)
    Options.Connections->lowerLimit(closed);
}

void Server::State::closeIdle() {
  const std::lock_guard guard(Lock);
  for (const ConnectionPointer &connection : Connections)
    stopWaiting(connection, ConnectionTable::Phase::Idle);
}

asio::awaitable<void> Server::State::accept() {
  const auto self = shared_from_this();
  while (Acceptor.is_open()) {
    error_code ec;
    tcp::socket socket(asio::make_strand(Io));
    co_await Acceptor.async_accept(socket,
                                   asio::redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      if (ec == asio::error::no_descriptors)
        reserveDescriptors();
      // The error persists until a descriptor is free.
      asio::steady_timer timer(Acceptor.get_executor(), AcceptRetryDelay);
      co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
      continue;
    }
    if ((Options.AcceptsConnection && !Options.AcceptsConnection()) ||
        !makeRoom())
      continue;
    setSocketOptions(socket);
    auto executor = socket.get_executor();
    auto connection = std::make_shared<ServerConnection>(std::move(socket));
    addConnection(connection);
    asio::co_spawn(executor, serve(std::move(connection)), asio::detached);
  }
}

asio::awaitable<void> Server::State::serve(ConnectionPointer connection) {
  const auto self = shared_from_this();
  beast::flat_buffer buffer;
  while (co_await serveOne(connection, buffer)) {
  }
  removeConnection(connection);
  error_code ec;
  connection->Stream.socket().shutdown(tcp::socket::shutdown_both, ec);
}

asio::awaitable<bool> Server::State::waitForBytes(ConnectionPointer connection,
                                                  beast::flat_buffer &buffer,
                                                  base::milliseconds timeout) {
  if (buffer.size() > 0)
    co_return true;
  // Releases the memory of a large request.
  if (buffer.capacity() > FirstReadBytes)
    buffer.shrink_to_fit();
  connection->IsIdle = true;
  connection->Stream.expires_after(timeout);
  error_code ec;
  const std::size_t n = co_await connection->Stream.async_read_some(
      buffer.prepare(FirstReadBytes), asio::redirect_error(use_awaitable, ec));
  buffer.commit(n);
  connection->IsIdle = false;
  co_return !ec;
}

/// Parses what has arrived, and reads more if that is too little. Counts the
/// buffer's memory, and `bytes` that the request takes besides.
asio::awaitable<error_code>
Server::State::readSome(ServerConnection &connection,
                        beast::flat_buffer &buffer, Parser &parser,
                        std::size_t bytes) {
  using beast::http::make_error_code;
  error_code ec = make_error_code(beast::http::error::need_more);
  if (buffer.size() > 0)
    buffer.consume(parser.put(buffer.data(), ec));
  connection.Entry->setBytes(bytes + buffer.capacity());
  if (ec != beast::http::error::need_more)
    co_return ec;
  const std::size_t n = beast::read_size(buffer, MaxReadBytes);
  if (n == 0)
    co_return make_error_code(beast::http::error::buffer_overflow);
  const std::size_t received = co_await connection.Stream.async_read_some(
      buffer.prepare(n), asio::redirect_error(use_awaitable, ec));
  buffer.commit(received);
  if (!ec && connection.IsEvicted)
    ec = asio::error::operation_aborted;
  if (ec == asio::error::eof)
    ec = make_error_code(beast::http::error::partial_message);
  co_return ec;
}

/// Reads the request line and the headers, and lets a caller that waits for it
/// send the body.
asio::awaitable<error_code>
Server::State::readHead(ServerConnection &connection,
                        beast::flat_buffer &buffer, Parser &parser,
                        const CallerLimits &limits) {
  error_code ec;
  parser.header_limit(limits.MaxHeaderBytes);
  parser.body_limit(limits.MaxBodyBytes);
  // The stream's own timeout would close it before the error response is sent.
  asio::steady_timer timer(connection.Stream.get_executor(),
                           limits.HeaderTimeout);
  // Cancelling the timer does not recall a handler that is already queued: the
  // handler has no effect once the head has been read.
  auto isTimeout = std::make_shared<bool>(false);
  const std::weak_ptr<bool> isReadingHead = isTimeout;
  timer.async_wait([&connection, isReadingHead](error_code aborted) {
    const auto expired = isReadingHead.lock();
    if (aborted || !expired)
      return;
    *expired = true;
    connection.Stream.cancel();
  });
  connection.Stream.expires_never();
  while (!ec && !parser.is_header_done())
    ec = co_await readSome(connection, buffer, parser, 0);
  timer.cancel();
  const bool hasTimedOut = *isTimeout;
  isTimeout.reset();
  if (ec)
    co_return hasTimedOut ? error_code(beast::error::timeout) : ec;
  if (isAmbiguous(parser.get()))
    co_return beast::http::make_error_code(
        beast::http::error::bad_transfer_encoding);
  connection.Stream.expires_after(limits.IdleTimeout);
  if (beast::iequals(parser.get()[beast::http::field::expect],
                     "100-continue")) {
    const std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(connection.Stream,
                               asio::buffer(continueResponse),
                               asio::redirect_error(use_awaitable, ec));
  }
  co_return ec;
}

/// Reads the body, and reserves its memory once it turns out to be large. One
/// without a length counts as the largest that is allowed until it is complete.
/// `headBytes` is the memory that the head takes.
asio::awaitable<error_code>
Server::State::readBody(ServerConnection &connection,
                        beast::flat_buffer &buffer, Parser &parser,
                        const CallerLimits &limits, std::size_t headBytes,
                        BodyBudget::Reservation *memory) {
  std::string &body = parser.get().body();
  bool isReserved = false;
  while (!parser.is_done()) {
    const std::size_t bodyBytes = isReserved ? 0 : body.capacity();
    if (const error_code ec = co_await readSome(connection, buffer, parser,
                                                headBytes + bodyBytes))
      co_return ec;
    if (isReserved)
      memory->setReceived(body.size());
    if (!memory || isReserved || body.size() <= BodyBudget::MaxUnreservedBytes)
      continue;
    const std::uint64_t most =
        parser.content_length().value_or(limits.MaxBodyBytes);
    isReserved = co_await memory->reserve(most);
    if (!isReserved)
      co_return asio::error::no_memory;
    body.reserve(most);
  }
  if (memory)
    memory->shrink(body.size());
  co_return error_code();
}

/// Returns the response to a request that could not be read; null if the caller
/// has disconnected.
const Response *Server::State::errorResponse(const error_code &ec) const {
  using beast::http::error;
  if (ec == error::body_limit)
    return &Options.BodyTooLarge;
  if (ec == asio::error::no_memory)
    return &Options.NoRoom;
  if (ec == error::header_limit || ec == error::buffer_overflow)
    return &Options.HeaderTooLarge;
  if (ec == beast::error::timeout)
    return &Options.RequestTimeout;
  const bool isMalformed =
      ec.category() == make_error_code(error::bad_method).category();
  const bool isDisconnect =
      ec == error::end_of_stream || ec == error::partial_message;
  return isMalformed && !isDisconnect ? &Options.Malformed : nullptr;
}

asio::awaitable<bool> Server::State::serveOne(ConnectionPointer connection,
                                              beast::flat_buffer &buffer) {
  using Phase = ConnectionTable::Phase;
  const base::milliseconds idleTimeout = currentLimits().IdleTimeout;
  if (!co_await waitForBytes(connection, buffer, idleTimeout))
    co_return false;
  connection->Entry->setPhase(Phase::Receiving);
  connection->IsEvicted = false;
  // The limits may have changed while the connection was idle.
  const CallerLimits limits = currentLimits();
  limitUnparsedBytes(buffer, limits);
  std::optional<BodyBudget::Reservation> memory;
  if (Options.Bodies)
    memory.emplace(Options.Bodies, connection->Stream.get_executor(),
                   [connection] { stopWaiting(connection, Phase::Receiving); });
  std::optional<Parser> parser(std::in_place);
  error_code ec = co_await readHead(*connection, buffer, *parser, limits);
  // The parser adds trailer fields to the headers when it reads the body.
  Request request = toRequest(parser->get());
  // The parser holds the head as well.
  const std::size_t headBytes = 2 * memoryOf(request);
  if (!ec)
    ec = co_await readBody(*connection, buffer, *parser, limits, headBytes,
                           memory ? &*memory : nullptr);
  if (ec && connection->IsEvicted)
    ec = asio::error::no_memory;
  const bool keepAlive = !ec && parser->get().keep_alive();
  request.Body = std::move(parser->get().body());
  parser.reset();
  HttpExchange exchange(connection->Stream, keepAlive, ClosesAfterResponses,
                        limits.IdleTimeout);
  if (ec) {
    request = Request();
    buffer = beast::flat_buffer();
    if (const Response *response = errorResponse(ec))
      co_await exchange.send(*response);
    co_return false;
  }
  connection->IsHandling = true;
  connection->Entry->setPhase(Phase::Handling);
  const bool isBodyReserved =
      memory && request.Body.size() > BodyBudget::MaxUnreservedBytes;
  connection->Entry->setBytes(memoryOf(request) +
                              (isBodyReserved ? 0 : request.Body.capacity()));
  connection->Stream.expires_never();
  co_await Handle(std::move(request), exchange);
  connection->IsHandling = false;
  connection->Entry->setBytes(0);
  connection->Entry->setPhase(Phase::Idle);
  // The head may have been written before closeAfterResponses() was called.
  co_return exchange.shouldKeepAlive() && !ClosesAfterResponses;
}

base::Result<std::unique_ptr<Server>>
Server::listen(asio::io_context &io, const base::Endpoint &endpoint,
               ServerOptions options, Handler handler) {
  if (!options.Connections)
    options.Connections =
        std::make_shared<ConnectionTable>(ConnectionTableOptions());
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

void Server::closeAfterResponses() { S->ClosesAfterResponses = true; }

void Server::closeIdle() { S->closeIdle(); }

Server::~Server() { stopAccepting(); }

} // namespace drumlanding::http
