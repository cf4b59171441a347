#include "drumlanding/gateway/retry-budget.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Fraction of the budget that is used. Gateways may have been replaced within
/// a window, and the replaced ones have used their share.
constexpr double SafetyFactor = 0.6;

void dropBefore(std::deque<base::Instant> &times, base::Instant from) {
  while (!times.empty() && times.front() < from)
    times.pop_front();
}

} // namespace

void RetryBudget::dropExpired(base::Instant now, ServiceUsage &usage) const {
  dropBefore(usage.FirstSends, now - Options.Window);
  dropBefore(usage.Retries, now - Options.Window);
}

void RetryBudget::recordFirstSend(base::Instant now, std::string_view service) {
  ServiceUsage &usage = UsageByService[std::string(service)];
  dropExpired(now, usage);
  usage.FirstSends.push_back(now);
}

bool RetryBudget::tryRetry(base::Instant now, std::string_view service,
                           int gatewayCount) {
  ServiceUsage &usage = UsageByService[std::string(service)];
  dropExpired(now, usage);
  const double allowed =
      SafetyFactor *
      (Options.RetryRatio * static_cast<double>(usage.FirstSends.size()) +
       Options.ExtraRetries / std::max(gatewayCount, 1));
  if (static_cast<double>(usage.Retries.size()) + 1 > allowed)
    return false;
  usage.Retries.push_back(now);
  return true;
}

} // namespace drumlanding::gateway
