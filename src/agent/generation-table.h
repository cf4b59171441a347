/// Table of one agent's generations: buffers their tokens, serves polls for
/// them, and starts and stops them on the engine.
#pragma once

#include "drumlanding/agent/core.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

class GenerationTable {
public:
  GenerationTable(const CoreOptions &options, Commands &out);

  /// Adds a generation whose request passed every check.
  void start(base::Now now, ReplyId reply, const wire::Start &start,
             const JobSpec &spec);
  bool contains(const std::string &id) const {
    return Generations.contains(id);
  }
  /// Records that `id` must never start: the caller received NotRun, so a
  /// delayed duplicate of the Start must not run it.
  void recordTombstone(base::Now now, const std::string &id);
  /// Replies to a repeated request for a generation in the table.
  void replyToDuplicate(ReplyId reply, const std::string &id);
  base::milliseconds predictedWait(const JobSpec &spec) const {
    return JobScheduler.predictedWait(spec);
  }

  void poll(base::Now now, ReplyId reply, const wire::Request &message);
  void revoke(base::Now now, ReplyId reply, const std::string &id);
  void attach(base::Now now, ReplyId reply, const wire::Attach &message);
  void cancel(base::Now now, ReplyId reply, const wire::Cancel &message);

  void onTokens(base::Now now, TokensArrived &e);
  void onStreamEnded(base::Now now, const EngineStreamEnded &e);
  void recordStep(const StepObserved &e);
  void setCapacity(std::uint64_t tokens);
  void onServerLost(base::Now now);
  /// Fails the generations not yet submitted, because the VM is about to be
  /// reclaimed; with `includeSubmitted`, fails all open generations.
  void failForReclaim(base::Now now, bool includeSubmitted);
  void tick(base::Now now, bool canRun);

  SchedulerLoad load() const { return JobScheduler.load(); }
  std::size_t openCount() const { return OpenCount; }

private:
  struct Generation {
    JobId Job = 0;
    wire::Start Start;
    int Priority = 0;
    GenerationLifecycle Lifecycle;
    std::vector<std::string> Tokens;
    base::Refusal Failure;
    /// The request was refused, or revoked before its Start arrived; a later
    /// Start is refused.
    bool IsTombstone = false;
    bool WasSubmitted = false;
    base::Instant LastAccessedAt;
    base::Instant EndedAt;
  };

  /// A long poll held until there are updates or its deadline passes.
  struct PendingPoll {
    ReplyId Reply = 0;
    wire::Poll Poll;
    base::Instant Deadline;
  };

  Generation *find(const std::string &id);
  void transition(Generation &g, GenerationEvent event, const std::string &id);
  void fail(base::Now now, const std::string &id, Generation &g,
            base::Refusal why, bool stopOnEngine);
  void finish(base::Now now, Generation &g);
  wire::PollReply collectParts(base::Now now, const wire::Poll &poll);
  void appendPart(const wire::Cursor &cursor, Generation &g,
                  wire::PollReply &out) const;
  void completePolls(base::Now now);
  void evictExpired(base::Now now);
  void cancelOrphans(base::Now now);
  void schedule(base::Now now);
  void reply(ReplyId id, wire::Reply message);
  void refuse(ReplyId id, const base::Refusal &refusal);
  void logDecision(const std::string &message) const;

  const CoreOptions &Options;
  Commands &Out;
  Scheduler JobScheduler;
  std::unordered_map<std::string, Generation> Generations;
  std::unordered_map<JobId, std::string> RequestIdByJob;
  std::map<std::string, PendingPoll> PendingPolls;
  JobId NextJobId = 1;
  std::size_t OpenCount = 0;
  /// Tokens or generation ends arrived since pending polls were last checked.
  bool HasUpdates = false;
  base::Instant LastSweep;
};

} // namespace drumlanding::agent
