/// ConfigTransfer: tells whether a config is arriving from one source, so that
/// it is not requested from another one at the same time. Both would share the
/// bandwidth of this VM and take twice as long.
///
///   transfer.recordProgress(now);
///   if (!transfer.isActive(now)) ...
///   transfer.recordEnd();
#pragma once

#include "drumlanding/base/clock.h"

#include <optional>

namespace drumlanding::gateway {

class ConfigTransfer {
public:
  /// `maxExclusiveTime`: a transfer that takes longer than this no longer
  /// prevents another one, since its source may be slow.
  explicit ConfigTransfer(base::milliseconds maxExclusiveTime)
      : MaxExclusiveTime(maxExclusiveTime) {}

  void recordProgress(base::Instant now) {
    if (!StartedAt)
      StartedAt = now;
  }
  void recordEnd() { StartedAt.reset(); }
  bool isActive(base::Instant now) const {
    return StartedAt && now - *StartedAt < MaxExclusiveTime;
  }

private:
  base::milliseconds MaxExclusiveTime;
  std::optional<base::Instant> StartedAt;
};

} // namespace drumlanding::gateway
