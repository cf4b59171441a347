// Attempts: backend server selection, lost replies, retries and verdicts.
#include "drumlanding/entry/core.h"

#include "drumlanding/agent/core.h"
#include "drumlanding/base/invariant.h"
#include "drumlanding/entry/members.h"
#include "drumlanding/wire/refusal.h"
#include "drumlanding/wire/request-id.h"
#include "entry-constants.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::entry {
namespace {

using base::Reason;
using base::Refusal;
using base::Result;
using base::Verdict;

/// Length of the prompt prefix used for affinity. Shorter prompts are not worth
/// routing to a particular server.
constexpr std::size_t PrefixBytes = 256;
constexpr double ExpectedOutputTokens = 360;

std::uint64_t prefixHash(const GenerationRequested &e) {
  if (e.Prompt.size() < PrefixBytes)
    return 0;
  return base::hash64(std::string_view(e.Prompt).substr(0, PrefixBytes),
                      base::hash64(e.Model + "+" + e.Adapter));
}

/// Returns true when the reported models include the requested one.
bool reportsModel(const wire::Report &report, const GenerationRequested &e) {
  const std::string prefix = e.Model + "@" + e.Version;
  return std::any_of(report.models().begin(), report.models().end(),
                     [&](const std::string &name) {
                       if (!name.starts_with(prefix))
                         return false;
                       const auto plus = name.find('+');
                       const std::string adapter = plus == std::string::npos
                                                       ? ""
                                                       : name.substr(plus + 1);
                       const std::string version = name.substr(
                           e.Model.size() + 1, plus - e.Model.size() - 1);
                       return adapter == e.Adapter &&
                              (e.Version.empty() || version == e.Version);
                     });
}

/// Returns the refusal for a request whose reply was lost and whose outcome the
/// server cannot report.
Refusal answerLost() {
  return {Verdict::MayHaveRun, Reason::AnswerLost, RetryAfterBusy};
}

/// Returns the refusal in a reply. "Not run" from another incarnation than the
/// attempt was sent to becomes "may have run": a restarted agent has no record
/// of what the previous incarnation ran.
Refusal refusalOf(std::uint64_t expectedIncarnation, const wire::Reply &reply) {
  if (!reply.has_refused())
    return answerLost();
  Refusal why = wire::fromWire(reply.refused());
  if (why.Outcome == Verdict::NotRun &&
      reply.incarnation() != expectedIncarnation)
    return {Verdict::MayHaveRun, Reason::OtherIncarnation, RetryAfterBusy};
  return why;
}

} // namespace

bool Core::chooseServer(base::Now now, Session &s) {
  const auto bundle = Documents.bundle();
  if (s.Call && !s.Call->Repeatable) {
    // Only the key's owner may run the call: no other server records which keys
    // have run.
    const bundle::Service *service = bundle->service(s.Call->Service);
    s.Server = service ? agent::ownerOfKey(service->Servers, s.RequestId) : "";
    const Member *owner = Peers->find(s.Server);
    return owner && owner->Incarnation != 0;
  }
  const bundle::Service *service =
      s.Generation ? bundle->serviceOfModel(s.Generation->Model)
                   : bundle->service(s.Call->Service);
  if (!service)
    return false;
  const auto &members = Peers->ofService(service->Name);
  std::vector<ServerView> views;
  views.reserve(members.size());
  for (const Member *m : members) {
    const bool wasTried =
        std::find(s.TriedServers.begin(), s.TriedServers.end(), m->Vm.Name) !=
        s.TriedServers.end();
    const bool isUsable =
        m->isUsable(now.Steady) && !wasTried &&
        (!s.Generation || reportsModel(m->Report, *s.Generation));
    views.push_back({m->NameHash, isUsable, m->DistanceMs,
                     m->Report.used_tokens(), m->Report.capacity_tokens(),
                     m->Report.waiting(), m->ReportedAt, m->SentSinceReport});
  }
  RouteQuery query;
  if (s.Generation) {
    query.PrefixHash = prefixHash(*s.Generation);
    query.RequestTokens =
        estimatePromptTokens(s.Generation->Prompt) + ExpectedOutputTokens;
  }
  const auto chosen = Routing.choose(views, query, now.Steady, Random);
  if (!chosen)
    return false;
  Member &member = *members[*chosen];
  ++member.SentSinceReport;
  s.Server = member.Vm.Name;
  return true;
}

