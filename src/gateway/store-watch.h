/// Store watch: keeps the config and the list of servers up to date from the
/// platform's store, and asks again when it is away.
#pragma once

#include "gateway-context.h"

#include <boost/asio/awaitable.hpp>

namespace drumlanding::gateway {

/// Follows the operators' config until the process ends.
asio::awaitable<void> watchConfig(GatewayContext &ctx);

/// Follows the list of servers until the process ends.
asio::awaitable<void> watchServers(GatewayContext &ctx);

} // namespace drumlanding::gateway
