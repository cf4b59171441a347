#include "drumlanding/gateway/directory.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace drumlanding::gateway {
namespace {

/// Weight of the newest outcome in a server's failure rate.
constexpr double OutcomeWeight = 0.2;
/// A server that fails more often than this is ejected. Services that regularly
/// return failures stay far below it (highest known rate: 0.14).
constexpr double MaxFailureRate = 0.6;
/// Ejection time of such a server before it is tried again.
constexpr base::milliseconds FailureRateEjectionTime{1'500};
/// Ejection time after the first incomplete response. It doubles with each
/// further one up to MaxEjectionTime. Only client requests test whether a
/// server has recovered, since its health responses may be wrong.
constexpr base::milliseconds BaseEjectionTime{1'000};
constexpr base::milliseconds MaxEjectionTime{8'000};
/// Time during which a leaving server is announced to the other gateways: ten
/// full-state gossip messages.
constexpr base::seconds LeavingBroadcastTime{5};
/// Time after the last ejection at which incomplete responses expire, in case
/// no short request arrives as a trial.
constexpr base::milliseconds IncompleteResponsesExpiry{10'000};
/// Time for which an unreachable server gets no new requests.
constexpr base::milliseconds UnreachableEjectionTime{1'000};

base::milliseconds ejectionTime(int incompleteResponses) {
  constexpr int MaxDoublings = 3;
  const int doublings = std::clamp(incompleteResponses - 1, 0, MaxDoublings);
  return std::min(BaseEjectionTime * (1 << doublings), MaxEjectionTime);
}

/// Returns true if a later revision of the server is known.
bool isOlder(std::uint64_t revision, const Server &server) {
  return revision != 0 && revision < server.Revision;
}

/// Returns true if both start times are known and `a` is an earlier instance.
bool isEarlierInstance(base::milliseconds a, base::milliseconds b) {
  return a.count() > 0 && b.count() > 0 && a < b;
}

} // namespace

int recentIncompleteResponses(const Server &server, base::Instant now) {
  return now < server.EjectedUntil + IncompleteResponsesExpiry
             ? server.IncompleteResponses
             : 0;
}

std::string_view toString(Evidence evidence) {
  switch (evidence) {
  case Evidence::Store:
    return "store";
  case Evidence::Gateway:
    return "gateway";
  case Evidence::Notice:
    return "notice";
  case Evidence::Address:
    return "address";
  case Evidence::Absence:
    return "absence";
  case Evidence::Requests:
    break;
  }
  return "requests";
}

void Directory::reportChange(std::string_view event, Evidence evidence,
                             const Server &server) const {
  if (OnChange)
    OnChange(event, evidence, server);
}

void Directory::setLeaving(base::Instant now, Server &server,
                           Evidence evidence) {
  server.IsPresumedLeaving = false;
  if (server.IsLeaving)
    return;
  server.IsLeaving = true;
  server.LeavingSince = now;
  reportChange("server-leaving", evidence, server);
  if (OnLeaving)
    OnLeaving(server);
}

void Directory::presumeLeaving(base::Instant now, Server &server,
                               Evidence evidence) {
  if (server.IsLeaving)
    return;
  setLeaving(now, server, evidence);
  server.IsPresumedLeaving = true;
}

void Directory::markAbsent(Server &server, Evidence evidence) {
  if (server.IsMissing)
    return;
  IsDigestCurrent = false;
  server.IsMissing = true;
  reportChange("server-missing", evidence, server);
}

void Directory::put(base::Instant now, const ListedServer &listed,
                    Evidence evidence) {
  const auto it = Servers.find(listed.Id);
  if (it != Servers.end() && isOlder(listed.Revision, it->second))
    return;
  if (!isListedAs(listed))
    IsDigestCurrent = false;
  if (it == Servers.end()) {
    const auto added = Servers.emplace(listed.Id, Server{listed}).first;
    added->second.IsListed = true;
    added->second.ColdUntil = now + listed.ColdRemaining;
    added->second.Revision = listed.Revision;
    reportChange("server-listed", evidence, added->second);
    if (OnUnverified)
      OnUnverified(added->second);
    if (listed.State == ServerState::Leaving)
      setLeaving(now, added->second, evidence);
    return;
  }
  Server &server = it->second;
  if (isEarlierInstance(listed.StartedAt, server.Listed.StartedAt))
    return;
  if (isEarlierInstance(server.Listed.StartedAt, listed.StartedAt))
    restart(server, listed.StartedAt, evidence);
  if (server.IsMissing)
    reportChange("server-listed-again", evidence, server);
  server.IsMissing = false;
  server.IsListed = true;
  if (server.IsPresumedLeaving && listed.State == ServerState::Ready) {
    server.IsLeaving = false;
    server.IsPresumedLeaving = false;
    reportChange("server-back", evidence, server);
  }
  server.Listed = listed;
  server.Revision = listed.Revision;
  server.ColdUntil = now + listed.ColdRemaining;
  if (listed.State == ServerState::Leaving)
    setLeaving(now, server, evidence);
}

/// Resets the state of the server's earlier instance. Open requests are kept
/// because they still have to end.
void Directory::restart(Server &server, base::milliseconds startedAt,
                        Evidence evidence) {
  Server fresh{server.Listed};
  fresh.Listed.StartedAt = startedAt;
  fresh.Listed.State = ServerState::Ready;
  fresh.Revision = server.Revision;
  fresh.IsListed = server.IsListed;
  fresh.IsMissing = server.IsMissing;
  fresh.OpenRequests = server.OpenRequests;
  server = std::move(fresh);
  IsDigestCurrent = false;
  reportChange("server-restarted", evidence, server);
  if (OnUnverified)
    OnUnverified(server);
}

bool Directory::mayHaveExpired(base::Instant now) const {
  return now < GraceUntil || now - StoreContactAt >= ExpiryTime;
}

void Directory::remove(base::Instant now, const RemovedServer &removed,
                       Evidence evidence) {
  const auto it = Servers.find(removed.Id);
  if (it == Servers.end() || isOlder(removed.Revision, it->second))
    return;
  it->second.Revision = removed.Revision;
  markAbsent(it->second, evidence);
  if (!mayHaveExpired(now))
    presumeLeaving(now, it->second, evidence);
}

void Directory::applySnapshot(base::Instant now, const ServerList &list,
                              Evidence evidence) {
  std::set<std::string_view> ids;
  for (const ListedServer &listed : list.Servers) {
    ids.insert(listed.Id);
    put(now, listed, evidence);
  }
  for (const RemovedServer &removed : list.Removed) {
    ids.insert(removed.Id);
    remove(now, removed, evidence);
  }
  std::vector<RemovedServer> absent;
  // A server known only from a notice is not expected in the list yet.
  for (const auto &[id, server] : Servers)
    if (server.IsListed && !ids.contains(id) &&
        server.Revision <= list.Revision)
      absent.push_back({id, list.Revision});
  for (const RemovedServer &removed : absent)
    remove(now, removed, evidence);
}

bool Directory::isListed(std::string_view id) const {
  const Server *known = find(id);
  return known && known->IsListed && !known->IsMissing;
}

bool Directory::isListedAs(const ListedServer &listed) const {
  const Server *known = find(listed.Id);
  return isListed(listed.Id) && known->Listed.State == listed.State &&
         known->Listed.Address == listed.Address &&
         known->Listed.StartedAt == listed.StartedAt;
}

void Directory::markLeaving(base::Instant now, const ServerInstance &instance) {
  const auto it = Servers.find(instance.Id);
  if (it == Servers.end() ||
      isEarlierInstance(instance.StartedAt, it->second.Listed.StartedAt))
    return;
  if (isEarlierInstance(it->second.Listed.StartedAt, instance.StartedAt))
    restart(it->second, instance.StartedAt, Evidence::Gateway);
  setLeaving(now, it->second, Evidence::Gateway);
}

/// Marks all other servers at the entry's address as replaced. Only one server
/// can use an address, so the others have ended.
void Directory::replaceOthersAt(base::Instant now, const ListedServer &entry) {
  for (auto &[id, server] : Servers) {
    if (id == entry.Id || server.Listed.Address != entry.Address ||
        server.IsReplaced)
      continue;
    server.IsReplaced = true;
    setLeaving(now, server, Evidence::Address);
  }
}

void Directory::applyNotice(base::Instant now, const ServerNotice &notice) {
  if (notice.Entry.Id.empty())
    return;
  auto it = Servers.find(notice.Entry.Id);
  if (it == Servers.end() && notice.IsLeaving)
    return;
  if (it == Servers.end()) {
    // The list does not contain the server yet.
    it = Servers.emplace(notice.Entry.Id, Server{notice.Entry}).first;
    reportChange("server-met", Evidence::Notice, it->second);
  }
  Server &server = it->second;
  if (isEarlierInstance(notice.Entry.StartedAt, server.Listed.StartedAt))
    return;
  if (isEarlierInstance(server.Listed.StartedAt, notice.Entry.StartedAt))
    restart(server, notice.Entry.StartedAt, Evidence::Notice);
  replaceOthersAt(now, notice.Entry);
  if (!notice.IsLeaving)
    return;
  const bool isTimed = notice.LeavesIn.count() > 0;
  if (isTimed && server.ShutdownAt == base::Instant{})
    server.ShutdownAt = now + notice.LeavesIn;
  server.IsPlannedLeave = !isTimed;
  setLeaving(now, server, Evidence::Notice);
}

void Directory::markReplaced(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  it->second.IsReplaced = true;
  setLeaving(now, it->second, Evidence::Address);
  if (OnUnverified)
    OnUnverified(it->second);
}

void Directory::recordStoreContact(base::Instant readAt,
                                   base::Instant stableSince) {
  // The reader had contact with the store throughout the time that this gateway
  // took for an outage, so there was none.
  if (GraceUntil != base::Instant{} && stableSince <= OutageStart) {
    GraceUntil = {};
    StoreStableSince = std::min(StoreStableSince, stableSince);
  }
  if (readAt <= StoreContactAt)
    return;
  const base::Instant previousContact = std::exchange(StoreContactAt, readAt);
  if (readAt - previousContact < ExpiryTime || stableSince <= previousContact)
    return;
  StoreStableSince = stableSince;
  OutageStart = previousContact;
  // Without known servers, no entry can have expired.
  if (Servers.empty())
    return;
  GraceUntil = stableSince + OutageGrace;
  if (previousContact != base::Instant{} && OnOutageEnd)
    OnOutageEnd(stableSince - previousContact);
}

void Directory::tick(base::Instant now) {
  for (auto it = Servers.begin(); it != Servers.end();) {
    Server &server = it->second;
    if (server.IsMissing && !mayHaveExpired(now))
      presumeLeaving(now, server, Evidence::Absence);
    const bool canForget = server.IsLeaving && server.IsMissing &&
                           server.OpenRequests == 0 &&
                           now - server.LeavingSince > RemovedServerRetention;
    it = canForget ? Servers.erase(it) : std::next(it);
  }
}

void Directory::recordOutcome(base::Instant now, std::string_view id,
                              ServerOutcome outcome) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  Server &server = it->second;
  if (outcome == ServerOutcome::Incomplete) {
    server.IncompleteResponses = recentIncompleteResponses(server, now) + 1;
    server.EjectedUntil = now + ejectionTime(server.IncompleteResponses);
    reportChange("server-avoided", Evidence::Requests, server);
    return;
  }
  if (outcome == ServerOutcome::Served)
    server.IncompleteResponses = 0;
  if (outcome == ServerOutcome::Unreachable) {
    server.EjectedUntil = now + UnreachableEjectionTime;
    reportChange("server-unreachable", Evidence::Requests, server);
    return;
  }
  const double failed = outcome == ServerOutcome::Served ? 0 : 1;
  server.FailureRate += OutcomeWeight * (failed - server.FailureRate);
  if (server.FailureRate < MaxFailureRate)
    return;
  server.EjectedUntil = now + FailureRateEjectionTime;
  // The next outcomes decide whether the server is ejected again.
  server.FailureRate = MaxFailureRate - OutcomeWeight;
  reportChange("server-avoided", Evidence::Requests, server);
}

void Directory::applyEjection(base::Instant now, const EjectedServer &ejected) {
  const auto it = Servers.find(ejected.Id);
  if (it == Servers.end() ||
      ejected.IncompleteResponses <=
          recentIncompleteResponses(it->second, now) ||
      isEarlierInstance(ejected.StartedAt, it->second.Listed.StartedAt))
    return;
  it->second.IncompleteResponses = ejected.IncompleteResponses;
  it->second.EjectedUntil =
      std::max(it->second.EjectedUntil,
               now + std::min(ejected.Remaining, MaxEjectionTime));
  reportChange("server-avoided", Evidence::Gateway, it->second);
}

void Directory::recordResponse(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end())
    it->second.LastResponseAt = now;
}

std::vector<EjectedServer> Directory::ejected(base::Instant now) const {
  std::vector<EjectedServer> ejected;
  for (const auto &[id, server] : Servers)
    if (server.IncompleteResponses > 0 && server.EjectedUntil > now)
      ejected.push_back(
          {id, server.IncompleteResponses,
           base::milliseconds(base::toMs(server.EjectedUntil - now)),
           server.Listed.StartedAt});
  return ejected;
}

void Directory::requestStarted(std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end())
    ++it->second.OpenRequests;
}

void Directory::requestEnded(std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end() && it->second.OpenRequests > 0)
    --it->second.OpenRequests;
}

bool Directory::hasOutlived(base::Instant now, const ServerInstance &instance,
                            base::Instant endAt) const {
  // An entry expires after three missed renewals; its removal is known some
  // time later.
  constexpr int Renewals = 5;
  const Server *server = find(instance.Id);
  return server && server->IsListed && !server->IsMissing &&
         server->Listed.StartedAt == instance.StartedAt &&
         now - endAt >= Renewals * (ExpiryTime / MissedRenewals) &&
         now - StoreContactAt < ExpiryTime && StoreStableSince <= endAt;
}

const Server *Directory::find(std::string_view id) const {
  const auto it = Servers.find(id);
  return it == Servers.end() ? nullptr : &it->second;
}

std::vector<const Server *> Directory::all() const {
  std::vector<const Server *> all;
  for (const auto &[id, server] : Servers)
    all.push_back(&server);
  return all;
}

std::vector<const Server *> Directory::usable(base::Instant now,
                                              std::string_view service) const {
  std::vector<const Server *> healthy;
  std::vector<const Server *> ejected;
  for (const auto &[id, server] : Servers) {
    if (server.IsLeaving || server.Listed.Service != service)
      continue;
    // The list tells the service of each server and arrives soon; a notice only
    // has the service that the sidecar was set up for.
    if (!server.IsListed && !mayHaveExpired(now))
      continue;
    (now < server.EjectedUntil ? ejected : healthy).push_back(&server);
  }
  return healthy.empty() ? ejected : healthy;
}

ServerList Directory::list() const {
  ServerList list;
  for (const auto &[id, server] : Servers) {
    if (server.IsMissing)
      list.Removed.push_back({id, server.Revision});
    else if (server.IsListed)
      list.Servers.push_back(server.Listed);
  }
  return list;
}

std::vector<ServerInstance> Directory::leaving(base::Instant now) const {
  std::vector<ServerInstance> instances;
  for (const auto &[id, server] : Servers)
    if (server.IsLeaving && !server.IsPresumedLeaving && !server.IsMissing &&
        now - server.LeavingSince < LeavingBroadcastTime)
      instances.push_back({id, server.Listed.StartedAt});
  return instances;
}

std::uint64_t Directory::digest() const {
  if (IsDigestCurrent)
    return Digest;
  Digest = 0;
  for (const auto &[id, server] : Servers) {
    if (server.IsMissing || !server.IsListed)
      continue;
    const bool isReady = server.Listed.State == ServerState::Ready;
    Digest = base::mix64(Digest, base::hash64(id, isReady ? 1 : 2));
    Digest = base::mix64(
        Digest, static_cast<std::uint64_t>(server.Listed.StartedAt.count()));
  }
  IsDigestCurrent = true;
  return Digest;
}

} // namespace drumlanding::gateway
