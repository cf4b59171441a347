#include "message-head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Maximum size of the status line and the headers of a response.
constexpr std::uint32_t MaxHeadBytes = 32 << 10;

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
  co_await beast::http::async_read_header(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return ec;
  if (!isValidStatus(head.result_int()))
    co_return beast::http::make_error_code(beast::http::error::bad_status);
  co_return error_code();
}

} // namespace drumlanding::http
