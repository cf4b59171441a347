#include "load-checks.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace drumlanding::tools {

void StreamChecker::token(const http::ServerEvent &event, base::Instant now) {
  std::uint32_t index = 0;
  std::from_chars(event.Id.data(), event.Id.data() + event.Id.size(), index);
  if (index < Next) {
    ++Counts.Duplicates;
    return;
  }
  if (index > Next)
    ++Counts.Gaps;
  // The text is "word.seed.index " in quotes; both must fit.
  const auto first = event.Data.find('.');
  const auto second = event.Data.find('.', first + 1);
  const std::string seed = event.Data.substr(first + 1, second - first - 1);
  const std::string number = fmt::format(".{} \"", index);
  if ((!Seed.empty() && seed != Seed) || !event.Data.ends_with(number))
    ++Counts.Mixed;
  Seed = seed;
  Next = index + 1;
  ++Counts.Tokens;
  if (index > 0) {
    const std::chrono::duration<double, std::milli> gap = now - Last;
    GapsMs.push_back(gap.count());
  }
  Last = now;
}

double quantile(std::vector<double> figures, double part) {
  if (figures.empty())
    return 0;
  const auto at =
      static_cast<std::size_t>(part * static_cast<double>(figures.size() - 1));
  std::nth_element(figures.begin(),
                   figures.begin() + static_cast<std::ptrdiff_t>(at),
                   figures.end());
  return figures[at];
}

std::string uuid7(base::WallTime now) {
  constexpr std::uint64_t Variant = 0x8000'0000'0000'0000ULL;
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
  const std::uint64_t a = base::secureRandom64() & 0xfff;
  const std::uint64_t b = (base::secureRandom64() >> 2) | Variant;
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", ms >> 16,
                     ms & 0xffff, a, b >> 48, b & 0xffff'ffff'ffffULL);
}

} // namespace drumlanding::tools
