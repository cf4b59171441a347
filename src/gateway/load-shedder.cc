#include "drumlanding/gateway/load-shedder.h"

namespace drumlanding::gateway {

void LoadShedder::recordDelay(base::Instant now, base::Duration delay) {
  if (delay <= TargetDelay) {
    if (IsOverloaded)
      OverloadEndedAt = now;
    IsOverloaded = false;
    AboveSince.reset();
    return;
  }
  if (!AboveSince)
    AboveSince = now;
  const bool isRepeated =
      OverloadEndedAt && now - *OverloadEndedAt < RepeatTime;
  const base::Duration interval =
      isRepeated ? RepeatedOverloadInterval : OverloadInterval;
  IsOverloaded = IsOverloaded || now - *AboveSince >= interval;
}

bool LoadShedder::accepts(base::Instant now) {
  if (IsOverloaded && now - AcceptedAt < MinAcceptInterval)
    return false;
  AcceptedAt = now;
  return true;
}

} // namespace drumlanding::gateway
