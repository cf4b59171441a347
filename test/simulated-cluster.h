/// Simulated cluster: real entry and agent cores on a virtual clock, connected
/// by a fake network, with fakes of engines, plain services and the store.
/// Simulated callers verify every answer, and `check` compares the answers with
/// what ran.
///
///   SimulatedCluster cluster(options);
///   cluster.requestGeneration(0);
///   cluster.run(20s);
///   cluster.settle();
///   EXPECT_EQ(cluster.check(), "");
#pragma once

#include "drumlanding/agent/core.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/entry/members.h"
#include "test-bundles.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace drumlanding::test {

/// The messages and state changes at which a fault can be injected.
enum class Step {
  StartRequest,
  StartReply,
  RevokeRequest,
  RevokeReply,
  PollRequest,
  PollReply,
  AttachRequest,
  AttachReply,
  CancelRequest,
  CancelReply,
  CallRequest,
  CallReply,
  SyncRequest,
  SyncReply,
  PushRequest,
  PushReply,
  FetchRequest,
  FetchReply,
  EngineStart,
  EngineToken,
  EngineEnd,
  EngineStop,
  ServiceCall,
  ServiceAnswer,
  BundleRead,
  Last = BundleRead,
};

enum class Fault {
  KillEntry,
  RestartAgent,
  KillEngine,
  FreezeEntry,
  FreezeAgent,
  CutToAgent,
  CutToEntry,
  Lose,
  Delay,
  Duplicate,
  LateArrival,
  LateCopy,
  Reorder,
  KvOutage,
  AgentLeaves,
  Reclaim,
  Last = Reclaim,
};

std::string_view toString(Step s);
std::string_view toString(Fault f);

struct SimulatedClusterOptions {
  std::uint64_t Seed = 1;
  int Entries = 2;
  int Engines = 2;
  int Services = 2;
  std::uint32_t EngineCapacity = 3'000;
  agent::Mechanisms AgentMechanisms;
  entry::Mechanisms EntryMechanisms;
  /// Fractions of all messages that are lost or duplicated, for random runs.
  double LossRate = 0;
  double DuplicationRate = 0;
  /// Fraction of starts that the engines refuse.
  double RefusalRate = 0;
  /// Maximum extra delay of a message.
  base::milliseconds MaxJitter{3};
};

class SimulatedCluster {
public:
  explicit SimulatedCluster(SimulatedClusterOptions options);
  ~SimulatedCluster();

  // Actions of operators and callers.
  void rollOut(std::uint64_t version);
  /// Requests a generation. If its connection fails, the caller resumes at
  /// another entry.
  void requestGeneration(std::size_t entry);
  /// Calls the plain service with an idempotency key. With `repeats`, a copy of
  /// the call is sent to another entry as well.
  void requestCall(std::size_t entry, bool repeats);
  void cancelGeneration(std::size_t entry);
  /// Closes a caller's connection; the caller resumes at another entry. With
  /// `isNoticed` false, the old entry is not informed.
  void disconnectCaller(bool isNoticed = true);

  // Faults.
  void inject(Fault fault, std::size_t entry, std::size_t agent);
  /// Injects `fault` at the `nth` next occurrence of `step`.
  void injectAt(Step step, Fault fault, int nth = 1);
  /// Injects a second fault `after` the planned one.
  void scheduleSecondFault(Fault fault, base::Duration after);
  bool wasInjected() const { return WasFaultInjected; }
  int stepCount(Step step) const;

  void run(base::Duration time);
  /// Stops random message faults and runs long enough for all work to end.
  void settle();

  /// Returns all violated guarantees; empty if there are none.
  std::string check() const;

