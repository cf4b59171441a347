/// Agent core: decides on all requests to one backend server, which receives
/// requests only through its agent. Deterministic, without I/O or threads:
/// takes events and the time, returns commands.
///
///   Core core(options);
///   for (const Command &c : core.handle(now, TokensArrived{id, 0, {"Hi"}}))
///     execute(c);
#pragma once

#include "control.pb.h"
#include "drumlanding/agent/lifecycle.h"
#include "drumlanding/agent/scheduler.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/base/verdict.h"
#include "drumlanding/plan/document-store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace drumlanding::agent {

/// Identifies a request until it is replied to.
using ReplyId = std::uint64_t;

// Events.

/// A message from an entry or another peer.
struct RequestArrived {
  ReplyId Reply = 0;
  wire::Request Message;
};
/// Tokens of a generation; the first one has index FirstIndex.
struct TokensArrived {
  std::string RequestId;
  std::uint32_t FirstIndex = 0;
  std::vector<std::string> Tokens;
};
/// How a generation's stream from the engine ended.
enum class EngineOutcome {
  Finished,       ///< The answer is complete.
  Released,       ///< Yielded or preempted; it can be resumed.
  Unreachable,    ///< No connection to the engine: this start ran nothing.
  Refused,        ///< The engine refused to start it: this start ran nothing.
  ConnectionLost, ///< The connection failed; it may still run on the engine.
  Unresumable     ///< The engine no longer has its state.
};
struct EngineStreamEnded {
  std::string RequestId;
  EngineOutcome Outcome = EngineOutcome::ConnectionLost;
};
/// The result of a call to the plain service.
struct CallEnded {
  std::string RequestId;
  /// False if no connection was made, so that the call did not run.
  bool Reached = false;
  /// False if no complete answer was received.
  bool Answered = false;
  wire::CallReply Reply;
};
/// The result of a health check of the backend server.
struct ServerObserved {
  bool IsAlive = false;
  /// KV cache capacity in tokens and the loaded models, for engines; otherwise
  /// zero and empty.
  std::uint64_t CapacityTokens = 0;
  std::vector<plan::LoadedModel> Models;
};
/// The duration of one engine step and the prompt tokens prefilled in it.
struct StepObserved {
  base::Duration Elapsed{0};
  std::uint32_t PrefillTokens = 0;
};
/// The process must stop. With a deadline, the VM is being reclaimed and no
/// work can finish after it.
struct LeaveRequested {
  std::optional<base::Instant> Deadline;
};
/// Drives timeouts and scheduling; sent every few milliseconds.
struct Tick {};

using Event =
    std::variant<RequestArrived, TokensArrived, EngineStreamEnded, CallEnded,
                 ServerObserved, StepObserved, LeaveRequested, Tick>;

// Commands.

struct SendReply {
  ReplyId Reply = 0;
  wire::Reply Message;
};
/// Starts or resumes a generation on the engine.
struct StartOnEngine {
  std::string RequestId;
  wire::Start Start;
  int Priority = 0;
  /// Number of tokens that the engine has already produced; 0 for a new start.
  std::uint32_t ResumeFrom = 0;
};
/// Stops a generation on the engine. With `KeepState`, the engine keeps its
/// state so that it can be resumed.
struct StopOnEngine {
  std::string RequestId;
  bool KeepState = false;
};
struct CallService {
  std::string RequestId;
  wire::Call Call;
};
/// Loads models. `Fence` is a fencing token: engines that check it refuse a
/// command with a lower one than the last.
struct LoadOnEngine {
  std::uint64_t Fence = 0;
  std::vector<plan::LoadedModel> Models;
};

using Command = std::variant<SendReply, StartOnEngine, StopOnEngine,
                             CallService, LoadOnEngine>;
using Commands = std::vector<Command>;

/// Switches for single safety mechanisms. Tests turn one off to show that their
/// scenario fails without it. All are on in the programs.
struct Mechanisms {
  bool RememberRequests = true;
  bool RecordTombstones = true;
  bool CheckIncarnation = true;
  bool CheckKeyTime = true;
  bool CancelOrphans = true;
  bool RefuseWhenLeaving = true;
};

struct CoreOptions {
  std::string Server;
  std::string Service;
  std::string Place;
  std::uint64_t Incarnation = 0;
  /// Wall time at which this process started. Calls whose idempotency key is
  /// older may have run in an earlier incarnation.
  base::WallTime StartedAt{};
  bundle::TrustedKeys Trusted;
  SchedulerOptions Scheduling;
  std::uint32_t MaxCalls = 64;
  Mechanisms Enabled;
  /// Called with one line of text for each decision; may be empty.
  std::function<void(std::string_view component, std::string_view message)>
      LogDecision;
  /// Called to increment a metric; may be empty.
  std::function<void(std::string_view metric, double amount)> IncrementMetric;
};

class CallTable;
class GenerationTable;

class Core {
public:
  explicit Core(CoreOptions options);
  ~Core();

  Commands handle(base::Now now, Event event);

  /// State that the shell uses for metrics, /readyz and to decide when a
  /// planned stop is complete.
  ServerState serverState() const;
  SchedulerLoad load() const;
  const plan::DocumentStore &documents() const { return Documents; }
  bool hasWork() const;

private:
  void on(base::Now now, RequestArrived &e);
  void on(base::Now now, TokensArrived &e);
  void on(base::Now now, EngineStreamEnded &e);
  void on(base::Now now, CallEnded &e);
  void on(base::Now now, ServerObserved &e);
  void on(base::Now now, StepObserved &e);
  void on(base::Now now, LeaveRequested &e);
  void on(base::Now now, Tick &e);

  void start(base::Now now, ReplyId reply, const wire::Request &message);
  void call(base::Now now, ReplyId reply, const wire::Request &message);
  void sync(base::Now now, ReplyId reply, const wire::Sync &message);
  void handleDocument(base::Now now, const wire::Document &document);
  base::Refusal admissionRefusal(base::Now now,
                                 const wire::Request &message) const;
  void applyDocuments(base::Now now);
  void updateServerState();
  wire::Report report(std::uint64_t knownModels) const;
  wire::Reply emptyReply() const;
  void reply(ReplyId id, wire::Reply message);
  void refuse(ReplyId id, const base::Refusal &refusal);
  void logDecision(std::string_view component,
                   const std::string &message) const;

  CoreOptions Options;
  plan::DocumentStore Documents;
  ServerLifecycle Lifecycle;
  std::unique_ptr<GenerationTable> Generations;
  std::unique_ptr<CallTable> Calls;
  Commands Out;
  bool ServerAlive = false;
  bool IsLeaveRequested = false;
  bool IsListedLeaving = false;
  bool IsDrainingInBundle = false;
  std::optional<base::Instant> ReclaimDeadline;
  std::vector<plan::LoadedModel> Models;
  std::uint64_t LoadedFence = 0;
  base::Instant LastLoadAt{};
  /// Wall time from which keys are guaranteed to be routed by `ServiceServers`,
  /// the service's server list in the bundle.
  base::WallTime ServiceServersSince{};
  std::vector<std::string> ServiceServers;
};

/// Returns the server that owns an idempotency key, the only one that may run
/// its call. Uses rendezvous hashing, so that a change of the list reassigns
/// few keys.
std::string ownerOfKey(const std::vector<std::string> &servers,
                       std::string_view key);

} // namespace drumlanding::agent
