/// Gateway metrics: every counter, histogram and gauge of a gateway, by name
/// and labels, in one place.
#pragma once

#include "world.h"

#include <optional>
#include <string_view>

namespace drumlanding::gateway {

/// How a call ended for its caller.
struct CallEnd {
  std::string_view Route;
  /// 0 when the caller left before an answer.
  int Status = 0;
  base::Duration Took{0};
};

/// How a stream ended for its caller.
struct StreamEnd {
  std::string_view Route;
  std::string_view How;
  /// From the request to the first event; 0 when none came.
  base::Duration FirstEvent{0};
  base::Duration LongestPause{0};
  base::Duration Took{0};
};

void countCall(base::Metrics &metrics, const CallEnd &end);
void countStream(base::Metrics &metrics, const StreamEnd &end);
/// Counts a step of a move: "begun", "copied", "continued".
void countMove(base::Metrics &metrics, std::string_view step, bool isDone);
/// Counts a second send that was asked of the retry budget.
void countRetry(base::Metrics &metrics, std::string_view service,
                bool isGranted);

/// Counts a call to the store for "config" or "servers".
void countStoreCall(base::Metrics &metrics, std::string_view what,
                    bool isAnswered);

/// Answers /metrics, /healthz and /readyz; none for any other path.
std::optional<http::Response> metricsPage(World &world,
                                          const http::Request &request);

} // namespace drumlanding::gateway
