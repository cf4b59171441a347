/// Stream forwarder: relays a stream of server-sent events to the caller. When
/// the generation migrates to another server, the stream resumes from there.
#pragma once

#include "forwarded-request.h"
#include "migrator.h"

namespace drumlanding::gateway {

asio::awaitable<void> forwardStream(ForwardedRequest &f, http::Exchange &x,
                                    Migrator &migrator);

} // namespace drumlanding::gateway
