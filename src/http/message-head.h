/// Message head: reads the head of a response, and rejects what Beast's parser
/// accepts although HTTP does not allow it or the body would be unclear.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace drumlanding::http {

/// Returns true if the message has a transfer coding other than "chunked", or
/// both Transfer-Encoding and Content-Length: recipients could disagree on
/// where it ends (request smuggling), or take coded bytes for its body.
template <bool IsRequest>
bool isAmbiguous(const boost::beast::http::header<IsRequest> &head) {
  using boost::beast::http::field;
  const auto coding = head.find(field::transfer_encoding);
  if (coding == head.end())
    return false;
  return head.version() < 11 || head.count(field::content_length) > 0 ||
         head.count(field::transfer_encoding) > 1 ||
         !boost::beast::iequals(coding->value(), "chunked");
}

/// Reads a response's head into the parser, whose message has the header
/// `head`. Returns an error of Beast for a head that is not valid.
boost::asio::awaitable<boost::system::error_code>
readResponseHead(boost::beast::tcp_stream &stream,
                 boost::beast::flat_buffer &buffer,
                 boost::beast::http::basic_parser<false> &parser,
                 const boost::beast::http::response_header<> &head);

} // namespace drumlanding::http
