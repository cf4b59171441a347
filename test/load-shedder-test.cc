// Tests when an overloaded gateway closes new connections, on a virtual clock.
#include "drumlanding/gateway/load-shedder.h"

#include <gtest/gtest.h>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::Instant Start{seconds(1'000)};
constexpr milliseconds LongDelay{200};
constexpr milliseconds ShortDelay{5};

/// Records delays for a while, each sample when its timer has run late.
base::Instant recordFor(LoadShedder &shedder, base::Instant from,
                        base::Duration length, base::Duration delay) {
  base::Instant now = from;
  while (now < from + length) {
    now += LoadShedder::SampleInterval + delay;
    shedder.recordDelay(now, delay);
  }
  return now;
}

TEST(LoadShedder, ALongDelayThatLastsIsOverload) {
  LoadShedder shedder;
  base::Instant now = recordFor(shedder, Start, seconds(2), ShortDelay);
  EXPECT_TRUE(shedder.accepts(now));
  now = recordFor(shedder, now, seconds(2), LongDelay);
  EXPECT_TRUE(shedder.isOverloaded());
  EXPECT_TRUE(shedder.accepts(now));
  EXPECT_FALSE(shedder.accepts(now));
  now = recordFor(shedder, now, milliseconds(100), ShortDelay);
  EXPECT_TRUE(shedder.accepts(now));
  EXPECT_TRUE(shedder.accepts(now));
}

TEST(LoadShedder, ASingleLongDelayIsNoOverload) {
  LoadShedder shedder;
  shedder.recordDelay(Start, seconds(2));
  EXPECT_FALSE(shedder.isOverloaded());
  recordFor(shedder, Start, seconds(1), ShortDelay);
  EXPECT_TRUE(shedder.accepts(Start + seconds(2)));
}

/// Guards against a gateway that accepts nothing for so long that the load
/// balancer takes it for broken (issue 32, RECOVER).
TEST(LoadShedder, AnOverloadedGatewayAcceptsSome) {
  LoadShedder shedder;
  base::Instant now = recordFor(shedder, Start, seconds(2), LongDelay);
  int accepted = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(30))
    accepted += shedder.accepts(now) ? 1 : 0;
  EXPECT_GE(accepted, 10);
  EXPECT_LE(accepted, 16);
}

TEST(LoadShedder, OverloadThatReturnsIsFoundSooner) {
  LoadShedder shedder;
  base::Instant now = recordFor(shedder, Start, seconds(2), LongDelay);
  now = recordFor(shedder, now, milliseconds(100), ShortDelay);
  EXPECT_FALSE(shedder.isOverloaded());
  recordFor(shedder, now, milliseconds(600), LongDelay);
  EXPECT_TRUE(shedder.isOverloaded());
}

} // namespace
} // namespace drumlanding::gateway
