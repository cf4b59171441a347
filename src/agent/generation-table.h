/// Generations of one agent: their buffers of tokens, who follows them, and
/// their way on and off the engine.
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

  /// Takes a request that passed every check, or answers again as before.
  void start(base::Now now, ReplyId reply, const wire::Start &start,
             const JobSpec &spec);
  bool knows(const std::string &id) const { return All.contains(id); }
  /// Remembers that `id` must never start: what was said not to have run must
  /// not run later, when a copy of its Start arrives.
  void leaveTombstone(base::Now now, const std::string &id);
  /// Answers a request that is known already.
  void answerAgain(ReplyId reply, const std::string &id);
  base::milliseconds predictedWait(const JobSpec &spec) const {
    return Schedule.predictedWait(spec);
  }

  void poll(base::Now now, ReplyId reply, const wire::Request &message);
  void revoke(base::Now now, ReplyId reply, const std::string &id);
  void attach(base::Now now, ReplyId reply, const wire::Attach &message);
  void cancel(base::Now now, ReplyId reply, const wire::Cancel &message);

  void tokens(base::Now now, TokensArrived &e);
  void ended(base::Now now, const EngineStreamEnded &e);
  void stepTook(const StepObserved &e);
  void setCapacity(std::uint64_t tokens);
  void serverLost(base::Now now);
  /// Gives up what waits, and later all, when the VM is about to vanish.
  void reclaim(base::Now now, bool all);
  void tick(base::Now now, bool canRun);

  SchedulerLoad load() const { return Schedule.load(); }
  std::size_t open() const { return Open; }

private:
  struct Generation {
    JobId Job = 0;
    wire::Start Start;
    int Priority = 0;
    GenerationLifecycle Life;
    std::vector<std::string> Tokens;
    base::Refusal Failure;
    /// Set by a Revoke that came first: a late Start is refused.
    bool IsTombstone = false;
    bool WasSubmitted = false;
    base::Instant LastFollowed;
    base::Instant EndedAt;
  };

  /// A long poll that waits for something to say.
  struct ParkedPoll {
    ReplyId Reply = 0;
    wire::Poll Poll;
    base::Instant Until;
  };

  Generation *find(const std::string &id);
  void step(Generation &g, GenerationStep s, const std::string &id);
  void fail(base::Now now, const std::string &id, Generation &g,
            base::Refusal why, bool stopOnEngine);
  void finish(base::Now now, Generation &g);
  wire::PollReply partsFor(base::Now now, const wire::Poll &poll);
  void addPart(const wire::Cursor &cursor, Generation &g,
               wire::PollReply &out) const;
  void answerPolls(base::Now now);
  void dropOld(base::Now now);
  void cancelOrphans(base::Now now);
  void schedule(base::Now now);
  void reply(ReplyId id, wire::Reply message);
  void refuse(ReplyId id, const base::Refusal &refusal);
  void note(const std::string &sentence) const;

  const CoreOptions &Options;
  Commands &Out;
  Scheduler Schedule;
  std::unordered_map<std::string, Generation> All;
  std::unordered_map<JobId, std::string> IdOfJob;
  std::map<std::string, ParkedPoll> Parked;
  JobId NextJob = 1;
  std::size_t Open = 0;
  /// Something happened that a parked poll may wait for.
  bool HasNews = false;
  base::Instant LastSweep;
};

} // namespace drumlanding::agent
