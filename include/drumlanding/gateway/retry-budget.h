/// Retry budget: how many second sends the gateways may add to a service's
/// requests, all of them together, without talking about it.
///
///   RetryBudget budget({0.2, 56, std::chrono::seconds(10)});
///   budget.firstSend(now, "shop");
///   if (budget.tryRetry(now, "shop", gateways)) send();
#pragma once

#include "drumlanding/base/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

struct RetryBudgetOptions {
  /// Retries for each first send.
  double RetryRatio = 0.2;
  /// Retries that all gateways together may add to that in a window.
  double ExtraRetries = 0;
  base::milliseconds Window{10'000};
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : Options(options) {}

  void setOptions(const RetryBudgetOptions &options) { Options = options; }
  void recordFirstSend(base::Instant now, std::string_view service);
  /// Takes one retry; false when this gateway's part is used up. `gateways` is
  /// how many share the allowance, this one included.
  bool tryRetry(base::Instant now, std::string_view service, int gateways);

private:
  struct ServiceUsage {
    std::deque<base::Instant> FirstSends;
    std::deque<base::Instant> Retries;
  };
  void dropExpired(base::Instant now, ServiceUsage &use) const;

  RetryBudgetOptions Options;
  std::map<std::string, ServiceUsage, std::less<>> UsageByService;
};

} // namespace drumlanding::gateway
