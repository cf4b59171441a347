/// Constants and helpers shared by the files of the entry core.
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/base/verdict.h"

#include <cstdint>
#include <string_view>

namespace drumlanding::entry {

using base::milliseconds;
using base::seconds;

/// Retries per first attempt, and the size of the retry burst.
inline constexpr double RetryRatio = 0.1;
inline constexpr double RetryBurst = 10;
/// Maximum number of attempts for one request.
inline constexpr int MaxAttempts = 3;
/// Maximum number of waits for a document that one side does not have yet, or
/// for the incarnation of a key's owner.
inline constexpr int MaxBackoffs = 8;
inline constexpr milliseconds BackoffDelay{60};
/// Maximum number of Revokes sent after a lost reply.
inline constexpr int MaxRevokes = 3;
/// A request whose stream has not begun after this time is refused.
inline constexpr seconds StartTimeout{10};
inline constexpr milliseconds ReplyTimeout{1'000};
/// Time limit for the answer of a plain service.
inline constexpr milliseconds CallTimeout{8'000};
inline constexpr milliseconds RetryAfterNotReady{1'000};
inline constexpr milliseconds RetryAfterBusy{500};
inline constexpr milliseconds PollWait{4'000};
inline constexpr milliseconds PollTimeout{6'000};
inline constexpr milliseconds PollRetryDelay{100};
/// A stream fails when its agent has not answered a poll for this long.
inline constexpr seconds StreamLostTimeout{12};
/// Interval of reports from backend servers; a server that misses two is
/// suspect (SuspectAfter).
inline constexpr milliseconds AgentSyncInterval{1'000};
/// Entries sync less often with each other: the watchers of the key-value
/// service also deliver documents.
inline constexpr milliseconds EntrySyncInterval{2'000};
/// A gap between tokens that is longer than this counts as a stall.
inline constexpr milliseconds StallThreshold{1'000};
inline constexpr milliseconds SyncTimeout{1'000};
inline constexpr milliseconds DocumentTimeout{3'000};
inline constexpr milliseconds CheckInterval{20};
/// Maximum difference between the clocks of a caller and an entry.
inline constexpr seconds MaxClockSkew{2};

/// Estimates the tokens of a prompt at four bytes per token.
inline std::uint32_t estimatePromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(prompt.size() / 4 + 1);
}

} // namespace drumlanding::entry
