#include "drumlanding/entry/limits.h"

#include <algorithm>
#include <cmath>

namespace drumlanding::entry {
namespace {

/// Burst that the rate limit allows, in seconds' worth of requests.
constexpr double BurstSeconds = 2;
constexpr base::milliseconds MinRetryAfter{100};

double burstOf(const bundle::Organisation &o) {
  return std::max(1.0, o.Contract.RequestsPerSecond * BurstSeconds);
}

} // namespace

void RetryBudget::recordFirstAttempt() {
  Balance = std::min(Balance + Ratio, Burst);
}

bool RetryBudget::tryRetry() {
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

bool OrganisationLimits::tryOpen(base::Instant now,
                                 const bundle::Organisation &o) {
  Usage &usage = UsageByOrganisation[o.Name];
  if (usage.IsNew) {
    usage.Balance = burstOf(o);
    usage.IsNew = false;
  } else {
    const std::chrono::duration<double> elapsed = now - usage.UpdatedAt;
    usage.Balance =
        std::min(usage.Balance + elapsed.count() * o.Contract.RequestsPerSecond,
                 burstOf(o));
  }
  usage.UpdatedAt = now;
  if (usage.OpenRequests >= o.Contract.MaxOpen || usage.Balance < 1)
    return false;
  usage.Balance -= 1;
  ++usage.OpenRequests;
  return true;
}

void OrganisationLimits::close(std::string_view organisation) {
  const auto it = UsageByOrganisation.find(organisation);
  if (it != UsageByOrganisation.end() && it->second.OpenRequests > 0)
    --it->second.OpenRequests;
}

base::milliseconds
OrganisationLimits::retryAfter(const bundle::Organisation &o) const {
  const double ms = std::ceil(1000 / o.Contract.RequestsPerSecond);
  return std::max(MinRetryAfter,
                  base::milliseconds(static_cast<std::int64_t>(ms)));
}

} // namespace drumlanding::entry
