/// Message head: reads the head of a response, and rejects what Beast's parser
/// accepts although HTTP does not allow it or the body would be unclear.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace drumlanding::http {

/// Reads a response's head into the parser, whose message has the header
/// `head`. Returns an error of Beast for a head that is not valid.
boost::asio::awaitable<boost::system::error_code>
readResponseHead(boost::beast::tcp_stream &stream,
                 boost::beast::flat_buffer &buffer,
                 boost::beast::http::basic_parser<false> &parser,
                 const boost::beast::http::response_header<> &head);

} // namespace drumlanding::http
