/// Invariants: checks that are always on, counted for the metrics and fatal
/// under test.
///
///   invariant(Invariant::TokensInOrder, index == next, requestId);
#pragma once

#include <cstdint>
#include <string_view>

namespace drumlanding::base {

/// Every invariant of the programs; docs/PROMISES.md says what each guards.
enum class Invariant : std::uint8_t {
  TokensInOrder,     ///< A caller gets each token once and in order.
  OneGeneration,     ///< A stream never changes its generation.
  NotRunIsProven,    ///< "Not run" is only said of what never started.
  RunsAtMostOnce,    ///< A call that may not be repeated starts once.
  NoWorkWhenLeaving, ///< A leaving backend server starts nothing new.
  VersionNeverFalls, ///< A document's version never goes down.
  MemoryWithinLimit, ///< Admitted generations fit the engine's memory.
  OwnAnswerOnly,     ///< An answer reaches only its own request.
  LegalTransition,   ///< A lifecycle takes only the steps of its table.
  BoundedYields,     ///< A generation yields at most as often as allowed.
  Last = BoundedYields,
};

/// Counts a failure of `which` and reports it when `holds` is false. Aborts
/// the process when failures are fatal. `what` names the request or document.
void invariant(Invariant which, bool holds, std::string_view subject);

/// Makes failures abort the process (tests, `--fatal_invariants`).
void setInvariantsFatal(bool fatal);

/// Returns how often `which` has failed since the process started.
std::uint64_t invariantFailures(Invariant which);

std::string_view toString(Invariant which);

} // namespace drumlanding::base
