#include "drumlanding/base/hash.h"
#include "drumlanding/wire/link.h"
#include "drumlanding/wire/request-id.h"

#include <gtest/gtest.h>

namespace drumlanding::wire {
namespace {

const ControlKey Key{std::string(32, 'k')};

TEST(Envelope, OpensWhatItSealed) {
  const auto opened = open(Key, false, seal(Key, 42, false, "hello"));
  ASSERT_TRUE(ok(opened));
  EXPECT_EQ(base::value(opened).Nonce, 42U);
  EXPECT_EQ(base::value(opened).Payload, "hello");
}

TEST(Envelope, RefusesWrongKeyWrongDirectionAndTampering) {
  const std::string sealed = seal(Key, 42, false, "hello");
  EXPECT_FALSE(ok(open({std::string(32, 'x')}, false, sealed)));
  // A request must not be accepted as a reply.
  EXPECT_FALSE(ok(open(Key, true, sealed)));
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string changed = sealed;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    const auto opened = open(Key, false, changed);
    // A change that the parser ignores may open, with the payload intact.
    if (ok(opened)) {
      EXPECT_EQ(base::value(opened).Payload, "hello");
    }
  }
}

TEST(Envelope, RefusesRandomAndTruncatedMessages) {
  base::Random random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes;
    const std::uint64_t size = random.below(200);
    for (std::uint64_t n = 0; n < size; ++n)
      bytes += static_cast<char>(random.below(256));
    EXPECT_FALSE(ok(open(Key, false, bytes)));
    Request request;
    request.ParseFromString(bytes); // Must not crash.
  }
  const std::string sealed = seal(Key, 1, false, std::string(300, 'x'));
  for (std::size_t size = 0; size < sealed.size(); ++size)
    EXPECT_FALSE(ok(open(Key, false, sealed.substr(0, size))));
}

TEST(RequestIds, EncodeServerAndIncarnation) {
  const RequestId id{"tutor-llm-1", 0x2a, "000102030405060708090a0b0c0d0e0f"};
  const auto again = parseRequestId(toString(id));
  ASSERT_TRUE(ok(again));
  EXPECT_EQ(base::value(again).Server, "tutor-llm-1");
  EXPECT_EQ(base::value(again).Incarnation, 0x2aU);
  EXPECT_FALSE(ok(parseRequestId("tutor-llm-1~2a~00")));
  EXPECT_FALSE(ok(parseRequestId("../x~000000000000002a~"
                                 "000102030405060708090a0b0c0d0e0f")));
  EXPECT_FALSE(ok(parseRequestId("")));
}

} // namespace
} // namespace drumlanding::wire
