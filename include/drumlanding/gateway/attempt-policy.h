/// Attempt policy: decides what to do after an attempt at a backend server has
/// ended.
///
///   AttemptState state;
///   state.Outcome = AttemptOutcome::Incomplete;
///   Step s = nextStep(state, takeRetry);
///
/// A request is sent to another server only if it provably did not run or is
/// idempotent.
#pragma once

#include "drumlanding/gateway/config.h"

namespace drumlanding::gateway {

/// Outcome of one attempt.
enum class AttemptOutcome {
  Served, ///< A complete response that is no server failure.
  Failed, ///< A complete response that reports a server failure; the request
          ///< ran.
  NotRun, ///< The server states that it did not run the request.
  WrongServer, ///< Another server answered at the address; the intended one has
               ///< ended.
  Incomplete,  ///< The request was sent, but no complete response came.
  Unreachable, ///< Nothing was sent.
};

enum class Step {
  Deliver,    ///< Forward the response to the client.
  TryAnother, ///< Send the request to another server.
  RefuseNotRun,
  GiveUpMayHaveRun,
};

struct AttemptState {
  AttemptOutcome Outcome = AttemptOutcome::Incomplete;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Number of servers that received the request, and its limit. Servers that
  /// had already ended do not count.
  int Sends = 0;
  int MaxSends = 1;
  /// Number of times the request reached any server, including ones that had
  /// ended. Every arrival after the first is a retry.
  int Arrivals = 0;
  /// True when an earlier attempt may have run the request.
  bool MayHaveRun = false;
  /// True when enough time remains for another attempt.
  bool HasTime = true;
  /// True when another server is available.
  bool HasServer = true;
};

/// Returns whether a server ran the request to its end. Another server that
/// answers at its address has not run it.
constexpr bool isCompleted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Served || outcome == AttemptOutcome::Failed;
}

/// A request that reached this many servers, most of which had ended, is
/// refused. The client can retry once the server list is up to date again.
inline constexpr int MaxArrivals = 4;

/// Returns the next step. Calls `takeRetry`, which takes one retry from the
/// budget, only if the request would be sent to a further server.
template <typename TakeRetry>
Step nextStep(const AttemptState &s, TakeRetry takeRetry) {
  if (s.Outcome == AttemptOutcome::Served)
    return Step::Deliver;
  const bool canRun = s.Kind == RequestKind::Idempotent ||
                      s.Outcome == AttemptOutcome::NotRun ||
                      s.Outcome == AttemptOutcome::WrongServer ||
                      s.Outcome == AttemptOutcome::Unreachable;
  const bool isPossible = canRun && s.HasTime && s.HasServer;
  if (isPossible && s.Arrivals == 0)
    return Step::TryAnother;
  if (isPossible && s.Sends < s.MaxSends && s.Arrivals < MaxArrivals &&
      takeRetry())
    return Step::TryAnother;
  if (s.Outcome == AttemptOutcome::Failed)
    return Step::Deliver;
  const bool isProven = s.Outcome == AttemptOutcome::NotRun ||
                        s.Outcome == AttemptOutcome::WrongServer ||
                        s.Outcome == AttemptOutcome::Unreachable;
  if (isProven && !s.MayHaveRun)
    return Step::RefuseNotRun;
  return Step::GiveUpMayHaveRun;
}

} // namespace drumlanding::gateway
