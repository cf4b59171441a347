/// Constants and small helpers that the files of the entry core share.
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/base/verdict.h"

#include <cstdint>
#include <string_view>

namespace drumlanding::entry {

using base::milliseconds;
using base::seconds;

/// Retries as a part of first attempts, and how many are saved up.
inline constexpr double RetryRatio = 0.1;
inline constexpr double RetryBurst = 10;
/// Most backend servers tried for one request.
inline constexpr int MaxAttempts = 3;
/// Most waits for a document that one side does not have yet.
inline constexpr int MaxBackoffs = 8;
inline constexpr milliseconds BackoffDelay{60};
/// Most questions after a lost reply before it is given up.
inline constexpr int MaxRevokes = 3;
/// A request that has not begun by then is given up.
inline constexpr seconds StartTimeout{10};
inline constexpr milliseconds ReplyTimeout{1'000};
/// Plain services may take this long to answer.
inline constexpr milliseconds CallTimeout{8'000};
inline constexpr milliseconds RetryAfterNotReady{1'000};
inline constexpr milliseconds RetryAfterBusy{500};
inline constexpr milliseconds PollWait{4'000};
inline constexpr milliseconds PollTimeout{6'000};
inline constexpr milliseconds PollRetryDelay{100};
/// A stream whose agent is not heard of for this long is given up.
inline constexpr seconds StreamLostTimeout{12};
/// Reports of backend servers; two missed ones make a server suspect.
inline constexpr milliseconds AgentSyncInterval{1'000};
/// Documents also come from the service's watchers, so entries ask less often.
inline constexpr milliseconds EntrySyncInterval{2'000};
/// A longer gap between tokens counts as a stall.
inline constexpr milliseconds StallThreshold{1'000};
inline constexpr milliseconds SyncTimeout{1'000};
inline constexpr milliseconds DocumentTimeout{3'000};
inline constexpr milliseconds CheckInterval{20};
/// Most by which the clocks of a caller and an entry may differ.
inline constexpr seconds MaxClockSkew{2};

/// Estimates the tokens of a prompt: four bytes each.
inline std::uint32_t estimatePromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(prompt.size() / 4 + 1);
}

} // namespace drumlanding::entry
