/// Daemon: flags, worker threads and signal handling of entries and agents.
///
///   auto settings = readDaemonSettings(argc, argv, "synopsis", extraFlags);
///   Runtime runtime(value(settings).WorkerThreads);
///   runtime.onStop([&] { shell.leave(); });
///   runtime.run();
#pragma once

#include "drumlanding/base/metrics.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/daemon/process.h"
#include "drumlanding/http/connection-table.h"
#include "drumlanding/wire/link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace drumlanding::daemon {

namespace asio = boost::asio;

/// The settings that entries and agents have in common.
struct DaemonSettings {
  std::string Name;
  std::string Place;
  std::string FailureDomain;
  base::Endpoint ControlListen;
  wire::ControlKey Key;
  bundle::TrustedKeys Trusted;
  int WorkerThreads = 2;
  std::size_t RequestBufferBytes = 0;
  std::size_t MaxUnauthenticated = 0;
};

/// Reads and validates the common flags and `extraFlags`, and configures
/// logging.
base::Result<DaemonSettings>
readDaemonSettings(int argc, char **argv, std::string_view synopsis,
                   std::span<const std::string_view> extraFlags);

/// Makes the table of all HTTP connections of the process, which counts and
/// logs the connections that it closes. `clock` and `metrics` must outlive it.
std::shared_ptr<http::ConnectionTable>
makeConnectionTable(const DaemonSettings &settings, const base::Clock &clock,
                    base::Metrics &metrics);

/// Reports the counters of the control port in the metrics, and in the log when
/// connections were closed.
class ControlReporter {
public:
  void update(base::Metrics &metrics, const wire::LinkCounters &counters);

private:
  std::uint64_t LoggedClosed = 0;
};

/// A pool of worker threads that run one io_context.
class Runtime {
public:
  explicit Runtime(int workers);
  asio::io_context &io() { return Io; }

  /// Starts a coroutine on its own strand, since its timers and sockets are not
  /// safe for use by two workers at once.
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

} // namespace drumlanding::daemon
