/// Directory: the backend servers that the gateway knows: listed, leaving,
/// gone, and avoided for failing.
///
///   Directory directory;
///   directory.replaceAll(now, servers);            // the whole list was read
///   directory.put(now, server); directory.remove(now, id);
///   for (const Server *s : directory.usable(now, "tutor-llm")) ...
///
/// Servers renew their entries in the store. After no gateway has heard from
/// the store for longer than an entry may go without renewal, an absent entry
/// may have lapsed with its server well: the server stays in use until
/// GraceAfterReturn has passed without it.
#pragma once

#include "drumlanding/gateway/config.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// How a request to a backend server ended, for the server's health.
enum class ServerOutcome {
  Served,      ///< An answer of its own, whole.
  Failed,      ///< A failure of its own, whole.
  Incomplete,  ///< A broken answer, or none.
  Refused,     ///< It said that it did not run the request.
  Unreachable, ///< No connection came about.
};

/// A backend server and what is known of it.
struct Server {
  ListedServer Listed;
  bool IsLeaving = false;
  /// When it was first known to leave.
  base::Instant LeavingSince{};
  /// It is slow until then.
  base::Instant ColdUntil{};
  /// When it will be gone; unset when unknown.
  base::Instant ShutdownAt{};
  /// It said that it leaves, and gave no time: it serves as long as planned.
  bool IsPlannedLeave = false;
  /// Another server answers at its address.
  bool IsReplaced = false;
  /// The store lists it; false for one that was only met.
  bool IsListed = false;
  /// The list lost it, perhaps only because the store was away.
  bool IsMissing = false;
  /// The store's revision at which it was listed or went, as far as is known.
  std::uint64_t Revision = 0;
  /// It is taken to be leaving only because the list lost it: a new entry of
  /// its own shows that it is not.
  bool IsPresumedLeaving = false;
  /// Recent failures as a part of recent outcomes; old ones fade.
  double FailureRate = 0;
  /// Broken answers since the last whole one, here or at another gateway.
  int IncompleteResponses = 0;
  /// Not chosen before this moment.
  base::Instant EjectedUntil{};
  /// Requests of this gateway in progress there.
  int OpenRequests = 0;
};

/// Returns the broken answers that still count: they expire some time after the
/// server was last avoided, or it would never be tried again.
int recentIncompleteResponses(const Server &server, base::Instant now);

/// What a change of what is believed of a server rests on.
enum class Evidence {
  Store,    ///< The store's list, read by this gateway.
  Gateway,  ///< Another gateway.
  Notice,   ///< The process beside the server.
  Address,  ///< Another server answered at its address.
  Absence,  ///< It was not listed again in time.
  Requests, ///< How requests ended there.
};
std::string_view toString(Evidence evidence);

/// A server that a gateway avoids, as it tells the others.
struct EjectedServer {
  std::string Id;
  int IncompleteResponses = 0;
  base::milliseconds Remaining{0};
  base::milliseconds StartedAt{0};
};

/// One life of a server: it may start again under its id.
struct ServerInstance {
  std::string Id;
  /// When it started, as a Unix time; 0 when it does not say.
  base::milliseconds StartedAt{0};
  bool operator==(const ServerInstance &) const = default;
};

/// What the process beside a server says of it.
struct ServerNotice {
  /// The server as it would be listed.
  ListedServer Entry;
  bool IsLeaving = false;
  /// How long until it is gone; 0 when it does not say.
  base::milliseconds LeavesIn{0};
};

