/// Server call: a request of the gateway itself to a backend server, such as
/// one for its report or for a copy.
#pragma once

#include "drumlanding/http/http.h"

namespace drumlanding::gateway {

/// Sends the request and reads the response, which is small: a larger one
/// fails.
http::asio::awaitable<http::FetchResult> callServer(base::Endpoint to,
                                                    http::Request request,
                                                    base::milliseconds timeout);

} // namespace drumlanding::gateway
