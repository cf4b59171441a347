/// Quarantine: keeps requests that end the servers which run them (queries of
/// death) from ending one server after another, over all gateways.
///
///   Quarantine q(random);
///   q.recordEnd(now, {fingerprint, organisation, server, sentAt, kind});
///   q.state(now, fingerprint);               // Suspect, later Quarantined
///   q.claim(now, fingerprint);               // before a suspect request is
///   sent for (const SuspectReport &r : q.takeChangedReports(now))
///     notifyPeers(r);
///   q.applyReport(now, peer, report);
///
/// Each end of a server while it ran a request is evidence against the request,
/// identified by the server's life. The evidence of all gateways is merged,
/// in any order. It is withdrawn when the server turns out to live on, and all
/// evidence against a request is withdrawn when the request is served. A
/// request with evidence is suspect: it runs in one place at a time. After
/// MaxEndedServers ends it is quarantined: no server gets it.
#pragma once

#include "drumlanding/base/hash.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/request-fingerprint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// How a server stopped answering a request.
enum class EndKind {
  Closed, ///< It closed the connection.
  Silent, ///< It sent nothing, to this and other requests.
};

/// A request that a server did not answer, possibly because it ended.
struct UnansweredRequest {
  RequestFingerprint Fingerprint;
  std::string Organisation;
  ServerInstance Server;
  /// When the request was sent to the server.
  base::Instant SentAt{};
  EndKind Kind = EndKind::Closed;
  /// The id of a part of its prompt if the fingerprint is that of the part.
  std::string Part = {};
};

/// A server's response to a request that was sent to verify its end.
struct VerificationResponse {
  /// The start time is 0 if the response does not tell it.
  ServerInstance Server;
  base::Instant RequestedAt{};
  base::Instant ReceivedAt{};
};

/// The end of a server under a request, as one gateway reports it to another.
struct EndReport {
  ServerInstance Server;
  /// Distinguishes the ends of a server whose restart is not known yet.
  std::uint32_t Occurrence = 0;
  EndKind Kind = EndKind::Closed;
  /// Time since the end was observed.
  base::Duration Age{0};
  /// The server has been seen alive since.
  bool IsWithdrawn = false;
  /// The server's address has refused a connection since.
  bool IsConfirmed = false;
};

/// All that is known against a request, or against a part of prompts.
struct SuspectReport {
  RequestFingerprint Fingerprint;
  std::string Organisation;
  /// The id of the part; empty if this is about a request.
  std::string Part;
  std::vector<EndReport> Ends;
  /// Time since it was served, or released by an operator.
  std::optional<base::Duration> ClearedAge;
  /// The reporting gateway has quarantined the part.
  bool IsBlamed = false;
  /// The reporting gateway is certain that the part ends servers.
  bool IsCertain = false;
};

/// An end of a server that counts against a request.
struct CountedEnd {
  ServerInstance Server;
  std::uint32_t Occurrence = 0;
  base::Instant ObservedAt{};
};

/// What counts against a request.
struct SuspectEvidence {
  RequestFingerprint Fingerprint;
  std::string Organisation;
  std::string Part;
  std::vector<CountedEnd> Ends;
  /// It has been served at some time, before these ends.
  bool HasBeenServed = false;
};

/// An exclusive claim of a gateway to run a suspect request. Of two claims made
/// at the same time, the one with the lower rank holds.
struct RunClaim {
  RequestFingerprint Fingerprint;
  std::uint64_t Rank = 0;
};

class Quarantine {
public:
  /// The servers that may end under one request.
  static constexpr std::size_t MaxEndedServers = 3;
  /// Time after which an end no longer counts.
  static constexpr base::seconds EvidenceRetention{600};
  /// Bounds memory. Requests with the fewest ends are evicted first.
  static constexpr std::size_t MaxSuspects = 1'024;
  /// The ends that are kept for one request: the latest.
  static constexpr std::size_t MaxEnds = 16;
  /// Bounds the size of a message between gateways.
  static constexpr std::size_t MaxReports = 32;
  /// Time from a claim until it holds: messages of gateways that claimed the
  /// same request meanwhile have arrived.
  static constexpr base::milliseconds ClaimSettleTime{25};

  enum class State { Clear, Suspect, Quarantined };
  enum class ClaimState {
    None,     ///< This gateway has no claim.
    Settling, ///< Another gateway may have claimed it at the same time.
    Held,
  };

  /// A server process that ends responds to nothing that is sent after the
  /// first time, and has not started again before the second.
  static constexpr base::milliseconds MaxExitTime{30};
  static constexpr base::milliseconds MinRestartTime{80};

  explicit Quarantine(base::Random random) : Random(random) {}

  /// Called when a request becomes suspect or quarantined or is cleared, with
  /// the event's name and its source: "requests", "operator", "server",
  /// "expiry" or the address of another gateway.
  std::function<void(std::string_view event, const SuspectReport &,
                     std::string_view source)>
      OnChange;

  /// Called when the other gateways have to be notified.
  std::function<void()> OnUpdate;

