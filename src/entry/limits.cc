#include "drumlanding/entry/limits.h"

#include <algorithm>
#include <cmath>

namespace drumlanding::entry {
namespace {

/// A rate limit lets this many seconds' worth of requests come at once.
constexpr double BurstSeconds = 2;
constexpr base::milliseconds LeastRetryAfter{100};

double burstOf(const bundle::Organisation &o) {
  return std::max(1.0, o.Contract.RequestsPerSecond * BurstSeconds);
}

} // namespace

void RetryBudget::firstAttempt() { Saved = std::min(Saved + Part, Burst); }

bool RetryBudget::tryRetry() {
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

bool OrganisationLimits::tryOpen(base::Instant now,
                                 const bundle::Organisation &o) {
  Use &use = Uses[o.Name];
  if (use.IsNew) {
    use.Saved = burstOf(o);
    use.IsNew = false;
  } else {
    const std::chrono::duration<double> since = now - use.At;
    use.Saved = std::min(
        use.Saved + since.count() * o.Contract.RequestsPerSecond, burstOf(o));
  }
  use.At = now;
  if (use.Open >= o.Contract.MaxOpen || use.Saved < 1)
    return false;
  use.Saved -= 1;
  ++use.Open;
  return true;
}

void OrganisationLimits::close(std::string_view organisation) {
  const auto it = Uses.find(organisation);
  if (it != Uses.end() && it->second.Open > 0)
    --it->second.Open;
}

base::milliseconds
OrganisationLimits::retryAfter(const bundle::Organisation &o) const {
  const double ms = std::ceil(1000 / o.Contract.RequestsPerSecond);
  return std::max(LeastRetryAfter,
                  base::milliseconds(static_cast<std::int64_t>(ms)));
}

} // namespace drumlanding::entry
