/// Connection: one request to a server and its answer, read piece by piece.
///
///   auto c = co_await Connection::open(endpoint, limit);
///   c->send(request);                      // goes on while the answer is read
///   Result<AnswerHead> head = co_await c->readHead();
///   Result<std::string> piece = co_await c->read();
///
/// Reads have no time limit of their own: whoever waits closes the connection.
/// A connection serves one request and is closed after it: a late second
/// answer can then never be taken for the next request's.
#pragma once

#include "drumlanding/http/http.h"

#include <optional>

namespace drumlanding::http {

/// The status line and headers of an answer.
struct ResponseHead {
  int Status = 0;
  std::vector<Header> Headers;

  /// Returns a header's value, or an empty text. Names ignore case.
  std::string_view header(std::string_view name) const;
};

/// Returns a header's value, or an empty text. Names ignore case.
std::string_view findHeader(const std::vector<Header> &headers,
                            std::string_view name);

/// Compares header names.
bool equalIgnoringCase(std::string_view a, std::string_view b);

class Connection : public std::enable_shared_from_this<Connection> {
public:
  /// Connects; an error means that the server has seen nothing.
  static asio::awaitable<base::Result<std::shared_ptr<Connection>>>
  open(base::Endpoint to, base::milliseconds limit);

  virtual ~Connection() = default;

  /// Starts to send the request with its headers unchanged. Returns at once:
  /// a server may answer before it has read a long body.
  virtual void send(const Request &request) = 0;

  /// Reads the head of the next answer. May be called again after an answer
  /// that belongs to another request has been read to its end.
  virtual asio::awaitable<base::Result<ResponseHead>> readHead() = 0;

  /// Reads the next piece of the body; empty at its proper end. An error means
  /// that the answer is not whole.
  virtual asio::awaitable<base::Result<std::string>> read() = 0;

  /// Breaks the connection off; pending operations end with an error.
  virtual void close() = 0;
};

} // namespace drumlanding::http
