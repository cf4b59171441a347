#include "generation-table.h"

#include "drumlanding/base/invariant.h"
#include "drumlanding/wire/refusal.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::agent {
namespace {

using base::Invariant;
using base::invariant;
using base::Reason;
using base::Refusal;
using base::seconds;
using base::Verdict;

/// Retention of ended generations and tombstones. Must exceed the maximum time
/// that a Start message can be in transit; see Start.not_after_ms.
constexpr seconds EndedRetention{120};
/// A generation that no entry has polled or attached to for this long is
/// cancelled.
constexpr seconds OrphanTimeout{15};
constexpr seconds SweepInterval{1};
constexpr seconds MaxPollWait{10};
constexpr base::milliseconds LossRetryDelay{500};
/// Maximum number of tokens of one generation in a reply. Without a limit, a
/// resumed stream could occupy the link.
constexpr std::size_t MaxTokensPerPart = 2'000;

} // namespace

GenerationTable::GenerationTable(const CoreOptions &options, Commands &out)
    : Options(options), Out(out), JobScheduler(options.Scheduling) {}

GenerationTable::Generation *GenerationTable::find(const std::string &id) {
  const auto it = Generations.find(id);
  return it == Generations.end() ? nullptr : &it->second;
}

void GenerationTable::reply(ReplyId id, wire::Reply message) {
  Out.push_back(SendReply{id, std::move(message)});
}

void GenerationTable::refuse(ReplyId id, const Refusal &refusal) {
  reply(id, wire::refusedReply(refusal));
}

void GenerationTable::logDecision(const std::string &message) const {
  if (Options.LogDecision)
    Options.LogDecision("agent.engine", message);
}

void GenerationTable::transition(Generation &g, GenerationEvent event,
                                 const std::string &id) {
  invariant(Invariant::LegalTransition, g.Lifecycle.apply(event), id);
}

void GenerationTable::start(base::Now now, ReplyId replyId,
                            const wire::Start &start, const JobSpec &spec) {
  Generation &g = Generations[start.request_id()];
  g = Generation();
  g.Job = NextJobId++;
  g.Start = start;
  g.Priority = spec.Priority;
  g.LastAccessedAt = now.Steady;
  RequestIdByJob[g.Job] = start.request_id();
  ++OpenCount;
  JobScheduler.add(now.Steady, g.Job, spec);
  wire::Reply message;
  message.mutable_accepted();
  reply(replyId, std::move(message));
  schedule(now);
}

void GenerationTable::replyToDuplicate(ReplyId replyId, const std::string &id) {
  Generation &g = *find(id);
  const bool neverRan =
      g.Lifecycle.state() == GenerationState::Failed && !g.WasSubmitted;
  if (g.IsTombstone || neverRan) {
    refuse(replyId,
           {Verdict::NotRun, g.IsTombstone ? Reason::Revoked : g.Failure.Reason,
            g.Failure.RetryAfter});
    return;
  }
  wire::Reply message;
  message.mutable_accepted()->set_already_known(true);
  reply(replyId, std::move(message));
}

void GenerationTable::recordTombstone(base::Now now, const std::string &id) {
  if (!Options.Enabled.RecordTombstones || Generations.contains(id))
    return;
  Generation &tombstone = Generations[id];
  tombstone.IsTombstone = true;
  tombstone.EndedAt = now.Steady;
  transition(tombstone, GenerationEvent::Fail, id);
}

