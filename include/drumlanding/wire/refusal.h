/// Conversion of refusals to and from their wire messages.
///
///   *reply.mutable_refused() = toWire({Verdict::NotRun, Reason::Leaving, {}});
#pragma once

#include "control.pb.h"
#include "drumlanding/base/verdict.h"

namespace drumlanding::wire {

Refused toWire(const base::Refusal &refusal);

/// Converts from the wire message. An unknown verdict becomes
/// MayHaveRun, an unknown reason None.
base::Refusal fromWire(const Refused &refused);

/// Returns a reply that carries `refusal`.
Reply refusedReply(const base::Refusal &refusal);

} // namespace drumlanding::wire
