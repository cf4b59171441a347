#include "load-checks.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace drumlanding::tools {

void StreamChecker::checkToken(const http::ServerEvent &event,
                               base::Instant now) {
  std::uint32_t index = 0;
  std::from_chars(event.Id.data(), event.Id.data() + event.Id.size(), index);
  if (index < NextIndex) {
    ++Counts.DuplicateTokens;
    return;
  }
  if (index > NextIndex)
    ++Counts.IndexGaps;
  // The text is "word.seed.index " in quotes; seed and index must both match.
  const auto first = event.Data.find('.');
  const auto second = event.Data.find('.', first + 1);
  const std::string seed = event.Data.substr(first + 1, second - first - 1);
  const std::string number = fmt::format(".{} \"", index);
  if ((!Seed.empty() && seed != Seed) || !event.Data.ends_with(number))
    ++Counts.Mismatched;
  Seed = seed;
  NextIndex = index + 1;
  ++Counts.Tokens;
  if (index > 0) {
    const std::chrono::duration<double, std::milli> gap = now - LastTokenAt;
    GapsMs.push_back(gap.count());
  }
  LastTokenAt = now;
}

double quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

std::string makeUuid7(base::WallTime now) {
  constexpr std::uint64_t Variant = 0x8000'0000'0000'0000ULL;
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
  const std::uint64_t a = base::secureRandom64() & 0xfff;
  const std::uint64_t b = (base::secureRandom64() >> 2) | Variant;
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", ms >> 16,
                     ms & 0xffff, a, b >> 48, b & 0xffff'ffff'ffffULL);
}

} // namespace drumlanding::tools
