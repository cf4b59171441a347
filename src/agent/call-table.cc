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

/// Records are kept longer than MaxKeyAge, by more than the largest clock skew,
/// so that a key is refused as too old before its record is evicted.
constexpr seconds RecordRetention = MaxKeyAge + seconds(60);
constexpr seconds SweepInterval{5};
constexpr base::milliseconds OverloadRetryDelay{200};
constexpr base::milliseconds LossRetryDelay{500};
/// Larger answers are not stored; repeats of such calls are refused with
/// AnswerTooLarge.
constexpr std::size_t MaxStoredAnswerBytes = 64 << 10;

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

void CallTable::refuseAndTombstone(base::Now now, ReplyId reply,
                                   const std::string &attempt,
                                   const Refusal &refusal) {
  if (Options.Enabled.RecordTombstones)
    Tombstones[attempt] = now.Steady;
  refuse(reply, refusal);
}

void CallTable::call(base::Now now, ReplyId reply, const wire::Call &call,
                     base::WallTime keysCompleteSince) {
  if (Tombstones.contains(call.attempt())) {
    refuse(reply, {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  const auto existing = Records.find(call.request_id());
  if (existing != Records.end() && Options.Enabled.RememberRequests) {
    replyToDuplicate(now, reply, call, existing->second);
    return;
  }
  const base::WallTime keyTime{base::milliseconds(call.key_time_ms())};
  const bool isKeyTimeUnproven =
      keyTime < keysCompleteSince || now.Wall - keyTime > MaxKeyAge;
  if (!call.repeatable() && isKeyTimeUnproven && Options.Enabled.CheckKeyTime) {
    // An earlier incarnation of this agent or a former owner of the key may
    // have run the call without leaving a record here.
    refuse(reply, {Verdict::MayHaveRun, Reason::KeyTimeUnproven, {}});
    return;
  }
  if (OpenCount >= Options.MaxCalls) {
    refuseAndTombstone(
        now, reply, call.attempt(),
        {Verdict::NotRun, Reason::Overloaded, OverloadRetryDelay});
    return;
  }
  Record &record = Records[call.request_id()];
  record.Repeatable = call.repeatable();
  record.Fingerprint = fingerprintOf(call);
  record.WaitingReplies.push_back(reply);
  record.Attempts.push_back(call.attempt());
  invariant(Invariant::RunsAtMostOnce, record.Repeatable || record.Starts == 0,
            call.request_id());
  ++record.Starts;
  ++OpenCount;
  Out.push_back(CallService{call.request_id(), call});
}

void CallTable::replyToDuplicate(base::Now now, ReplyId reply,
                                 const wire::Call &call, Record &record) {
  if (record.Fingerprint != fingerprintOf(call)) {
    refuseAndTombstone(now, reply, call.attempt(),
                       {Verdict::NotRun, Reason::KeyReused, {}});
    return;
  }
  if (record.State != CallState::Running) {
    answer(reply, record);
    return;
  }
  record.WaitingReplies.push_back(reply);
  record.Attempts.push_back(call.attempt());
}

void CallTable::revoke(base::Now now, ReplyId reply,
                       const wire::Revoke &message) {
  const auto it = Records.find(message.request_id());
  if (it == Records.end()) {
    refuseAndTombstone(now, reply, message.attempt(),
                       {Verdict::NotRun, Reason::Revoked, {}});
    return;
  }
  if (it->second.State == CallState::Running)
    it->second.WaitingReplies.push_back(reply);
  else
    answer(reply, it->second);
}

void CallTable::onCallEnded(base::Now now, const CallEnded &e) {
  const auto it = Records.find(e.RequestId);
  if (it == Records.end() || it->second.State != CallState::Running)
    return;
  Record &record = it->second;
  --OpenCount;
  record.EndedAt = now.Steady;
  if (e.Answered) {
    record.State = CallState::Answered;
    record.Reply = e.Reply;
    record.Reply.set_request_id(e.RequestId);
  } else {
    record.State = CallState::Failed;
    record.Failure = {e.Reached ? Verdict::MayHaveRun : Verdict::NotRun,
                      Reason::BackendServerLost, LossRetryDelay};
  }
  for (ReplyId waiting : record.WaitingReplies)
    answer(waiting, record);
  record.WaitingReplies.clear();
  // The service was not reached, so the call provably did not run and the key
  // may be used again. The failed attempts themselves stay refused.
  const bool isProvenNotRun = !e.Answered && !e.Reached;
  if (isProvenNotRun)
    for (const std::string &attempt : record.Attempts)
      Tombstones[attempt] = now.Steady;
  if (isProvenNotRun || record.Repeatable) {
    Records.erase(it);
    return;
  }
  if (record.Reply.body().size() > MaxStoredAnswerBytes) {
    record.State = CallState::Failed;
    record.Reply.Clear();
    record.Failure = {Verdict::Ran, Reason::AnswerTooLarge, {}};
  }
}

void CallTable::tick(base::Now now) {
  if (now.Steady - LastSweep < SweepInterval)
    return;
  LastSweep = now.Steady;
  std::erase_if(Records, [&](const auto &entry) {
    return entry.second.State != CallState::Running &&
           now.Steady - entry.second.EndedAt > RecordRetention;
  });
  std::erase_if(Tombstones, [&](const auto &entry) {
    return now.Steady - entry.second > RecordRetention;
  });
}

} // namespace drumlanding::agent
