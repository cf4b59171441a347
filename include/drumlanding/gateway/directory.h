/// Directory: the backend servers known to the gateway, with their state:
/// listed, leaving, removed or ejected.
///
///   Directory directory;
///   directory.applySnapshot(now, list);   // after reading the complete list
///   directory.put(now, server);
///   directory.remove(now, removed);
///   for (const Server *s : directory.usable(now, "tutor-llm")) ...
///
/// Servers renew their entries in the store. If no gateway had contact with the
/// store for longer than an entry lives without renewal, entries of healthy
/// servers may have expired. Servers without an entry then stay in use until
/// OutageGrace has passed.
#pragma once

#include "drumlanding/gateway/config.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// Outcome of a request at a backend server, for tracking the server's health.
enum class ServerOutcome {
  Served,      ///< A complete response.
  Failed,      ///< A complete response that reports a server failure.
  Incomplete,  ///< A truncated response, or none.
  Refused,     ///< The server stated that it did not run the request.
  Unreachable, ///< No connection could be established.
};

/// A backend server and its state as known to this gateway.
struct Server {
  ListedServer Listed;
  bool IsLeaving = false;
  /// When the server was first known to be leaving.
  base::Instant LeavingSince{};
  /// The server responds slowly until this time.
  base::Instant ColdUntil{};
  /// When the server shuts down; unset when unknown.
  base::Instant ShutdownAt{};
  /// The server announced that it leaves without giving a time, so it stays up
  /// for the planned drain period.
  bool IsPlannedLeave = false;
  /// Another server answered at this server's address.
  bool IsReplaced = false;
  /// False for a server known only from a notice and not yet from the list.
  bool IsListed = false;
  /// The entry is no longer in the list, possibly only because the store was
  /// unavailable.
  bool IsMissing = false;
  /// Latest known store revision at which the entry was written or removed.
  std::uint64_t Revision = 0;
  /// Assumed to be leaving only because its entry is missing. A new entry of
  /// the same server clears this.
  bool IsPresumedLeaving = false;
  /// Exponentially weighted fraction of failures among recent outcomes.
  double FailureRate = 0;
  /// Incomplete responses since the last complete one, at this or another
  /// gateway.
  int IncompleteResponses = 0;
  /// The server is not chosen before this time.
  base::Instant EjectedUntil{};
  /// When a response of the server last arrived at this gateway.
  base::Instant LastResponseAt{};
  /// Number of this gateway's requests in progress at the server.
  int OpenRequests = 0;
};

/// Returns the number of incomplete responses, or 0 once they have expired.
/// They expire some time after the last ejection, since the server would
/// otherwise never be tried again.
int recentIncompleteResponses(const Server &server, base::Instant now);

/// Source of a change in a server's state.
enum class Evidence {
  Store,    ///< The store's list, read by this gateway.
  Gateway,  ///< Another gateway.
  Notice,   ///< The sidecar next to the server.
  Address,  ///< Another server answered at its address.
  Absence,  ///< The server was not listed again in time.
  Requests, ///< Outcomes of requests to the server.
};
std::string_view toString(Evidence evidence);

/// A server ejected by a gateway, as sent to the others.
struct EjectedServer {
  std::string Id;
  int IncompleteResponses = 0;
  base::milliseconds Remaining{0};
  base::milliseconds StartedAt{0};
};

/// One process lifetime of a server; a restarted server may reuse its id.
struct ServerInstance {
  std::string Id;
  /// Start time as Unix time; 0 when unknown.
  base::milliseconds StartedAt{0};
  bool operator==(const ServerInstance &) const = default;
};

/// A sidecar's notice about the server next to it.
struct ServerNotice {
  /// The server's entry as it would be listed.
  ListedServer Entry;
  bool IsLeaving = false;
  /// Time until the server shuts down; 0 when unknown.
  base::milliseconds LeavesIn{0};
};

