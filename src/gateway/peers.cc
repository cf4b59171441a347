#include "drumlanding/gateway/peers.h"

#include "drumlanding/base/hash.h"
#include "gateway.pb.h"

#include <algorithm>
#include <utility>

namespace drumlanding::gateway {
namespace {

/// Time without messages after which a gateway no longer counts as live: six
/// messages at one every half second.
constexpr base::milliseconds LiveTimeout{3'000};
/// Time since its last message for which a gateway still counts towards the
/// limits that servers name, and, if it has announced its stop, towards the
/// retry budget.
constexpr base::seconds SharedLimitTimeout{15};
/// Time since its last message for which a gateway still counts towards the
/// retry budget: it may be isolated and go on sending requests for much longer
/// than it stays a contact.
constexpr base::seconds SharedBudgetTimeout{300};
/// Time since its last message after which the requests of a gateway are not
/// known here: two messages at one every half second.
constexpr base::milliseconds MaxSilence{1'000};
/// Discovery takes up to this long after the start; until then, this many
/// gateways are assumed (a site of 100 VMs has about 30).
constexpr base::seconds DiscoveryTime{4};
constexpr int AssumedGateways = 30;
/// Gateways that watch the store's list: two, so that one can fail.
constexpr int WatcherCount = 2;
/// Minimum difference in age at which another gateway's list is clearly newer.
constexpr base::milliseconds MinListAgeDifference{1'000};
/// Interval at which silent addresses are contacted.
constexpr base::milliseconds ContactInterval{1'000};
/// Time after which an address that does not answer is dropped, unless it is a
/// seed.
constexpr base::seconds ContactExpiry{20};
/// Maximum number of addresses, more than twice the gateways of the target in
/// docs/DEVELOPERS.md. Datagrams are not authenticated.
constexpr std::size_t MaxContacts = 2'000;

} // namespace

Peers::Peers(base::Instant now, PeersOptions options)
    : Options(std::move(options)), StartedAt(now) {
  for (const base::Endpoint &seed : Options.Seeds)
    add(now, seed);
}

void Peers::add(base::Instant now, const base::Endpoint &address) {
  if (address == Options.Own || Contacts.size() >= MaxContacts)
    return;
  const auto [it, isNew] = Contacts.try_emplace(base::toString(address));
  if (!isNew)
    return;
  it->second.Gateway.Address = address;
  it->second.AddedAt = now;
}

/// Makes room for a gateway that has sent a message: drops an address that has
/// sent none.
void Peers::makeRoomFor(const std::string &address) {
  if (Contacts.size() < MaxContacts || Contacts.contains(address))
    return;
  const auto it =
      std::find_if(Contacts.begin(), Contacts.end(), [&](const auto &entry) {
        const Contact &contact = entry.second;
        return contact.Gateway.LastSeenAt == base::Instant{} &&
               !isSeed(contact.Gateway.Address);
      });
  if (it != Contacts.end())
    Contacts.erase(it);
}

Peers::ReceiveResult Peers::recordMessage(base::Instant now,
                                          const wire::Gossip &gossip) {
  const auto address = base::parseEndpoint("peer", gossip.address());
  if (!ok(address) || value(address) == Options.Own)
    return ReceiveResult::Ignored;
  makeRoomFor(gossip.address());
  add(now, value(address));
  const auto it = Contacts.find(gossip.address());
  if (it == Contacts.end())
    return ReceiveResult::Ignored;
  Contact &contact = it->second;
  contact.HasAnswered = !gossip.is_last();
  Peer &peer = contact.Gateway;
  const bool isNew = peer.LastSeenAt == base::Instant{} ||
                     peer.Incarnation != gossip.incarnation();
  peer.Name = gossip.name();
  peer.Incarnation = gossip.incarnation();
  peer.LastSeenAt = now;
  peer.ConfigVersion = gossip.config_version();
  peer.WatchesList = gossip.watches_list();
  peer.ListUpdatedAt = now - base::milliseconds(gossip.list_age_ms());
  if (HeardGateways.size() < MaxContacts ||
      HeardGateways.contains(gossip.address()))
    HeardGateways[gossip.address()] = {now, gossip.is_last()};
  for (const std::string &other : gossip.peers()) {
    const auto endpoint = base::parseEndpoint("peer", other);
    if (ok(endpoint))
      add(now, value(endpoint));
  }
  return isNew ? ReceiveResult::NewInstance : ReceiveResult::Known;
}

bool Peers::isSeed(const base::Endpoint &address) const {
  return std::find(Options.Seeds.begin(), Options.Seeds.end(), address) !=
         Options.Seeds.end();
}

std::vector<base::Endpoint> Peers::sendTargets(base::Instant now) {
  evictSilent(now);
  std::vector<base::Endpoint> targets;
  for (auto it = Contacts.begin(); it != Contacts.end();) {
    Contact &contact = it->second;
    const Peer &peer = contact.Gateway;
    const base::Instant lastActive = std::max(peer.LastSeenAt, contact.AddedAt);
    if (!isSeed(peer.Address) && now - lastActive > ContactExpiry) {
      it = Contacts.erase(it);
      continue;
    }
    ++it;
    const bool isLive =
        contact.HasAnswered && now - peer.LastSeenAt < LiveTimeout;
    if (!isLive && now < contact.NextSendAt)
      continue;
    contact.NextSendAt = now + ContactInterval;
    targets.push_back(peer.Address);
  }
  return targets;
}

std::vector<Peer> Peers::live(base::Instant now) const {
  std::vector<Peer> live;
  for (const auto &[address, contact] : Contacts)
    if (contact.HasAnswered && now - contact.Gateway.LastSeenAt < LiveTimeout)
      live.push_back(contact.Gateway);
  return live;
}

void Peers::recordFetchFailure(base::Instant now, const Peer &peer) {
  const auto it = Contacts.find(base::toString(peer.Address));
  if (it != Contacts.end())
    it->second.FailedAt = now;
}

std::optional<Peer> Peers::leastRecentlyFailed(
    base::Instant now, const std::function<bool(const Peer &)> &matches) const {
  // Ties are broken by a hash that differs between gateways, so that they do
  // not all fetch from the same one.
  const std::uint64_t own = base::hash64(base::toString(Options.Own));
  using Rank = std::pair<base::Instant, std::uint64_t>;
  std::optional<Peer> first;
  std::optional<Rank> firstRank;
  for (const Peer &peer : live(now)) {
    if (!matches(peer))
      continue;
    const std::string address = base::toString(peer.Address);
    const Rank rank{Contacts.find(address)->second.FailedAt,
                    base::hash64(address, own)};
    if (firstRank && rank >= *firstRank)
      continue;
    first = peer;
    firstRank = rank;
  }
  return first;
}

std::optional<Peer> Peers::withNewerConfig(base::Instant now,
                                           std::uint64_t version) const {
  return leastRecentlyFailed(
      now, [&](const Peer &peer) { return peer.ConfigVersion > version; });
}

std::optional<Peer> Peers::withNewerList(base::Instant now,
                                         base::Instant ownListUpdatedAt) const {
  return leastRecentlyFailed(now, [&](const Peer &peer) {
    return peer.ListUpdatedAt - ownListUpdatedAt > MinListAgeDifference;
  });
}

bool Peers::shouldWatchList(base::Instant now) const {
  const std::vector<Peer> others = live(now);
  const std::uint64_t ownHash = base::hash64(base::toString(Options.Own));
  int lowerHashes = 0;
  int watching = 0;
  for (const Peer &peer : others) {
    if (now - peer.ListUpdatedAt > MaxListAge)
      continue;
    watching += peer.WatchesList ? 1 : 0;
    lowerHashes += base::hash64(base::toString(peer.Address)) < ownHash ? 1 : 0;
  }
  return lowerHashes < WatcherCount || watching == 0;
}

bool Peers::sharesBudget(base::Instant now, const HeardGateway &gateway) {
  return now - gateway.LastSeenAt <
         (gateway.HasStopped ? SharedLimitTimeout : SharedBudgetTimeout);
}

double Peers::heardFraction(base::Instant now) const {
  int heard = 1;
  int sending = 1;
  for (const auto &[address, gateway] : HeardGateways) {
    const base::Duration silence = now - gateway.LastSeenAt;
    if (gateway.HasStopped || silence >= SharedLimitTimeout)
      continue;
    ++sending;
    heard += silence < MaxSilence ? 1 : 0;
  }
  if (now - StartedAt < DiscoveryTime)
    sending = std::max(sending, AssumedGateways);
  return static_cast<double>(heard) / sending;
}

int Peers::gatewayCount(base::Instant now) const {
  const auto n = std::count_if(
      HeardGateways.begin(), HeardGateways.end(),
      [&](const auto &entry) { return sharesBudget(now, entry.second); });
  const int known = static_cast<int>(n) + 1;
  return now - StartedAt < DiscoveryTime ? std::max(known, AssumedGateways)
                                         : known;
}

void Peers::evictSilent(base::Instant now) {
  std::erase_if(HeardGateways, [&](const auto &entry) {
    return !sharesBudget(now, entry.second);
  });
}

} // namespace drumlanding::gateway
