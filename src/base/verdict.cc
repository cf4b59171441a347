#include "drumlanding/base/verdict.h"

namespace drumlanding::base {
namespace {

struct ReasonRow {
  Reason Id;
  std::string_view Name;
  int Status;
  std::string_view Sentence;
};

constexpr ReasonRow Rows[] = {
    {Reason::None, "none", 500, "No reason was given."},
    {Reason::MalformedRequest, "malformed-request", 400,
     "The request does not follow the interface."},
    {Reason::UnknownOrganisation, "unknown-organisation", 401,
     "The credential belongs to no organisation."},
    {Reason::UnknownModel, "unknown-model", 404,
     "No such model, version or adapter is in the bundle."},
    {Reason::UnknownService, "unknown-service", 404,
     "No such service is in the bundle."},
    {Reason::NotAllowed, "not-allowed", 403,
     "The organisation's contract does not include this."},
    {Reason::BodyTooLarge, "body-too-large", 413,
     "The body is larger than the bundle allows."},
    {Reason::NotFound, "not-found", 404,
     "Nothing with this id belongs to the organisation."},
    {Reason::NotReady, "not-ready", 503, "No bundle is in force here yet."},
    {Reason::Overloaded, "overloaded", 503,
     "The wait would be longer than the contract allows."},
    {Reason::OrganisationLimit, "organisation-limit", 429,
     "The organisation has reached a limit of its contract."},
    {Reason::NoBackendServer, "no-backend-server", 503,
     "No backend server can take the request now."},
    {Reason::Leaving, "leaving", 503, "The backend server is leaving."},
    {Reason::BundleBehind, "bundle-behind", 503,
     "The backend server has not yet got the bundle in force."},
    {Reason::SenderBehind, "sender-behind", 503,
     "The entry has not yet got the bundle in force."},
    {Reason::Revoked, "revoked", 503, "The request was revoked."},
    {Reason::Expired, "expired", 503, "The request came after its deadline."},
    {Reason::OtherIncarnation, "other-incarnation", 503,
     "The backend server was restarted."},
    {Reason::WrongOwner, "wrong-owner", 503,
     "Another backend server owns this idempotency key."},
    {Reason::KeyTimeUnproven, "key-time-unproven", 409,
     "The key is older than the owner's memory: it may have run."},
    {Reason::KeyReused, "key-reused", 422,
     "The idempotency key was used for another request."},
    {Reason::BackendServerLost, "backend-server-lost", 502,
     "The backend server no longer answers."},
    {Reason::EngineLost, "engine-lost", 502, "The engine died."},
    {Reason::StreamGap, "stream-gap", 502, "Tokens of the stream were lost."},
    {Reason::Cancelled, "cancelled", 410, "The caller cancelled it."},
    {Reason::Reclaimed, "reclaimed", 502,
     "The backend server was reclaimed at short notice."},
    {Reason::AnswerTooLarge, "answer-too-large", 502,
     "The service's answer is larger than allowed."},
    {Reason::TakenOver, "taken-over", 409,
     "Another connection follows this stream now."},
    {Reason::AnswerLost, "answer-lost", 502, "The answer was lost."},
    {Reason::RequestLimit, "request-limit", 503,
     "Every backend server has reached the request rate that it allows."},
    {Reason::Quarantined, "quarantined", 503,
     "Backend servers ended while they ran this request."},
};

const ReasonRow &findRow(Reason r) {
  for (const ReasonRow &row : Rows)
    if (row.Id == r)
      return row;
  return Rows[0];
}

} // namespace

std::string_view toString(Verdict v) {
  switch (v) {
  case Verdict::NotRun:
    return "not-run";
  case Verdict::Ran:
    return "ran";
  case Verdict::MayHaveRun:
    return "may-have-run";
  }
  return "may-have-run";
}

std::string_view toString(Reason r) { return findRow(r).Name; }
std::string_view describe(Reason r) { return findRow(r).Sentence; }
int httpStatus(Reason r) { return findRow(r).Status; }

Verdict verdictFrom(std::uint32_t number) {
  if (number > static_cast<std::uint32_t>(Verdict::MayHaveRun))
    return Verdict::MayHaveRun;
  return static_cast<Verdict>(number);
}

Reason reasonFrom(std::uint32_t number) {
  if (number > static_cast<std::uint32_t>(Reason::Last))
    return Reason::None;
  return static_cast<Reason>(number);
}

} // namespace drumlanding::base
