/// Sleep: suspends a coroutine, for a given time or to let others run.
///
///   co_await sleepFor(std::chrono::milliseconds(5));
#pragma once

#include "drumlanding/base/clock.h"

#include <boost/asio/awaitable.hpp>

namespace drumlanding::daemon {

/// Suspends the calling coroutine for the given time without blocking a thread.
/// The timer runs on the coroutine's executor.
boost::asio::awaitable<void> sleepFor(base::Duration time);

/// Lets everything that is ready run before the coroutine continues.
boost::asio::awaitable<void> yield();

} // namespace drumlanding::daemon
