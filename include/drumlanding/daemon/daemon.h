/// Daemon: what every process of the system shares: common flags, worker
/// threads, signals, and the pages for operators.
///
///   auto settings = readDaemonSettings(argc, argv, "synopsis", extraFlags);
///   Runtime runtime(value(settings).WorkerThreads);
///   runtime.onStop([&] { shell.leave(); });
///   runtime.run();
#pragma once

#include "drumlanding/base/metrics.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/http/http.h"
#include "drumlanding/wire/link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace drumlanding::daemon {

namespace asio = boost::asio;

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
                    std::span<const std::string_view> extra);

/// The settings of the daemons that speak to agents.
struct DaemonSettings {
  std::string Name;
  std::string Place;
  std::string FailureDomain;
  base::Endpoint ControlListen;
  wire::ControlKey Key;
  bundle::TrustedKeys Trusted;
  int WorkerThreads = 2;
};

/// Reads and checks the common flags and `extra`, and sets up the logs.
base::Result<DaemonSettings>
readDaemonSettings(int argc, char **argv, std::string_view synopsis,
                   std::span<const std::string_view> extra);

/// A pool of workers over one queue of events.
class Runtime {
public:
  explicit Runtime(int workers) : Workers(workers) {}
  asio::io_context &io() { return Io; }

  /// Starts a coroutine on a strand of its own: its timers and sockets must
  /// never be touched by two workers at once.
  void spawn(asio::awaitable<void> work);

  /// Calls `stop` on the first SIGTERM or SIGINT.
  void onStop(std::function<void()> stop);

  /// Runs until `finish` is called.
  void run();
  void finish() { Io.stop(); }

private:
  int Workers;
  asio::io_context Io;
};

/// Answers /metrics, /healthz and /readyz; none for any other path.
std::optional<http::Response>
operatorsPage(const http::Request &request, base::Metrics &metrics,
              const std::function<bool()> &isReady);

} // namespace drumlanding::daemon
