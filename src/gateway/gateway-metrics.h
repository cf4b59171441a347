/// Gateway metrics: every counter, histogram and gauge of a gateway, by name
/// and labels, in one place.
#pragma once

#include "gateway-context.h"

#include <optional>
#include <string_view>

namespace drumlanding::gateway {

/// Outcome a call ended for its caller.
struct CallResult {
  std::string_view Route;
  /// 0 when the caller left before an answer.
  int Status = 0;
  base::Duration Elapsed{0};
};

/// Outcome a stream ended for its caller.
struct StreamResult {
  std::string_view Route;
  std::string_view Outcome;
  /// From the request to the first event; 0 when none came.
  base::Duration TimeToFirstEvent{0};
  base::Duration MaxPause{0};
  base::Duration Elapsed{0};
};

void countCall(base::Metrics &metrics, const CallResult &result);
void countStream(base::Metrics &metrics, const StreamResult &result);
/// Counts a step of a move: "begun", "copied", "continued".
void countMigrationStep(base::Metrics &metrics, std::string_view step,
                        bool isDone);
/// Counts a second send that was asked of the retry budget.
void countRetry(base::Metrics &metrics, std::string_view service,
                bool isGranted);

/// Counts a call to the store for "config" or "servers".
void countStoreCall(base::Metrics &metrics, std::string_view resource,
                    bool isAnswered);

/// Answers /metrics, /healthz and /readyz; none for any other path.
std::optional<http::Response> metricsPage(GatewayContext &ctx,
                                          const http::Request &request);

} // namespace drumlanding::gateway
