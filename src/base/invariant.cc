#include "drumlanding/base/invariant.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace drumlanding::base {
namespace {

constexpr std::size_t InvariantCount =
    static_cast<std::size_t>(Invariant::Last) + 1;
std::array<std::atomic<std::uint64_t>, InvariantCount> Failures{};
std::atomic<bool> Fatal{false};

} // namespace

void invariant(Invariant which, bool holds, std::string_view subject) {
  if (holds)
    return;
  Failures[static_cast<std::size_t>(which)].fetch_add(1);
  const std::string_view name = toString(which);
  std::fprintf(stderr, "invariant failed: %.*s (%.*s)\n",
               static_cast<int>(name.size()), name.data(),
               static_cast<int>(subject.size()), subject.data());
  if (Fatal.load())
    std::abort();
}

void setInvariantsFatal(bool fatal) { Fatal.store(fatal); }

std::uint64_t invariantFailures(Invariant which) {
  return Failures[static_cast<std::size_t>(which)].load();
}

std::string_view toString(Invariant which) {
  switch (which) {
  case Invariant::TokensInOrder:
    return "tokens-in-order";
  case Invariant::OneGeneration:
    return "one-generation";
  case Invariant::NotRunIsProven:
    return "not-run-is-proven";
  case Invariant::RunsAtMostOnce:
    return "runs-at-most-once";
  case Invariant::NoWorkWhenLeaving:
    return "no-work-when-leaving";
  case Invariant::VersionNeverFalls:
    return "version-never-falls";
  case Invariant::MemoryWithinLimit:
    return "memory-within-limit";
  case Invariant::OwnAnswerOnly:
    return "own-answer-only";
  case Invariant::LegalTransition:
    return "legal-transition";
  case Invariant::BoundedYields:
    return "bounded-yields";
  }
  return "unknown";
}

} // namespace drumlanding::base
