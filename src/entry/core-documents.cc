// Peers: heartbeats, and documents that travel with them. An accepted bundle
// reaches everyone this way also while the key-value service is down.
#include "drumlanding/entry/core.h"

#include "drumlanding/entry/members.h"
#include "entry-constants.h"

#include <fmt/format.h>

namespace drumlanding::entry {

using base::Reason;
using base::Result;
using base::Verdict;

void Core::on(base::Now now, VmsListed &e) {
  for (const std::string &name :
       Peers->list(now.Steady, e.Vms, Options.Place)) {
    note("entry.members", "gone from the platform's list: " + name);
    Out.push_back(ForgetPeer{name});
  }
  if (const auto bundle = Documents.bundle())
    Peers->measure(*bundle, Options.Place);
}

void Core::on(base::Now now, DocumentRead &e) {
  takeDocument(now, e.Kind, e.Body, "the key-value service");
}

void Core::takeDocument(base::Now now, wire::DocumentKind kind,
                        std::string_view body, std::string_view from) {
  std::string why;
  const plan::Offer offer = Documents.offer(now.Wall, kind, body, &why);
  if (offer == plan::Offer::Invalid)
    note("entry.document", fmt::format("refused a {} from {}: {}",
                                       plan::toString(kind), from, why));
  if (offer != plan::Offer::Taken)
    return;
  const wire::Versions versions = Documents.versions();
  note("entry.document",
       fmt::format("in force: {} version={} from {}", plan::toString(kind),
                   kind == wire::BUNDLE ? versions.bundle() : versions.plan(),
                   from));
  if (kind != wire::BUNDLE)
    return;
  const auto bundle = Documents.bundle();
  OrganisationOfCredential.clear();
  for (const bundle::Organisation &o : bundle->Organisations)
    OrganisationOfCredential[o.CredentialHash] = o.Name;
  Peers->measure(*bundle, Options.Place);
}

void Core::syncAll(base::Now now) {
  for (Member *member : Peers->subset()) {
    if (member->SyncPending || now.Steady < member->NextSync)
      continue;
    member->SyncPending = true;
    member->NextSync =
        now.Steady + (member->isAgent() ? SyncEvery : SyncEntriesEvery);
    wire::Request request;
    request.mutable_sync()->set_listed_leaving(member->Vm.IsLeaving);
    request.mutable_sync()->set_known_models(member->Report.models_digest());
    send(member->Vm.Name, std::move(request), {MessageKind::Sync, 0, "", ""},
         SyncLimit);
  }
}

void Core::compareVersions(base::Now, const std::string &peer,
                           const wire::Versions &theirs) {
  Member *member = Peers->find(peer);
  if (!member)
    return;
  member->Versions = theirs;
  if (member->DocumentPending || !Options.On.SpreadDocuments)
    return;
  const wire::Versions ours = Documents.versions();
  const auto fetch = [&](wire::DocumentKind kind) {
    wire::Request request;
    request.mutable_fetch()->set_kind(kind);
    member->DocumentPending = true;
    send(peer, std::move(request), {MessageKind::Fetch, 0, "", "", kind},
         DocumentLimit);
  };
  const auto push = [&](wire::DocumentKind kind) {
    wire::Request request;
    wire::Document &document = *request.mutable_push()->mutable_document();
    document.set_kind(kind);
    document.set_body(Documents.body(kind));
    member->DocumentPending = true;
    send(peer, std::move(request), {MessageKind::Push, 0, "", "", kind},
         DocumentLimit);
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
    takeDocument(now, sent.Document, value(r).document().body(), sent.Peer);
  if (!value(r).has_report())
    return;
  wire::Report report = value(r).report();
  if (report.models_digest() == member->Report.models_digest())
    *report.mutable_models() = member->Report.models();
  member->Report = std::move(report);
  member->ReportedAt = now.Steady;
  member->SentSince = 0;
}

void Core::on(base::Now now, PeerAsked &e) {
  wire::Reply reply;
  const wire::Request &m = e.Message;
  if (m.has_push())
    takeDocument(now, m.push().document().kind(), m.push().document().body(),
                 m.sender());
  if (m.has_fetch()) {
    wire::Document &document = *reply.mutable_document();
    document.set_kind(m.fetch().kind());
    document.set_body(Documents.body(m.fetch().kind()));
  } else if (m.has_push() || m.has_sync()) {
    reply.mutable_report();
  } else {
    wire::Refused &refused = *reply.mutable_refused();
    refused.set_verdict(static_cast<std::uint32_t>(Verdict::NotRun));
    refused.set_reason(static_cast<std::uint32_t>(Reason::MalformedRequest));
  }
  *reply.mutable_versions() = Documents.versions();
  Out.push_back(ReplyToPeer{e.Reply, std::move(reply)});
  compareVersions(now, m.sender(), m.versions());
}

} // namespace drumlanding::entry
