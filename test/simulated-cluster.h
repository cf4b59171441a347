/// A few real cores on a virtual clock, joined by a small fake network, with
/// small fakes of engines, plain services and the key-value service. Callers
/// check every answer, and `check` compares what they were told with what ran.
///
///   World world(options);
///   world.askGeneration(0);
///   world.run(20s);
///   world.settle();
///   EXPECT_EQ(world.check(), "");
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

/// Every message and state change at which a fault can strike.
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
  /// Part of all messages that are lost or doubled, for random runs.
  double LossRate = 0;
  double DuplicationRate = 0;
  /// Part of the starts that the engines refuse.
  double RefusalRate = 0;
  /// Longest extra delay of a message.
  base::milliseconds MaxJitter{3};
};

class SimulatedCluster {
public:
  explicit SimulatedCluster(SimulatedClusterOptions options);
  ~SimulatedCluster();

  // What operators and callers do.
  void rollOut(std::uint64_t version);
  /// Asks for a generation; the caller resumes elsewhere when it is cut off.
  void requestGeneration(std::size_t entry);
  /// Calls the plain service with a key; `repeats` sends it again elsewhere.
  void requestCall(std::size_t entry, bool repeats);
  void cancelGeneration(std::size_t entry);
  /// Makes a caller lose its connection and come back. The entry may not notice
  /// that the old connection is gone.
  void disconnectCaller(bool isNoticed = true);

  // Faults.
  void inject(Fault fault, std::size_t entry, std::size_t agent);
  /// Injects `fault` at the n-th time that `step` is reached.
  void injectAt(Step step, Fault fault, int nth = 1);
  /// Injects a second fault some time after the planned one struck.
  void scheduleSecondFault(Fault fault, base::Duration after);
  bool wasInjected() const { return WasFaultInjected; }
  int stepCount(Step step) const;

  void run(base::Duration time);
  /// Heals everything and waits until nothing is on its way.
  void settle();

  /// Returns what is wrong; empty when every promise held.
  std::string check() const;

  std::size_t completeAnswers() const;
  /// Streams that ended with an error, and requests that were refused.
  std::size_t refusedWith(base::Reason why) const;
  std::size_t attempts() const { return Attempts; }
  std::size_t requests() const;
  std::uint64_t bundleOfEntry(std::size_t i) const;
  std::uint64_t bundleOfAgent(std::size_t i) const;
  std::size_t agents() const;
  void setStoreDown(bool down) { IsStoreDown = down; }
  void listAgentLeaving(std::size_t agent);
  /// A new VM takes the place of one that left, under the same name.
  void replaceAgent(std::size_t agent);
  /// Tells an agent to stop, which the entries do not know yet.
  void requestLeave(std::size_t agent);
  /// The platform's list is empty, as after a restart of the platform.
  void clearServerList();
  /// From now on engines never end by themselves before maxTokens.
  void setEndless(bool on) { IsEndless = on; }
  /// Starts of new work on the engine of an agent so far.
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

  /// Carries a message over the network with whatever strikes it.
  void transmit(Step step, std::size_t entry, std::size_t agent, bool isToAgent,
                std::function<void()> deliver);
  /// Counts a step; returns the fault that strikes now, if any.
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
  /// What ran, by the caller's marker.
  std::map<std::string, int> GenerationRuns;
  std::map<std::string, int> ServiceRuns;
  std::string Violations;
};

} // namespace drumlanding::test
