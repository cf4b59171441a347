/// Peers: the other gateways, discovered through seed addresses and through the
/// addresses that gateways send each other.
///
///   Peers peers(now, {"front-1", own, incarnation, seeds});
///   for (const base::Endpoint &to : peers.sendTargets(now))
///     send(to, gossip);
///   peers.recordMessage(now, gossip);
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace drumlanding::gateway {

namespace wire {
class Gossip;
} // namespace wire

struct PeersOptions {
  std::string Name;
  base::Endpoint Own;
  std::uint64_t Incarnation = 0;
  std::vector<base::Endpoint> Seeds;
};

/// Another gateway.
struct Peer {
  std::string Name;
  base::Endpoint Address;
  std::uint64_t Incarnation = 0;
  base::Instant LastSeenAt{};
  std::uint64_t ConfigVersion = 0;
  /// When its server list was last known to match the store's.
  base::Instant ListUpdatedAt{};
  /// True when it reads the store's server list itself.
  bool WatchesList = false;
};

/// Age from which a server list counts as outdated: the store sends changes
/// several times a second.
inline constexpr base::milliseconds MaxListAge{1'500};

class Peers {
public:
  Peers(base::Instant now, PeersOptions options);

  enum class ReceiveResult {
    Ignored,     ///< A message of this gateway itself, one with an invalid
                 ///< address, or one of more gateways than are recorded.
    NewInstance, ///< First message of a new instance of the other gateway.
    Known,
  };
  /// Records a message from another gateway.
  ReceiveResult recordMessage(base::Instant now, const wire::Gossip &gossip);

  /// Returns the addresses to send to now: all live gateways and, less often,
  /// seeds and discovered addresses that have not answered.
  std::vector<base::Endpoint> sendTargets(base::Instant now);

  std::vector<Peer> live(base::Instant now) const;

  /// Records that a gateway did not answer a fetch. Later fetches prefer
  /// gateways whose last failure is older.
  void recordFetchFailure(base::Instant now, const Peer &peer);

  /// Returns a gateway whose config is newer than `version`.
  std::optional<Peer> withNewerConfig(base::Instant now,
                                      std::uint64_t version) const;

  /// Returns a gateway whose server list is clearly newer than this gateway's,
  /// which means that changes were lost on their way here.
  std::optional<Peer> withNewerList(base::Instant now,
                                    base::Instant ownListUpdatedAt) const;

  /// Returns true if this gateway is one of the few that watch the store's
  /// server list on behalf of all. While the others' lists are outdated, every
  /// gateway watches it.
  bool shouldWatchList(base::Instant now) const;

  /// Of the gateways that may be sending requests, including this one, returns
  /// the fraction whose messages have arrived here within the last second.
  double heardFraction(base::Instant now) const;

  /// Returns how many gateways share the retry budget, including this one.
  /// Counts all that were heard in the last minutes, because an isolated
  /// gateway keeps sending, and assumes many just after the start, when no
  /// others have been seen yet.
  int gatewayCount(base::Instant now) const;

private:
  struct Contact {
    Peer Gateway;
    bool HasAnswered = false;
    base::Instant NextSendAt{};
    /// Time of the last unanswered fetch; others are preferred.
    base::Instant FailedAt{};
    base::Instant AddedAt{};
  };
  struct HeardGateway {
    base::Instant LastSeenAt{};
    /// It has announced its stop.
    bool HasStopped = false;
  };
  static bool sharesBudget(base::Instant now, const HeardGateway &gateway);
  void evictSilent(base::Instant now);
  bool isSeed(const base::Endpoint &address) const;
  void makeRoomFor(const std::string &address);
  void add(base::Instant now, const base::Endpoint &address);
  std::optional<Peer>
  leastRecentlyFailed(base::Instant now,
                      const std::function<bool(const Peer &)> &matches) const;

  PeersOptions Options;
  base::Instant StartedAt;
  /// Contacts by address.
  std::map<std::string, Contact> Contacts;
  /// All gateways that share the retry budget, by address. Contacts are dropped
  /// earlier.
  std::map<std::string, HeardGateway> HeardGateways;
};

} // namespace drumlanding::gateway
