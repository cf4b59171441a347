/// Saved parts: keeps the quarantined parts in the store, and restores them
/// when the gateway starts.
#pragma once

#include "gateway-context.h"

namespace drumlanding::gateway {

/// Restores the saved parts as soon as the store answers. From then on saves
/// what is quarantined and marks what is released, if this gateway is one of
/// the few that watch the store for all.
asio::awaitable<void> keepSavedParts(GatewayContext &ctx);

} // namespace drumlanding::gateway
