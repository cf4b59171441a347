#include "web.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace drumlanding::review {
namespace {

namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::uint64_t MaxBodyBytes = 16 << 20;

sockaddr_in toNative(const Address &address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.Port);
  inet_pton(AF_INET, address.Ip.c_str(), &native.sin_addr);
  return native;
}

} // namespace

std::string toString(const Address &address) {
  return address.Ip + ":" + std::to_string(address.Port);
}

std::string loopback(int group, int number) {
  constexpr int SecondNumbers = 250;
  constexpr int Blocks = 24;
  constexpr int GroupsPerBlock = 10;
  const int process = ::getpid();
  const int block = process / SecondNumbers % Blocks;
  return "127." + std::to_string(1 + process % SecondNumbers) + "." +
         std::to_string(block * GroupsPerBlock + group) + "." +
         std::to_string(number);
}

Address freeAddress(const std::string &ip) {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address(ip), 0));
  return {ip, acceptor.local_endpoint().port()};
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name) {
  const auto mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name && equals < pair.size())
      return std::string(pair.substr(equals + 1));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

WebServer::WebServer(const Address &address, Handler handler)
    : Acceptor(Io), Handle(std::move(handler)) {
  const tcp::endpoint endpoint(asio::ip::make_address(address.Ip),
                               address.Port);
  Acceptor.open(endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(endpoint);
  Acceptor.listen(1024);
  AcceptThread = std::thread([this] { accept(); });
}

void WebServer::accept() {
  for (;;) {
    error_code ec;
    tcp::socket socket(Io);
    Acceptor.accept(socket, ec);
    const std::lock_guard guard(Lock);
    if (IsStopping)
      return;
    if (ec)
      continue;
    socket.set_option(tcp::no_delay(true), ec);
    joinEnded();
    Connections.push_back(std::make_unique<Connection>(std::move(socket)));
    Connection &connection = *Connections.back();
    connection.Thread = std::thread([this, &connection] { serve(connection); });
  }
}

void WebServer::joinEnded() {
  std::erase_if(Connections, [](const std::unique_ptr<Connection> &c) {
    if (!c->HasEnded)
      return false;
    c->Thread.join();
    return true;
  });
}

void WebServer::serve(Connection &connection) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxBodyBytes);
    error_code ec;
    http::read(connection.Socket, buffer, parser, ec);
    if (ec || !Handle(parser.get(), connection.Socket))
      break;
  }
  const std::lock_guard guard(Lock);
  error_code ec;
  connection.Socket.close(ec);
  connection.HasEnded = true;
}

void WebServer::reset() {
  {
    const std::lock_guard guard(Lock);
    if (IsStopping)
      return;
    IsStopping = true;
    for (const auto &connection : Connections) {
      if (connection->HasEnded)
        continue;
      const int socket = connection->Socket.native_handle();
      const linger noLinger{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
      ::shutdown(socket, SHUT_RD);
    }
  }
  ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
  AcceptThread.join();
  error_code ec;
  Acceptor.close(ec);
  for (const auto &connection : Connections)
    connection->Thread.join();
}

bool respond(tcp::socket &socket, Response response) {
  response.prepare_payload();
  error_code ec;
  http::write(socket, response, ec);
  return !ec;
}

Response makeResponse(http::status status, std::string body) {
  Response response(status, 11);
  response.body() = std::move(body);
  return response;
}

CallerConnection::CallerConnection(const Address &to) {
  Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = toNative(to);
  const int on = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&native),
                sizeof(native)) == 0)
    return;
  ::close(Descriptor);
  Descriptor = -1;
}

CallerConnection::~CallerConnection() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

bool CallerConnection::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto n = ::send(Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

Answer CallerConnection::receive(int timeoutMs) {
  using Clock = std::chrono::steady_clock;
  const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
  http::response_parser<http::string_body> parser;
  parser.body_limit(MaxBodyBytes);
  parser.eager(true);
  Answer answer;
  for (;;) {
    error_code ec;
    if (!Pending.empty()) {
      const auto used = parser.put(asio::buffer(Pending), ec);
      Pending.erase(0, used);
      if (ec && ec != http::error::need_more)
        return answer;
    }
    if (parser.is_done())
      break;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    pollfd poll{Descriptor, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&poll, 1, static_cast<int>(left.count())) <= 0)
      return answer;
    char buf[16 << 10];
    const auto n = ::recv(Descriptor, buf, sizeof(buf), 0);
    if (n <= 0)
      return answer;
    Pending.append(buf, static_cast<std::size_t>(n));
  }
  answer.IsWhole = true;
  answer.Status = static_cast<int>(parser.get().result_int());
  answer.Body = parser.get().body();
  answer.Stamp = std::string(parser.get()["X-Served-Stamp"]);
  return answer;
}

std::string formatRequest(const Request &request) {
  std::ostringstream text;
  text << request;
  return text.str();
}

} // namespace drumlanding::review
