/// Agent core: the only gate to one backend server. Deterministic, without I/O
/// or threads: events and the time go in, commands come out.
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

/// Names a request that waits for its reply.
using ReplyId = std::uint64_t;

// Events.

/// A message from an entry or a peer.
struct RequestArrived {
  ReplyId Reply = 0;
  wire::Request Message;
};
/// Tokens of a generation, numbered from FirstIndex.
struct TokensArrived {
  std::string RequestId;
  std::uint32_t FirstIndex = 0;
  std::vector<std::string> Tokens;
};
/// How a generation left the engine.
enum class EngineOutcome {
  Finished,       ///< The answer is whole.
  Released,       ///< Off the engine; it can be resumed.
  Unreachable,    ///< The engine was never reached: nothing ran.
  Refused,        ///< The engine refused to start it: nothing ran.
  ConnectionLost, ///< The connection broke; what the engine does is unknown.
  Unresumable     ///< The engine no longer knows it.
};
struct EngineStreamEnded {
  std::string RequestId;
  EngineOutcome Outcome = EngineOutcome::ConnectionLost;
};
/// What became of a call of the plain service.
struct CallEnded {
  std::string RequestId;
  /// False when the service was never reached: nothing ran.
  bool Reached = false;
  /// False when it was reached and the answer was lost.
  bool Answered = false;
  wire::CallReply Reply;
};
/// The backend server answers, or no longer does.
struct ServerObserved {
  bool IsAlive = false;
  /// Engines: memory in tokens and the models it holds; empty otherwise.
  std::uint64_t CapacityTokens = 0;
  std::vector<plan::LoadedModel> Models;
};
/// One engine step as seen from the token stream.
struct StepObserved {
  base::Duration Elapsed{0};
  std::uint32_t PrefillTokens = 0;
};
/// This VM is leaving: the process was told to stop, or reclaimed with a
/// deadline after which nothing can finish.
struct LeaveRequested {
  std::optional<base::Instant> Deadline;
};
/// Time has passed; sent every few milliseconds.
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
  /// Tokens that the engine has produced already.
  std::uint32_t ResumeFrom = 0;
};
/// Takes a generation off the engine; `Keep` asks it to remember it.
struct StopOnEngine {
  std::string RequestId;
  bool KeepState = false;
};
struct CallService {
  std::string RequestId;
  wire::Call Call;
};
/// Loads models; engines that check fences refuse a lower one.
struct LoadOnEngine {
  std::uint64_t Fence = 0;
  std::vector<plan::LoadedModel> Models;
};

using Command = std::variant<SendReply, StartOnEngine, StopOnEngine,
                             CallService, LoadOnEngine>;
using Commands = std::vector<Command>;

/// Switches for the proofs: each takes one mechanism away, so that a test can
/// show that it fails without it. All are on in the programs.
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
  /// Wall time at which this process started.
  base::WallTime StartedAt{};
  bundle::TrustedKeys Trusted;
  SchedulerOptions Scheduling;
  std::uint32_t MaxCalls = 64;
  Mechanisms Enabled;
  /// Gets one sentence for each decision.
  std::function<void(std::string_view part, std::string_view sentence)>
      LogDecision;
  /// Counts for the metrics.
  std::function<void(std::string_view metric, double by)> IncrementMetric;
};

class CallTable;
class GenerationTable;

class Core {
public:
  explicit Core(CoreOptions options);
  ~Core();

  Commands handle(base::Now now, Event event);

  /// State for the shell's metrics, /readyz and the end of a planned stop.
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
  void logDecision(std::string_view part, const std::string &sentence) const;

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
  /// Wall time since when the service's servers are the ones of the bundle.
  base::WallTime ServiceServersSince{};
  std::vector<std::string> ServiceServers;
};

/// Returns the server that owns an idempotency key: the only one that may run
/// its call. Rendezvous hashing, so that a changed list moves few keys.
std::string ownerOfKey(const std::vector<std::string> &servers,
                       std::string_view key);

} // namespace drumlanding::agent
