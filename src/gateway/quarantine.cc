#include "drumlanding/gateway/quarantine.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// A response this long after an observed silence proves that the server lives
/// on. An earlier one may have been sent before the server's end.
constexpr base::milliseconds SurvivalMargin{300};
/// Time for which a cleared request is remembered, longer than any report of
/// its evidence is on its way.
constexpr base::seconds ClearedRetention{30};
/// Claims of a gateway that has not been heard for this long are void: three
/// messages at one every half second.
constexpr base::milliseconds ClaimTimeout{1'500};
/// Ends of one server that are counted separately, at most.
constexpr std::uint32_t MaxOccurrences = Quarantine::MaxEndedServers;
constexpr std::uint64_t BestRank = 0;
/// Messages to the other gateways that carry a change, in case one is lost.
constexpr int SendsPerChange = 2;

bool isStartTimeKnown(const ServerInstance &server) {
  return server.StartedAt != base::milliseconds(0);
}

bool areStartTimesKnown(const ServerInstance &a, const ServerInstance &b) {
  return isStartTimeKnown(a) && isStartTimeKnown(b);
}

/// Returns true unless the start times show that these are different lives.
bool isSameLife(const ServerInstance &a, const ServerInstance &b) {
  return a.Id == b.Id &&
         (a.StartedAt == b.StartedAt || !areStartTimesKnown(a, b));
}

std::string_view eventFor(Quarantine::State state) {
  switch (state) {
  case Quarantine::State::Clear:
    return "request-cleared";
  case Quarantine::State::Suspect:
    return "request-suspected";
  case Quarantine::State::Quarantined:
    break;
  }
  return "request-quarantined";
}

} // namespace

bool Quarantine::counts(base::Instant now, const Suspect &suspect,
                        const End &end) {
  return !end.IsWithdrawn && now - end.ObservedAt < EvidenceRetention &&
         (!suspect.ClearedAt || end.ObservedAt > *suspect.ClearedAt);
}

std::size_t Quarantine::endCount(base::Instant now, const Suspect &suspect) {
  return static_cast<std::size_t>(
      std::count_if(suspect.Ends.begin(), suspect.Ends.end(),
                    [&](const End &end) { return counts(now, suspect, end); }));
}

Quarantine::State Quarantine::stateOf(base::Instant now,
                                      const Suspect &suspect) {
  const std::size_t ends = endCount(now, suspect);
  if (ends >= MaxEndedServers)
    return State::Quarantined;
  return ends > 0 ? State::Suspect : State::Clear;
}

Quarantine::State
Quarantine::state(base::Instant now,
                  const RequestFingerprint &fingerprint) const {
  const auto it = Suspects.find(fingerprint);
  return it == Suspects.end() ? State::Clear : stateOf(now, it->second);
}

base::Duration
Quarantine::timeUntilTrial(base::Instant now,
                           const RequestFingerprint &fingerprint) const {
  const auto it = Suspects.find(fingerprint);
  if (it == Suspects.end())
    return base::Duration(0);
  std::vector<base::Instant> ends;
  for (const End &end : it->second.Ends)
    if (counts(now, it->second, end))
      ends.push_back(end.ObservedAt);
  if (ends.size() < MaxEndedServers)
    return base::Duration(0);
  // A trial is possible when fewer ends than the maximum are left.
  std::sort(ends.begin(), ends.end());
  return ends[ends.size() - MaxEndedServers] + EvidenceRetention - now;
}

void Quarantine::notifyPeers() {
  MessagesLeft = SendsPerChange;
  if (OnUpdate)
    OnUpdate();
}

void Quarantine::markChanged(base::Instant now, SuspectMap::value_type &entry,
                             std::string_view source) {
  entry.second.SendsLeft = SendsPerChange;
  reportState(now, entry, source);
  notifyPeers();
}

/// Calls OnChange if the request's state has changed since the last call.
void Quarantine::reportState(base::Instant now, SuspectMap::value_type &entry,
                             std::string_view source) {
  Suspect &suspect = entry.second;
  const State state = stateOf(now, suspect);
  if (state == suspect.KnownState)
    return;
  suspect.KnownState = state;
  if (OnChange)
    OnChange(eventFor(state), report(now, entry.first, suspect), source);
}

