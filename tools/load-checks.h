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
  std::uint64_t Whole = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Resumed = 0;
  /// Ended with an error that says so: no violation, but no whole answer.
  std::uint64_t Broken = 0;
  /// No answer at all, for example since the entry was killed.
  std::uint64_t Unanswered = 0;
  // Violations.
  std::uint64_t Duplicates = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t Mixed = 0;
  std::uint64_t Crossed = 0;
  std::uint64_t RanTwice = 0;
  std::uint64_t RanThoughNot = 0;

  std::uint64_t violations() const {
    return Duplicates + Gaps + Mixed + Crossed + RanTwice + RanThoughNot;
  }
};

/// Checks the tokens of one generation across resumes: each once, in order,
/// all of one seed.
class StreamChecker {
public:
  explicit StreamChecker(LoadCounts &counts) : Counts(counts) {}
  void token(const http::ServerEvent &event, base::Instant now);
  std::uint32_t next() const { return Next; }
  /// Times between tokens, in milliseconds.
  const std::vector<double> &gaps() const { return GapsMs; }

private:
  LoadCounts &Counts;
  std::uint32_t Next = 0;
  std::string Seed;
  base::Instant Last{};
  std::vector<double> GapsMs;
};

/// Returns the value at a part (0 to 1) of the sorted figures; 0 if none.
double quantile(std::vector<double> figures, double part);

/// Returns a UUID of version 7 for this moment.
std::string uuid7(base::WallTime now);

} // namespace drumlanding::tools
