#include "drumlanding/gateway/migration-order.h"

#include <algorithm>
#include <tuple>

namespace drumlanding::gateway {
namespace {

/// Tokens generated for one request within the shortest shutdown notice: 1.5 s
/// at 10 ms per token.
constexpr std::uint32_t TokensInNotice = 150;
/// Value of an output token in prompt tokens, from the clients' specification.
constexpr double OutputWeight = 10;
/// Copies between zones take twice as long as within one.
constexpr int OtherZoneFactor = 2;
constexpr double BitsPerByte = 8;

/// Returns a run's value per copy time. Uses only values that are the same at
/// every gateway and do not change during the run.
double valuePerCopyTime(const TrackedRun &run) {
  const double output = std::min(run.ExpectedTokens, run.MaxTokens);
  const double prompt = std::max(run.PromptTokens, 1U);
  return (prompt + OutputWeight * output) / prompt;
}

/// Orders runs for migration. A copy in progress is not overtaken, and a run
/// that has produced no output has nothing to copy yet.
bool comesBefore(const TrackedRun &a, const TrackedRun &b) {
  const auto rank = [](const TrackedRun &run) {
    const bool isMigrating = run.HasFirstToken && !run.CopyServer.empty();
    return std::make_tuple(isMigrating, run.HasFirstToken,
                           mayOutlastNotice(run), valuePerCopyTime(run),
                           run.Id);
  };
  return rank(a) > rank(b);
}

} // namespace

bool mayOutlastNotice(const TrackedRun &run) {
  return run.MaxTokens > TokensInNotice;
}

bool isNextToMigrate(std::span<const TrackedRun> onEngine,
                     const TrackedRun &own) {
  return std::none_of(onEngine.begin(), onEngine.end(),
                      [&](const TrackedRun &other) {
                        return other.Id != own.Id && comesBefore(other, own);
                      });
}

base::Duration copyTime(const EngineTraits &engine, std::uint64_t tokens,
                        bool isOtherZone) {
  if (engine.LinkMbps <= 0)
    return base::Duration(0);
  const double bits = static_cast<double>(tokens) *
                      static_cast<double>(engine.BytesPerToken) * BitsPerByte;
  const double us =
      bits / engine.LinkMbps * (isOtherZone ? OtherZoneFactor : 1);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(us));
}

} // namespace drumlanding::gateway