void Quarantine::recordEnd(base::Instant now,
                           const UnansweredRequest &unanswered) {
  const auto it = Suspects.try_emplace(unanswered.Fingerprint).first;
  Suspect &suspect = it->second;
  suspect.Organisation = unanswered.Organisation;
  suspect.Part = unanswered.Part;
  End end{unanswered.Server, 0, unanswered.Kind, now};
  for (const End &known : suspect.Ends) {
    if (known.Server != unanswered.Server)
      continue;
    // Other copies of the request were on the server when it ended.
    if (!known.IsWithdrawn && unanswered.SentAt <= known.ObservedAt)
      return;
    // The server took the request after its end: it has restarted.
    end.Occurrence = std::max(end.Occurrence, known.Occurrence + 1);
  }
  if (end.Occurrence >= MaxOccurrences || !makeRoom(now, suspect, now))
    return;
  addEnd(suspect, std::move(end));
  markChanged(now, *it, "requests");
  evictExcess(now);
}

void Quarantine::recordServed(base::Instant now,
                              const RequestFingerprint &fingerprint,
                              base::Instant servedAt) {
  const auto it = Suspects.find(fingerprint);
  if (it == Suspects.end() || endCount(now, it->second) == 0)
    return;
  Suspect &suspect = it->second;
  if (suspect.ClearedAt && *suspect.ClearedAt >= servedAt)
    return;
  const bool isFirst = !suspect.ClearedAt.has_value();
  const std::size_t endsBefore = endCount(now, suspect);
  suspect.ClearedAt = servedAt;
  if (isFirst || endCount(now, suspect) < endsBefore)
    markChanged(now, *it, "requests");
}

bool Quarantine::release(base::Instant now,
                         const RequestFingerprint &fingerprint) {
  const auto it = Suspects.find(fingerprint);
  if (it == Suspects.end())
    return false;
  it->second.ClearedAt = now;
  markChanged(now, *it, "operator");
  return true;
}

template <typename Matches>
void Quarantine::withdraw(base::Instant now, Matches matches) {
  for (auto &entry : Suspects) {
    bool isChanged = false;
    for (End &end : entry.second.Ends) {
      if (end.IsWithdrawn || !matches(end))
        continue;
      end.IsWithdrawn = true;
      isChanged = true;
    }
    if (isChanged)
      markChanged(now, entry, "server");
  }
}

/// Makes room for an end at `observedAt` by dropping the oldest one, preferably
/// one that does not count. Returns false if all others are later.
bool Quarantine::makeRoom(base::Instant now, Suspect &suspect,
                          base::Instant observedAt) {
  if (suspect.Ends.size() < MaxEnds)
    return true;
  const auto rank = [&](const End &end) {
    return std::pair(counts(now, suspect, end), end.ObservedAt);
  };
  const auto it = std::min_element(
      suspect.Ends.begin(), suspect.Ends.end(),
      [&](const End &a, const End &b) { return rank(a) < rank(b); });
  if (counts(now, suspect, *it) && it->ObservedAt >= observedAt)
    return false;
  suspect.Ends.erase(it);
  return true;
}

void Quarantine::addEnd(Suspect &suspect, End end) {
  if (end.Kind == EndKind::Silent && !end.IsWithdrawn)
    SilentServers.insert(end.Server.Id);
  suspect.Ends.push_back(std::move(end));
}

void Quarantine::indexSilentServers() {
  SilentServers.clear();
  for (const auto &[fingerprint, suspect] : Suspects)
    for (const End &end : suspect.Ends)
      if (end.Kind == EndKind::Silent && !end.IsWithdrawn)
        SilentServers.insert(end.Server.Id);
}

void Quarantine::recordResponse(base::Instant now,
                                const ServerInstance &server) {
  if (!SilentServers.contains(server.Id))
    return;
  withdraw(now, [&](const End &end) {
    return end.Kind == EndKind::Silent && isSameLife(end.Server, server) &&
           now - end.ObservedAt >= SurvivalMargin;
  });
}

void Quarantine::recordVerification(const VerificationResponse &response) {
  withdraw(response.ReceivedAt, [&](const End &end) {
    if (end.Kind != EndKind::Closed || end.Server.Id != response.Server.Id ||
        response.RequestedAt - end.ObservedAt < MaxExitTime)
      return false;
    if (areStartTimesKnown(end.Server, response.Server))
      return end.Server == response.Server;
    return response.ReceivedAt - end.ObservedAt < MinRestartTime;
  });
}

void Quarantine::recordRefusal(base::Instant now,
                               const ServerInstance &server) {
  for (auto &entry : Suspects) {
    bool isChanged = false;
    for (End &end : entry.second.Ends) {
      if (end.IsConfirmed || end.IsWithdrawn || end.Server != server ||
          end.Kind != EndKind::Closed)
        continue;
      end.IsConfirmed = true;
      isChanged = true;
    }
    if (isChanged)
      markChanged(now, entry, "server");
  }
}

