#include "call-table.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/invariant.h"
#include "drumlanding/wire/refusal.h"

namespace drumlanding::agent {
namespace {

using base::Invariant;
using base::invariant;
using base::Reason;
using base::Refusal;
using base::seconds;
using base::Verdict;

/// Records outlive the keys' window by more than any clock's error.
constexpr seconds Retention = KeyWindow + seconds(60);
constexpr seconds SweepEvery{5};
constexpr base::milliseconds RetryWhenBusy{200};
constexpr base::milliseconds RetryAfterLoss{500};
/// A larger answer is not kept for repeats.
constexpr std::size_t LargestKeptAnswer = 64 << 10;

std::uint64_t fingerprintOf(const wire::Call &call) {
  const std::uint64_t head = base::hash64(call.method() + " " + call.path());
  return base::hash64(call.body(), head);
}

} // namespace

CallTable::CallTable(const CoreOptions &options, Commands &out)
    : Options(options), Out(out) {}

void CallTable::refuse(ReplyId reply, const Refusal &refusal) {
  Out.push_back(SendReply{reply, wire::refusedReply(refusal)});
}

void CallTable::answer(ReplyId reply, const Record &record) {
  if (record.State == CallState::Failed) {
    refuse(reply, record.Failure);
    return;
  }
  wire::Reply message;
  *message.mutable_call() = record.Reply;
  Out.push_back(SendReply{reply, std::move(message)});
}

void CallTable::refuseForGood(base::Now now, ReplyId reply,
                              const std::string &attempt,
                              const Refusal &refusal) {
  if (Options.On.LeaveTombstones)
    Tombstones[attempt] = now.Steady;
  refuse(reply, refusal);
}

void CallTable::call(base::Now now, ReplyId reply, const wire::Call &call,
                     base::WallTime keysFrom) {
  if (Tombstones.contains(call.attempt())) {
    refuse(reply, {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  const auto known = All.find(call.request_id());
  if (known != All.end() && Options.On.RememberRequests) {
    answerAgain(now, reply, call, known->second);
    return;
  }
  const base::WallTime keyTime{base::milliseconds(call.key_time_ms())};
  const bool isUnproven = keyTime < keysFrom || now.Wall - keyTime > KeyWindow;
  if (!call.repeatable() && isUnproven && Options.On.CheckKeyTime) {
    // An earlier incarnation or owner may have run it and forgotten.
    refuse(reply, {Verdict::MayHaveRun, Reason::KeyTimeUnproven, {}});
    return;
  }
  if (Open >= Options.MaxCalls) {
    refuseForGood(now, reply, call.attempt(),
                  {Verdict::NotRun, Reason::Overloaded, RetryWhenBusy});
    return;
  }
  Record &record = All[call.request_id()];
  record.Repeatable = call.repeatable();
  record.Fingerprint = fingerprintOf(call);
  record.Followers.push_back(reply);
  record.Attempts.push_back(call.attempt());
  invariant(Invariant::RunsAtMostOnce, record.Repeatable || record.Starts == 0,
            call.request_id());
  ++record.Starts;
  ++Open;
  Out.push_back(CallService{call.request_id(), call});
}

void CallTable::answerAgain(base::Now now, ReplyId reply,
                            const wire::Call &call, Record &record) {
  if (record.Fingerprint != fingerprintOf(call)) {
    refuseForGood(now, reply, call.attempt(),
                  {Verdict::NotRun, Reason::KeyReused, {}});
    return;
  }
  if (record.State != CallState::Running) {
    answer(reply, record);
    return;
  }
  record.Followers.push_back(reply);
  record.Attempts.push_back(call.attempt());
}

void CallTable::revoke(base::Now now, ReplyId reply,
                       const wire::Revoke &message) {
  const auto it = All.find(message.request_id());
  if (it == All.end()) {
    refuseForGood(now, reply, message.attempt(),
                  {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  if (it->second.State == CallState::Running)
    it->second.Followers.push_back(reply);
  else
    answer(reply, it->second);
}

void CallTable::ended(base::Now now, const CallEnded &e) {
  const auto it = All.find(e.RequestId);
  if (it == All.end() || it->second.State != CallState::Running)
    return;
  Record &record = it->second;
  --Open;
  record.EndedAt = now.Steady;
  if (e.Answered) {
    record.State = CallState::Answered;
    record.Reply = e.Reply;
    record.Reply.set_request_id(e.RequestId);
  } else {
    record.State = CallState::Failed;
    record.Failure = {e.Reached ? Verdict::MayHaveRun : Verdict::NotRun,
                      Reason::BackendServerLost, RetryAfterLoss};
  }
  for (ReplyId follower : record.Followers)
    answer(follower, record);
  record.Followers.clear();
  // A proven "not run" leaves the key free for another try.
  const bool mayRunAgain = !e.Answered && !e.Reached;
  if (mayRunAgain)
    for (const std::string &attempt : record.Attempts)
      Tombstones[attempt] = now.Steady;
  if (mayRunAgain || record.Repeatable) {
    All.erase(it);
    return;
  }
  if (record.Reply.body().size() > LargestKeptAnswer) {
    record.State = CallState::Failed;
    record.Reply.Clear();
    record.Failure = {Verdict::Ran, Reason::AnswerTooLarge, {}};
  }
}

void CallTable::tick(base::Now now) {
  if (now.Steady - LastSweep < SweepEvery)
    return;
  LastSweep = now.Steady;
  std::erase_if(All, [&](const auto &entry) {
    return entry.second.State != CallState::Running &&
           now.Steady - entry.second.EndedAt > Retention;
  });
  std::erase_if(Tombstones, [&](const auto &entry) {
    return now.Steady - entry.second > Retention;
  });
}

} // namespace drumlanding::agent
