#include "drumlanding/gateway/retry-budget.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Fraction of the budget that is used. Gateways may have been replaced within
/// a window, and the replaced ones have used their share.
constexpr double SafePart = 0.6;

void dropBefore(std::deque<base::Instant> &times, base::Instant from) {
  while (!times.empty() && times.front() < from)
    times.pop_front();
}

} // namespace

void RetryBudget::dropExpired(base::Instant now, ServiceUsage &use) const {
  dropBefore(use.FirstSends, now - Options.Window);
  dropBefore(use.Retries, now - Options.Window);
}

void RetryBudget::recordFirstSend(base::Instant now, std::string_view service) {
  ServiceUsage &use = UsageByService[std::string(service)];
  dropExpired(now, use);
  use.FirstSends.push_back(now);
}

bool RetryBudget::tryRetry(base::Instant now, std::string_view service,
                           int gateways) {
  ServiceUsage &use = UsageByService[std::string(service)];
  dropExpired(now, use);
  const double allowed =
      SafePart *
      (Options.RetryRatio * static_cast<double>(use.FirstSends.size()) +
       Options.ExtraRetries / std::max(gateways, 1));
  if (static_cast<double>(use.Retries.size()) + 1 > allowed)
    return false;
  use.Retries.push_back(now);
  return true;
}

} // namespace drumlanding::gateway
