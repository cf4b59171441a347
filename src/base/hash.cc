#include "drumlanding/base/hash.h"

#include "drumlanding/base/settings.h"

#include <array>
#include <sodium.h>
#include <xxhash.h>

namespace drumlanding::base {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t secureRandom64() {
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof number);
  return number;
}

std::string randomId() {
  std::array<char, 16> buf{};
  randombytes_buf(buf.data(), buf.size());
  return toHex({buf.data(), buf.size()});
}

} // namespace drumlanding::base
