#include "server-call.h"

namespace drumlanding::gateway {
namespace {

/// Reports and responses to requests for copies have a few kilobytes.
constexpr std::size_t MaxBodyBytes = 256 << 10;

} // namespace

http::asio::awaitable<http::FetchResult>
callServer(base::Endpoint to, http::Request request,
           base::milliseconds timeout) {
  return http::fetch(std::move(to), std::move(request), timeout, MaxBodyBytes);
}

} // namespace drumlanding::gateway
