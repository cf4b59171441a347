/// Limits on open requests and request rate per organisation at one entry, and
/// on retries by the entry.
///
///   if (!limits.tryOpen(now, organisation)) refuse(OrganisationLimit);
///   if (!budget.tryRetry()) fail();
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/bundle/bundle.h"

#include <map>
#include <string>
#include <string_view>

namespace drumlanding::entry {

/// Limits retries to a fraction of first attempts (a token bucket), so that
/// retries during a fault do not multiply the load.
class RetryBudget {
public:
  /// Allows `ratio` retries per first attempt and a burst of `burst` retries.
  RetryBudget(double ratio, double burst)
      : Ratio(ratio), Burst(burst), Balance(burst) {}
  void recordFirstAttempt();
  bool tryRetry();

private:
  double Ratio;
  double Burst;
  double Balance;
};

/// Enforces each organisation's limits on open requests and request rate.
class OrganisationLimits {
public:
  /// Counts a request as open; returns false when a contract limit is reached.
  bool tryOpen(base::Instant now, const bundle::Organisation &organisation);
  void close(std::string_view organisation);

  /// Returns the wait after which the rate limit allows another request.
  base::milliseconds retryAfter(const bundle::Organisation &o) const;

private:
  struct Usage {
    int OpenRequests = 0;
    double Balance = 0;
    base::Instant UpdatedAt{};
    bool IsNew = true;
  };
  std::map<std::string, Usage, std::less<>> UsageByOrganisation;
};

} // namespace drumlanding::entry
