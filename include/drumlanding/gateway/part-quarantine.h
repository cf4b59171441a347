/// Part quarantine: finds parts of prompts that end the servers which run them,
/// though no two requests with such a part are alike, and keeps these requests
/// from all servers.
///
///   PartQuarantine q(random);
///   q.recordEnd(now, {organisation, server, sentAt, kind, parts});
///   q.recordHarmless(now, part, beganAt);   // another server has served it
///   q.isQuarantined(now, part);
///
/// A server that ends takes requests with many parts with it, and most of them
/// are innocent. A part is blamed for the ends of servers if no request with it
/// has been served since, and no other part explains these ends better. Parts
/// that were served at some time are the worse explanation.
///
/// The blame is certain if the part was never served, and explains
/// MaxEndedServers ends at different times that no other such part explains.
/// Otherwise it takes more ends, and ConfirmationTime, in which an innocent
/// part would be served; then one request at a time is a trial, at growing
/// intervals.
///
/// Evidence and blame are per organisation: none can have another's requests
/// refused by naming their parts. Nor by ending the servers that run them: a
/// part is not blamed while one other organisation was on all of its ended
/// servers.
#pragma once

#include "drumlanding/gateway/quarantine.h"

#include <span>

namespace drumlanding::gateway {

/// A request that a server did not answer, possibly because it ended.
struct UnansweredPrompt {
  std::string Organisation;
  ServerInstance Server;
  base::Instant SentAt{};
  EndKind Kind = EndKind::Closed;
  /// The ids of the shared parts of its prompt.
  std::span<const std::string> Parts;
};

/// The parts that were served recently, with the latest time; bounded.
class ServedParts {
public:
  void record(const RequestFingerprint &part, base::Instant at);
  std::optional<base::Instant> find(const RequestFingerprint &part) const;

private:
  using Map = std::map<RequestFingerprint, base::Instant>;
  /// Once `Recent` is full it replaces `Older`.
  Map Recent;
  Map Older;
};

class PartQuarantine {
public:
  static constexpr std::size_t MaxEndedServers = Quarantine::MaxEndedServers;
  /// The servers that may end under a part that is not certain to be the cause.
  static constexpr std::size_t MaxUncertainEnds = 5;
  /// A server that has sent events of a generation for this long has not ended
  /// because of it: it ends when it begins to write.
  static constexpr base::milliseconds MinSurvivalTime{1'000};
  /// Short generations take about a second.
  static constexpr base::milliseconds ConfirmationTime{2'500};
  /// Ends within this time may have one cause, such as a failure domain's loss.
  static constexpr base::milliseconds CommonCauseTime{100};
  /// Time from the last end to the first trial of a part that is not certain to
  /// be the cause. Multiplied by TrialBackoff for each further end.
  static constexpr base::milliseconds FirstTrialDelay{5'000};
  static constexpr int TrialBackoff = 4;
  /// A gateway that has just started does not know yet which parts have been
  /// served. It is certain only of what other gateways are certain of.
  static constexpr base::seconds LearningTime{5};

  explicit PartQuarantine(base::Random random);
  PartQuarantine(const PartQuarantine &) = delete;
  PartQuarantine &operator=(const PartQuarantine &) = delete;

  /// Called when a part is quarantined or released, with the event's name and
  /// the evidence.
  std::function<void(std::string_view event, const SuspectReport &,
                     bool isCertain)>
      OnChange;

  /// Records the end of a server as evidence against the parts, and that it
  /// ran a request of the organisation.
  void recordEnd(base::Instant now, const UnansweredPrompt &unanswered);
  /// Evidence, as for requests. See Quarantine.
  void recordResponse(base::Instant now, const ServerInstance &server);
  void recordVerification(const VerificationResponse &response);
  void recordRefusal(base::Instant now, const ServerInstance &server);
  void withdrawOutlived(
      base::Instant now,
      const std::function<bool(const ServerInstance &, base::Instant endAt)>
          &hasOutlived);
  bool release(base::Instant now, const RequestFingerprint &part);

  /// Records that a server began to answer a request with the part at
  /// `beganAt`, and did not end.
  void recordHarmless(base::Instant now, const RequestFingerprint &part,
                      base::Instant beganAt);

  bool isQuarantined(const RequestFingerprint &part) const {
    return Blamed.contains(part);
  }
  /// Returns whether this gateway has quarantined the part, or another one has
  /// reported that it has, and the evidence still counts.
  bool isBlamedAnywhere(const RequestFingerprint &part) const;
  /// Returns the reports on all quarantined parts.
  std::vector<SuspectReport> blamedReports(base::Instant now) const;
  /// Returns the time until one request with a quarantined part may be sent.
  base::Duration timeUntilTrial(base::Instant now,
                                const RequestFingerprint &part) const;

  /// Updates the quarantine. Called after evidence has changed, and regularly.
  void update(base::Instant now);

  /// The evidence as the gateways exchange it, and the claims for trials.
  Quarantine &evidence() { return Evidence; }
  const Quarantine &evidence() const { return Evidence; }
  void applyReport(base::Instant now, std::string_view from,
                   const SuspectReport &report);
  /// Returns the reports of which new gateways need to know. Most parts are on
  /// one ended server only.
  std::vector<SuspectReport> reports(base::Instant now) const;
  /// Returns the reports that have changed. See Quarantine.
  std::vector<SuspectReport> takeChangedReports(base::Instant now);

  bool isEmpty() const { return Evidence.isEmpty(); }
  std::size_t count() const { return Blamed.size(); }

private:
  struct Blame {
    bool IsCertain = false;
    base::Instant TrialAt{};
  };
  using BlameMap = std::map<RequestFingerprint, Blame>;

  void noteServed(base::Instant now, const RequestFingerprint &part);
  BlameMap findCauses(base::Instant now);
  void updatePending(base::Instant now,
                     std::span<const SuspectEvidence> evidence);
  bool isConfirmed(base::Instant now, const RequestFingerprint &part) const;
  bool isCertain(const RequestFingerprint &part) const;
  /// Adds this gateway's verdicts to the evidence.
  std::vector<SuspectReport>
  withVerdicts(std::vector<SuspectReport> reports) const;

  Quarantine Evidence;
  ServedParts Served;
  /// When this gateway first recorded that a part was served.
  std::optional<base::Instant> FirstServedAt;
  BlameMap Blamed;
  /// Since when parts have had MaxUncertainEnds ends without service.
  std::map<RequestFingerprint, base::Instant> PendingSince;
  /// Parts that other gateways have quarantined, and whether they are certain.
  std::map<RequestFingerprint, bool> BlamedAtPeers;
};

} // namespace drumlanding::gateway
