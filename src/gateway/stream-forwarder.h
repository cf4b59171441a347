/// Stream forwarder: passes a stream of events on as they arrive, from one
/// server after another when the generation moves.
#pragma once

#include "forwarded-request.h"
#include "migrator.h"

namespace drumlanding::gateway {

asio::awaitable<void> forwardStream(ForwardedRequest &f, http::Exchange &x,
                                    Migrator &migrator);

} // namespace drumlanding::gateway