void Quarantine::withdrawOutlived(
    base::Instant now,
    const std::function<bool(const ServerInstance &, base::Instant endAt)>
        &hasOutlived) {
  withdraw(now, [&](const End &end) {
    const bool mayHaveRestarted =
        end.IsConfirmed && !isStartTimeKnown(end.Server);
    // A process that hangs may go on renewing its entry.
    return end.Kind == EndKind::Closed && !mayHaveRestarted &&
           hasOutlived(end.Server, end.ObservedAt);
  });
}

bool Quarantine::claim(base::Instant now,
                       const RequestFingerprint &fingerprint) {
  if (Claims.contains(fingerprint) || bestPeerRank(now, fingerprint))
    return false;
  Claims[fingerprint] = {Random.next() | 1, now};
  notifyPeers();
  return true;
}

Quarantine::ClaimState
Quarantine::claimState(base::Instant now,
                       const RequestFingerprint &fingerprint) {
  const auto it = Claims.find(fingerprint);
  if (it == Claims.end())
    return ClaimState::None;
  OwnClaim &own = it->second;
  if (own.Rank == BestRank)
    return ClaimState::Held;
  const auto other = bestPeerRank(now, fingerprint);
  if (other && *other <= own.Rank) {
    Claims.erase(it);
    return ClaimState::None;
  }
  if (now - own.ClaimedAt < ClaimSettleTime)
    return ClaimState::Settling;
  own.Rank = BestRank;
  return ClaimState::Held;
}

void Quarantine::endClaim(const RequestFingerprint &fingerprint) {
  if (Claims.erase(fingerprint) > 0)
    notifyPeers();
}

std::optional<std::uint64_t>
Quarantine::bestPeerRank(base::Instant now,
                         const RequestFingerprint &fingerprint) const {
  std::optional<std::uint64_t> best;
  for (const auto &[address, claims] : ClaimsByPeer) {
    const auto it = claims.Ranks.find(fingerprint);
    if (it == claims.Ranks.end() || now - claims.HeardAt >= ClaimTimeout)
      continue;
    best = std::min(best.value_or(it->second), it->second);
  }
  return best;
}

std::vector<RunClaim> Quarantine::ownClaims() const {
  std::vector<RunClaim> claims;
  for (const auto &[fingerprint, claim] : Claims)
    claims.push_back({fingerprint, claim.Rank});
  return claims;
}

void Quarantine::applyClaims(base::Instant now, const std::string &from,
                             const std::vector<RunClaim> &claims) {
  if (claims.empty()) {
    ClaimsByPeer.erase(from);
    return;
  }
  PeerClaims &peer = ClaimsByPeer[from];
  peer.HeardAt = now;
  peer.Ranks.clear();
  for (const RunClaim &claim : claims)
    peer.Ranks.emplace(claim.Fingerprint, claim.Rank);
}

SuspectReport Quarantine::report(base::Instant now,
                                 const RequestFingerprint &fingerprint,
                                 const Suspect &suspect) {
  SuspectReport out{fingerprint, suspect.Organisation, suspect.Part, {}, {}};
  for (const End &end : suspect.Ends)
    out.Ends.push_back({end.Server, end.Occurrence, end.Kind,
                        now - end.ObservedAt, end.IsWithdrawn,
                        end.IsConfirmed});
  if (suspect.ClearedAt)
    out.ClearedAge = now - *suspect.ClearedAt;
  return out;
}

std::optional<SuspectReport>
Quarantine::findReport(base::Instant now,
                       const RequestFingerprint &fingerprint) const {
  const auto it = Suspects.find(fingerprint);
  if (it == Suspects.end())
    return std::nullopt;
  return report(now, it->first, it->second);
}

std::vector<SuspectEvidence> Quarantine::evidence(base::Instant now,
                                                  std::size_t minEnds) const {
  std::vector<SuspectEvidence> all;
  for (const auto &[fingerprint, suspect] : Suspects) {
    if (suspect.Ends.size() < minEnds || endCount(now, suspect) < minEnds)
      continue;
    SuspectEvidence found;
    found.Fingerprint = fingerprint;
    found.Organisation = suspect.Organisation;
    found.Part = suspect.Part;
    found.HasBeenServed = suspect.ClearedAt.has_value();
    for (const End &end : suspect.Ends)
      if (counts(now, suspect, end))
        found.Ends.push_back({end.Server, end.Occurrence, end.ObservedAt});
    all.push_back(std::move(found));
  }
  return all;
}