  void recordEnd(base::Instant now, const UnansweredRequest &unanswered);
  /// Records that a server completed the request: it does not end servers.
  /// Evidence since `servedAt` remains.
  void recordServed(base::Instant now, const RequestFingerprint &fingerprint,
                    base::Instant servedAt);
  void recordServed(base::Instant now, const RequestFingerprint &fingerprint) {
    recordServed(now, fingerprint, now);
  }
  /// Records a response of a server to any request.
  void recordResponse(base::Instant now, const ServerInstance &server);
  /// Records that a server has responded after it closed connections. That was
  /// not its end, unless it has restarted since: its start time tells, or a
  /// response so early that it cannot have.
  void recordVerification(const VerificationResponse &response);
  /// Records that the address of a server that closed connections has refused
  /// another one: its process has ended.
  void recordRefusal(base::Instant now, const ServerInstance &server);
  /// Withdraws the evidence of closed connections of servers that `hasOutlived`
  /// it. A server that has ended and whose start time is unknown may have
  /// restarted under its id.
  void withdrawOutlived(
      base::Instant now,
      const std::function<bool(const ServerInstance &, base::Instant endAt)>
          &hasOutlived);
  /// Releases a request from quarantine. Returns false if it is unknown.
  bool release(base::Instant now, const RequestFingerprint &fingerprint);

  State state(base::Instant now, const RequestFingerprint &fingerprint) const;
  /// Returns the time until a quarantined request may be tried again.
  base::Duration timeUntilTrial(base::Instant now,
                                const RequestFingerprint &fingerprint) const;

  /// Claims a suspect request for one run. Returns false if another request of
  /// this gateway, or another gateway, has a claim.
  bool claim(base::Instant now, const RequestFingerprint &fingerprint);
  /// Returns the state of this gateway's claim, which is withdrawn if another
  /// gateway has a better one.
  ClaimState claimState(base::Instant now,
                        const RequestFingerprint &fingerprint);
  void endClaim(const RequestFingerprint &fingerprint);

  /// Returns the reports on the requests with the most, and then the latest,
  /// evidence; at most MaxReports, and only those with `minEnds` ends.
  std::vector<SuspectReport> reports(base::Instant now,
                                     std::size_t minEnds = 0) const;
  /// Returns the evidence against all requests with at least `minEnds` ends.
  std::vector<SuspectEvidence> evidence(base::Instant now,
                                        std::size_t minEnds) const;
  /// Returns the report on one request; none if there is no evidence.
  std::optional<SuspectReport>
  findReport(base::Instant now, const RequestFingerprint &fingerprint) const;
  /// Returns the reports that have changed; at most MaxReports, the others with
  /// the next call. Each change is returned twice, since a message may be lost.
  std::vector<SuspectReport> takeChangedReports(base::Instant now);
  std::vector<RunClaim> ownClaims() const;
  void applyReport(base::Instant now, std::string_view from,
                   const SuspectReport &report);
  /// Replaces all claims of another gateway.
  void applyClaims(base::Instant now, const std::string &from,
                   const std::vector<RunClaim> &claims);

  /// Forgets old evidence and the claims of silent gateways.
  void evict(base::Instant now);

  bool isEmpty() const { return Suspects.empty(); }
  std::size_t count(base::Instant now, State state) const;

private:
  struct End {
    ServerInstance Server;
    std::uint32_t Occurrence = 0;
    EndKind Kind = EndKind::Closed;
    base::Instant ObservedAt{};
    bool IsWithdrawn = false;
    bool IsConfirmed = false;
  };
  struct Suspect {
    std::string Organisation;
    std::string Part;
    std::vector<End> Ends;
    std::optional<base::Instant> ClearedAt;
    /// The state that was last logged.
    State KnownState = State::Clear;
    /// The messages that still have to carry its latest change.
    int SendsLeft = 0;
  };
  struct OwnClaim {
    std::uint64_t Rank = 0;
    base::Instant ClaimedAt{};
  };
  struct PeerClaims {
    base::Instant HeardAt{};
    std::map<RequestFingerprint, std::uint64_t> Ranks;
  };
  using SuspectMap = std::map<RequestFingerprint, Suspect>;

  static bool counts(base::Instant now, const Suspect &suspect, const End &end);
  static std::size_t endCount(base::Instant now, const Suspect &suspect);
  static State stateOf(base::Instant now, const Suspect &suspect);
  static SuspectReport report(base::Instant now,
                              const RequestFingerprint &fingerprint,
                              const Suspect &suspect);
  /// Marks a request as changed by what this gateway has observed.
  void markChanged(base::Instant now, SuspectMap::value_type &entry,
                   std::string_view source);
  void reportState(base::Instant now, SuspectMap::value_type &entry,
                   std::string_view source);
  void notifyPeers();
  /// Withdraws all ends that match.
  template <typename Matches> void withdraw(base::Instant now, Matches matches);
  /// Returns the lowest rank of the other gateways' claims.
  std::optional<std::uint64_t>
  bestPeerRank(base::Instant now, const RequestFingerprint &fingerprint) const;
  static bool makeRoom(base::Instant now, Suspect &suspect,
                       base::Instant observedAt);
  void addEnd(Suspect &suspect, End end);
  void indexSilentServers();
  void evictExcess(base::Instant now);

  /// The messages that still have to follow the latest change.
  int MessagesLeft = 0;
  base::Random Random;
  SuspectMap Suspects;
  /// Ids of the servers with a silent end, so that a response of any other
  /// server costs one look-up.
  std::set<std::string, std::less<>> SilentServers;
  std::map<RequestFingerprint, OwnClaim> Claims;
  std::map<std::string, PeerClaims> ClaimsByPeer;
};

} // namespace drumlanding::gateway
