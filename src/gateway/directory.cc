#include "drumlanding/gateway/directory.h"

#include <algorithm>
#include <set>

namespace drumlanding::gateway {
namespace {

/// Weight of the newest outcome in a server's failure part.
constexpr double OutcomeWeight = 0.2;
/// A server that fails more often than this is avoided. Services whose answers
/// fail by themselves stay far below it (the worst known: 0.14).
constexpr double MostFailures = 0.6;
/// An avoided server is tried again after this.
constexpr base::milliseconds AvoidTime{1'500};
/// One that could not be reached gets no new work for this long.
constexpr base::milliseconds UnreachableTime{1'000};

} // namespace

void Directory::changed(std::string_view event, const Server &server) const {
  if (OnChange)
    OnChange(event, server);
}

void Directory::leave(base::Instant now, Server &server) {
  if (server.IsLeaving)
    return;
  server.IsLeaving = true;
  server.LeavingSince = now;
  changed("server-leaving", server);
  if (OnLeaving)
    OnLeaving(server);
}

void Directory::put(base::Instant now, const ListedServer &listed) {
  const auto it = Servers.find(listed.Id);
  if (it == Servers.end()) {
    const auto added = Servers.emplace(listed.Id, Server{listed}).first;
    changed("server-listed", added->second);
    if (listed.State == ServerState::Leaving)
      leave(now, added->second);
    return;
  }
  Server &server = it->second;
  if (server.IsMissing)
    changed("server-listed-again", server);
  server.IsMissing = false;
  server.Listed = listed;
  if (listed.State == ServerState::Leaving)
    leave(now, server);
}

bool Directory::isGraceTime(base::Instant now) const {
  return IsStoreAway || (StoreBackAt != base::Instant{} &&
                         now - StoreBackAt < GraceAfterReturn);
}

void Directory::remove(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  Server &server = it->second;
  if (!server.IsMissing)
    changed("server-missing", server);
  server.IsMissing = true;
  if (!isGraceTime(now))
    leave(now, server);
}

void Directory::replaceAll(base::Instant now,
                           const std::vector<ListedServer> &servers) {
  std::set<std::string_view> ids;
  for (const ListedServer &listed : servers) {
    ids.insert(listed.Id);
    put(now, listed);
  }
  std::vector<std::string> missing;
  for (const auto &[id, server] : Servers)
    if (!ids.contains(id))
      missing.push_back(id);
  for (const std::string &id : missing)
    remove(now, id);
}

void Directory::markLeaving(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it != Servers.end())
    leave(now, it->second);
}

void Directory::noticeLeaving(base::Instant now, const base::Endpoint &address,
                              base::milliseconds leavesIn) {
  for (auto &[id, server] : Servers) {
    if (server.Listed.Address != address || server.IsMissing ||
        server.IsReplaced)
      continue;
    if (leavesIn.count() > 0 && server.GoneAt == base::Instant{})
      server.GoneAt = now + leavesIn;
    server.IsPlannedLeave = leavesIn.count() == 0;
    leave(now, server);
  }
}

bool Directory::knowsAddress(const base::Endpoint &address) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &entry) {
    const Server &server = entry.second;
    return server.Listed.Address == address && !server.IsMissing &&
           !server.IsReplaced;
  });
}

void Directory::markReplaced(base::Instant now, std::string_view id) {
  const auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  it->second.IsReplaced = true;
  leave(now, it->second);
}

bool Directory::isReplacedAt(const base::Endpoint &address) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &entry) {
    return entry.second.Listed.Address == address && entry.second.IsReplaced;
  });
}

void Directory::storeFailed(base::Instant now) {
  IsStoreAway = true;
  StoreFailedAt = now;
}

void Directory::storeAnswered(base::Instant now) {
  if (IsStoreAway)
    StoreBackAt = now;
  IsStoreAway = false;
}

void Directory::tick(base::Instant now) {
  for (auto it = Servers.begin(); it != Servers.end();) {
    Server &server = it->second;
    if (server.IsMissing && !isGraceTime(now))
      leave(now, server);
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
  if (outcome == ServerOutcome::Unreachable) {
    server.AvoidUntil = now + UnreachableTime;
    changed("server-unreachable", server);
    return;
  }
  const double failed = outcome == ServerOutcome::Served ? 0 : 1;
  server.FailurePart += OutcomeWeight * (failed - server.FailurePart);
  if (server.FailurePart < MostFailures)
    return;
  server.AvoidUntil = now + AvoidTime;
  // The next outcomes decide whether it is avoided again.
  server.FailurePart = MostFailures - OutcomeWeight;
  changed("server-avoided", server);
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

std::vector<ListedServer> Directory::list() const {
  std::vector<ListedServer> servers;
  for (const auto &[id, server] : Servers) {
    if (server.IsMissing)
      continue;
    servers.push_back(server.Listed);
    if (server.IsLeaving)
      servers.back().State = ServerState::Leaving;
  }
  return servers;
}

} // namespace drumlanding::gateway
