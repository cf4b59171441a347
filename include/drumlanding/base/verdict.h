/// Verdict: whether a request may have run. NotRun and Ran are only given with
/// proof.
///
///   Refusal r{Verdict::NotRun, Reason::Overloaded, milliseconds(800)};
///   reply(httpStatus(r.Reason), toString(r.Outcome));
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace drumlanding::base {

/// What is known of a request that got no complete response.
enum class Verdict : std::uint8_t {
  NotRun = 0,     ///< It provably did not run and never will.
  Ran = 1,        ///< It ran; there is no more of the response.
  MayHaveRun = 2, ///< Neither can be proven.
};

/// The reasons of refusals. The numbers are sent between processes.
enum class Reason : std::uint8_t {
  None = 0,
  MalformedRequest,
  UnknownOrganisation,
  UnknownModel,
  UnknownService,
  NotAllowed,
  BodyTooLarge,
  NotFound,
  NotReady,
  Overloaded,
  OrganisationLimit,
  NoBackendServer,
  Leaving,
  BundleBehind,
  SenderBehind,
  Revoked,
  Expired,
  OtherIncarnation,
  WrongOwner,
  KeyTimeUnproven,
  KeyReused,
  BackendServerLost,
  EngineLost,
  StreamGap,
  Cancelled,
  Reclaimed,
  AnswerTooLarge,
  AnswerLost,
  TakenOver,
  RequestLimit,
  Quarantined,
  Last = Quarantined,
};

/// The final response to a request that gets no complete one.
struct Refusal {
  Verdict Outcome = Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  /// Time after which a retry may succeed; zero if no retry can.
  std::chrono::milliseconds RetryAfter{0};
};

/// Returns the name used in responses, logs and metrics, such as "not-run".
std::string_view toString(Verdict v);
std::string_view toString(Reason r);

/// Returns a sentence that describes the reason.
std::string_view describe(Reason r);

/// Returns the HTTP status of responses with this reason.
int httpStatus(Reason r);

/// Decodes a number from the wire; unknown ones become MayHaveRun or None, the
/// conservative choices.
Verdict verdictFrom(std::uint32_t number);
Reason reasonFrom(std::uint32_t number);

} // namespace drumlanding::base
