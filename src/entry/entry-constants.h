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
inline constexpr double RetryPart = 0.1;
inline constexpr double RetryBurst = 10;
/// Most backend servers tried for one request.
inline constexpr int MostTries = 3;
/// Most waits for a document that one side does not have yet.
inline constexpr int MostCatchUps = 8;
inline constexpr milliseconds CatchUpWait{60};
/// Most questions after a lost reply before it is given up.
inline constexpr int MostAsks = 3;
/// A request that has not begun by then is given up.
inline constexpr seconds StartLimit{10};
inline constexpr milliseconds ReplyLimit{1'000};
/// Plain services may take this long to answer.
inline constexpr milliseconds CallLimit{8'000};
inline constexpr milliseconds RetryNotReady{1'000};
inline constexpr milliseconds RetryBusy{500};
inline constexpr milliseconds PollWait{4'000};
inline constexpr milliseconds PollLimit{6'000};
inline constexpr milliseconds PollBackoff{100};
/// A stream whose agent is not heard of for this long is given up.
inline constexpr seconds StreamLostAfter{12};
/// Reports of backend servers; two missed ones make a server suspect.
inline constexpr milliseconds SyncEvery{1'000};
/// Documents also come from the service's watchers, so entries ask less often.
inline constexpr milliseconds SyncEntriesEvery{2'000};
/// A longer gap between tokens counts as a stall.
inline constexpr milliseconds StallAfter{1'000};
inline constexpr milliseconds SyncLimit{1'000};
inline constexpr milliseconds DocumentLimit{3'000};
inline constexpr milliseconds CheckEvery{20};
/// Most by which the clocks of a caller and an entry may differ.
inline constexpr seconds ClockError{2};

/// Estimates the tokens of a prompt: four bytes each.
inline std::uint32_t promptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(prompt.size() / 4 + 1);
}

} // namespace drumlanding::entry
