#include "drumlanding/agent/core.h"

#include "call-table.h"
#include "drumlanding/base/hash.h"
#include "drumlanding/base/invariant.h"
#include "drumlanding/wire/refusal.h"
#include "generation-table.h"

#include <algorithm>
#include <fmt/format.h>

namespace drumlanding::agent {
namespace {

using base::Invariant;
using base::invariant;
using base::milliseconds;
using base::Reason;
using base::Refusal;
using base::seconds;
using base::Verdict;

constexpr milliseconds ShortRetryDelay{200};
constexpr milliseconds NotReadyRetryDelay{1'000};
/// Maximum clock difference between two VMs.
constexpr seconds MaxClockSkew{5};
/// Time after which a new bundle is in force on every process; follows from the
/// users' propagation target.
constexpr seconds MaxBundlePropagation{11};
/// Interval after which a load command without effect is sent again.
constexpr seconds LoadRetryInterval{20};
/// Generations still on the engine this long before the VM is reclaimed are
/// failed, so that callers receive the reason in time.
constexpr milliseconds ReclaimMargin{500};

bool isModelLoaded(const std::vector<plan::LoadedModel> &models,
                   const wire::Start &start) {
  return std::any_of(
      models.begin(), models.end(), [&](const plan::LoadedModel &m) {
        const bool hasAdapter = start.adapter().empty() ||
                                std::find(m.Adapters.begin(), m.Adapters.end(),
                                          start.adapter()) != m.Adapters.end();
        return m.Model == start.model() && hasAdapter &&
               (start.version().empty() || m.Version == start.version());
      });
}

} // namespace

std::string ownerOfKey(const std::vector<std::string> &servers,
                       std::string_view key) {
  const std::uint64_t keyHash = base::hash64(key);
  std::string owner;
  std::uint64_t highestRank = 0;
  for (const std::string &server : servers) {
    const std::uint64_t rank = base::mix64(keyHash, base::hash64(server));
    if (!owner.empty() && rank <= highestRank)
      continue;
    owner = server;
    highestRank = rank;
  }
  return owner;
}

Core::Core(CoreOptions options)
    : Options(std::move(options)), Documents(Options.Trusted),
      Generations(std::make_unique<GenerationTable>(Options, Out)),
      Calls(std::make_unique<CallTable>(Options, Out)),
      ServiceServersSince(Options.StartedAt) {}

Core::~Core() = default;

void Core::logDecision(std::string_view component,
                       const std::string &message) const {
  if (Options.LogDecision)
    Options.LogDecision(component, message);
}

ServerState Core::serverState() const { return Lifecycle.state(); }
SchedulerLoad Core::load() const { return Generations->load(); }

bool Core::hasWork() const {
  return Generations->openCount() > 0 || Calls->openCount() > 0;
}

Commands Core::handle(base::Now now, Event event) {
  Out.clear();
  std::visit([&](auto &e) { on(now, e); }, event);
  updateServerState();
  for (Command &command : Out)
    if (auto *send = std::get_if<SendReply>(&command)) {
      send->Message.set_incarnation(Options.Incarnation);
      *send->Message.mutable_versions() = Documents.versions();
    }
  return std::move(Out);
}

void Core::reply(ReplyId id, wire::Reply message) {
  Out.push_back(SendReply{id, std::move(message)});
}

void Core::refuse(ReplyId id, const Refusal &refusal) {
  reply(id, wire::refusedReply(refusal));
}

void Core::on(base::Now now, RequestArrived &e) {
  const wire::Request &m = e.Message;
  switch (m.body_case()) {
  case wire::Request::kStart:
    start(now, e.Reply, m);
    return;
  case wire::Request::kPoll:
    Generations->poll(now, e.Reply, m);
    return;
  case wire::Request::kRevoke:
    if (m.revoke().attempt().empty())
      Generations->revoke(now, e.Reply, m.revoke().request_id());
    else
      Calls->revoke(now, e.Reply, m.revoke());
    return;
  case wire::Request::kAttach:
    Generations->attach(now, e.Reply, m.attach());
    return;
  case wire::Request::kCancel:
    Generations->cancel(now, e.Reply, m.cancel());
    return;
  case wire::Request::kCall:
    call(now, e.Reply, m);
    return;
  case wire::Request::kSync:
    sync(now, e.Reply, m.sync());
    return;
  case wire::Request::kPush:
    handleDocument(now, m.push().document());
    sync(now, e.Reply, wire::Sync());
    return;
  case wire::Request::kFetch: {
    wire::Reply message;
    *message.mutable_document() =
        Documents.pack(m.fetch().kind(), m.fetch().base_version());
    reply(e.Reply, std::move(message));
    return;
  }
  case wire::Request::BODY_NOT_SET:
    break;
  }
  refuse(e.Reply, {Verdict::NotRun, Reason::MalformedRequest, {}});
}

/// Returns the refusal for a new request, with Reason::None if it is admitted.
Refusal Core::admissionRefusal(base::Now now,
                               const wire::Request &message) const {
  const bool isStart = message.has_start();
  const std::int64_t notAfter =
      isStart ? message.start().not_after_ms() : message.call().not_after_ms();
  if (now.Wall.time_since_epoch().count() > notAfter)
    return {Verdict::NotRun, Reason::Expired, {}};
  if (!Documents.bundle() || Lifecycle.state() == ServerState::Starting)
    return {Verdict::NotRun, Reason::NotReady, NotReadyRetryDelay};
  const bool isLeaving = Lifecycle.state() == ServerState::Leaving ||
                         Lifecycle.state() == ServerState::Drained;
  if (isLeaving && Options.Enabled.RefuseWhenLeaving)
    return {Verdict::NotRun, Reason::Leaving, ShortRetryDelay};
  // Both sides must have the same bundle. The side with the lower version
  // fetches the newer document before the request is sent again.
  const std::uint64_t theirs = message.versions().bundle();
  const std::uint64_t ours = Documents.versions().bundle();
  if (theirs > ours)
    return {Verdict::NotRun, Reason::BundleBehind, ShortRetryDelay};
  if (theirs < ours)
    return {Verdict::NotRun, Reason::SenderBehind, ShortRetryDelay};
  if (!ServerAlive)
    return {Verdict::NotRun, Reason::NoBackendServer, NotReadyRetryDelay};
  return {};
}

void Core::start(base::Now now, ReplyId id, const wire::Request &message) {
  const wire::Start &start = message.start();
  if (Generations->contains(start.request_id()) &&
      Options.Enabled.RememberRequests) {
    Generations->replyToDuplicate(id, start.request_id());
    return;
  }
  const bool isOtherIncarnation =
      start.incarnation() != 0 && start.incarnation() != Options.Incarnation;
  if (isOtherIncarnation && Options.Enabled.CheckIncarnation) {
    refuse(id,
           {Verdict::MayHaveRun, Reason::OtherIncarnation, ShortRetryDelay});
    return;
  }
  Refusal refusal = admissionRefusal(now, message);
  const auto bundle = Documents.bundle();
  const bundle::Organisation *organisation =
      bundle ? bundle->organisation(start.organisation()) : nullptr;
  JobSpec spec;
  if (refusal.Reason == Reason::None && !organisation)
    refusal = {Verdict::NotRun, Reason::UnknownOrganisation, {}};
  if (refusal.Reason == Reason::None && !isModelLoaded(Models, start))
    refusal = {Verdict::NotRun, Reason::UnknownModel, NotReadyRetryDelay};
  if (refusal.Reason == Reason::None) {
    const bundle::Contract &contract = organisation->Contract;
    spec = {
        start.organisation(),  lengthClass(start.organisation(), start.model()),
        contract.Priority,     contract.Share,
        contract.StallWeight,  contract.GapWeight,
        start.prompt_tokens(), start.max_tokens(),
        contract.MaxQueueWait};
    const milliseconds wait = Generations->predictedWait(spec);
    if (wait > contract.MaxQueueWait)
      refusal = {Verdict::NotRun, Reason::Overloaded, wait};
  }
  if (refusal.Reason != Reason::None) {
    logDecision("agent.admit",
                fmt::format("refuse request={} reason={}", start.request_id(),
                            toString(refusal.Reason)));
    Generations->recordTombstone(now, start.request_id());
    refuse(id, refusal);
    return;
  }
  const bool isLeaving = Lifecycle.state() == ServerState::Leaving ||
                         Lifecycle.state() == ServerState::Drained;
  invariant(Invariant::NoWorkWhenLeaving, !isLeaving, start.request_id());
  Generations->start(now, id, start, spec);
}

void Core::call(base::Now now, ReplyId id, const wire::Request &message) {
  const wire::Call &call = message.call();
  const bool isKnown =
      Calls->contains(call.request_id()) && Options.Enabled.RememberRequests;
  if (!isKnown) {
    Refusal refusal = admissionRefusal(now, message);
    const bool isOwner =
        call.repeatable() ||
        ownerOfKey(ServiceServers, call.request_id()) == Options.Server;
    if (refusal.Reason == Reason::None && !isOwner)
      refusal = {Verdict::NotRun, Reason::WrongOwner, ShortRetryDelay};
    if (refusal.Reason != Reason::None) {
      Calls->refuseAndTombstone(now, id, call.attempt(), refusal);
      return;
    }
  }
  Calls->call(now, id, call, ServiceServersSince + MaxClockSkew);
}

void Core::sync(base::Now now, ReplyId id, const wire::Sync &message) {
  if (message.listed_leaving() && !IsListedLeaving) {
    IsListedLeaving = true;
    logDecision("agent.drain",
                "leaving: marked as leaving in the platform's server list");
  }
  applyDocuments(now);
  wire::Reply answer;
  *answer.mutable_report() = report(message.known_models());
  reply(id, std::move(answer));
}

void Core::handleDocument(base::Now now, const wire::Document &document) {
  std::string why;
  const plan::OfferResult offer =
      Documents.offerPacked(now.Wall, document, &why);
  logDecision("agent.document",
              fmt::format("received {}: {} {}", plan::toString(document.kind()),
                          plan::toString(offer), why));
  if (offer == plan::OfferResult::Taken)
    applyDocuments(now);
}

void Core::applyDocuments(base::Now now) {
  const auto bundle = Documents.bundle();
  if (!bundle)
    return;
  IsDrainingInBundle = bundle->isDraining(Options.Server);
  const bundle::Service *service = bundle->service(Options.Service);
  if (service && service->Servers != ServiceServers) {
    // Until the new server list is in force everywhere, calls with keys that
    // this server now owns may have run on another server.
    if (!ServiceServers.empty())
      ServiceServersSince = now.Wall + MaxBundlePropagation;
    ServiceServers = service->Servers;
  }
  const auto plan = Documents.plan();
  const plan::Assignment *assignment =
      plan ? plan->assignment(Options.Server) : nullptr;
  if (!assignment || !ServerAlive)
    return;
  invariant(Invariant::VersionNeverFalls, plan->Version >= LoadedFence,
            "load command to the engine");
  const bool isNew = plan->Version > LoadedFence;
  const bool isOverdue = now.Steady - LastLoadAt > LoadRetryInterval;
  if (assignment->Models == Models || (!isNew && !isOverdue))
    return;
  LoadedFence = plan->Version;
  LastLoadAt = now.Steady;
  logDecision("agent.place",
              fmt::format("load models={} fence={}", assignment->Models.size(),
                          LoadedFence));
  Out.push_back(LoadOnEngine{LoadedFence, assignment->Models});
}

void Core::updateServerState() {
  const bool shouldLeave =
      IsLeaveRequested || IsListedLeaving || IsDrainingInBundle;
  const ServerState before = Lifecycle.state();
  if (before == ServerState::Starting && Documents.bundle() && ServerAlive)
    Lifecycle.apply(ServerEvent::Ready);
  const ServerState current = Lifecycle.state();
  const bool isLeaving =
      current == ServerState::Leaving || current == ServerState::Drained;
  if (shouldLeave && !isLeaving)
    Lifecycle.apply(ServerEvent::Leave);
  if (!shouldLeave && isLeaving)
    Lifecycle.apply(ServerEvent::CancelLeave);
  if (Lifecycle.state() == ServerState::Leaving && !hasWork())
    Lifecycle.apply(ServerEvent::Drain);
  if (Lifecycle.state() != before)
    logDecision("agent.drain", fmt::format("state {} -> {}", toString(before),
                                           toString(Lifecycle.state())));
}

void Core::on(base::Now now, TokensArrived &e) {
  Generations->onTokens(now, e);
}

void Core::on(base::Now now, EngineStreamEnded &e) {
  Generations->onStreamEnded(now, e);
}

void Core::on(base::Now now, CallEnded &e) { Calls->onCallEnded(now, e); }

void Core::on(base::Now now, ServerObserved &e) {
  if (ServerAlive && !e.IsAlive) {
    logDecision(
        "agent.engine",
        "backend server stopped responding; failing its open generations");
    Generations->onServerLost(now);
  }
  if (!ServerAlive && e.IsAlive)
    LoadedFence = 0; // A restarted engine has loaded no models of the plan.
  ServerAlive = e.IsAlive;
  Models = e.Models;
  if (e.CapacityTokens > 0)
    Generations->setCapacity(e.CapacityTokens);
  applyDocuments(now);
}

void Core::on(base::Now, StepObserved &e) { Generations->recordStep(e); }

void Core::on(base::Now now, LeaveRequested &e) {
  IsLeaveRequested = true;
  ReclaimDeadline = e.Deadline;
  if (ReclaimDeadline)
    Generations->failForReclaim(now, false);
}

void Core::on(base::Now now, Tick &) {
  if (ReclaimDeadline && now.Steady + ReclaimMargin >= *ReclaimDeadline)
    Generations->failForReclaim(now, true);
  Generations->tick(now, ServerAlive);
  Calls->tick(now);
}

wire::Report Core::report(std::uint64_t knownModels) const {
  wire::Report report;
  const SchedulerLoad load = Generations->load();
  report.set_running(load.Running +
                     static_cast<std::uint32_t>(Calls->openCount()));
  report.set_waiting(load.Waiting);
  report.set_used_tokens(load.UsedTokens);
  report.set_capacity_tokens(load.CapacityTokens);
  report.set_predicted_wait_ms(
      static_cast<std::uint32_t>(load.PredictedWait.count()));
  report.set_leaving(Lifecycle.state() != ServerState::Serving);
  for (const plan::LoadedModel &m : Models) {
    report.add_models(m.Model + "@" + m.Version);
    for (const std::string &adapter : m.Adapters)
      report.add_models(m.Model + "@" + m.Version + "+" + adapter);
  }
  std::uint64_t digest = 1;
  for (const std::string &name : report.models())
    digest = base::hash64(name, digest);
  report.set_models_digest(digest);
  if (digest == knownModels)
    report.clear_models();
  return report;
}

} // namespace drumlanding::agent
