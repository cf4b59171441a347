/// Invariants: checks that are enabled in every build. Failures are counted in
/// the metrics and abort the process under test.
///
///   invariant(Invariant::TokensInOrder, index == next, requestId);
#pragma once

#include <cstdint>
#include <string_view>

namespace drumlanding::base {

/// The invariants of all programs; docs/PROMISES.md describes each.
enum class Invariant : std::uint8_t {
  TokensInOrder,     ///< A caller gets each token once, in order.
  OneGeneration,     ///< A stream never changes its generation.
  NotRunIsProven,    ///< A request reported as "not run" never started.
  RunsAtMostOnce,    ///< A call that is not repeatable starts at most once.
  NoWorkWhenLeaving, ///< A leaving backend server starts no request.
  VersionNeverFalls, ///< A document's version never decreases.
  MemoryWithinLimit, ///< Admitted generations fit the engine's memory.
  OwnAnswerOnly,     ///< A response reaches only its own request.
  LegalTransition,   ///< A lifecycle only makes transitions of its table.
  BoundedYields,     ///< A generation yields at most the allowed times.
  Last = BoundedYields,
};

/// Counts and prints a failure of `which` if `holds` is false. Aborts the
/// process if failures are fatal. `subject` names the request or document.
void invariant(Invariant which, bool holds, std::string_view subject);

/// Sets whether failures abort the process (tests, `--fatal_invariants`).
void setInvariantsFatal(bool fatal);

/// Returns the number of failures of `which` since the process started.
std::uint64_t invariantFailures(Invariant which);

std::string_view toString(Invariant which);

} // namespace drumlanding::base
