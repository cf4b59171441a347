/// Prefill history: the rate at which each engine has recently been given
/// prompts. Prefill delays the generations that run beside it.
///
///   PrefillHistory history;
///   history.record(now, "e1", 3'000);
///   double rate = history.tokensPerMs(now, "e1");
#pragma once

#include "drumlanding/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

class PrefillHistory {
public:
  /// Time constant of the exponential decay: several prompts fall into it.
  static constexpr base::seconds DecayTime{3};

  void record(base::Instant now, const std::string &server,
              std::uint32_t promptTokens);
  /// Returns the prompt tokens per ms, averaged over the recent past.
  double tokensPerMs(base::Instant now, std::string_view server) const;
  /// Forgets servers without recent prompts.
  void evict(base::Instant now);

private:
  struct Entry {
    double Tokens = 0;
    base::Instant UpdatedAt{};
  };
  static double decayed(const Entry &entry, base::Instant now);

  std::map<std::string, Entry, std::less<>> Entries;
};

} // namespace drumlanding::gateway
