/// What `load` checks of the answers it gets, and what it counts.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/http/http.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::tools {

/// Counts of one run. Any of the violations makes the run fail.
struct LoadCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resumed = 0;
  /// Ended with an error that says so: no violation, but no whole answer.
  std::uint64_t Failed = 0;
  /// No answer at all, for example since the entry was killed.
  std::uint64_t Unanswered = 0;
  // Violations.
  std::uint64_t DuplicateTokens = 0;
  std::uint64_t IndexGaps = 0;
  std::uint64_t Mismatched = 0;
  std::uint64_t WrongResponses = 0;
  std::uint64_t DuplicateRuns = 0;
  std::uint64_t RunsAfterNotRun = 0;

  std::uint64_t violations() const {
    return DuplicateTokens + IndexGaps + Mismatched + WrongResponses +
           DuplicateRuns + RunsAfterNotRun;
  }
};

/// Checks the tokens of one generation across resumes: each once, in order,
/// all of one seed.
class StreamChecker {
public:
  explicit StreamChecker(LoadCounts &counts) : Counts(counts) {}
  void checkToken(const http::ServerEvent &event, base::Instant now);
  std::uint32_t nextIndex() const { return NextIndex; }
  /// Times between tokens, in milliseconds.
  const std::vector<double> &gapsMs() const { return GapsMs; }

private:
  LoadCounts &Counts;
  std::uint32_t NextIndex = 0;
  std::string Seed;
  base::Instant LastTokenAt{};
  std::vector<double> GapsMs;
};

/// Returns the value at a part (0 to 1) of the sorted figures; 0 if none.
double quantile(std::vector<double> values, double fraction);

/// Returns a UUID of version 7 for this moment.
std::string makeUuid7(base::WallTime now);

} // namespace drumlanding::tools
