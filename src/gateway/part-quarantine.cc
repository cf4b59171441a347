#include "drumlanding/gateway/part-quarantine.h"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace drumlanding::gateway {
namespace {

/// Parts that are remembered as served. Twice as many at most, of some 40 bytes
/// each.
constexpr std::size_t MaxServedParts = 2'048;
/// Full messages to other gateways tell of parts with this many ends.
constexpr std::size_t MinReportedEnds = 2;
/// Bounds the delay of a trial.
constexpr std::size_t MaxBackoffSteps = 6;

/// Identifies an end of a server, which may restart under its id.
using EndKey = std::tuple<std::string, base::milliseconds, std::uint32_t>;

EndKey keyOf(const CountedEnd &end) {
  return {end.Server.Id, end.Server.StartedAt, end.Occurrence};
}

/// A part, with the ends that no better explanation covers.
struct Candidate {
  const SuspectEvidence *Evidence = nullptr;
  std::vector<CountedEnd> Unexplained;

  bool isBetterThan(const Candidate &other) const {
    if (Evidence->HasBeenServed != other.Evidence->HasBeenServed)
      return !Evidence->HasBeenServed;
    return Unexplained.size() > other.Unexplained.size();
  }

  bool covers(const std::set<EndKey> &ends) const {
    return countShared(ends) == ends.size();
  }

  std::size_t countShared(const std::set<EndKey> &ends) const {
    return static_cast<std::size_t>(std::count_if(
        Unexplained.begin(), Unexplained.end(),
        [&](const CountedEnd &end) { return ends.contains(keyOf(end)); }));
  }
};

std::set<EndKey> keysOf(std::span<const CountedEnd> ends) {
  std::set<EndKey> keys;
  for (const CountedEnd &end : ends)
    keys.insert(keyOf(end));
  return keys;
}

std::vector<base::Instant> sortedTimes(std::span<const CountedEnd> ends) {
  std::vector<base::Instant> times;
  for (const CountedEnd &end : ends)
    times.push_back(end.ObservedAt);
  std::sort(times.begin(), times.end());
  return times;
}

/// Returns how many of the parts may be the cause of as many of the ends as
/// suffice for blame, `best` included.
std::size_t countRivals(std::span<const Candidate> candidates,
                        const Candidate &best, const std::set<EndKey> &ends) {
  return static_cast<std::size_t>(std::count_if(
      candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return candidate.Evidence->HasBeenServed ==
                   best.Evidence->HasBeenServed &&
               candidate.countShared(ends) >= PartQuarantine::MaxEndedServers;
      }));
}

/// Returns how many of the times are not within CommonCauseTime of an earlier
/// one that counts.
std::size_t countOccasions(std::span<const base::Instant> times) {
  std::size_t n = 0;
  base::Instant last{};
  for (const base::Instant at : times) {
    if (n > 0 && at - last < PartQuarantine::CommonCauseTime)
      continue;
    ++n;
    last = at;
  }
  return n;
}

base::Duration trialDelay(std::size_t ends) {
  base::Duration delay = PartQuarantine::FirstTrialDelay;
  const std::size_t further =
      std::min(ends - PartQuarantine::MaxUncertainEnds, MaxBackoffSteps);
  for (std::size_t i = 0; i < further; ++i)
    delay *= PartQuarantine::TrialBackoff;
  return delay;
}

using EvidenceList = std::vector<const SuspectEvidence *>;

/// Returns the time from which the ends of all other organisations are known:
/// of each the latest are kept.
base::Instant othersKnownSince(const std::string &organisation,
                               const EvidenceList &organisations) {
  base::Instant since{};
  for (const SuspectEvidence *other : organisations)
    if (other->Organisation != organisation &&
        other->Ends.size() == Quarantine::MaxEnds)
      since = std::max(since, sortedTimes(other->Ends).front());
  return since;
}

/// Returns whether another organisation had a request on each of the servers:
/// it may have ended them, whatever the parts of its prompts.
bool isSharedByAnother(const Candidate &candidate,
                       const EvidenceList &organisations) {
  return std::any_of(
      organisations.begin(), organisations.end(),
      [&](const SuspectEvidence *other) {
        if (other->Organisation == candidate.Evidence->Organisation)
          return false;
        const std::set<EndKey> keys = keysOf(other->Ends);
        return std::all_of(
            candidate.Unexplained.begin(), candidate.Unexplained.end(),
            [&](const CountedEnd &end) { return keys.contains(keyOf(end)); });
      });
}

/// Returns whether the part may be blamed: no other organisation may be the
/// cause of its ends. Drops the ends for which this is not known any more.
bool mayBeBlamed(Candidate &candidate, const EvidenceList &organisations) {
  const base::Instant since =
      othersKnownSince(candidate.Evidence->Organisation, organisations);
  std::erase_if(candidate.Unexplained,
                [&](const CountedEnd &end) { return end.ObservedAt < since; });
  return candidate.Unexplained.size() >= PartQuarantine::MaxEndedServers &&
         !isSharedByAnother(candidate, organisations);
}

