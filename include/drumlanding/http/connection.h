/// Connection: sends a request to a server and reads the response in chunks.
///
///   auto c = co_await Connection::open(endpoint, timeout);
///   c->send(request);                      // continues during the reads
///   Result<ResponseHead> head = co_await c->readHead();
///   Result<std::string> chunk = co_await c->read();
///
/// Reads have no timeout; the caller ends them by closing the connection. The
/// gateway closes a connection after one request, so that a late second
/// response is never taken for the response to the next request.
#pragma once

#include "drumlanding/http/http.h"

#include <optional>

namespace drumlanding::http {

/// The status and headers of a response.
struct ResponseHead {
  int Status = 0;
  std::vector<Header> Headers;
  /// False if the body has neither a length nor chunks and ends with the
  /// connection, so that a truncated body looks complete.
  bool IsDelimited = true;

  /// Returns a header's value, or an empty text if it is missing. Names are
  /// case-insensitive.
  std::string_view header(std::string_view name) const;
};

/// Returns a header's value, or an empty text if it is missing. Names are
/// case-insensitive.
std::string_view findHeader(const std::vector<Header> &headers,
                            std::string_view name);

/// Returns whether two header names are equal, ignoring case.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// A body that several requests share, such as the attempts at one request.
using SharedBody = std::shared_ptr<const std::string>;

class Connection : public std::enable_shared_from_this<Connection> {
public:
  /// Connects within `timeout`. After an error the server has received nothing.
  static asio::awaitable<base::Result<std::shared_ptr<Connection>>>
  open(base::Endpoint to, base::milliseconds timeout);

  virtual ~Connection() = default;

  /// Starts sending a request: the method, target and headers of `head` as they
  /// are, Content-Length if there is a body, and `body`, which is not copied.
  /// Returns immediately, since a server may respond before it has read a long
  /// body.
  virtual void send(const Request &head, SharedBody body) = 0;
  /// Starts sending a request with a copy of its own body.
  void send(const Request &request) {
    send(request, std::make_shared<const std::string>(request.Body));
  }

  /// Reads the head of the next response, after interim ones (status 1xx),
  /// which are skipped up to a limit. May be called again after a response that
  /// belongs to another request has been read to its end.
  virtual asio::awaitable<base::Result<ResponseHead>> readHead() = 0;

  /// Reads the next chunk of the body; empty at the end of a complete response.
  /// An error means that the response is truncated.
  virtual asio::awaitable<base::Result<std::string>> read() = 0;

  /// Closes the connection; pending operations end with an error.
  virtual void close() = 0;
};

} // namespace drumlanding::http
