/// Agent shell: turns sockets and timers into the core's events and carries
/// out its commands.
///
/// Lock order: CoreLock before any lock of a link. Commands are carried out
/// while CoreLock is held, so that they happen in the order decided; none of
/// them blocks.
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
  /// Time from SIGTERM until the VM vanishes; zero when it waits for us.
  base::milliseconds ReclaimNotice{0};
  SchedulerOptions Scheduling;
};

class Shell {
public:
  /// Makes the shell and opens its ports.
  static base::Result<std::unique_ptr<Shell>> start(daemon::Runtime &runtime,
                                                    ShellSettings settings);

  /// Begins a planned stop: ends the runtime once nothing is in flight.
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
  base::Log DecisionLog;
  std::unique_ptr<Core> AgentCore;
  std::mutex CoreLock;
  std::unordered_map<ReplyId, wire::Responder> Responders;
  ReplyId NextReply = 1;
  /// Stops of the streams that are on the engine, by request id.
  std::unordered_map<std::string, std::shared_ptr<std::atomic<bool>>> Streams;
  std::unique_ptr<wire::Server> Control;
  std::unique_ptr<http::Server> Admin;
  std::atomic<bool> IsLeaving{false};
  base::Instant DrainedAt{};
};

} // namespace drumlanding::agent
