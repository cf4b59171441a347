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

/// Ended generations and tombstones are kept this long. It must be longer than
/// any Start can be on its way; see Start.not_after_ms.
constexpr seconds Retention{120};
/// A generation that no entry has asked after for this long is cancelled.
constexpr seconds OrphanAfter{15};
constexpr seconds SweepEvery{1};
constexpr seconds LongestPoll{10};
constexpr base::milliseconds RetryAfterLoss{500};
/// Most tokens in one reply, so that a resumed stream cannot fill the link.
constexpr std::size_t TokensPerPart = 2'000;

} // namespace

GenerationTable::GenerationTable(const CoreOptions &options, Commands &out)
    : Options(options), Out(out), Schedule(options.Scheduling) {}

GenerationTable::Generation *GenerationTable::find(const std::string &id) {
  const auto it = All.find(id);
  return it == All.end() ? nullptr : &it->second;
}

void GenerationTable::reply(ReplyId id, wire::Reply message) {
  Out.push_back(SendReply{id, std::move(message)});
}

void GenerationTable::refuse(ReplyId id, const Refusal &refusal) {
  reply(id, wire::refusedReply(refusal));
}

void GenerationTable::note(const std::string &sentence) const {
  if (Options.Note)
    Options.Note("agent.engine", sentence);
}

void GenerationTable::step(Generation &g, GenerationStep s,
                           const std::string &id) {
  invariant(Invariant::LegalTransition, g.Life.apply(s), id);
}

void GenerationTable::start(base::Now now, ReplyId replyId,
                            const wire::Start &start, const JobSpec &spec) {
  Generation &g = All[start.request_id()];
  g = Generation();
  g.Job = NextJob++;
  g.Start = start;
  g.Priority = spec.Priority;
  g.LastFollowed = now.Steady;
  IdOfJob[g.Job] = start.request_id();
  ++Open;
  Schedule.add(now.Steady, g.Job, spec);
  wire::Reply message;
  message.mutable_accepted();
  reply(replyId, std::move(message));
  schedule(now);
}

