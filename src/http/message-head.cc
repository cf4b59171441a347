#include "message-head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>

namespace drumlanding::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Maximum size of the status line and the headers of a response.
constexpr std::uint32_t MaxHeadBytes = 32 << 10;
/// Bodies are read with the capacity that the buffer has after the head. With a
/// larger one, many large bodies at once take more memory than their limits
/// allow for.
constexpr std::size_t HeadReadBytes = 512;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string_view textOf(const beast::flat_buffer &buffer) {
  const asio::const_buffer bytes = buffer.cdata();
  return {static_cast<const char *>(bytes.data()), bytes.size()};
}

/// Reads until the buffer holds a head; returns its size.
asio::awaitable<std::size_t> readUntilHeadEnd(beast::tcp_stream &stream,
                                              beast::flat_buffer &buffer,
                                              error_code &ec) {
  for (;;) {
    const std::size_t end = textOf(buffer).find(HeadEnd);
    if (end != std::string_view::npos)
      co_return end + HeadEnd.size();
    if (buffer.size() >= MaxHeadBytes) {
      ec = beast::http::make_error_code(beast::http::error::header_limit);
      co_return 0;
    }
    const std::size_t n = co_await stream.async_read_some(
        buffer.prepare(HeadReadBytes),
        asio::redirect_error(asio::use_awaitable, ec));
    buffer.commit(n);
    if (ec)
      co_return 0;
  }
}

/// Returns whether a line begins with a blank. The parser joins such a line to
/// the one before it, which changes that header and loses this one.
bool hasFoldedLine(std::string_view head) {
  for (auto at = head.find(LineEnd); at != std::string_view::npos;
       at = head.find(LineEnd, at + LineEnd.size())) {
    const std::string_view next = head.substr(at + LineEnd.size(), 1);
    if (next == " " || next == "\t")
      return true;
  }
  return false;
}

/// Returns whether HTTP has responses with this status, and a request that
/// does not ask for another protocol can have one.
bool isValidStatus(unsigned status) {
  constexpr unsigned First = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned Last = 599;
  return status >= First && status <= Last && status != SwitchingProtocols;
}

} // namespace

asio::awaitable<error_code>
readResponseHead(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                 beast::http::basic_parser<false> &parser,
                 const beast::http::response_header<> &head) {
  parser.header_limit(MaxHeadBytes);
  error_code ec;
  const std::size_t size = co_await readUntilHeadEnd(stream, buffer, ec);
  if (ec)
    co_return ec;
  if (hasFoldedLine(textOf(buffer).substr(0, size)))
    co_return beast::http::make_error_code(beast::http::error::bad_field);
  co_await beast::http::async_read_header(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return ec;
  if (!isValidStatus(head.result_int()))
    co_return beast::http::make_error_code(beast::http::error::bad_status);
  if (isAmbiguous(head))
    co_return beast::http::make_error_code(
        beast::http::error::bad_transfer_encoding);
  co_return error_code();
}

} // namespace drumlanding::http