void GenerationTable::revoke(base::Now now, ReplyId replyId,
                             const std::string &id) {
  Generation *g = find(id);
  if (!g) {
    recordTombstone(now, id);
    refuse(replyId, {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  if (g->Lifecycle.state() == GenerationState::Waiting)
    fail(now, id, *g, {Verdict::NotRun, Reason::Revoked, {}}, false);
  replyToDuplicate(replyId, id);
}

void GenerationTable::attach(base::Now now, ReplyId replyId,
                             const wire::Attach &message) {
  Generation *g = find(message.request_id());
  // Reply NotFound for another organisation's generation, so that its existence
  // is not disclosed.
  if (!g || g->IsTombstone ||
      g->Start.organisation() != message.organisation()) {
    refuse(replyId, {Verdict::NotRun, Reason::NotFound, {}});
    return;
  }
  g->LastAccessedAt = now.Steady;
  wire::Reply accepted;
  accepted.mutable_accepted()->set_already_known(true);
  reply(replyId, std::move(accepted));
}

void GenerationTable::cancel(base::Now now, ReplyId replyId,
                             const wire::Cancel &message) {
  Generation *g = find(message.request_id());
  if (!g || g->IsTombstone ||
      g->Start.organisation() != message.organisation()) {
    refuse(replyId, {Verdict::NotRun, Reason::NotFound, {}});
    return;
  }
  if (!g->Lifecycle.isOver()) {
    const Verdict verdict = g->WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    fail(now, message.request_id(), *g, {verdict, Reason::Cancelled, {}}, true);
  }
  wire::Reply accepted;
  accepted.mutable_accepted();
  reply(replyId, std::move(accepted));
}

void GenerationTable::fail(base::Now now, const std::string &id, Generation &g,
                           Refusal why, bool stopOnEngine) {
  if (g.Lifecycle.isOver())
    return;
  const GenerationState before = g.Lifecycle.state();
  invariant(Invariant::NotRunIsProven,
            why.Outcome != Verdict::NotRun || g.Tokens.empty(), id);
  const bool isOnEngine = before == GenerationState::Submitted ||
                          before == GenerationState::Streaming ||
                          before == GenerationState::Yielding;
  transition(g, GenerationEvent::Fail, id);
  g.Failure = why;
  g.EndedAt = now.Steady;
  --OpenCount;
  HasUpdates = true;
  JobScheduler.remove(now.Steady, g.Job, false);
  RequestIdByJob.erase(g.Job);
  // The engine keeps the state of a yielded generation until it is stopped.
  const bool isYielded = before == GenerationState::Yielded;
  if (stopOnEngine && (isOnEngine || isYielded))
    Out.push_back(StopOnEngine{id, false});
  logDecision(fmt::format("end request={} verdict={} reason={} tokens={}", id,
                          toString(why.Outcome), toString(why.Reason),
                          g.Tokens.size()));
}

void GenerationTable::finish(base::Now now, Generation &g) {
  g.EndedAt = now.Steady;
  --OpenCount;
  HasUpdates = true;
  JobScheduler.remove(now.Steady, g.Job, true);
  RequestIdByJob.erase(g.Job);
}

void GenerationTable::onTokens(base::Now now, TokensArrived &e) {
  Generation *g = find(e.RequestId);
  if (!g || g->Lifecycle.isOver())
    return;
  const auto receivedCount = static_cast<std::uint32_t>(g->Tokens.size());
  if (e.FirstIndex > receivedCount) {
    // Missing tokens cannot be recovered, so the generation fails instead of
    // returning an answer with a gap.
    fail(now, e.RequestId, *g, {Verdict::Ran, Reason::StreamGap, {}}, true);
    return;
  }
  const std::uint32_t alreadyReceived = receivedCount - e.FirstIndex;
  if (alreadyReceived >= e.Tokens.size())
    return;
  transition(*g, GenerationEvent::Token, e.RequestId);
  std::move(e.Tokens.begin() + alreadyReceived, e.Tokens.end(),
            std::back_inserter(g->Tokens));
  HasUpdates = true;
  // Deliver the first token at once instead of at the next tick, to keep the
  // time to first token short.
  if (receivedCount == 0)
    completePolls(now);
  JobScheduler.recordTokens(now.Steady, g->Job,
                            static_cast<std::uint32_t>(e.Tokens.size()) -
                                alreadyReceived);
}

void GenerationTable::onStreamEnded(base::Now now, const EngineStreamEnded &e) {
  Generation *g = find(e.RequestId);
  if (!g || g->Lifecycle.isOver())
    return;
  const bool hasNoTokens = g->Tokens.empty();
  switch (e.Outcome) {
  case EngineOutcome::Finished:
    transition(*g, GenerationEvent::Finish, e.RequestId);
    finish(now, *g);
    return;
  case EngineOutcome::Released:
    if (g->Lifecycle.state() != GenerationState::Yielding &&
        Options.IncrementMetric)
      Options.IncrementMetric("drumlanding_preemptions_total", 1);
    transition(*g, GenerationEvent::Release, e.RequestId);
    JobScheduler.recordYielded(now.Steady, g->Job);
    return;
  case EngineOutcome::Unreachable:
  case EngineOutcome::Refused: {
    // A failed start proves that nothing ran only if the generation was never
    // on the engine before.
    g->WasSubmitted = !hasNoTokens || JobScheduler.yieldCount(g->Job) > 0;
    const Verdict verdict = g->WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    // An engine that refuses to resume a generation still keeps its state.
    fail(now, e.RequestId, *g, {verdict, Reason::EngineLost, LossRetryDelay},
         g->WasSubmitted);
    return;
  }
  case EngineOutcome::ConnectionLost:
  case EngineOutcome::Unresumable:
    fail(now, e.RequestId, *g,
         {hasNoTokens ? Verdict::MayHaveRun : Verdict::Ran, Reason::EngineLost,
          LossRetryDelay},
         true);
    return;
  }
}

void GenerationTable::recordStep(const StepObserved &e) {
  JobScheduler.recordStep(e.Elapsed, e.PrefillTokens);
}

void GenerationTable::setCapacity(std::uint64_t tokens) {
  JobScheduler.setCapacity(tokens);
}

void GenerationTable::onServerLost(base::Now now) {
  for (auto &[id, g] : Generations) {
    if (g.Lifecycle.isOver())
      continue;
    const Verdict verdict = !g.WasSubmitted    ? Verdict::NotRun
                            : g.Tokens.empty() ? Verdict::MayHaveRun
                                               : Verdict::Ran;
    fail(now, id, g, {verdict, Reason::EngineLost, LossRetryDelay}, false);
  }
}

void GenerationTable::failForReclaim(base::Now now, bool includeSubmitted) {
  for (auto &[id, g] : Generations) {
    if (g.Lifecycle.isOver() || (g.WasSubmitted && !includeSubmitted))
      continue;
    const Verdict verdict = g.WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    fail(now, id, g, {verdict, Reason::Reclaimed, {}}, true);
  }
}

void GenerationTable::poll(base::Now now, ReplyId replyId,
                           const wire::Request &message) {
  for (const wire::Cursor &cursor : message.poll().cursors())
    if (Generation *g = find(cursor.request_id()))
      g->LastAccessedAt = now.Steady;
  // A new poll from the same entry replaces the pending one, which gets an
  // empty reply.
  const auto it = PendingPolls.find(message.sender());
  if (it != PendingPolls.end()) {
    wire::Reply empty;
    empty.mutable_poll();
    reply(it->second.Reply, std::move(empty));
    PendingPolls.erase(it);
  }
  wire::PollReply parts = collectParts(now, message.poll());
  if (parts.parts_size() > 0 || message.poll().wait_ms() == 0) {
    wire::Reply answer;
    *answer.mutable_poll() = std::move(parts);
    reply(replyId, std::move(answer));
    return;
  }
  const base::milliseconds wait(message.poll().wait_ms());
  PendingPolls[message.sender()] = {
      replyId, message.poll(),
      now.Steady + std::min<base::milliseconds>(wait, MaxPollWait)};
}

wire::PollReply GenerationTable::collectParts(base::Now,
                                              const wire::Poll &poll) {
  wire::PollReply out;
  for (const wire::Cursor &cursor : poll.cursors()) {
    Generation *g = find(cursor.request_id());
    if (g && !g->IsTombstone) {
      appendPart(cursor, *g, out);
      continue;
    }
    wire::StreamPart &part = *out.add_parts();
    part.set_request_id(cursor.request_id());
    *part.mutable_failure() =
        wire::toWire({Verdict::MayHaveRun, Reason::BackendServerLost, {}});
  }
  return out;
}

void GenerationTable::appendPart(const wire::Cursor &cursor, Generation &g,
                                 wire::PollReply &out) const {
  const std::size_t next = cursor.next_index();
  const bool hasTokens = next < g.Tokens.size();
  if (!hasTokens && !g.Lifecycle.isOver())
    return;
  wire::StreamPart &part = *out.add_parts();
  part.set_request_id(cursor.request_id());
  part.set_first_index(cursor.next_index());
  const std::size_t end = std::min(g.Tokens.size(), next + MaxTokensPerPart);
  for (std::size_t i = next; i < end; ++i)
    part.add_tokens(g.Tokens[i]);
  if (end < g.Tokens.size() || !g.Lifecycle.isOver())
    return;
  if (g.Lifecycle.state() == GenerationState::Finished) {
    part.set_finished(true);
    return;
  }
  *part.mutable_failure() = wire::toWire(g.Failure);
}

void GenerationTable::completePolls(base::Now now) {
  for (auto it = PendingPolls.begin(); it != PendingPolls.end();) {
    PendingPoll &pending = it->second;
    wire::PollReply parts;
    if (HasUpdates)
      parts = collectParts(now, pending.Poll);
    if (parts.parts_size() == 0 && now.Steady < pending.Deadline) {
      ++it;
      continue;
    }
    wire::Reply answer;
    *answer.mutable_poll() = std::move(parts);
    reply(pending.Reply, std::move(answer));
    it = PendingPolls.erase(it);
  }
  HasUpdates = false;
}

void GenerationTable::evictExpired(base::Now now) {
  std::erase_if(Generations, [&](const auto &entry) {
    const Generation &g = entry.second;
    return g.Lifecycle.isOver() && now.Steady - g.EndedAt > EndedRetention;
  });
}

void GenerationTable::cancelOrphans(base::Now now) {
  if (!Options.Enabled.CancelOrphans)
    return;
  for (auto &[id, g] : Generations) {
    if (g.Lifecycle.isOver() || now.Steady - g.LastAccessedAt < OrphanTimeout)
      continue;
    const Verdict verdict = g.WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    logDecision("orphan request=" + id);
    fail(now, id, g, {verdict, Reason::Cancelled, {}}, true);
  }
}

void GenerationTable::schedule(base::Now now) {
  Decisions decisions = JobScheduler.decide(now.Steady);
  for (JobId job : decisions.Yield) {
    const std::string &id = RequestIdByJob.at(job);
    transition(*find(id), GenerationEvent::Yield, id);
    Out.push_back(StopOnEngine{id, true});
    logDecision("yield request=" + id);
    if (Options.IncrementMetric)
      Options.IncrementMetric("drumlanding_yields_total", 1);
  }
  for (JobId job : decisions.Start) {
    const std::string &id = RequestIdByJob.at(job);
    Generation &g = *find(id);
    transition(g, GenerationEvent::Submit, id);
    g.WasSubmitted = true;
    const auto from = static_cast<std::uint32_t>(g.Tokens.size());
    Out.push_back(StartOnEngine{id, g.Start, g.Priority, from});
    logDecision(fmt::format("admit request={} organisation={} resume_from={}",
                            id, g.Start.organisation(), from));
  }
}

void GenerationTable::tick(base::Now now, bool canRun) {
  if (now.Steady - LastSweep >= SweepInterval) {
    LastSweep = now.Steady;
    evictExpired(now);
    cancelOrphans(now);
  }
  if (canRun)
    schedule(now);
  completePolls(now);
}

} // namespace drumlanding::agent
