/// Clock: the time on which decisions are based. Programs use the system's
/// clock, tests and benchmarks a virtual one.
///
///   ManualClock clock;
///   clock.advance(std::chrono::milliseconds(5));
#pragma once

#include <chrono>

namespace drumlanding::base {

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One moment on two clocks: `Steady` for waits, `Wall` for deadlines that are
/// sent between VMs.
struct Now {
  Instant Steady;
  WallTime Wall;
};

/// Interface of a clock.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Now now() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  Now now() const override;
};

/// A clock that only moves by advance(). Not thread-safe.
class ManualClock final : public Clock {
public:
  Now now() const override { return Current; }
  void advance(Duration by) {
    Current.Steady += by;
    Elapsed += by;
    Current.Wall = Epoch + std::chrono::duration_cast<milliseconds>(Elapsed);
  }

private:
  /// An arbitrary fixed start time, so that runs are reproducible.
  static constexpr WallTime Epoch{milliseconds(1'750'000'000'000)};
  Duration Elapsed{0};
  Now Current{Instant(std::chrono::hours(1)), Epoch};
};

/// Returns `d` in milliseconds, truncated to an integer.
inline std::int64_t toMs(Duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

} // namespace drumlanding::base