/// Removes the ends that are explained, and the candidates that have too few
/// others.
void removeExplained(std::vector<Candidate> &candidates,
                     const std::set<EndKey> &explained) {
  for (Candidate &candidate : candidates)
    std::erase_if(candidate.Unexplained, [&](const CountedEnd &end) {
      return explained.contains(keyOf(end));
    });
  std::erase_if(candidates, [](const Candidate &candidate) {
    return candidate.Unexplained.size() < PartQuarantine::MaxEndedServers;
  });
}

} // namespace

void ServedParts::record(const RequestFingerprint &part, base::Instant at) {
  base::Instant &latest = Recent.try_emplace(part, at).first->second;
  latest = std::max(latest, at);
  if (Recent.size() < MaxServedParts)
    return;
  Older = std::move(Recent);
  Recent.clear();
}

std::optional<base::Instant>
ServedParts::find(const RequestFingerprint &part) const {
  for (const Map *parts : {&Recent, &Older})
    if (const auto it = parts->find(part); it != parts->end())
      return it->second;
  return std::nullopt;
}

PartQuarantine::PartQuarantine(base::Random random) : Evidence(random) {}

/// Adds to the evidence that the part was served, if this gateway knows so.
void PartQuarantine::noteServed(base::Instant now,
                                const RequestFingerprint &part) {
  if (const auto at = Served.find(part))
    Evidence.recordServed(now, part, *at);
}

void PartQuarantine::recordEnd(base::Instant now,
                               const UnansweredPrompt &unanswered) {
  const std::string &organisation = unanswered.Organisation;
  UnansweredRequest request;
  request.Organisation = organisation;
  request.Server = unanswered.Server;
  request.SentAt = unanswered.SentAt;
  request.Kind = unanswered.Kind;
  // No part has an empty id.
  request.Fingerprint = makePartFingerprint(organisation, "");
  Evidence.recordEnd(now, request);
  for (const std::string &part : unanswered.Parts) {
    request.Fingerprint = makePartFingerprint(organisation, part);
    request.Part = part;
    Evidence.recordEnd(now, request);
    noteServed(now, request.Fingerprint);
  }
}

void PartQuarantine::recordHarmless(base::Instant now,
                                    const RequestFingerprint &part,
                                    base::Instant beganAt) {
  Served.record(part, beganAt);
  if (!FirstServedAt)
    FirstServedAt = now;
  if (Evidence.isEmpty())
    return;
  Evidence.recordServed(now, part, beganAt);
  if (isQuarantined(part))
    update(now);
}

void PartQuarantine::recordResponse(base::Instant now,
                                    const ServerInstance &server) {
  if (!Evidence.isEmpty())
    Evidence.recordResponse(now, server);
}

void PartQuarantine::recordVerification(const VerificationResponse &response) {
  Evidence.recordVerification(response);
  update(response.ReceivedAt);
}

void PartQuarantine::recordRefusal(base::Instant now,
                                   const ServerInstance &server) {
  Evidence.recordRefusal(now, server);
}

void PartQuarantine::withdrawOutlived(
    base::Instant now,
    const std::function<bool(const ServerInstance &, base::Instant endAt)>
        &hasOutlived) {
  Evidence.withdrawOutlived(now, hasOutlived);
}

bool PartQuarantine::release(base::Instant now,
                             const RequestFingerprint &part) {
  const bool isKnown = Evidence.release(now, part);
  update(now);
  return isKnown;
}

void PartQuarantine::applyReport(base::Instant now, std::string_view from,
                                 const SuspectReport &report) {
  Evidence.applyReport(now, from, report);
  noteServed(now, report.Fingerprint);
  if (report.IsBlamed)
    BlamedAtPeers[report.Fingerprint] |= report.IsCertain;
}

bool PartQuarantine::isBlamedAnywhere(const RequestFingerprint &part) const {
  return Blamed.contains(part) || BlamedAtPeers.contains(part);
}

bool PartQuarantine::isCertain(const RequestFingerprint &part) const {
  const auto it = Blamed.find(part);
  return it != Blamed.end() && it->second.IsCertain;
}

std::vector<SuspectReport>
PartQuarantine::withVerdicts(std::vector<SuspectReport> reports) const {
  for (SuspectReport &report : reports) {
    report.IsBlamed = isQuarantined(report.Fingerprint);
    report.IsCertain = isCertain(report.Fingerprint);
  }
  return reports;
}

std::vector<SuspectReport>
PartQuarantine::blamedReports(base::Instant now) const {
  std::vector<SuspectReport> reports;
  for (const auto &[part, blame] : Blamed)
    if (auto report = Evidence.findReport(now, part))
      reports.push_back(std::move(*report));
  return withVerdicts(std::move(reports));
}

std::vector<SuspectReport> PartQuarantine::reports(base::Instant now) const {
  return withVerdicts(Evidence.reports(now, MinReportedEnds));
}

