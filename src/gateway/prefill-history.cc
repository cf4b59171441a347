#include "drumlanding/gateway/prefill-history.h"

#include <algorithm>
#include <cmath>

namespace drumlanding::gateway {
namespace {

constexpr double DecayMs =
    std::chrono::duration<double, std::milli>(PrefillHistory::DecayTime)
        .count();

} // namespace

double PrefillHistory::decayed(const Entry &entry, base::Instant now) {
  const double age = std::max(
      0.0,
      std::chrono::duration<double, std::milli>(now - entry.UpdatedAt).count());
  return entry.Tokens * std::exp(-age / DecayMs);
}

void PrefillHistory::record(base::Instant now, const std::string &server,
                            std::uint32_t promptTokens) {
  Entry &entry = Entries[server];
  entry.Tokens = decayed(entry, now) + promptTokens;
  entry.UpdatedAt = std::max(entry.UpdatedAt, now);
}

double PrefillHistory::tokensPerMs(base::Instant now,
                                   std::string_view server) const {
  const auto it = Entries.find(server);
  return it == Entries.end() ? 0 : decayed(it->second, now) / DecayMs;
}

void PrefillHistory::evict(base::Instant now) {
  constexpr int DecayTimes = 10;
  std::erase_if(Entries, [&](const auto &entry) {
    return now - entry.second.UpdatedAt > DecayTimes * DecayTime;
  });
}

} // namespace drumlanding::gateway
