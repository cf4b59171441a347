/// Retry budget: limits the retries that all gateways together add to a
/// service's requests, without coordination between them.
///
///   RetryBudget budget({0.2, 56, std::chrono::seconds(10)});
///   budget.recordFirstSend(now, "shop");
///   if (budget.tryRetry(now, "shop", gatewayCount)) send();
#pragma once

#include "drumlanding/base/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace drumlanding::gateway {

struct RetryBudgetOptions {
  /// Retries allowed per first send.
  double RetryRatio = 0.2;
  /// Additional retries per window, shared by all gateways.
  double ExtraRetries = 0;
  base::milliseconds Window{10'000};
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : Options(options) {}

  void setOptions(const RetryBudgetOptions &options) { Options = options; }
  void recordFirstSend(base::Instant now, std::string_view service);
  /// Takes one retry from the budget. Returns false if this gateway's share is
  /// used up. `gatewayCount` is the number of gateways that share the budget,
  /// including this one.
  bool tryRetry(base::Instant now, std::string_view service, int gatewayCount);

private:
  struct ServiceUsage {
    std::deque<base::Instant> FirstSends;
    std::deque<base::Instant> Retries;
  };
  void dropExpired(base::Instant now, ServiceUsage &usage) const;

  RetryBudgetOptions Options;
  std::map<std::string, ServiceUsage, std::less<>> UsageByService;
};

} // namespace drumlanding::gateway
