// Sessions: validating requests, opening and ending sessions, and dispatching
// replies.
#include "drumlanding/entry/core.h"

#include "drumlanding/base/invariant.h"
#include "drumlanding/entry/members.h"
#include "drumlanding/wire/request-id.h"
#include "entry-constants.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::entry {

using base::Reason;
using base::Refusal;
using base::Verdict;

Core::Core(CoreOptions options)
    : Options(std::move(options)), Documents(Options.Trusted),
      Peers(std::make_unique<Members>(Options.Name, Options.SubsetSize)),
      Routing(Options.Routing), Random(Options.Seed),
      Budget(RetryRatio, RetryBurst) {}

Core::~Core() = default;

void Core::logEvent(std::string_view component,
                    const std::string &message) const {
  if (Options.LogDecision)
    Options.LogDecision(component, message);
}

void Core::count(std::string_view metric, std::string_view label,
                 std::string_view value, double by) const {
  if (Options.IncrementMetric)
    Options.IncrementMetric(metric, label, value, by);
}

bool Core::isReady() const {
  return Documents.bundle() != nullptr && !IsLeaving;
}

Commands Core::handle(base::Now now, Event event) {
  Output.clear();
  std::visit([&](auto &e) { on(now, e); }, event);
  return std::move(Output);
}

MessageId Core::send(const std::string &peer, wire::Request request,
                     SentMessage sent, base::milliseconds timeout) {
  const Member *member = Peers->find(peer);
  if (!member)
    return 0;
  const MessageId id = NextMessage++;
  request.set_sender(Options.Name);
  *request.mutable_versions() = Documents.versions();
  sent.Peer = peer;
  PendingMessages.emplace(id, std::move(sent));
  Output.push_back(
      SendMessage{id, peer, member->Vm.Control, std::move(request), timeout});
  return id;
}

const bundle::Organisation *Core::authorise(SessionId id,
                                            const std::string &credential) {
  const auto bundle = Documents.bundle();
  if (!bundle || IsLeaving) {
    const Reason why = IsLeaving ? Reason::Leaving : Reason::NotReady;
    Output.push_back(
        RefuseSession{id, {Verdict::NotRun, why, RetryAfterNotReady}});
    return nullptr;
  }
  const auto it =
      OrganisationByCredentialHash.find(bundle::credentialHash(credential));
  if (it != OrganisationByCredentialHash.end())
    return bundle->organisation(it->second);
  Output.push_back(
      RefuseSession{id, {Verdict::NotRun, Reason::UnknownOrganisation, {}}});
  return nullptr;
}

Core::Session *Core::openSession(base::Now now, SessionId id,
                                 const bundle::Organisation &o) {
  if (!Limits.tryOpen(now.Steady, o)) {
    count("drumlanding_refusals_total", "reason",
          toString(Reason::OrganisationLimit));
    Output.push_back(RefuseSession{
        id,
        {Verdict::NotRun, Reason::OrganisationLimit, Limits.retryAfter(o)}});
    return nullptr;
  }
  Session &s = Sessions[id];
  s.Id = id;
  s.Organisation = o.Name;
  s.RequestedAt = now.Steady;
  s.Deadline = now.Steady + StartTimeout;
  return &s;
}

