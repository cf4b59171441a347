/// Limits: how much one organisation may ask for at one entry, and how many
/// retries the entry may add to its callers' requests.
///
///   if (!limits.tryOpen(now, organisation)) refuse(OrganisationLimit);
///   if (!budget.tryRetry()) giveUp();
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/bundle/bundle.h"

#include <map>
#include <string>
#include <string_view>

namespace drumlanding::entry {

/// Allows retries as a part of first attempts, so that faults never multiply
/// the load (a token bucket).
class RetryBudget {
public:
  /// `part` retries for each first attempt; at most `burst` saved up.
  RetryBudget(double ratio, double burst)
      : Ratio(ratio), Burst(burst), Balance(burst) {}
  void recordFirstAttempt();
  bool tryRetry();

private:
  double Ratio;
  double Burst;
  double Balance;
};

/// Counts the open requests and the rate of each organisation.
class OrganisationLimits {
public:
  /// Takes a place for a request; false when the contract's limit is reached.
  bool tryOpen(base::Instant now, const bundle::Organisation &organisation);
  void close(std::string_view organisation);

  /// Returns when a request would be allowed again by the rate.
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
