/// Table of calls to a plain service. Runs calls that are not repeatable at
/// most once per idempotency key.
#pragma once

#include "drumlanding/agent/core.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

class CallTable {
public:
  CallTable(const CoreOptions &options, Commands &out);

  /// Runs a call, or replies with the recorded result if the key is in the
  /// table. Every key issued since `keysCompleteSince` was handled by this
  /// process; older keys may have run elsewhere.
  void call(base::Now now, ReplyId reply, const wire::Call &call,
            base::WallTime keysCompleteSince);
  void revoke(base::Now now, ReplyId reply, const wire::Revoke &message);
  bool contains(const std::string &id) const { return Records.contains(id); }
  /// Refuses a call as NotRun and records a tombstone for the attempt, so that
  /// a delayed duplicate of the message does not run it.
  void refuseAndTombstone(base::Now now, ReplyId reply,
                          const std::string &attempt,
                          const base::Refusal &refusal);
  void onCallEnded(base::Now now, const CallEnded &e);
  void tick(base::Now now);
  std::size_t openCount() const { return OpenCount; }

private:
  enum class CallState { Running, Answered, Failed };
  struct Record {
    CallState State = CallState::Running;
    bool Repeatable = false;
    std::uint64_t Fingerprint = 0;
    wire::CallReply Reply;
    base::Refusal Failure;
    std::vector<ReplyId> WaitingReplies;
    /// Ids of all attempts that requested this call.
    std::vector<std::string> Attempts;
    base::Instant EndedAt;
    /// Number of times the call was sent to the service; at most 1.
    int Starts = 0;
  };

  void answer(ReplyId reply, const Record &record);
  void replyToDuplicate(base::Now now, ReplyId reply, const wire::Call &call,
                        Record &record);
  void refuse(ReplyId reply, const base::Refusal &refusal);

  const CoreOptions &Options;
  Commands &Out;
  std::unordered_map<std::string, Record> Records;
  /// Attempts refused as NotRun, with the time of the refusal.
  std::unordered_map<std::string, base::Instant> Tombstones;
  std::size_t OpenCount = 0;
  base::Instant LastSweep;
};

/// Maximum age of an idempotency key. Older keys are refused; records are kept
/// longer than this.
inline constexpr base::seconds MaxKeyAge{600};

} // namespace drumlanding::agent
