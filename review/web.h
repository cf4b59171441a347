/// Blocking HTTP on loopback addresses: a server with one thread for each
/// connection, and calls with a time limit.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace drumlanding::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

struct Address {
  std::string Ip;
  std::uint16_t Port = 0;
};

std::string toString(const Address &address);

/// Returns a loopback IP; `group` is from 0 to 9. Processes have IPs of their
/// own, so that cases can run at the same time.
std::string loopback(int group, int number);

/// Returns an address with a port that is free now.
Address freeAddress(const std::string &ip);

/// Returns the value of a parameter in the query of a target; empty if there is
/// none.
std::string queryValue(std::string_view target, std::string_view name);

/// Returns the target without its query.
std::string_view pathOf(std::string_view target);

class WebServer {
public:
  /// Answers a request. Returns false to close the connection.
  using Handler = std::function<bool(const Request &, tcp::socket &)>;

  WebServer(const Address &address, Handler handler);
  ~WebServer() { reset(); }

  /// Closes the port and resets all connections, as the crash of a server does.
  void reset();

private:
  struct Connection {
    explicit Connection(tcp::socket socket) : Socket(std::move(socket)) {}
    tcp::socket Socket;
    std::thread Thread;
    bool HasEnded = false;
  };

  void accept();
  void serve(Connection &connection);
  void joinEnded();

  asio::io_context Io;
  tcp::acceptor Acceptor;
  Handler Handle;
  std::thread AcceptThread;
  std::mutex Lock;
  bool IsStopping = false;
  std::vector<std::unique_ptr<Connection>> Connections;
};

/// Sends a response on a connection that is kept. Returns false on failure.
bool respond(tcp::socket &socket, Response response);

/// Makes a response with a body.
Response makeResponse(http::status status, std::string body);

/// The outcome of a call.
struct Answer {
  /// False if the connection ended before the whole response was read.
  bool IsWhole = false;
  int Status = 0;
  std::string Body;
  std::string Stamp;
};

/// A connection of a caller, which is kept for several requests.
class CallerConnection {
public:
  /// Connects; isOpen() tells whether that succeeded.
  explicit CallerConnection(const Address &to);
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;
  ~CallerConnection();

  bool isOpen() const { return Descriptor >= 0; }
  bool send(std::string_view bytes) const;
  /// Reads one response within `timeoutMs`.
  Answer receive(int timeoutMs);
  /// Returns the socket, to send on it without waiting.
  int descriptor() const { return Descriptor; }

private:
  int Descriptor = -1;
  std::string Pending;
};

/// Returns the text of a request.
std::string formatRequest(const Request &request);

} // namespace drumlanding::review