class Directory {
public:
  /// Time for expired entries to reappear, counted from the earliest time at
  /// which the store can have returned. Servers rewrite their entries within
  /// two seconds, and a gateway must stop using removed servers after three.
  static constexpr base::milliseconds OutageGrace{2'700};
  /// Default interval at which servers renew their entries.
  static constexpr base::milliseconds DefaultRenewalInterval{1'200};
  /// Time after which a server that is leaving and no longer listed is
  /// forgotten. Its last requests have ended by then.
  static constexpr base::seconds RemovedServerRetention{60};

  explicit Directory(base::milliseconds renewal = DefaultRenewalInterval)
      : ExpiryTime(MissedRenewals * renewal) {}

  /// Called when a server is first known to be leaving.
  std::function<void(const Server &)> OnLeaving;
  /// Called when a server is newly listed or has restarted, or when another
  /// server answered at its address. The list may be out of date then.
  std::function<void(const Server &)> OnUnverified;
  /// Called with the event's name for each change of a server's state.
  std::function<void(std::string_view event, Evidence, const Server &)>
      OnChange;

  /// Called with the length of a store outage when contact is re-established.
  std::function<void(base::Duration)> OnOutageEnd;

  /// Returns true if the server is listed here with the same state, address and
  /// start time.
  bool isListedAs(const ListedServer &listed) const;

  /// Returns true if the server is in the latest known list.
  bool isListed(std::string_view id) const;

  /// Applies a complete list. Servers missing from it are removed unless they
  /// were listed at a later revision.
  void applySnapshot(base::Instant now, const ServerList &list,
                     Evidence evidence = Evidence::Store);
  /// Applies an entry unless a later revision of it, or a later instance of the
  /// server, is known.
  void put(base::Instant now, const ListedServer &server,
           Evidence evidence = Evidence::Store);
  /// Removes the server's entry unless a later revision is known.
  void remove(base::Instant now, const RemovedServer &removed,
              Evidence evidence = Evidence::Store);
  /// Marks a server as leaving, as announced by another gateway.
  void markLeaving(base::Instant now, const ServerInstance &instance);
  /// Applies a sidecar's notice, which identifies the server at an address,
  /// possibly before it is listed, and states whether it is leaving.
  void applyNotice(base::Instant now, const ServerNotice &notice);
  /// Marks a server as ended because another server answered at its address.
  void markReplaced(base::Instant now, std::string_view id);

  /// Records that the store's list was read at `readAt`, by this gateway or
  /// another one that reads it itself, and that the reader has seen no store
  /// outage since `stableSince`.
  void recordStoreContact(base::Instant readAt, base::Instant stableSince);
  /// Returns the time since which no store outage is known.
  base::Instant storeStableSince() const { return StoreStableSince; }
  /// Marks servers as leaving that were not listed again in time, and evicts
  /// those that left long ago.
  void tick(base::Instant now);

  void recordOutcome(base::Instant now, std::string_view id,
                     ServerOutcome outcome);
  /// Records that part of a response of the server has arrived.
  void recordResponse(base::Instant now, std::string_view id);
  /// Applies another gateway's ejection of a server.
  void applyEjection(base::Instant now, const EjectedServer &ejected);
  /// Returns the servers that this gateway ejects because of incomplete
  /// responses.
  std::vector<EjectedServer> ejected(base::Instant now) const;
  void requestStarted(std::string_view id);
  void requestEnded(std::string_view id);

  /// Returns whether a server is known to be alive although it seemed to end at
  /// `endAt`: its entry, which expires without renewals, is still in the store.
  bool hasOutlived(base::Instant now, const ServerInstance &instance,
                   base::Instant endAt) const;

  const Server *find(std::string_view id) const;
  std::vector<const Server *> all() const;
  /// Returns the servers of a service that may receive new requests. When all
  /// of them are ejected, returns all of them. Servers that are not listed yet
  /// are only used while the store may be away.
  std::vector<const Server *> usable(base::Instant now,
                                     std::string_view service) const;
  /// Returns the list as received, with removed entries, for other gateways.
  ServerList list() const;
  /// Returns servers that recently became known to be leaving, other than by
  /// absence alone, for other gateways.
  std::vector<ServerInstance> leaving(base::Instant now) const;
  /// Returns a hash that is equal for gateways with the same list.
  std::uint64_t digest() const;
  bool isEmpty() const { return Servers.empty(); }

private:
  void setLeaving(base::Instant now, Server &server, Evidence evidence);
  void presumeLeaving(base::Instant now, Server &server, Evidence evidence);
  void markAbsent(Server &server, Evidence evidence);
  void restart(Server &server, base::milliseconds startedAt, Evidence evidence);
  void replaceOthersAt(base::Instant now, const ListedServer &entry);
  void reportChange(std::string_view event, Evidence evidence,
                    const Server &server) const;
  bool mayHaveExpired(base::Instant now) const;

  /// Entries expire after three missed renewals. The first of them may have
  /// been due right after the store became unavailable, so two intervals
  /// without contact suffice.
  static constexpr int MissedRenewals = 2;

  std::map<std::string, Server, std::less<>> Servers;
  base::milliseconds ExpiryTime;
  base::Instant StoreContactAt{};
  base::Instant StoreStableSince{};
  /// Last store contact before the latest outage.
  base::Instant OutageStart{};
  base::Instant GraceUntil{};
  mutable std::uint64_t Digest = 0;
  /// False when the list has changed since the digest was computed.
  mutable bool IsDigestCurrent = false;
};

} // namespace drumlanding::gateway
