/// Stream forwarder: passes a stream of events on as they arrive, from one
/// server after another when the generation moves.
#pragma once

#include "forwarding.h"
#include "mover.h"

namespace drumlanding::gateway {

asio::awaitable<void> forwardStream(Forwarding &f, http::Exchange &x,
                                    Mover &mover);

} // namespace drumlanding::gateway
