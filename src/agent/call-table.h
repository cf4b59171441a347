/// Calls of a plain service: at most once for those that may not be repeated.
#pragma once

#include "drumlanding/agent/core.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

class CallTable {
public:
  CallTable(const CoreOptions &options, Commands &out);

  /// Runs a call, or answers it as before. `keysFrom` is the wall time since
  /// when this process has seen every key that it owns.
  void call(base::Now now, ReplyId reply, const wire::Call &call,
            base::WallTime keysCompleteSince);
  void revoke(base::Now now, ReplyId reply, const wire::Revoke &message);
  bool contains(const std::string &id) const { return Records.contains(id); }
  /// Refuses a call as "not run" and remembers that this attempt must not run
  /// later, when a copy of it arrives.
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
    /// Every attempt that asked for this call.
    std::vector<std::string> Attempts;
    base::Instant EndedAt;
    /// Starts of the real call; never more than one.
    int Starts = 0;
  };

  void answer(ReplyId reply, const Record &record);
  void replyToDuplicate(base::Now now, ReplyId reply, const wire::Call &call,
                        Record &record);
  void refuse(ReplyId reply, const base::Refusal &refusal);

  const CoreOptions &Options;
  Commands &Out;
  std::unordered_map<std::string, Record> Records;
  /// Attempts that were answered "not run", and when.
  std::unordered_map<std::string, base::Instant> Tombstones;
  std::size_t OpenCount = 0;
  base::Instant LastSweep;
};

/// Keys older than this are refused; records are kept longer.
inline constexpr base::seconds MaxKeyAge{600};

} // namespace drumlanding::agent