  std::size_t completeAnswers() const;
  /// Returns the number of requests and streams that ended with reason `why`.
  std::size_t refusedWith(base::Reason why) const;
  std::size_t attempts() const { return Attempts; }
  std::size_t requests() const;
  std::uint64_t bundleOfEntry(std::size_t i) const;
  std::uint64_t bundleOfAgent(std::size_t i) const;
  std::size_t agents() const;
  void setStoreDown(bool down) { IsStoreDown = down; }
  void listAgentLeaving(std::size_t agent);
  /// Starts a new agent under the name of one that left.
  void replaceAgent(std::size_t agent);
  /// Tells an agent to stop; the entries have not been informed yet.
  void requestLeave(std::size_t agent);
  /// Sends the entries an empty server list, as after a restart of the
  /// platform.
  void clearServerList();
  /// While on, new generations run until maxTokens.
  void setEndless(bool on) { IsEndless = on; }
  /// Returns the number of new generations started on an agent's engine.
  int startsOn(std::size_t agent) const;
  std::size_t runningOn(std::size_t agent) const;

private:
  struct Caller;
  struct EntryNode;
  struct AgentNode;
  struct FakeStream;

  void scheduleAfter(base::Duration after, std::function<void()> action);
  base::Now skewedNow(base::milliseconds skew) const;
  base::Duration linkDelay();

  void startEntry(std::size_t i);
  void startAgent(std::size_t i);
  void publishServerList();
  void tickEntry(std::size_t i, std::uint64_t instance);
  void tickAgent(std::size_t i, std::uint64_t instance);
  void readBundle(std::size_t i, std::uint64_t instance);

  void deliverToEntry(std::size_t i, std::uint64_t instance,
                      entry::Event event);
  void deliverToAgent(std::size_t i, std::uint64_t instance,
                      agent::Event event);
  void execute(std::size_t i, entry::Command &command);
  void execute(std::size_t i, agent::Command &command);

  /// Sends a message over the network, with the faults that affect it.
  void transmit(Step step, std::size_t entry, std::size_t agent, bool isToAgent,
                std::function<void()> deliver);
  /// Counts an occurrence of `step`. Injects and returns the planned fault if
  /// it is due.
  std::optional<Fault> recordStep(Step step, std::size_t entry,
                                  std::size_t agent);
  void deliverRequest(std::size_t entry, std::size_t agent, entry::MessageId id,
                      const wire::Request &request);
  void deliverPeer(std::size_t from, std::size_t to, entry::MessageId id,
                   const wire::Request &request);

  void startStream(std::size_t agent, const agent::StartOnEngine &c);
  void stopStream(std::size_t agent, const agent::StopOnEngine &c);
  void stepStream(std::size_t agent, const std::string &id,
                  std::uint64_t epoch);
  void callService(std::size_t agent, const agent::CallService &c);
  void killEngine(std::size_t agent);
  void killEntry(std::size_t entry);
  void reclaim(std::size_t agent);
  template <typename Node> void freeze(Node &node);

  void sendRequest(Caller &caller, std::size_t entry);
  void resume(Caller &caller);
  void handleCallerCommand(std::size_t entry, entry::Command &command);

  SimulatedClusterOptions Options;
  base::ManualClock Clock;
  base::Random Random;
  Signers Keys;
  std::multimap<base::Instant, std::function<void()>> ScheduledActions;
  std::vector<std::unique_ptr<EntryNode>> EntryNodes;
  std::vector<std::unique_ptr<AgentNode>> AgentNodes;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::map<entry::SessionId, Caller *> CallerOfSession;
  entry::SessionId NextSession = 1;
  std::string StoredBundle;
  bool IsStoreDown = false;
  bool FaultsDisabled = false;
  bool IsEndless = false;
  std::map<Step, int> StepCounts;
  std::optional<Step> FaultStep;
  Fault PlannedFault = Fault::Lose;
  int PlannedNth = 1;
  bool WasFaultInjected = false;
  std::optional<Fault> SecondFault;
  base::Duration SecondFaultDelay{0};
  std::size_t Attempts = 0;
  /// Number of runs by the marker of the caller.
  std::map<std::string, int> GenerationRuns;
  std::map<std::string, int> ServiceRuns;
  std::string Violations;
};

} // namespace drumlanding::test
