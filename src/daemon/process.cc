#include "drumlanding/daemon/process.h"

#include "drumlanding/base/invariant.h"
#include "drumlanding/base/log.h"
#include "drumlanding/base/settings.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <sodium.h>
#include <vector>

DEFINE_string(name, "", "[identity] unique name of this process");
DEFINE_string(place, "", "[identity] place of this VM, as in the bundle");
DEFINE_string(failure_domain, "", "[identity] failure domain of this VM");
DEFINE_string(log_level, "info", "[logs] debug, info, warning or error");
DEFINE_string(log_format, "text", "[logs] text or json");
DEFINE_int32(worker_threads, 2, "[process] worker threads, 1 to 64");
DEFINE_bool(fatal_invariants, false,
            "[process] abort when an invariant fails (for tests)");

namespace drumlanding::daemon {
namespace {

using base::Result;

constexpr std::string_view ProcessFlags[] = {
    "name",       "place",          "failure_domain",  "log_level",
    "log_format", "worker_threads", "fatal_invariants"};
constexpr int MaxWorkers = 64;

Result<base::Done> setUpLogging() {
  constexpr std::string_view Levels[] = {"debug", "info", "warning", "error"};
  const auto it = std::find(std::begin(Levels), std::end(Levels),
                            std::string_view(FLAGS_log_level));
  if (it == std::end(Levels))
    return base::invalid("--log_level",
                         "value '" + FLAGS_log_level +
                             "' is not debug, info, warning or error");
  if (FLAGS_log_format != "text" && FLAGS_log_format != "json")
    return base::invalid("--log_format", "value '" + FLAGS_log_format +
                                             "' is not text or json");
  base::configureLogging(static_cast<base::LogLevel>(it - std::begin(Levels)),
                         FLAGS_log_format == "json" ? base::LogFormat::JsonLines
                                                    : base::LogFormat::Text);
  return base::Done{};
}

Result<base::Done> checkIdentity() {
  for (const auto &[flag, text] :
       {std::pair("--name", FLAGS_name), std::pair("--place", FLAGS_place),
        std::pair("--failure_domain", FLAGS_failure_domain)})
    if (auto r = base::checkName(flag, text); !ok(r))
      return r;
  if (FLAGS_worker_threads < 1 || FLAGS_worker_threads > MaxWorkers)
    return base::invalid("--worker_threads",
                         "value '" + std::to_string(FLAGS_worker_threads) +
                             "' is not from 1 to 64");
  return base::Done{};
}

} // namespace

Result<ProcessSettings>
readProcessSettings(int argc, char **argv, std::string_view synopsis,
                    std::span<const std::string_view> extraFlags) {
  if (sodium_init() < 0)
    return base::invalid("libsodium", "sodium_init() failed");
  std::vector<std::string_view> allowed(std::begin(ProcessFlags),
                                        std::end(ProcessFlags));
  allowed.insert(allowed.end(), extraFlags.begin(), extraFlags.end());
  const auto positional = base::readSettings(argc, argv, synopsis, allowed);
  if (!ok(positional))
    return error(positional);
  if (!value(positional).empty())
    return base::invalid(value(positional)[0],
                         "unexpected argument; --help lists the "
                         "flags");
  if (auto r = setUpLogging(); !ok(r))
    return error(r);
  if (auto r = checkIdentity(); !ok(r))
    return error(r);
  base::setInvariantsFatal(FLAGS_fatal_invariants);
  return ProcessSettings{FLAGS_name, FLAGS_place, FLAGS_failure_domain,
                         FLAGS_worker_threads};
}

std::optional<http::Response>
handleOperatorRequest(const http::Request &request, base::Metrics &metrics,
                      const std::function<bool()> &isReady) {
  if (request.Method != "GET")
    return std::nullopt;
  if (request.path() == "/metrics")
    return http::Response{200, "text/plain; version=0.0.4", metrics.text(), {}};
  if (request.path() == "/healthz")
    return http::Response{200, "text/plain", "ok\n", {}};
  if (request.path() != "/readyz")
    return std::nullopt;
  if (isReady())
    return http::Response{200, "text/plain", "ready\n", {}};
  return http::Response{503, "text/plain", "not ready\n", {}};
}

} // namespace drumlanding::daemon
