#include "drumlanding/wire/refusal.h"

namespace drumlanding::wire {

Refused toWire(const base::Refusal &refusal) {
  Refused refused;
  refused.set_verdict(static_cast<std::uint32_t>(refusal.Outcome));
  refused.set_reason(static_cast<std::uint32_t>(refusal.Reason));
  refused.set_retry_after_ms(
      static_cast<std::uint32_t>(refusal.RetryAfter.count()));
  return refused;
}

base::Refusal fromWire(const Refused &refused) {
  return {base::verdictFrom(refused.verdict()),
          base::reasonFrom(refused.reason()),
          std::chrono::milliseconds(refused.retry_after_ms())};
}

Reply refusedReply(const base::Refusal &refusal) {
  Reply reply;
  *reply.mutable_refused() = toWire(refusal);
  return reply;
}

} // namespace drumlanding::wire
