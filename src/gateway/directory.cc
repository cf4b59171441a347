#include "drumlanding/gateway/directory.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace drumlanding::gateway {
namespace {

/// Weight of the newest outcome in a server's failure part.
constexpr double OutcomeWeight = 0.2;
/// A server that fails more often than this is avoided. Services whose answers
/// fail by themselves stay far below it (the worst known: 0.14).
constexpr double MostFailures = 0.6;
/// An avoided server is tried again after this.
constexpr base::milliseconds AvoidTime{1'500};
/// After a broken answer a server is avoided for this long, twice as long after
/// each further one, and at most for MostAvoidTime: callers' requests are the
/// only trials, since health answers may be wrong.
constexpr base::milliseconds FirstAvoidTime{1'000};
constexpr base::milliseconds MostAvoidTime{8'000};
/// The others are told of a leaving server for so long: ten messages.
constexpr base::seconds TellLeaving{5};
/// BrokenAnswers are forgotten this long after the last time of avoidance, in
/// case that no short request comes as a trial.
constexpr base::milliseconds BrokenAnswersExpiry{10'000};
/// One that could not be reached gets no new work for this long.
constexpr base::milliseconds UnreachableTime{1'000};

base::milliseconds avoidTime(int brokenAnswers) {
  constexpr int MostDoublings = 3;
  const int doublings = std::clamp(brokenAnswers - 1, 0, MostDoublings);
  return std::min(FirstAvoidTime * (1 << doublings), MostAvoidTime);
}

/// True when a later revision of the server is known.
bool isOlder(std::uint64_t revision, const Server &server) {
  return revision != 0 && revision < server.Revision;
}

/// True when both lives are known and `a` ended before `b` began.
bool isEarlierLife(base::milliseconds a, base::milliseconds b) {
  return a.count() > 0 && b.count() > 0 && a < b;
}

} // namespace

int brokenAnswersOf(const Server &server, base::Instant now) {
  return now < server.AvoidUntil + BrokenAnswersExpiry ? server.BrokenAnswers
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

void Directory::changed(std::string_view event, Evidence evidence,
                        const Server &server) const {
  if (OnChange)
    OnChange(event, evidence, server);
}

void Directory::leave(base::Instant now, Server &server, Evidence evidence) {
  server.IsLeavingByAbsence = false;
  if (server.IsLeaving)
    return;
  server.IsLeaving = true;
  server.LeavingSince = now;
  changed("server-leaving", evidence, server);
  if (OnLeaving)
    OnLeaving(server);
}

void Directory::leaveByAbsence(base::Instant now, Server &server,
                               Evidence evidence) {
  if (server.IsLeaving)
    return;
  leave(now, server, evidence);
  server.IsLeavingByAbsence = true;
}

void Directory::markAbsent(Server &server, Evidence evidence) {
  if (server.IsMissing)
    return;
  IsDigestKnown = false;
  server.IsMissing = true;
  changed("server-missing", evidence, server);
}

void Directory::put(base::Instant now, const ListedServer &listed,
                    Evidence evidence) {
  const auto it = Servers.find(listed.Id);
  if (it != Servers.end() && isOlder(listed.Revision, it->second))
    return;
  if (!isListedAs(listed))
    IsDigestKnown = false;
  if (it == Servers.end()) {
    const auto added = Servers.emplace(listed.Id, Server{listed}).first;
    added->second.IsListed = true;
    added->second.ColdUntil = now + listed.ColdLeft;
    added->second.Revision = listed.Revision;
    changed("server-listed", evidence, added->second);
    if (OnUnverified)
      OnUnverified(added->second);
    if (listed.State == ServerState::Leaving)
      leave(now, added->second, evidence);
    return;
  }
  Server &server = it->second;
  if (isEarlierLife(listed.BornAt, server.Listed.BornAt))
    return;
  if (isEarlierLife(server.Listed.BornAt, listed.BornAt))
    restart(server, listed.BornAt, evidence);
  if (server.IsMissing)
    changed("server-listed-again", evidence, server);
  server.IsMissing = false;
  server.IsListed = true;
  if (server.IsLeavingByAbsence && listed.State == ServerState::Ready) {
    server.IsLeaving = false;
    server.IsLeavingByAbsence = false;
    changed("server-back", evidence, server);
  }
  server.Listed = listed;
  server.Revision = listed.Revision;
  server.ColdUntil = now + listed.ColdLeft;
  if (listed.State == ServerState::Leaving)
    leave(now, server, evidence);
}

/// Forgets what was known of the server's life before; requests that are open
/// there still have to end.
void Directory::restart(Server &server, base::milliseconds bornAt,
                        Evidence evidence) {
  Server fresh{server.Listed};
  fresh.Listed.BornAt = bornAt;
  fresh.Listed.State = ServerState::Ready;
  fresh.Revision = server.Revision;
  fresh.IsListed = server.IsListed;
  fresh.IsMissing = server.IsMissing;
  fresh.Open = server.Open;
  server = std::move(fresh);
  IsDigestKnown = false;
  changed("server-restarted", evidence, server);
  if (OnUnverified)
    OnUnverified(server);
}

bool Directory::mayHaveLapsed(base::Instant now) const {
  return now < GraceUntil || now - StoreContactAt >= LapseTime;
}

void Directory::remove(base::Instant now, const GoneServer &gone,
                       Evidence evidence) {
  const auto it = Servers.find(gone.Id);
  if (it == Servers.end() || isOlder(gone.Revision, it->second))
    return;
  it->second.Revision = gone.Revision;
  markAbsent(it->second, evidence);
  if (!mayHaveLapsed(now))
    leaveByAbsence(now, it->second, evidence);
}

void Directory::replaceAll(base::Instant now, const ServerList &list,
                           Evidence evidence) {
  std::set<std::string_view> ids;
  for (const ListedServer &listed : list.Servers) {
    ids.insert(listed.Id);
    put(now, listed, evidence);
  }
  for (const GoneServer &gone : list.Gone) {
    ids.insert(gone.Id);
    remove(now, gone, evidence);
  }
  std::vector<GoneServer> absent;
  // One that was only met is not yet expected in the list.
  for (const auto &[id, server] : Servers)
    if (server.IsListed && !ids.contains(id) &&
        server.Revision <= list.Revision)
      absent.push_back({id, list.Revision});
  for (const GoneServer &gone : absent)
    remove(now, gone, evidence);
}

bool Directory::isListed(std::string_view id) const {
  const Server *known = find(id);
  return known && known->IsListed && !known->IsMissing;
}

bool Directory::isListedAs(const ListedServer &listed) const {
  const Server *known = find(listed.Id);
  return isListed(listed.Id) && known->Listed.State == listed.State &&
         known->Listed.Address == listed.Address &&
         known->Listed.BornAt == listed.BornAt;
}

void Directory::markLeaving(base::Instant now, const ServerLife &life) {
  const auto it = Servers.find(life.Id);
  if (it == Servers.end() ||
      isEarlierLife(life.BornAt, it->second.Listed.BornAt))
    return;
  if (isEarlierLife(it->second.Listed.BornAt, life.BornAt))
    restart(it->second, life.BornAt, Evidence::Gateway);
  leave(now, it->second, Evidence::Gateway);
}

/// Only one server can have an address: whoever else is listed there has ended.
void Directory::replaceOthersAt(base::Instant now, const ListedServer &seen) {
  for (auto &[id, server] : Servers) {
    if (id == seen.Id || server.Listed.Address != seen.Address ||
        server.IsReplaced)
      continue;
    server.IsReplaced = true;
    leave(now, server, Evidence::Address);
  }
}

void Directory::applyNotice(base::Instant now, const ServerNotice &notice) {
  if (notice.Seen.Id.empty())
    return;
  auto it = Servers.find(notice.Seen.Id);
  if (it == Servers.end() && notice.IsLeaving)
    return;
  if (it == Servers.end()) {
    // The list does not hold it yet.
    it = Servers.emplace(notice.Seen.Id, Server{notice.Seen}).first;
    changed("server-met", Evidence::Notice, it->second);
  }
  Server &server = it->second;
  if (isEarlierLife(notice.Seen.BornAt, server.Listed.BornAt))
    return;
  if (isEarlierLife(server.Listed.BornAt, notice.Seen.BornAt))
    restart(server, notice.Seen.BornAt, Evidence::Notice);
  replaceOthersAt(now, notice.Seen);
  if (!notice.IsLeaving)
    return;
  const bool isTimed = notice.LeavesIn.count() > 0;
  if (isTimed && server.GoneAt == base::Instant{})
    server.GoneAt = now + notice.LeavesIn;
  server.IsPlannedLeave = !isTimed;
  leave(now, server, Evidence::Notice);
}

void Directory::markReplaced(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  it->second.IsReplaced = true;
  leave(now, it->second, Evidence::Address);
  if (OnUnverified)
    OnUnverified(it->second);
}

void Directory::noteStoreContact(base::Instant at, base::Instant since) {
  // The reader heard the store all through what looked like an outage here.
  if (GraceUntil != base::Instant{} && since <= OutageFrom) {
    GraceUntil = {};
    SteadySince = std::min(SteadySince, since);
  }
  if (at <= StoreContactAt)
    return;
  const base::Instant before = std::exchange(StoreContactAt, at);
  if (at - before < LapseTime || since <= before)
    return;
  SteadySince = since;
  OutageFrom = before;
  // Without known servers there is nothing that could have lapsed.
  if (Servers.empty())
    return;
  GraceUntil = since + GraceAfterReturn;
  if (before != base::Instant{} && OnOutageOver)
    OnOutageOver(since - before);
}

void Directory::tick(base::Instant now) {
  for (auto it = Servers.begin(); it != Servers.end();) {
    Server &server = it->second;
    if (server.IsMissing && !mayHaveLapsed(now))
      leaveByAbsence(now, server, Evidence::Absence);
    const bool isOver = server.IsLeaving && server.IsMissing &&
                        server.Open == 0 &&
                        now - server.LeavingSince > ForgetAfter;
    it = isOver ? Servers.erase(it) : std::next(it);
  }
}

void Directory::note(base::Instant now, std::string_view id,
                     ServerOutcome outcome) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  Server &server = it->second;
  if (outcome == ServerOutcome::Broken) {
    server.BrokenAnswers = brokenAnswersOf(server, now) + 1;
    server.AvoidUntil = now + avoidTime(server.BrokenAnswers);
    changed("server-avoided", Evidence::Requests, server);
    return;
  }
  if (outcome == ServerOutcome::Served)
    server.BrokenAnswers = 0;
  if (outcome == ServerOutcome::Unreachable) {
    server.AvoidUntil = now + UnreachableTime;
    changed("server-unreachable", Evidence::Requests, server);
    return;
  }
  const double failed = outcome == ServerOutcome::Served ? 0 : 1;
  server.FailurePart += OutcomeWeight * (failed - server.FailurePart);
  if (server.FailurePart < MostFailures)
    return;
  server.AvoidUntil = now + AvoidTime;
  // The next outcomes decide whether it is avoided again.
  server.FailurePart = MostFailures - OutcomeWeight;
  changed("server-avoided", Evidence::Requests, server);
}

void Directory::applyAvoided(base::Instant now, const AvoidedServer &avoided) {
  const auto it = Servers.find(avoided.Id);
  if (it == Servers.end() ||
      avoided.BrokenAnswers <= brokenAnswersOf(it->second, now) ||
      isEarlierLife(avoided.BornAt, it->second.Listed.BornAt))
    return;
  it->second.BrokenAnswers = avoided.BrokenAnswers;
  it->second.AvoidUntil = std::max(it->second.AvoidUntil,
                                   now + std::min(avoided.Left, MostAvoidTime));
  changed("server-avoided", Evidence::Gateway, it->second);
}

std::vector<AvoidedServer> Directory::avoided(base::Instant now) const {
  std::vector<AvoidedServer> avoided;
  for (const auto &[id, server] : Servers)
    if (server.BrokenAnswers > 0 && server.AvoidUntil > now)
      avoided.push_back(
          {id, server.BrokenAnswers,
           base::milliseconds(base::toMs(server.AvoidUntil - now)),
           server.Listed.BornAt});
  return avoided;
}

void Directory::opened(std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end())
    ++it->second.Open;
}

void Directory::closed(std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end() && it->second.Open > 0)
    --it->second.Open;
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
  std::vector<const Server *> well;
  std::vector<const Server *> avoided;
  for (const auto &[id, server] : Servers) {
    if (server.IsLeaving || server.Listed.Service != service)
      continue;
    (now < server.AvoidUntil ? avoided : well).push_back(&server);
  }
  return well.empty() ? avoided : well;
}

ServerList Directory::list() const {
  ServerList list;
  for (const auto &[id, server] : Servers) {
    if (server.IsMissing)
      list.Gone.push_back({id, server.Revision});
    else if (server.IsListed)
      list.Servers.push_back(server.Listed);
  }
  return list;
}

std::vector<ServerLife> Directory::leaving(base::Instant now) const {
  std::vector<ServerLife> lives;
  for (const auto &[id, server] : Servers)
    if (server.IsLeaving && !server.IsLeavingByAbsence && !server.IsMissing &&
        now - server.LeavingSince < TellLeaving)
      lives.push_back({id, server.Listed.BornAt});
  return lives;
}

std::uint64_t Directory::digest() const {
  if (IsDigestKnown)
    return Digest;
  Digest = 0;
  for (const auto &[id, server] : Servers) {
    if (server.IsMissing || !server.IsListed)
      continue;
    const bool isReady = server.Listed.State == ServerState::Ready;
    Digest = base::mix64(Digest, base::hash64(id, isReady ? 1 : 2));
    Digest = base::mix64(
        Digest, static_cast<std::uint64_t>(server.Listed.BornAt.count()));
  }
  IsDigestKnown = true;
  return Digest;
}

} // namespace drumlanding::gateway
