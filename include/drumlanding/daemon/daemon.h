/// Daemon: what entries and agents share: their flags, worker threads and
/// signals.
///
///   auto settings = readDaemonSettings(argc, argv, "synopsis", extraFlags);
///   Runtime runtime(value(settings).WorkerThreads);
///   runtime.onStop([&] { shell.leave(); });
///   runtime.run();
#pragma once

#include "drumlanding/base/settings.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/daemon/process.h"
#include "drumlanding/wire/link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace drumlanding::daemon {

namespace asio = boost::asio;

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
                   std::span<const std::string_view> extraFlags);

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

} // namespace drumlanding::daemon
