/// Entry shell: turns input from sockets and timers into core events and
/// executes the core's commands.
///
/// Lock order: CoreLock before any lock of a link. Commands are executed while
/// CoreLock is held, which preserves their order; none of them blocks.
#pragma once

#include "api.h"
#include "drumlanding/base/log.h"
#include "drumlanding/base/metrics.h"
#include "drumlanding/daemon/daemon.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/entry/members.h"
#include "mailbox.h"
#include "plan-leader.h"
#include "platform/client.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace drumlanding::entry {

namespace asio = boost::asio;

struct ShellSettings {
  daemon::DaemonSettings Daemon;
  base::Endpoint Listen;
  base::Endpoint Platform;
  std::size_t SubsetSize = 16;
};

class Shell {
public:
  static base::Result<std::unique_ptr<Shell>> start(daemon::Runtime &runtime,
                                                    ShellSettings settings);

  /// Starts draining: stops the runtime once no session is open.
  void leave();

private:
  Shell(daemon::Runtime &runtime, ShellSettings settings);

  void dispatch(Event event);
  void execute(SendMessage &c);
  void execute(ReplyToPeer &c);
  void execute(DisconnectPeer &c);
  template <typename C> void execute(C &c);
  wire::Client *connectTo(const std::string &peer, const base::Endpoint &to);

  asio::awaitable<void> serve(http::Request request, http::Exchange &x);
  asio::awaitable<void> serveCaller(CallerRequest request, http::Exchange &x);
  asio::awaitable<void> streamAnswer(Mailbox &mailbox, http::Exchange &x);
  asio::awaitable<void> sendCompleteAnswer(Mailbox &mailbox, http::Exchange &x);

  asio::awaitable<void> tickLoop();
  asio::awaitable<void> listLoop();
  asio::awaitable<void> watchLoop(wire::DocumentKind kind);
  bool isWatcher();
  std::optional<PlanInput> planInput();
  void updateMetrics();

  daemon::Runtime &Runtime;
  ShellSettings Settings;
  base::SystemClock Time;
  base::Metrics Metrics;
  daemon::ControlReporter ControlReport;
  platform::Client Platform;
  std::unique_ptr<PlanLeader> Leader;
  std::unique_ptr<Core> TheCore;
  std::mutex CoreLock;
  std::unordered_map<std::uint64_t, wire::Responder> Responders;
  std::uint64_t NextReply = 1;
  std::unordered_map<SessionId, std::shared_ptr<Mailbox>> Mailboxes;
  SessionId NextSession = 1;
  struct Link {
    base::Endpoint To;
    std::unique_ptr<wire::Client> Client;
  };
  std::map<std::string, Link> Links;
  std::shared_ptr<wire::LinkCounters> LinkBytes =
      std::make_shared<wire::LinkCounters>();
  std::unique_ptr<wire::Server> Control;
  std::unique_ptr<http::Server> Callers;
  std::atomic<bool> IsLeaving{false};
  std::vector<ListedVm> Listed;
};

} // namespace drumlanding::entry
