/// Process: flags, logging and operators' HTTP endpoints that all processes
/// have in common.
///
///   auto settings = readProcessSettings(argc, argv, "synopsis", extraFlags);
#pragma once

#include "drumlanding/base/metrics.h"
#include "drumlanding/base/result.h"
#include "drumlanding/http/http.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace drumlanding::daemon {

/// The settings that all processes have.
struct ProcessSettings {
  std::string Name;
  std::string Place;
  std::string FailureDomain;
  int WorkerThreads = 2;
};

/// Reads and validates the flags of every process and `extraFlags`, and
/// configures logging.
base::Result<ProcessSettings>
readProcessSettings(int argc, char **argv, std::string_view synopsis,
                    std::span<const std::string_view> extraFlags);

/// Handles GET for /metrics, /healthz and /readyz; returns none for all other
/// requests.
std::optional<http::Response>
handleOperatorRequest(const http::Request &request, base::Metrics &metrics,
                      const std::function<bool()> &isReady);

} // namespace drumlanding::daemon
