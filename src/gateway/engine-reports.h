/// Engine reports: asks the engines that run this gateway's generations whether
/// they are leaving, while the store cannot tell it.
#pragma once

#include "gateway-context.h"

#include <boost/asio/awaitable.hpp>

namespace drumlanding::gateway {

/// Runs until the gateway stops.
asio::awaitable<void> watchEngineReports(GatewayContext &ctx);

} // namespace drumlanding::gateway
