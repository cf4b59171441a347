/// Attempt policy: what follows when an attempt at a backend server has ended.
///
///   Step s = nextStep({AttemptEnd::Broken, RequestKind::Idempotent, ...});
///
/// Another server is tried only after proof that nothing ran, or when the
/// request may run more than once.
#pragma once

#include "drumlanding/gateway/config.h"

namespace drumlanding::gateway {

/// How one attempt ended.
enum class AttemptOutcome {
  Served,      ///< A whole answer that is no failure.
  Failed,      ///< A whole answer that is the server's own failure: it ran.
  NotRun,      ///< The server says that it did not run the request.
  WrongServer, ///< Another server answers there: the one meant has ended.
  Incomplete,  ///< It was sent, and no whole answer came.
  Unreachable, ///< Nothing was sent.
};

enum class Step {
  Deliver,    ///< Pass the answer on.
  TryAnother, ///< Send it to another server.
  RefuseNotRun,
  GiveUpMayHaveRun,
};

struct AttemptState {
  AttemptOutcome Outcome = AttemptOutcome::Incomplete;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Servers that the request was sent to, and the most that it may be. One
  /// that had ended already does not count.
  int Sends = 0;
  int MaxSends = 1;
  /// How often it has arrived at a server, ended ones too: each further time is
  /// a retry.
  int Arrivals = 0;
  /// An earlier attempt may have run.
  bool MayHaveRun = false;
  /// Enough time is left for another attempt.
  bool HasTime = true;
  /// Another server is there to try.
  bool HasServer = true;
};

/// A request that has met so many servers, most of them ended, is refused: its
/// caller can come back when the list is right again.
inline constexpr int MaxArrivals = 4;

/// Returns what to do; `takeRetry` is asked only when a second send would
/// follow, and takes it from the budget.
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