void GenerationTable::answerAgain(ReplyId replyId, const std::string &id) {
  Generation &g = *find(id);
  const bool neverRan =
      g.Life.state() == GenerationState::Failed && !g.WasSubmitted;
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

void GenerationTable::leaveTombstone(base::Now now, const std::string &id) {
  if (!Options.On.LeaveTombstones || All.contains(id))
    return;
  Generation &tombstone = All[id];
  tombstone.IsTombstone = true;
  tombstone.EndedAt = now.Steady;
  step(tombstone, GenerationStep::Fail, id);
}

void GenerationTable::revoke(base::Now now, ReplyId replyId,
                             const std::string &id) {
  Generation *g = find(id);
  if (!g) {
    leaveTombstone(now, id);
    refuse(replyId, {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  if (g->Life.state() == GenerationState::Waiting)
    fail(now, id, *g, {Verdict::NotRun, Reason::Revoked, {}}, false);
  answerAgain(replyId, id);
}

void GenerationTable::attach(base::Now now, ReplyId replyId,
                             const wire::Attach &message) {
  Generation *g = find(message.request_id());
  // Another organisation's generation is answered as one that is not there.
  if (!g || g->IsTombstone ||
      g->Start.organisation() != message.organisation()) {
    refuse(replyId, {Verdict::NotRun, Reason::NotFound, {}});
    return;
  }
  g->LastFollowed = now.Steady;
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
  if (!g->Life.isOver()) {
    const Verdict verdict = g->WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    fail(now, message.request_id(), *g, {verdict, Reason::Cancelled, {}}, true);
  }
  wire::Reply accepted;
  accepted.mutable_accepted();
  reply(replyId, std::move(accepted));
}

void GenerationTable::fail(base::Now now, const std::string &id, Generation &g,
                           Refusal why, bool stopOnEngine) {
  if (g.Life.isOver())
    return;
  const GenerationState before = g.Life.state();
  invariant(Invariant::NotRunIsProven,
            why.Outcome != Verdict::NotRun || g.Tokens.empty(), id);
  const bool isOnEngine = before == GenerationState::Submitted ||
                          before == GenerationState::Streaming ||
                          before == GenerationState::Yielding;
  step(g, GenerationStep::Fail, id);
  g.Failure = why;
  g.EndedAt = now.Steady;
  --Open;
  HasNews = true;
  Schedule.remove(now.Steady, g.Job, false);
  IdOfJob.erase(g.Job);
  // A yielded one is remembered by the engine, which must forget it too.
  const bool isKept = before == GenerationState::Yielded;
  if (stopOnEngine && (isOnEngine || isKept))
    Out.push_back(StopOnEngine{id, false});
  note(fmt::format("end request={} verdict={} reason={} tokens={}", id,
                   toString(why.Outcome), toString(why.Reason),
                   g.Tokens.size()));
}

void GenerationTable::finish(base::Now now, Generation &g) {
  g.EndedAt = now.Steady;
  --Open;
  HasNews = true;
  Schedule.remove(now.Steady, g.Job, true);
  IdOfJob.erase(g.Job);
}

void GenerationTable::tokens(base::Now now, TokensArrived &e) {
  Generation *g = find(e.RequestId);
  if (!g || g->Life.isOver())
    return;
  const auto have = static_cast<std::uint32_t>(g->Tokens.size());
  if (e.FirstIndex > have) {
    // A hole can never be filled: better no answer than a wrong one.
    fail(now, e.RequestId, *g, {Verdict::Ran, Reason::StreamGap, {}}, true);
    return;
  }
  const std::uint32_t known = have - e.FirstIndex;
  if (known >= e.Tokens.size())
    return;
  step(*g, GenerationStep::Token, e.RequestId);
  std::move(e.Tokens.begin() + known, e.Tokens.end(),
            std::back_inserter(g->Tokens));
  HasNews = true;
  // A first token is not kept waiting for the next tick.
  if (have == 0)
    answerPolls(now);
  Schedule.produced(now.Steady, g->Job,
                    static_cast<std::uint32_t>(e.Tokens.size()) - known);
}

void GenerationTable::ended(base::Now now, const EngineStreamEnded &e) {
  Generation *g = find(e.RequestId);
  if (!g || g->Life.isOver())
    return;
  const bool isFresh = g->Tokens.empty();
  switch (e.How) {
  case EngineEnd::Finished:
    step(*g, GenerationStep::Finish, e.RequestId);
    finish(now, *g);
    return;
  case EngineEnd::LetGo:
    if (g->Life.state() != GenerationState::Yielding && Options.Count)
      Options.Count("drumlanding_preemptions_total", 1);
    step(*g, GenerationStep::LetGo, e.RequestId);
    Schedule.yielded(now.Steady, g->Job);
    return;
  case EngineEnd::Unreached:
  case EngineEnd::Refused: {
    // Only the first try proves that nothing ran.
    g->WasSubmitted = !isFresh || Schedule.yieldsOf(g->Job) > 0;
    const Verdict verdict = g->WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    // An engine that refused to resume it still remembers it.
    fail(now, e.RequestId, *g, {verdict, Reason::EngineLost, RetryAfterLoss},
         g->WasSubmitted);
    return;
  }
  case EngineEnd::Lost:
  case EngineEnd::Unresumable:
    fail(now, e.RequestId, *g,
         {isFresh ? Verdict::MayHaveRun : Verdict::Ran, Reason::EngineLost,
          RetryAfterLoss},
         true);
    return;
  }
}

void GenerationTable::stepTook(const StepObserved &e) {
  Schedule.stepTook(e.Took, e.PrefillTokens);
}

void GenerationTable::setCapacity(std::uint64_t tokens) {
  Schedule.setCapacity(tokens);
}

void GenerationTable::serverLost(base::Now now) {
  for (auto &[id, g] : All) {
    if (g.Life.isOver())
      continue;
    const Verdict verdict = !g.WasSubmitted    ? Verdict::NotRun
                            : g.Tokens.empty() ? Verdict::MayHaveRun
                                               : Verdict::Ran;
    fail(now, id, g, {verdict, Reason::EngineLost, RetryAfterLoss}, false);
  }
}

void GenerationTable::reclaim(base::Now now, bool all) {
  for (auto &[id, g] : All) {
    if (g.Life.isOver() || (g.WasSubmitted && !all))
      continue;
    const Verdict verdict = g.WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    fail(now, id, g, {verdict, Reason::Reclaimed, {}}, true);
  }
}

void GenerationTable::poll(base::Now now, ReplyId replyId,
                           const wire::Request &message) {
  for (const wire::Cursor &cursor : message.poll().cursors())
    if (Generation *g = find(cursor.request_id()))
      g->LastFollowed = now.Steady;
  // A new poll of the same entry takes the place of the one before.
  const auto it = Parked.find(message.sender());
  if (it != Parked.end()) {
    wire::Reply empty;
    empty.mutable_poll();
    reply(it->second.Reply, std::move(empty));
    Parked.erase(it);
  }
  wire::PollReply parts = partsFor(now, message.poll());
  if (parts.parts_size() > 0 || message.poll().wait_ms() == 0) {
    wire::Reply answer;
    *answer.mutable_poll() = std::move(parts);
    reply(replyId, std::move(answer));
    return;
  }
  const base::milliseconds wait(message.poll().wait_ms());
  Parked[message.sender()] = {
      replyId, message.poll(),
      now.Steady + std::min<base::milliseconds>(wait, LongestPoll)};
}

wire::PollReply GenerationTable::partsFor(base::Now, const wire::Poll &poll) {
  wire::PollReply out;
  for (const wire::Cursor &cursor : poll.cursors()) {
    Generation *g = find(cursor.request_id());
    if (g && !g->IsTombstone) {
      addPart(cursor, *g, out);
      continue;
    }
    wire::StreamPart &part = *out.add_parts();
    part.set_request_id(cursor.request_id());
    *part.mutable_failure() =
        wire::toWire({Verdict::MayHaveRun, Reason::BackendServerLost, {}});
  }
  return out;
}

void GenerationTable::addPart(const wire::Cursor &cursor, Generation &g,
                              wire::PollReply &out) const {
  const std::size_t next = cursor.next_index();
  const bool hasTokens = next < g.Tokens.size();
  if (!hasTokens && !g.Life.isOver())
    return;
  wire::StreamPart &part = *out.add_parts();
  part.set_request_id(cursor.request_id());
  part.set_first_index(cursor.next_index());
  const std::size_t end = std::min(g.Tokens.size(), next + TokensPerPart);
  for (std::size_t i = next; i < end; ++i)
    part.add_tokens(g.Tokens[i]);
  if (end < g.Tokens.size() || !g.Life.isOver())
    return;
  if (g.Life.state() == GenerationState::Finished) {
    part.set_finished(true);
    return;
  }
  *part.mutable_failure() = wire::toWire(g.Failure);
}

void GenerationTable::answerPolls(base::Now now) {
  for (auto it = Parked.begin(); it != Parked.end();) {
    ParkedPoll &parked = it->second;
    wire::PollReply parts;
    if (HasNews)
      parts = partsFor(now, parked.Poll);
    if (parts.parts_size() == 0 && now.Steady < parked.Until) {
      ++it;
      continue;
    }
    wire::Reply answer;
    *answer.mutable_poll() = std::move(parts);
    reply(parked.Reply, std::move(answer));
    it = Parked.erase(it);
  }
  HasNews = false;
}

void GenerationTable::dropOld(base::Now now) {
  std::erase_if(All, [&](const auto &entry) {
    const Generation &g = entry.second;
    return g.Life.isOver() && now.Steady - g.EndedAt > Retention;
  });
}

void GenerationTable::cancelOrphans(base::Now now) {
  if (!Options.On.CancelOrphans)
    return;
  for (auto &[id, g] : All) {
    if (g.Life.isOver() || now.Steady - g.LastFollowed < OrphanAfter)
      continue;
    const Verdict verdict = g.WasSubmitted ? Verdict::Ran : Verdict::NotRun;
    note("orphan request=" + id);
    fail(now, id, g, {verdict, Reason::Cancelled, {}}, true);
  }
}

void GenerationTable::schedule(base::Now now) {
  Decisions decisions = Schedule.decide(now.Steady);
  for (JobId job : decisions.Yield) {
    const std::string &id = IdOfJob.at(job);
    step(*find(id), GenerationStep::Yield, id);
    Out.push_back(StopOnEngine{id, true});
    note("yield request=" + id);
    if (Options.Count)
      Options.Count("drumlanding_yields_total", 1);
  }
  for (JobId job : decisions.Start) {
    const std::string &id = IdOfJob.at(job);
    Generation &g = *find(id);
    step(g, GenerationStep::Submit, id);
    g.WasSubmitted = true;
    const auto from = static_cast<std::uint32_t>(g.Tokens.size());
    Out.push_back(StartOnEngine{id, g.Start, g.Priority, from});
    note(fmt::format("admit request={} organisation={} resume_from={}", id,
                     g.Start.organisation(), from));
  }
}

void GenerationTable::tick(base::Now now, bool canRun) {
  if (now.Steady - LastSweep >= SweepEvery) {
    LastSweep = now.Steady;
    dropOld(now);
    cancelOrphans(now);
  }
  if (canRun)
    schedule(now);
  answerPolls(now);
}

} // namespace drumlanding::agent
