/// Refusals on the wire.
///
///   *reply.mutable_refused() = toWire({Verdict::NotRun, Reason::Leaving, {}});
#pragma once

#include "control.pb.h"
#include "drumlanding/base/verdict.h"

namespace drumlanding::wire {

Refused toWire(const base::Refusal &refusal);

/// Reads a refusal; unknown numbers become the cautious choice.
base::Refusal fromWire(const Refused &refused);

/// Returns a reply that refuses.
Reply refusedReply(const base::Refusal &refusal);

} // namespace drumlanding::wire
