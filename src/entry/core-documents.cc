// Peers: heartbeats, and documents that travel with them. An accepted bundle
// reaches everyone this way also while the key-value service is down.
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
       Peers->list(now.Steady, e.Vms, Options.Place)) {
    note("entry.members", "gone from the platform's list: " + name);
    Out.push_back(ForgetPeer{name});
  }
  if (const auto bundle = Documents.bundle())
    Peers->measure(*bundle, Options.Place);
}

void Core::on(base::Now now, DocumentRead &e) {
  wire::Document document;
  document.set_kind(e.Kind);
  document.set_body(e.Body);
  takeDocument(now, document, "the key-value service");
}

void Core::takeDocument(base::Now now, const wire::Document &document,
                        std::string_view from) {
  const wire::DocumentKind kind = document.kind();
  std::string why;
  const plan::Offer offer = Documents.unpack(now.Wall, document, &why);
  // A difference that did not fit: the next one comes whole.
  if (Member *member = Peers->find(from))
    member->WantsWhole =
        offer == plan::Offer::Invalid && document.base_version() != 0;
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
    send(member->Vm.Name, std::move(request), {.Kind = MessageKind::Sync},
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
    if (kind == wire::BUNDLE && !member->WantsWhole)
      request.mutable_fetch()->set_base_version(ours.bundle());
    member->DocumentPending = true;
    send(peer, std::move(request),
         {.Kind = MessageKind::Fetch, .Document = kind}, DocumentLimit);
  };
  const auto push = [&](wire::DocumentKind kind) {
    wire::Request request;
    // A push that the peer did not take is sent whole the next time.
    const std::uint64_t base =
        member->Pushed == ours.bundle() ? 0 : theirs.bundle();
    if (kind == wire::BUNDLE)
      member->Pushed = ours.bundle();
    *request.mutable_push()->mutable_document() = Documents.pack(kind, base);
    member->DocumentPending = true;
    send(peer, std::move(request),
         {.Kind = MessageKind::Push, .Document = kind}, DocumentLimit);
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
    takeDocument(now, value(r).document(), sent.Peer);
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
    takeDocument(now, m.push().document(), m.sender());
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
  Out.push_back(ReplyToPeer{e.Reply, std::move(reply)});
  compareVersions(now, m.sender(), m.versions());
}

} // namespace drumlanding::entry