/// Requests the incarnation of a key's owner outside the subset and backs off;
/// without it, a "not run" from that owner proves nothing. Returns false when
/// the call has no known owner or its backoffs are used up.
bool Core::discoverOwner(base::Now now, Session &s) {
  const bool hasOneOwner = s.Call && !s.Call->Repeatable;
  if (!hasOneOwner || !Peers->find(s.Server) || s.BackoffCount >= MaxBackoffs)
    return false;
  wire::Request request;
  request.mutable_sync();
  send(s.Server, std::move(request), {.Kind = MessageKind::Sync}, SyncTimeout);
  ++s.BackoffCount;
  s.State = Phase::Backoff;
  s.RetryAt = now.Steady + BackoffDelay;
  return true;
}

void Core::startAttempt(base::Now now, Session &s) {
  s.State = Phase::Starting;
  s.RevokeCount = 0;
  if (s.Call && !s.Call->Repeatable)
    s.RequestId = "key~" + s.Organisation + "~" + s.Call->Key;
  if (!chooseServer(now, s)) {
    if (discoverOwner(now, s))
      return;
    failSession(now, s,
                {Verdict::NotRun, Reason::NoBackendServer, RetryAfterBusy});
    return;
  }
  ++s.AttemptCount;
  const std::string nonce = base::randomId();
  const Member &member = *Peers->find(s.Server);
  s.Incarnation = member.Incarnation;
  if (s.Generation || s.Call->Repeatable)
    s.RequestId =
        toString(wire::RequestId{s.Server, member.Incarnation, nonce});
  s.AttemptId = s.Generation ? s.RequestId : nonce;
  count("drumlanding_attempts_total");
  logEvent("entry.route",
           fmt::format("route request={} organisation={} server={} place={} "
                       "try={} used={} waiting={} sent_since={}",
                       s.RequestId, s.Organisation, s.Server, member.Vm.Place,
                       s.AttemptCount, member.Report.used_tokens(),
                       member.Report.waiting(), member.SentSinceReport));
  if (s.Generation)
    sendStart(now, s);
  else
    sendCall(now, s);
}

void Core::sendStart(base::Now now, Session &s) {
  const GenerationRequested &requested = *s.Generation;
  wire::Request request;
  wire::Start &start = *request.mutable_start();
  start.set_request_id(s.RequestId);
  start.set_organisation(s.Organisation);
  start.set_model(requested.Model);
  start.set_version(requested.Version);
  start.set_adapter(requested.Adapter);
  start.set_prompt(requested.Prompt);
  start.set_prompt_tokens(estimatePromptTokens(requested.Prompt));
  start.set_max_tokens(requested.MaxTokens);
  start.set_incarnation(s.Incarnation);
  start.set_not_after_ms((now.Wall + StartTimeout).time_since_epoch().count());
  send(s.Server, std::move(request),
       {.Kind = MessageKind::Start, .Session = s.Id, .AttemptId = s.AttemptId},
       ReplyTimeout);
}

void Core::sendCall(base::Now now, Session &s) {
  const CallRequested &requested = *s.Call;
  wire::Request request;
  wire::Call &call = *request.mutable_call();
  call.set_request_id(s.RequestId);
  call.set_attempt(s.AttemptId);
  call.set_organisation(s.Organisation);
  call.set_method(requested.Method);
  call.set_path(requested.Path);
  call.set_body(requested.Body);
  call.set_repeatable(requested.Repeatable);
  call.set_key_time_ms(requested.KeyTime.time_since_epoch().count());
  call.set_not_after_ms((now.Wall + StartTimeout).time_since_epoch().count());
  send(s.Server, std::move(request),
       {.Kind = MessageKind::Call, .Session = s.Id, .AttemptId = s.AttemptId},
       CallTimeout);
}

void Core::sendRevoke(base::Now, Session &s) {
  s.State = Phase::ResolvingLostReply;
  ++s.RevokeCount;
  wire::Request request;
  request.mutable_revoke()->set_request_id(s.RequestId);
  if (s.Call)
    request.mutable_revoke()->set_attempt(s.AttemptId);
  const MessageId sent = send(
      s.Server, std::move(request),
      {.Kind = MessageKind::Revoke, .Session = s.Id, .AttemptId = s.AttemptId},
      ReplyTimeout);
  logEvent("entry.ask", fmt::format("ask request={} server={} time={}",
                                    s.RequestId, s.Server, s.RevokeCount));
  if (sent == 0)
    s.RevokeCount = MaxRevokes;
}

void Core::onLostReply(base::Now now, Session &s) {
  if (Options.Enabled.ResolveLostReplies)
    sendRevoke(now, s);
  else
    retryOrFail(now, s, {Verdict::NotRun, Reason::AnswerLost, RetryAfterBusy});
}

