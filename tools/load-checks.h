/// Response checks and counters of the load generator `load`.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/http/http.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::tools {

/// Counters of one run. The run fails if there is any violation or if a request
/// is still open at its end.
struct LoadCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resumed = 0;
  /// Ended with an explicit error: no violation, but no complete response.
  std::uint64_t Failed = 0;
  /// Ended with neither a complete response nor an error, for example because
  /// the entry was killed.
  std::uint64_t Unanswered = 0;
  // Violations.
  std::uint64_t DuplicateTokens = 0;
  std::uint64_t IndexGaps = 0;
  /// Tokens with another seed or with text for another index.
  std::uint64_t Mismatched = 0;
  /// Responses of the plain service that belong to another call.
  std::uint64_t WrongResponses = 0;
  /// Calls of the plain service that ran more than once.
  std::uint64_t DuplicateRuns = 0;
  /// Generations that an engine started although the entry reported that they
  /// did not run.
  std::uint64_t RunsAfterNotRun = 0;

  std::uint64_t violations() const {
    return DuplicateTokens + IndexGaps + Mismatched + WrongResponses +
           DuplicateRuns + RunsAfterNotRun;
  }
};

/// Checks the tokens of one generation across resumes: each index arrives
/// once and in order, and all tokens carry the seed of the same generation.
class StreamChecker {
public:
  explicit StreamChecker(LoadCounts &counts) : Counts(counts) {}
  void checkToken(const http::ServerEvent &event, base::Instant now);
  std::uint32_t nextIndex() const { return NextIndex; }
  /// Returns the times between tokens, in milliseconds.
  const std::vector<double> &gapsMs() const { return GapsMs; }

private:
  LoadCounts &Counts;
  std::uint32_t NextIndex = 0;
  std::string Seed;
  base::Instant LastTokenAt{};
  std::vector<double> GapsMs;
};

/// Returns the quantile of `values` at `fraction` (0 to 1); 0 if it is empty.
double quantile(std::vector<double> values, double fraction);

/// Returns a version 7 UUID with the timestamp `now`.
std::string makeUuid7(base::WallTime now);

} // namespace drumlanding::tools
