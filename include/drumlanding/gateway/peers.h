/// Peers: the other gateways, known from a few seed addresses and from what
/// they tell each other.
///
///   Peers peers({"front-1", own, incarnation, seeds});
///   for (const base::Endpoint &to : peers.due(now)) send(to, gossip);
///   peers.heard(now, gossip);
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
  /// When its list of servers was last heard from the store.
  base::Instant ListUpdatedAt{};
  /// It reads the store's list itself.
  bool WatchesList = false;
};

/// A list of servers that was heard from the store longer ago than this is old:
/// news of the store come several times a second.
inline constexpr base::milliseconds MaxListAge{1'500};

class Peers {
public:
  Peers(base::Instant now, PeersOptions options);

  enum class ReceiveResult {
    Ignored,     ///< Our own message, or one that says nothing of use.
    NewInstance, ///< The first message in a life of the other gateway.
    Known,
  };
  /// Notes a message from another gateway.
  ReceiveResult recordMessage(base::Instant now, const wire::Gossip &gossip);

  /// Returns whom to tell now: everyone live, and the seeds and addresses
  /// heard of that have not answered, more seldom.
  std::vector<base::Endpoint> sendTargets(base::Instant now);

  std::vector<Peer> live(base::Instant now) const;

  /// A gateway did not answer a question: those that failed longer ago are
  /// asked first.
  void recordFetchFailure(base::Instant now, const Peer &peer);

  /// Returns a gateway whose config is newer than `version`.
  std::optional<Peer> withNewerConfig(base::Instant now,
                                      std::uint64_t version) const;

  /// Returns a gateway whose list of servers is clearly newer than this
  /// gateway's: changes of it that should have come were lost.
  std::optional<Peer> withNewerList(base::Instant now,
                                    base::Instant ownListFrom) const;

  /// True when this gateway is among the few that follow the store's list of
  /// servers for all. While the others' lists are old, everyone follows it.
  bool shouldWatchList(base::Instant now) const;

  /// Returns how many gateways may be sending requests, this one included:
  /// all heard lately, since one that is cut off goes on, and many for a while
  /// after the start, when nobody has been heard yet.
  int gatewayCount(base::Instant now) const;

private:
  struct Contact {
    Peer Gateway;
    bool HasAnswered = false;
    base::Instant NextSendAt{};
    /// When it last did not answer a question: others are asked first.
    base::Instant FailedAt{};
    base::Instant AddedAt{};
  };
  void add(base::Instant now, const base::Endpoint &address);
  std::optional<Peer>
  leastRecentlyFailed(base::Instant now,
                      const std::function<bool(const Peer &)> &isNewer) const;

  PeersOptions Options;
  base::Instant StartedAt;
  /// By address.
  std::map<std::string, Contact> Contacts;
};

} // namespace drumlanding::gateway
