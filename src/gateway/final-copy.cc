#include "drumlanding/gateway/final-copy.h"

namespace drumlanding::gateway {

RunState afterFinalCopy(RunState before, const CopyResponse &response) {
  using Outcome = CopyResponse::Outcome;
  if (!response.Handle.empty())
    return RunState::Stopped;
  switch (response.Code) {
  case Outcome::NotSent:
  // The source also knows no such run after it has stopped it, and is busy
  // while it still works on an earlier request: neither shows that the
  // generation goes on after an earlier request may have stopped it.
  case Outcome::NoSuchRun:
  case Outcome::Busy:
    return before;
  case Outcome::Copied:
  case Outcome::NoRoom:
  case Outcome::Failed:
    break;
  }
  return RunState::MayBeStopped;
}

} // namespace drumlanding::gateway
