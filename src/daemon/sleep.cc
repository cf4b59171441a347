#include "drumlanding/daemon/sleep.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::daemon {

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(base::Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> yield() { co_await asio::post(asio::use_awaitable); }

} // namespace drumlanding::daemon