class Directory {
public:
  /// After the earliest time at which the store can have returned, lapsed
  /// entries have this long to come back: the servers write theirs again within
  /// two seconds, and after three a gateway is bound by what has gone.
  static constexpr base::milliseconds OutageGrace{2'700};
  /// How often servers renew their entries unless the settings say otherwise.
  static constexpr base::milliseconds DefaultRenewalInterval{1'200};
  /// A server that the list has lost, or that is leaving, is forgotten after
  /// this: its last requests have ended by then.
  static constexpr base::seconds RemovedServerRetention{60};

  explicit Directory(base::milliseconds renewal = DefaultRenewalInterval)
      : ExpiryTime(MissedRenewals * renewal) {}

  /// Called when a server is first known to leave.
  std::function<void(const Server &)> OnLeaving;
  /// Called when a server is newly listed, or another one has answered at its
  /// address: the list may lag behind what is there.
  std::function<void(const Server &)> OnUnverified;
  /// Called with a sentence for each change of what is believed.
  std::function<void(std::string_view event, Evidence, const Server &)>
      OnChange;

  /// Called when the store is heard again after an outage, with its length.
  std::function<void(base::Duration)> OnOutageEnd;

  /// True when a listed server is known here as it is listed there.
  bool isListedAs(const ListedServer &listed) const;

  /// True when the list holds the server, as far as is known here.
  bool isListed(std::string_view id) const;

  /// Takes the whole list: what is not in it has gone, unless it was listed by
  /// a later revision.
  void applySnapshot(base::Instant now, const ServerList &list,
                     Evidence evidence = Evidence::Store);
  /// Takes an entry, unless a later revision of it, or a later life of the
  /// server, is known.
  void put(base::Instant now, const ListedServer &server,
           Evidence evidence = Evidence::Store);
  /// The list no longer holds the server, unless a later revision is known.
  void remove(base::Instant now, const RemovedServer &gone,
              Evidence evidence = Evidence::Store);
  /// The server itself, or another gateway, says that it is leaving.
  void markLeaving(base::Instant now, const ServerInstance &life);
  /// Applies a sidecar's notice: which server is there, perhaps before the list
  /// names it, and whether it is leaving.
  void applyNotice(base::Instant now, const ServerNotice &notice);
  /// Another server answered at its address: it has ended.
  void markReplaced(base::Instant now, std::string_view id);

  /// The store's list was read at `at`, by this gateway or by one that says so
  /// itself, and no outage is known to the reader since `since`.
  void recordStoreContact(base::Instant at, base::Instant since);
  /// Since when no outage of the store is known.
  base::Instant storeStableSince() const { return StoreStableSince; }
  /// Evicts servers that were not listed again in time.
  void tick(base::Instant now);

  void recordOutcome(base::Instant now, std::string_view id,
                     ServerOutcome outcome);
  /// Another gateway avoids a server.
  void applyEjection(base::Instant now, const EjectedServer &avoided);
  /// The servers that broken answers make this gateway avoid.
  std::vector<EjectedServer> ejected(base::Instant now) const;
  void requestStarted(std::string_view id);
  void requestEnded(std::string_view id);

  const Server *find(std::string_view id) const;
  std::vector<const Server *> all() const;
  /// Returns the servers of a service that may get new work. When all of them
  /// are avoided for failing, returns them all the same.
  std::vector<const Server *> usable(base::Instant now,
                                     std::string_view service) const;
  /// The list as it was told, with what has gone, for other gateways.
  ServerList list() const;
  /// The servers that have lately become known to be leaving, not by absence
  /// alone, for other gateways.
  std::vector<ServerInstance> leaving(base::Instant now) const;
  /// A number that is the same when two gateways have been told the same list.
  std::uint64_t digest() const;
  bool isEmpty() const { return Servers.empty(); }

private:
  void setLeaving(base::Instant now, Server &server, Evidence evidence);
  void presumeLeaving(base::Instant now, Server &server, Evidence evidence);
  void markAbsent(Server &server, Evidence evidence);
  void restart(Server &server, base::milliseconds bornAt, Evidence evidence);
  void replaceOthersAt(base::Instant now, const ListedServer &seen);
  void reportChange(std::string_view event, Evidence evidence,
                    const Server &server) const;
  bool mayHaveExpired(base::Instant now) const;

  /// Entries lapse after three renewals are missed; the first of them may have
  /// been due right after the store went away.
  static constexpr int MissedRenewals = 2;

  std::map<std::string, Server, std::less<>> Servers;
  base::milliseconds ExpiryTime;
  base::Instant StoreContactAt{};
  base::Instant StoreStableSince{};
  /// When the store was last heard before the latest outage.
  base::Instant OutageStart{};
  base::Instant GraceUntil{};
  mutable std::uint64_t Digest = 0;
  /// False when the list has changed since the digest was worked out.
  mutable bool IsDigestCurrent = false;
};

} // namespace drumlanding::gateway
