/// Gateway metrics: all counters, histograms and gauges of a gateway.
#pragma once

#include "gateway-context.h"

#include <optional>
#include <string_view>

namespace drumlanding::gateway {

/// The result of a plain call, as seen by its caller.
struct CallResult {
  std::string_view Route;
  /// 0 when the caller disconnected before the response.
  int Status = 0;
  base::Duration Elapsed{0};
};

/// The result of a stream, as seen by its caller.
struct StreamResult {
  std::string_view Route;
  std::string_view Outcome;
  /// Time from the request to the first event; 0 if there was none.
  base::Duration TimeToFirstEvent{0};
  base::Duration MaxPause{0};
  base::Duration Elapsed{0};
};

void countCall(base::Metrics &metrics, const CallResult &result);
void countStream(base::Metrics &metrics, const StreamResult &result);
/// Counts a step of a migration: "begun", "copied", "copied last" or
/// "continued".
void countMigrationStep(base::Metrics &metrics, std::string_view step,
                        bool isDone);
/// Counts a retry that was requested from the retry budget.
void countRetry(base::Metrics &metrics, std::string_view service,
                bool isGranted);

/// Counts a request for which servers at their limits were passed over: it was
/// placed elsewhere or refused.
void countReachedLimit(base::Metrics &metrics, std::string_view service,
                       bool isPlaced);

/// Counts a request that was refused because it is suspect.
void countSuspectRefusal(base::Metrics &metrics, std::string_view service,
                         std::string_view why);

/// Counts a connection that was closed unread because of overload.
void countShedConnection(base::Metrics &metrics);

/// Counts a request that was refused because its body did not fit into memory.
void countRefusedBody(base::Metrics &metrics);

/// Counts a connection that was closed while its request arrived: "connections"
/// if another client needed it, "memory" if the request took too much.
void countEvictedRequest(base::Metrics &metrics, std::string_view limit);

/// Counts a call to the store for a resource, "config" or "servers".
void countStoreCall(base::Metrics &metrics, std::string_view resource,
                    bool isAnswered);

/// Returns the response for /metrics, /healthz and /readyz, and nullopt for any
/// other path.
std::optional<http::Response> metricsPage(GatewayContext &ctx,
                                          const http::Request &request);

} // namespace drumlanding::gateway