std::vector<SuspectReport>
PartQuarantine::takeChangedReports(base::Instant now) {
  return withVerdicts(Evidence.takeChangedReports(now));
}

base::Duration
PartQuarantine::timeUntilTrial(base::Instant now,
                               const RequestFingerprint &part) const {
  const auto it = Blamed.find(part);
  if (it == Blamed.end())
    return base::Duration(0);
  if (it->second.IsCertain)
    return Evidence.timeUntilTrial(now, part);
  return std::max<base::Duration>(it->second.TrialAt - now, base::Duration(0));
}

/// Finds the fewest parts that explain the ends, the best explanation first.
/// Parts that explain the same ends equally well are blamed together.
PartQuarantine::BlameMap PartQuarantine::findCauses(base::Instant now) {
  const std::vector<SuspectEvidence> evidence =
      Evidence.evidence(now, MaxEndedServers);
  updatePending(now, evidence);
  std::erase_if(BlamedAtPeers, [&](const auto &entry) {
    return std::none_of(evidence.begin(), evidence.end(), [&](const auto &e) {
      return e.Fingerprint == entry.first;
    });
  });
  EvidenceList organisations;
  std::vector<Candidate> candidates;
  for (const SuspectEvidence &found : evidence) {
    if (found.Part.empty())
      organisations.push_back(&found);
    else
      candidates.push_back({&found, found.Ends});
  }
  std::erase_if(candidates, [&](Candidate &candidate) {
    return !isBlamedAnywhere(candidate.Evidence->Fingerprint) &&
           !mayBeBlamed(candidate, organisations);
  });
  const bool isLearning = !FirstServedAt || now - *FirstServedAt < LearningTime;
  BlameMap causes;
  while (!candidates.empty()) {
    const Candidate best =
        *std::min_element(candidates.begin(), candidates.end(),
                          [](const Candidate &a, const Candidate &b) {
                            return a.isBetterThan(b);
                          });
    const std::set<EndKey> ends = keysOf(best.Unexplained);
    std::vector<RequestFingerprint> group;
    for (const Candidate &candidate : candidates)
      if (!best.isBetterThan(candidate) && candidate.covers(ends))
        group.push_back(candidate.Evidence->Fingerprint);
    const std::vector<base::Instant> times = sortedTimes(best.Unexplained);
    const auto known = Blamed.find(best.Evidence->Fingerprint);
    const bool wasUncertain = known != Blamed.end() && !known->second.IsCertain;
    const auto atPeers = BlamedAtPeers.find(best.Evidence->Fingerprint);
    const bool isCertainAtPeers =
        atPeers != BlamedAtPeers.end() && atPeers->second;
    const bool mayBeCertain = isCertain(best.Evidence->Fingerprint) ||
                              isCertainAtPeers ||
                              (!isLearning && !wasUncertain);
    const bool isOnlyCause = countRivals(candidates, best, ends) == 1 &&
                             !best.Evidence->HasBeenServed &&
                             countOccasions(times) >= MaxEndedServers;
    if (isOnlyCause && mayBeCertain)
      causes[best.Evidence->Fingerprint] = {true, {}};
    else if (isConfirmed(now, best.Evidence->Fingerprint))
      for (const RequestFingerprint &part : group)
        causes[part] = {false,
                        times.back() + trialDelay(best.Evidence->Ends.size())};
    removeExplained(candidates, ends);
  }
  return causes;
}

/// Keeps since when each part has had MaxUncertainEnds ends without service,
/// whether or not another part explains them for now.
void PartQuarantine::updatePending(base::Instant now,
                                   std::span<const SuspectEvidence> evidence) {
  std::map<RequestFingerprint, base::Instant> pending;
  for (const SuspectEvidence &found : evidence) {
    if (found.Ends.size() < MaxUncertainEnds)
      continue;
    const auto it = PendingSince.find(found.Fingerprint);
    pending[found.Fingerprint] = it == PendingSince.end() ? now : it->second;
  }
  PendingSince = std::move(pending);
}

/// Returns whether a part has gone without service for ConfirmationTime.
bool PartQuarantine::isConfirmed(base::Instant now,
                                 const RequestFingerprint &part) const {
  const auto it = PendingSince.find(part);
  return it != PendingSince.end() && now - it->second >= ConfirmationTime;
}

void PartQuarantine::update(base::Instant now) {
  if (Evidence.isEmpty() && Blamed.empty())
    return;
  const BlameMap before = std::exchange(Blamed, findCauses(now));
  if (!OnChange)
    return;
  const auto notify = [&](std::string_view event,
                          const RequestFingerprint &part, bool isCertain) {
    if (const auto report = Evidence.findReport(now, part))
      OnChange(event, *report, isCertain);
  };
  for (const auto &[part, blame] : before)
    if (!Blamed.contains(part))
      notify("part-released", part, blame.IsCertain);
  for (const auto &[part, blame] : BlameMap(Blamed))
    if (!before.contains(part))
      notify("part-quarantined", part, blame.IsCertain);
}

} // namespace drumlanding::gateway
