/// Agent shell: converts messages and timers into events of the core and
/// executes its commands.
///
/// Lock order: CoreLock before any lock of a link. Commands are executed while
/// CoreLock is held, so that they take effect in the order of the decisions;
/// none of them blocks.
#pragma once

#include "drumlanding/agent/core.h"
#include "drumlanding/base/log.h"
#include "drumlanding/base/metrics.h"
#include "drumlanding/daemon/daemon.h"
#include "drumlanding/http/http.h"
#include "drumlanding/wire/link.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace drumlanding::agent {

namespace asio = boost::asio;

struct ShellSettings {
  daemon::DaemonSettings Daemon;
  std::string Service;
  base::Endpoint Backend;
  bundle::ServiceKind Kind = bundle::ServiceKind::Engine;
  base::Endpoint AdminListen;
  /// Time from SIGTERM until the VM is reclaimed; zero if the VM waits for the
  /// process to finish.
  base::milliseconds ReclaimNotice{0};
  SchedulerOptions Scheduling;
};

class Shell {
public:
  /// Creates the shell and opens its ports.
  static base::Result<std::unique_ptr<Shell>> start(daemon::Runtime &runtime,
                                                    ShellSettings settings);

  /// Begins a planned stop: stops the runtime once no work is open.
  void leave();

private:
  Shell(daemon::Runtime &runtime, ShellSettings settings);

  void dispatch(Event event);
  void execute(SendReply &c);
  void execute(StartOnEngine &c);
  void execute(StopOnEngine &c);
  void execute(CallService &c);
  void execute(LoadOnEngine &c);

  asio::awaitable<void> tickLoop();
  asio::awaitable<void> observeLoop();
  asio::awaitable<void> runStream(StartOnEngine start,
                                  std::shared_ptr<std::atomic<bool>> stopped);
  asio::awaitable<void> stopStream(std::string target);
  asio::awaitable<void> runCall(CallService call);
  asio::awaitable<void> load(LoadOnEngine order);
  asio::awaitable<ServerObserved> observeEngine();
  asio::awaitable<ServerObserved> observeService();
  asio::awaitable<void> admin(http::Request request, http::Exchange &x);
  void updateMetrics();
  bool shouldStop();

  daemon::Runtime &Runtime;
  ShellSettings Settings;
  base::SystemClock Clock;
  base::Metrics Metrics;
  daemon::ControlReporter ControlReport;
  base::Log DecisionLog;
  std::unique_ptr<Core> AgentCore;
  std::mutex CoreLock;
  std::unordered_map<ReplyId, wire::Responder> Responders;
  ReplyId NextReply = 1;
  /// Stop flags of the streams on the engine, by request id.
  std::unordered_map<std::string, std::shared_ptr<std::atomic<bool>>> Streams;
  std::unique_ptr<wire::Server> Control;
  std::unique_ptr<http::Server> Admin;
  std::atomic<bool> IsLeaving{false};
  base::Instant DrainedAt{};
};

} // namespace drumlanding::agent