void Core::onStartReply(base::Now now, Session &s,
                        const Result<wire::Reply> &r) {
  if (!ok(r)) {
    onLostReply(now, s);
    return;
  }
  const wire::Reply &reply = value(r);
  if (reply.has_accepted())
    followStream(now, s);
  else
    retryOrFail(now, s, refusalOf(s.Incarnation, reply));
}

void Core::onCallReply(base::Now now, Session &s,
                       const Result<wire::Reply> &r) {
  if (!ok(r)) {
    onLostReply(now, s);
    return;
  }
  const wire::Reply &reply = value(r);
  if (!reply.has_call()) {
    retryOrFail(now, s, refusalOf(s.Incarnation, reply));
    return;
  }
  base::invariant(base::Invariant::OwnAnswerOnly,
                  reply.call().request_id() == s.RequestId, s.RequestId);
  Output.push_back(AnswerSession{s.Id, reply.call()});
  count("drumlanding_requests_total", "verdict", toString(Verdict::Ran));
  closeSession(s.Id);
}

void Core::onRevokeReply(base::Now now, Session &s,
                         const Result<wire::Reply> &r) {
  if (!ok(r)) {
    if (s.RevokeCount < MaxRevokes)
      sendRevoke(now, s);
    else
      retryOrFail(now, s, answerLost());
    return;
  }
  if (s.Call)
    onCallReply(now, s, r);
  else
    onStartReply(now, s, r);
}

void Core::retryOrFail(base::Now now, Session &s, Refusal why) {
  s.MayHaveRun = s.MayHaveRun || why.Outcome == Verdict::MayHaveRun;
  const bool isBehind =
      why.Reason == Reason::BundleBehind || why.Reason == Reason::SenderBehind;
  if (isBehind && s.BackoffCount < MaxBackoffs) {
    backOff(now, s, why);
    return;
  }
  const bool isRepeatable =
      s.Generation ? s.Generation->Repeatable : s.Call->Repeatable;
  const bool isSafe =
      why.Outcome == Verdict::NotRun ||
      (why.Outcome == Verdict::MayHaveRun && isRepeatable && s.NextIndex == 0);
  // Only the owner may run the call, so a retry has no other server to go to.
  const bool hasOneOwner = s.Call && !s.Call->Repeatable;
  const bool isFinal = why.Reason == Reason::Cancelled ||
                       why.Reason == Reason::UnknownOrganisation;
  if (!isSafe || hasOneOwner || isFinal || s.AttemptCount >= MaxAttempts) {
    failSession(now, s, why);
    return;
  }
  if (Options.Enabled.LimitRetries && !Budget.tryRetry()) {
    failSession(now, s, why);
    return;
  }
  logEvent("entry.retry",
           fmt::format("retry request={} verdict={} reason={}", s.RequestId,
                       toString(why.Outcome), toString(why.Reason)));
  s.TriedServers.push_back(s.Server);
  unfollowStream(s);
  startAttempt(now, s);
}

void Core::backOff(base::Now now, Session &s, Refusal why) {
  ++s.BackoffCount;
  --s.AttemptCount;
  s.State = Phase::Backoff;
  s.RetryAt = now.Steady + BackoffDelay;
  logEvent("entry.retry", fmt::format("wait request={} reason={}", s.RequestId,
                                      toString(why.Reason)));
}

void Core::onAttachReply(base::Now now, Session &s,
                         const Result<wire::Reply> &r) {
  const auto id = wire::parseRequestId(s.RequestId);
  const bool isOtherIncarnation =
      ok(r) && value(r).incarnation() != value(id).Incarnation;
  if (isOtherIncarnation) {
    // The tokens were lost with the previous incarnation.
    failSession(now, s, {Verdict::MayHaveRun, Reason::OtherIncarnation, {}});
    return;
  }
  if (ok(r) && value(r).has_accepted()) {
    followStream(now, s);
    return;
  }
  if (ok(r) && value(r).has_refused()) {
    failSession(now, s, wire::fromWire(value(r).refused()));
    return;
  }
  // The generation itself continues; the caller can resume it later.
  failSession(now, s,
              {Verdict::MayHaveRun, Reason::BackendServerLost, RetryAfterBusy});
}

void Core::onCancelReply(base::Now now, Session &s,
                         const Result<wire::Reply> &r) {
  if (ok(r) && value(r).has_accepted()) {
    wire::CallReply done;
    done.set_status(204);
    Output.push_back(AnswerSession{s.Id, std::move(done)});
    closeSession(s.Id);
    return;
  }
  if (ok(r) && value(r).has_refused()) {
    failSession(now, s, wire::fromWire(value(r).refused()));
    return;
  }
  failSession(now, s,
              {Verdict::MayHaveRun, Reason::AnswerLost, RetryAfterBusy});
}

} // namespace drumlanding::entry
