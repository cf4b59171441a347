/// Load shedder: decides whether an overloaded gateway accepts a new
/// connection. One that is closed unread reaches another gateway at once, while
/// one that is accepted waits with all others.
///
///   LoadShedder shedder;
///   shedder.recordDelay(now, delay);   // of the event loop, regularly
///   if (!shedder.accepts(now))
///     close(connection);
///
/// A single long delay, such as that of decoding a config, is no overload: the
/// delay has to stay above its target for an interval, since a queue that is
/// worked off falls below it.
#pragma once

#include "drumlanding/base/clock.h"

#include <optional>

namespace drumlanding::gateway {

class LoadShedder {
public:
  /// Interval at which the delay is measured.
  static constexpr base::milliseconds SampleInterval{100};
  /// Delays up to this are not overload. A VM with a quota may wait for nearly
  /// a tenth of a second.
  static constexpr base::milliseconds TargetDelay{120};
  static constexpr base::milliseconds OverloadInterval{500};
  /// After an overload, delays above the target mean overload sooner.
  static constexpr base::milliseconds RepeatedOverloadInterval{100};
  static constexpr base::seconds RepeatTime{5};
  /// An overloaded gateway still accepts a connection this often, so that the
  /// load balancer does not take it for broken.
  static constexpr base::milliseconds MinAcceptInterval{200};

  /// Records how late the event loop ran a timer.
  void recordDelay(base::Instant now, base::Duration delay);
  /// Returns whether to accept a new connection. Assumes that it is done.
  bool accepts(base::Instant now);
  bool isOverloaded() const { return IsOverloaded; }

private:
  /// Since when all delays were above the target.
  std::optional<base::Instant> AboveSince;
  bool IsOverloaded = false;
  std::optional<base::Instant> OverloadEndedAt;
  base::Instant AcceptedAt{};
};

} // namespace drumlanding::gateway
