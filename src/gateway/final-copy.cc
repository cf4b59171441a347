#include "drumlanding/gateway/final-copy.h"

namespace drumlanding::gateway {

RunState afterFinalCopy(RunState before, const CopyResponse &response) {
  using Outcome = CopyResponse::Outcome;
  if (!response.Handle.empty())
    return RunState::Stopped;
  switch (response.Code) {
  case Outcome::NotSent:
  case Outcome::NoSuchRun:
  case Outcome::Busy:
    // The last two are also the responses after an earlier request has stopped
    // the generation: they do not show that it still runs.
    return before;
  case Outcome::Copied:
  case Outcome::NoRoom:
  case Outcome::Failed:
    break;
  }
  return RunState::MayBeStopped;
}

} // namespace drumlanding::gateway