std::vector<SuspectReport> Quarantine::reports(base::Instant now,
                                               std::size_t minEnds) const {
  struct Ranked {
    std::size_t Ends;
    base::Instant LatestAt;
    SuspectMap::const_pointer Entry;
  };
  std::vector<Ranked> ranked;
  for (const auto &entry : Suspects) {
    const Suspect &suspect = entry.second;
    const base::Instant latest =
        suspect.Ends.empty() ? base::Instant{} : suspect.Ends.back().ObservedAt;
    if (suspect.Ends.size() >= minEnds)
      ranked.push_back({endCount(now, suspect), latest, &entry});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
    return std::pair(a.Ends, a.LatestAt) > std::pair(b.Ends, b.LatestAt);
  });
  if (ranked.size() > MaxReports)
    ranked.resize(MaxReports);
  std::vector<SuspectReport> reports;
  for (const Ranked &r : ranked)
    reports.push_back(report(now, r.Entry->first, r.Entry->second));
  return reports;
}

std::vector<SuspectReport> Quarantine::takeChangedReports(base::Instant now) {
  std::vector<SuspectReport> reports;
  for (auto &[fingerprint, suspect] : Suspects) {
    if (suspect.SendsLeft == 0)
      continue;
    if (reports.size() == MaxReports) {
      MessagesLeft = SendsPerChange;
      break;
    }
    reports.push_back(report(now, fingerprint, suspect));
    --suspect.SendsLeft;
  }
  if (--MessagesLeft > 0 && OnUpdate)
    OnUpdate();
  MessagesLeft = std::max(MessagesLeft, 0);
  return reports;
}

void Quarantine::applyReport(base::Instant now, std::string_view from,
                             const SuspectReport &reported) {
  const auto it = Suspects.try_emplace(reported.Fingerprint).first;
  Suspect &suspect = it->second;
  suspect.Organisation = reported.Organisation;
  suspect.Part = reported.Part;
  if (reported.ClearedAge) {
    const base::Instant clearedAt = now - *reported.ClearedAge;
    suspect.ClearedAt =
        std::max(suspect.ClearedAt.value_or(clearedAt), clearedAt);
  }
  for (const EndReport &end : reported.Ends) {
    const auto known = std::find_if(
        suspect.Ends.begin(), suspect.Ends.end(), [&](const End &e) {
          return e.Server == end.Server && e.Occurrence == end.Occurrence;
        });
    if (known != suspect.Ends.end()) {
      known->IsWithdrawn |= end.IsWithdrawn;
      known->IsConfirmed |= end.IsConfirmed;
    } else if (makeRoom(now, suspect, now - end.Age)) {
      addEnd(suspect, {end.Server, end.Occurrence, end.Kind, now - end.Age,
                       end.IsWithdrawn, end.IsConfirmed});
    }
  }
  reportState(now, *it, from);
  evictExcess(now);
}

/// Evicts the requests with the fewest ends, the oldest first.
void Quarantine::evictExcess(base::Instant now) {
  while (Suspects.size() > MaxSuspects) {
    const auto rank = [&](const SuspectMap::value_type &entry) {
      const Suspect &suspect = entry.second;
      return std::pair(endCount(now, suspect),
                       suspect.Ends.empty() ? base::Instant{}
                                            : suspect.Ends.back().ObservedAt);
    };
    const auto it = std::min_element(
        Suspects.begin(), Suspects.end(),
        [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    Suspects.erase(it);
  }
}

void Quarantine::evict(base::Instant now) {
  std::erase_if(ClaimsByPeer, [&](const auto &entry) {
    return now - entry.second.HeardAt >= ClaimTimeout;
  });
  for (auto &entry : Suspects) {
    reportState(now, entry, "expiry");
    std::erase_if(entry.second.Ends, [&](const End &end) {
      return !counts(now, entry.second, end) &&
             now - end.ObservedAt >= ClearedRetention;
    });
  }
  std::erase_if(Suspects, [&](const auto &entry) {
    const Suspect &suspect = entry.second;
    if (endCount(now, suspect) > 0)
      return false;
    base::Instant latest = suspect.ClearedAt.value_or(base::Instant{});
    for (const End &end : suspect.Ends)
      latest = std::max(latest, end.ObservedAt);
    return now - latest >= ClearedRetention;
  });
  indexSilentServers();
}

std::size_t Quarantine::count(base::Instant now, State state) const {
  return static_cast<std::size_t>(
      std::count_if(Suspects.begin(), Suspects.end(), [&](const auto &entry) {
        return stateOf(now, entry.second) == state;
      }));
}

} // namespace drumlanding::gateway
