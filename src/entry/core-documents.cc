// Peers: heartbeats and the exchange of documents with peers. An accepted
// bundle reaches every peer this way even while the key-value service is down.
#include "drumlanding/entry/core.h"

#include "drumlanding/entry/members.h"
#include "drumlanding/wire/refusal.h"
#include "entry-constants.h"

#include <fmt/format.h>

namespace drumlanding::entry {

using base::Reason;
using base::Result;
using base::Verdict;

void Core::on(base::Now now, VmsListed &e) {
  for (const std::string &name :
       Peers->applyList(now.Steady, e.Vms, Options.Place)) {
    logEvent("entry.members",
             "peer removed (not in the platform's list, no recent report): " +
                 name);
    Output.push_back(DisconnectPeer{name});
  }
  if (const auto bundle = Documents.bundle())
    Peers->updateDistances(*bundle, Options.Place);
}

void Core::on(base::Now now, DocumentRead &e) {
  wire::Document document;
  document.set_kind(e.Kind);
  document.set_body(e.Body);
  applyDocument(now, document, "the key-value service");
}

void Core::applyDocument(base::Now now, const wire::Document &document,
                         std::string_view from) {
  const wire::DocumentKind kind = document.kind();
  std::string why;
  const plan::OfferResult offer =
      Documents.offerPacked(now.Wall, document, &why);
  // When a delta does not apply, request the full document next time.
  if (Member *member = Peers->find(from))
    member->NeedsFullDocument =
        offer == plan::OfferResult::Invalid && document.base_version() != 0;
  if (offer == plan::OfferResult::Invalid)
    logEvent("entry.document", fmt::format("refused a {} from {}: {}",
                                           plan::toString(kind), from, why));
  if (offer != plan::OfferResult::Taken)
    return;
  const wire::Versions versions = Documents.versions();
  logEvent(
      "entry.document",
      fmt::format("applied {} version={} from {}", plan::toString(kind),
                  kind == wire::BUNDLE ? versions.bundle() : versions.plan(),
                  from));
  if (kind != wire::BUNDLE)
    return;
  const auto bundle = Documents.bundle();
  OrganisationByCredentialHash.clear();
  for (const bundle::Organisation &o : bundle->Organisations)
    OrganisationByCredentialHash[o.CredentialHash] = o.Name;
  Peers->updateDistances(*bundle, Options.Place);
}

void Core::syncAll(base::Now now) {
  for (Member *member : Peers->subset()) {
    if (member->SyncPending || now.Steady < member->NextSyncAt)
      continue;
    member->SyncPending = true;
    member->NextSyncAt = now.Steady + (member->isAgent() ? AgentSyncInterval
                                                         : EntrySyncInterval);
    wire::Request request;
    request.mutable_sync()->set_listed_leaving(member->Vm.IsLeaving);
    request.mutable_sync()->set_known_models(member->Report.models_digest());
    send(member->Vm.Name, std::move(request), {.Kind = MessageKind::Sync},
         SyncTimeout);
  }
}

void Core::reconcileVersions(base::Now, const std::string &peer,
                             const wire::Versions &theirs) {
  Member *member = Peers->find(peer);
  if (!member)
    return;
  member->Versions = theirs;
  if (member->DocumentPending || !Options.Enabled.PropagateDocuments)
    return;
  const wire::Versions ours = Documents.versions();
  const auto fetch = [&](wire::DocumentKind kind) {
    wire::Request request;
    request.mutable_fetch()->set_kind(kind);
    if (kind == wire::BUNDLE && !member->NeedsFullDocument)
      request.mutable_fetch()->set_base_version(ours.bundle());
    member->DocumentPending = true;
    send(peer, std::move(request),
         {.Kind = MessageKind::Fetch, .Document = kind}, DocumentTimeout);
  };
  const auto push = [&](wire::DocumentKind kind) {
    wire::Request request;
    // When the peer did not apply this version as a delta, push it in full.
    const std::uint64_t base =
        member->PushedBundleVersion == ours.bundle() ? 0 : theirs.bundle();
    if (kind == wire::BUNDLE)
      member->PushedBundleVersion = ours.bundle();
    *request.mutable_push()->mutable_document() = Documents.pack(kind, base);
    member->DocumentPending = true;
    send(peer, std::move(request),
         {.Kind = MessageKind::Push, .Document = kind}, DocumentTimeout);
  };
  if (theirs.bundle() > ours.bundle())
    fetch(wire::BUNDLE);
  else if (theirs.bundle() < ours.bundle())
    push(wire::BUNDLE);
  else if (theirs.plan() > ours.plan())
    fetch(wire::PLAN);
  else if (theirs.plan() < ours.plan())
    push(wire::PLAN);
}

void Core::onDocumentReply(base::Now now, const SentMessage &sent,
                           const Result<wire::Reply> &r) {
  Member *member = Peers->find(sent.Peer);
  if (!member)
    return;
  if (sent.Kind == MessageKind::Sync)
    member->SyncPending = false;
  else
    member->DocumentPending = false;
  if (!ok(r))
    return;
  if (value(r).has_document())
    applyDocument(now, value(r).document(), sent.Peer);
  if (!value(r).has_report())
    return;
  wire::Report report = value(r).report();
  if (report.models_digest() == member->Report.models_digest())
    *report.mutable_models() = member->Report.models();
  member->Report = std::move(report);
  member->ReportedAt = now.Steady;
  member->SentSinceReport = 0;
}

void Core::on(base::Now now, PeerRequestArrived &e) {
  wire::Reply reply;
  const wire::Request &m = e.Message;
  if (m.has_push())
    applyDocument(now, m.push().document(), m.sender());
  if (m.has_fetch()) {
    *reply.mutable_document() =
        Documents.pack(m.fetch().kind(), m.fetch().base_version());
  } else if (m.has_push() || m.has_sync()) {
    reply.mutable_report();
  } else {
    *reply.mutable_refused() =
        wire::toWire({Verdict::NotRun, Reason::MalformedRequest, {}});
  }
  *reply.mutable_versions() = Documents.versions();
  Output.push_back(ReplyToPeer{e.ReplyId, std::move(reply)});
  reconcileVersions(now, m.sender(), m.versions());
}

} // namespace drumlanding::entry