Refusal Core::checkGeneration(const GenerationRequested &e,
                              const bundle::Organisation &o) const {
  const auto bundle = Documents.bundle();
  const bundle::Model *model = bundle->model(e.Model);
  const auto has = [](const std::vector<std::string> &names,
                      const std::string &name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  const bool isKnown = model &&
                       (e.Version.empty() || has(model->Versions, e.Version)) &&
                       (e.Adapter.empty() || has(model->Adapters, e.Adapter));
  if (!isKnown)
    return {Verdict::NotRun, Reason::UnknownModel, {}};
  if (!has(o.Contract.Models, e.Model))
    return {Verdict::NotRun, Reason::NotAllowed, {}};
  if (e.Prompt.size() > bundle->Limits.MaxBodyBytes ||
      estimatePromptTokens(e.Prompt) > bundle->Limits.MaxPromptTokens)
    return {Verdict::NotRun, Reason::BodyTooLarge, {}};
  return {};
}

Refusal Core::checkCall(base::Now now, const CallRequested &e,
                        const bundle::Organisation &o) const {
  const auto bundle = Documents.bundle();
  const bundle::Service *service = bundle->service(e.Service);
  if (!service || service->Kind != bundle::ServiceKind::Plain)
    return {Verdict::NotRun, Reason::UnknownService, {}};
  const auto &allowed = o.Contract.Services;
  if (std::find(allowed.begin(), allowed.end(), e.Service) == allowed.end())
    return {Verdict::NotRun, Reason::NotAllowed, {}};
  if (e.Body.size() > bundle->Limits.MaxBodyBytes)
    return {Verdict::NotRun, Reason::BodyTooLarge, {}};
  // An agent accepts a key for a limited time after its timestamp and keeps the
  // record of the call slightly longer. A key with a future timestamp could be
  // accepted after its record was discarded.
  if (!e.Repeatable && (e.Key.empty() || e.KeyTime > now.Wall + MaxClockSkew))
    return {Verdict::NotRun, Reason::MalformedRequest, {}};
  return {};
}

void Core::on(base::Now now, GenerationRequested &e) {
  const bundle::Organisation *o = authorise(e.Session, e.Credential);
  if (!o)
    return;
  if (const Refusal why = checkGeneration(e, *o); why.Reason != Reason::None) {
    Output.push_back(RefuseSession{e.Session, why});
    return;
  }
  Session *s = openSession(now, e.Session, *o);
  if (!s)
    return;
  const auto bundle = Documents.bundle();
  e.MaxTokens = std::min(e.MaxTokens, bundle->Limits.MaxOutputTokens);
  s->Generation = std::move(e);
  Budget.recordFirstAttempt();
  startAttempt(now, *s);
}

void Core::on(base::Now now, CallRequested &e) {
  const bundle::Organisation *o = authorise(e.Session, e.Credential);
  if (!o)
    return;
  if (const Refusal why = checkCall(now, e, *o); why.Reason != Reason::None) {
    Output.push_back(RefuseSession{e.Session, why});
    return;
  }
  Session *s = openSession(now, e.Session, *o);
  if (!s)
    return;
  s->Call = std::move(e);
  s->Deadline = now.Steady + CallTimeout + MaxRevokes * ReplyTimeout;
  Budget.recordFirstAttempt();
  startAttempt(now, *s);
}

void Core::on(base::Now now, ResumeRequested &e) {
  const bundle::Organisation *o = authorise(e.Session, e.Credential);
  if (!o)
    return;
  const auto id = wire::parseRequestId(e.RequestId);
  const Refusal notFound{Verdict::NotRun, Reason::NotFound, {}};
  if (!ok(id) || !Peers->find(value(id).Server)) {
    Output.push_back(RefuseSession{e.Session, notFound});
    return;
  }
  Session *s = openSession(now, e.Session, *o);
  if (!s)
    return;
  s->State = Phase::Attaching;
  s->RequestId = e.RequestId;
  s->AttemptId = e.RequestId;
  s->Server = value(id).Server;
  s->NextIndex = e.NextIndex;
  wire::Request request;
  request.mutable_attach()->set_request_id(s->RequestId);
  request.mutable_attach()->set_organisation(s->Organisation);
  send(s->Server, std::move(request),
       {.Kind = MessageKind::Attach,
        .Session = s->Id,
        .AttemptId = s->AttemptId},
       ReplyTimeout);
}

void Core::on(base::Now now, CancelRequested &e) {
  const bundle::Organisation *o = authorise(e.Session, e.Credential);
  if (!o)
    return;
  const auto id = wire::parseRequestId(e.RequestId);
  if (!ok(id) || !Peers->find(value(id).Server)) {
    Output.push_back(
        RefuseSession{e.Session, {Verdict::NotRun, Reason::NotFound, {}}});
    return;
  }
  Session *s = openSession(now, e.Session, *o);
  if (!s)
    return;
  s->State = Phase::Cancelling;
  s->RequestId = e.RequestId;
  s->AttemptId = e.RequestId;
  s->Server = value(id).Server;
  wire::Request request;
  request.mutable_cancel()->set_request_id(s->RequestId);
  request.mutable_cancel()->set_organisation(s->Organisation);
  send(s->Server, std::move(request),
       {.Kind = MessageKind::Cancel,
        .Session = s->Id,
        .AttemptId = s->AttemptId},
       ReplyTimeout);
}

void Core::on(base::Now, SessionClosed &e) { closeSession(e.Session); }

void Core::on(base::Now, LeaveRequested &) {
  IsLeaving = true;
  logEvent("entry.drain",
           fmt::format("leaving: {} sessions open", Sessions.size()));
}

void Core::failSession(base::Now, Session &s, Refusal why) {
  if (s.MayHaveRun && why.Outcome == Verdict::NotRun)
    why.Outcome = Verdict::MayHaveRun;
  base::invariant(base::Invariant::NotRunIsProven,
                  why.Outcome != Verdict::NotRun || s.NextIndex == 0 ||
                      !s.Generation,
                  s.RequestId);
  count("drumlanding_refusals_total", "reason", toString(why.Reason));
  logEvent("entry.end",
           fmt::format("end request={} verdict={} reason={}", s.RequestId,
                       toString(why.Outcome), toString(why.Reason)));
  if (s.HasBegun)
    Output.push_back(EndStream{s.Id, why});
  else
    Output.push_back(RefuseSession{s.Id, why});
  closeSession(s.Id);
}

void Core::closeSession(SessionId id) {
  const auto it = Sessions.find(id);
  if (it == Sessions.end())
    return;
  unfollowStream(it->second);
  Limits.close(it->second.Organisation);
  Sessions.erase(it);
}

void Core::checkSessions(base::Now now) {
  std::vector<SessionId> due;
  for (const auto &[id, s] : Sessions)
    if ((s.State == Phase::Backoff && now.Steady >= s.RetryAt) ||
        (s.State != Phase::Streaming && now.Steady >= s.Deadline))
      due.push_back(id);
  for (SessionId id : due) {
    Session &s = Sessions.at(id);
    if (now.Steady >= s.Deadline)
      failSession(
          now, s,
          {s.State == Phase::Backoff ? Verdict::NotRun : Verdict::MayHaveRun,
           Reason::AnswerLost, RetryAfterNotReady});
    else
      startAttempt(now, s);
  }
}

void Core::on(base::Now now, Tick &) {
  pollAll(now);
  if (now.Steady - LastCheckAt < CheckInterval)
    return;
  LastCheckAt = now.Steady;
  syncAll(now);
  checkSessions(now);
}

void Core::on(base::Now now, ReplyArrived &e) {
  const auto node = PendingMessages.extract(e.Message);
  if (node.empty())
    return;
  const SentMessage &sent = node.mapped();
  if (ok(e.Reply)) {
    if (Member *member = Peers->find(sent.Peer))
      member->Incarnation = value(e.Reply).incarnation();
    reconcileVersions(now, sent.Peer, value(e.Reply).versions());
  }
  switch (sent.Kind) {
  case MessageKind::Poll:
    onPollReply(now, sent, e.Message, e.Reply);
    return;
  case MessageKind::Sync:
  case MessageKind::Fetch:
  case MessageKind::Push:
    onDocumentReply(now, sent, e.Reply);
    return;
  default:
    break;
  }
  const auto it = Sessions.find(sent.Session);
  // The session has ended, or the reply belongs to an earlier attempt.
  if (it == Sessions.end() || it->second.AttemptId != sent.AttemptId)
    return;
  Session &s = it->second;
  switch (sent.Kind) {
  case MessageKind::Start:
    onStartReply(now, s, e.Reply);
    return;
  case MessageKind::Call:
    onCallReply(now, s, e.Reply);
    return;
  case MessageKind::Revoke:
    onRevokeReply(now, s, e.Reply);
    return;
  case MessageKind::Attach:
    onAttachReply(now, s, e.Reply);
    return;
  case MessageKind::Cancel:
    onCancelReply(now, s, e.Reply);
    return;
  default:
    return;
  }
}

} // namespace drumlanding::entry
