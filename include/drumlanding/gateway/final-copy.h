/// Final copy: what the response to a final copy tells about the generation on
/// its source, which stops it before it copies.
///
///   state = afterFinalCopy(state, response);
///   if (state == RunState::Running) ...
#pragma once

#include "drumlanding/gateway/protocol-codec.h"

namespace drumlanding::gateway {

/// What is known about a generation on its server.
enum class RunState {
  Running,      ///< No migration has stopped it.
  MayBeStopped, ///< The response to a final copy is missing or unclear.
  Stopped,      ///< The server has stopped it and named the copy.
};

/// Returns what is known after the response to a final copy. `before` is what
/// was known when it was requested.
RunState afterFinalCopy(RunState before, const CopyResponse &response);

} // namespace drumlanding::gateway
