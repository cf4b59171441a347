/// Copy sequence: the copies of a running generation's KV cache before the
/// final one, during which the generation stops.
///
///   CopySequence copies(fullCopyTime);
///   while (!copies.isReadyForFinalCopy())
///     copies.recordCopy(copy());
#pragma once

#include "drumlanding/base/clock.h"

namespace drumlanding::gateway {

class CopySequence {
public:
  /// A copy that exceeds its expected time by this much was queued behind other
  /// copies on the link, and so would the final copy be.
  static constexpr base::milliseconds QueueingSlack{60};

  explicit CopySequence(base::Duration fullCopyTime) : Expected(fullCopyTime) {}

  /// Returns the time that the next copy takes on an idle link.
  base::Duration expectedTime() const { return Expected; }

  void recordCopy(base::Duration took) {
    // A full copy takes so long that another one may have started meanwhile.
    // Only a short copy shows that the link is idle.
    IsLinkIdle = IsFullCopyDone && took < QueueingSlack;
    IsFullCopyDone = true;
    Expected = base::Duration(0);
  }

  bool isReadyForFinalCopy() const { return IsLinkIdle; }

private:
  base::Duration Expected;
  bool IsFullCopyDone = false;
  bool IsLinkIdle = false;
};

} // namespace drumlanding::gateway
