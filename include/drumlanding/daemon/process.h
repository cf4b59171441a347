/// Process: what every process of the system shares: common flags, logs, and
/// the pages for operators.
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

/// Reads and checks the flags of every process and `extra`, and sets up the
/// logs.
base::Result<ProcessSettings>
readProcessSettings(int argc, char **argv, std::string_view synopsis,
                    std::span<const std::string_view> extraFlags);

/// Answers /metrics, /healthz and /readyz; none for any other path.
std::optional<http::Response>
handleOperatorRequest(const http::Request &request, base::Metrics &metrics,
                      const std::function<bool()> &isReady);

} // namespace drumlanding::daemon
