#include "drumlanding/base/clock.h"

namespace drumlanding::base {

Now SystemClock::now() const {
  const auto wall = std::chrono::system_clock::now();
  return {
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
      std::chrono::time_point_cast<milliseconds>(wall)};
}

} // namespace drumlanding::base
