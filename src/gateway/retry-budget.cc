#include "drumlanding/gateway/retry-budget.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// Part of the allowance that is used: gateways may have been replaced within
/// a window, and those that were not known then have used theirs.
constexpr double SafePart = 0.6;

void dropBefore(std::deque<base::Instant> &times, base::Instant from) {
  while (!times.empty() && times.front() < from)
    times.pop_front();
}

} // namespace

void RetryBudget::forget(base::Instant now, Use &use) const {
  dropBefore(use.First, now - Options.Window);
  dropBefore(use.Retries, now - Options.Window);
}

void RetryBudget::firstSend(base::Instant now, std::string_view service) {
  Use &use = Uses[std::string(service)];
  forget(now, use);
  use.First.push_back(now);
}

bool RetryBudget::tryRetry(base::Instant now, std::string_view service,
                           int gateways) {
  Use &use = Uses[std::string(service)];
  forget(now, use);
  const double allowed =
      SafePart * (Options.Part * static_cast<double>(use.First.size()) +
                  Options.Extra / std::max(gateways, 1));
  if (static_cast<double>(use.Retries.size()) + 1 > allowed)
    return false;
  use.Retries.push_back(now);
  return true;
}

} // namespace drumlanding::gateway
