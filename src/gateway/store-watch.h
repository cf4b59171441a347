/// Store watch: keeps the config and the server list in sync with the
/// platform's store, and retries with backoff while the store is unreachable.
#pragma once

#include "gateway-context.h"

#include <boost/asio/awaitable.hpp>

namespace drumlanding::gateway {

/// Watches the operators' config until the process exits.
asio::awaitable<void> watchConfig(GatewayContext &ctx);

/// Watches the server list until the process exits, or idles while peers watch
/// it for this gateway.
asio::awaitable<void> watchServers(GatewayContext &ctx);

} // namespace drumlanding::gateway
