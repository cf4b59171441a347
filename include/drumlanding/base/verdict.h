/// Verdict: whether a request may have run. It is never guessed.
///
///   Refusal r{Verdict::NotRun, Reason::Overloaded, milliseconds(800)};
///   reply(httpStatus(r.Why), toString(r.Outcome));
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace drumlanding::base {

/// What is known of a request that got no whole answer.
enum class Verdict : std::uint8_t {
  NotRun = 0,     ///< Proven: it did not run and never will.
  Ran = 1,        ///< It ran; the answer given is all there is.
  MayHaveRun = 2, ///< Nobody can prove either.
};

/// The fixed list of reasons. The numbers travel between processes.
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
  Last = TakenOver,
};

/// A final answer that is not the whole answer.
struct Refusal {
  Verdict Outcome = Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  /// When asking again makes sense; zero when it never does.
  std::chrono::milliseconds RetryAfter{0};
};

/// Returns the name used in answers, logs and metrics, such as "not-run".
std::string_view toString(Verdict v);
std::string_view toString(Reason r);

/// Returns a sentence for people.
std::string_view describe(Reason r);

/// Returns the HTTP status that carries this reason.
int httpStatus(Reason r);

/// Reads numbers from the wire; unknown ones become the cautious choice.
Verdict verdictFrom(std::uint32_t number);
Reason reasonFrom(std::uint32_t number);

} // namespace drumlanding::base
