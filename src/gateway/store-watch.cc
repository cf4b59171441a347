#include "store-watch.h"

#include "gateway-metrics.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using daemon::sleepFor;

/// A watch that says nothing for so long is asked anew, so that a connection
/// that died in silence is noticed.
constexpr milliseconds WatchWait{4'000};
/// The same for the list of servers, whose renewals come all the time.
constexpr milliseconds ListWatchWait{500};
/// The same for a gateway that hears of changes from others: each call to the
/// store is paid for.
constexpr milliseconds RelayedWatchWait{12'000};
/// Servers write their entries all the time: changes are taken in together. A
/// server that leaves serves for two seconds and longer.
constexpr milliseconds GatherTime{400};
/// Pause before the whole is read anew after a lost history.
constexpr milliseconds ReadAgainPause{150};
/// First pause before asking a store again that is away, and the longest, also
/// for a gateway that hears of changes from others.
constexpr milliseconds FirstPause{100};
constexpr milliseconds LongestPause{400};
constexpr milliseconds LongestRelayedPause{1'000};

/// Tells whether the store answers, once for each change.
class StoreHealth {
public:
  StoreHealth(World &world, std::string_view what)
      : W(world), What(what), AnsweredAt(world.now()) {}

  void answered() {
    countStoreCall(W.Metrics, What, true);
    AnsweredAt = W.now();
    if (IsAway)
      W.Log.write("store-regained", {{"what", What}});
    IsAway = false;
    Pause = FirstPause;
  }

  /// Returns how long to wait before the next call.
  milliseconds failed(const base::Error &e) {
    countStoreCall(W.Metrics, What, false);
    if (!IsAway)
      W.Log.write("store-lost", {{"what", What},
                                 {"why", describe(e)},
                                 {"silent_ms", silentFor().count()}});
    IsAway = true;
    const milliseconds pause = Pause;
    Pause =
        std::min(Pause * 2, W.WatchesList ? LongestPause : LongestRelayedPause);
    return pause;
  }

private:
  milliseconds silentFor() const {
    return milliseconds(base::toMs(W.now() - AnsweredAt));
  }

  World &W;
  std::string_view What;
  base::Instant AnsweredAt;
  bool IsAway = false;
  milliseconds Pause = FirstPause;
};

bool isHistoryGone(const base::Error &e) {
  return e.Code == base::ErrorCode::NotFound;
}

void noteListHeard(World &world, base::Instant now) {
  world.ListHeardAt = now;
  world.ListFrom = now;
  world.Servers.heardStore(now);
}

void apply(World &world, const ServerChanges &changes) {
  const base::Instant now = world.now();
  noteListHeard(world, now);
  const std::uint64_t before = world.Servers.digest();
  for (const ServerChange &change : changes.Changes) {
    // Servers write their entries all the time: few writes change anything.
    const bool isNews = change.Listed
                            ? !world.Servers.isListedAs(*change.Listed)
                            : world.Servers.find(change.Id) != nullptr;
    if (isNews)
      world.ListNews.push_back(change);
    if (change.Listed)
      world.Servers.put(now, *change.Listed);
    else
      world.Servers.remove(now, change.Id);
  }
  if (world.Servers.digest() != before && world.TellPeers)
    world.TellPeers();
}

void applyAll(World &world, const ServerChanges &list) {
  std::vector<ListedServer> servers;
  for (const ServerChange &change : list.Changes)
    if (change.Listed)
      servers.push_back(*change.Listed);
  const base::Instant now = world.now();
  noteListHeard(world, now);
  world.Servers.replaceAll(now, servers);
}

/// Follows changes from a revision until the watch fails, or until others do it
/// for this gateway.
asio::awaitable<base::Error> followConfig(World &world, StoreHealth &health,
                                          std::uint64_t revision) {
  for (;;) {
    const milliseconds wait = world.WatchesList ? WatchWait : RelayedWatchWait;
    auto news = co_await world.From.WatchConfig(revision, wait);
    if (!ok(news))
      co_return error(news);
    health.answered();
    world.ConfigFrom = world.now();
    revision = value(news).Revision;
    if (!value(news).Text.empty())
      world.takeConfig(std::move(value(news).Text), "store");
  }
}

asio::awaitable<base::Error> followServers(World &world, StoreHealth &health,
                                           std::uint64_t revision) {
  do {
    co_await sleepFor(GatherTime);
    const auto news = co_await world.From.WatchServers(revision, ListWatchWait);
    if (!ok(news))
      co_return error(news);
    health.answered();
    revision = value(news).Revision;
    apply(world, value(news));
  } while (world.WatchesList);
  co_return base::Error{base::ErrorCode::NotFound, "servers", "others watch"};
}

} // namespace

asio::awaitable<void> watchConfig(World &world) {
  StoreHealth health(world, "config");
  for (;;) {
    auto read = co_await world.From.ReadConfig();
    if (!ok(read)) {
      const milliseconds pause = health.failed(error(read));
      co_await sleepFor(pause);
      continue;
    }
    health.answered();
    world.ConfigFrom = world.now();
    if (!value(read).Text.empty())
      world.takeConfig(std::move(value(read).Text), "store");
    const base::Error e =
        co_await followConfig(world, health, value(read).Revision);
    // Reading anew is the answer to a lost history, but never in a rush.
    const milliseconds pause =
        isHistoryGone(e) ? ReadAgainPause : health.failed(e);
    co_await sleepFor(pause);
  }
}

asio::awaitable<void> watchServers(World &world) {
  StoreHealth health(world, "servers");
  for (;;) {
    // The others' lists reach this gateway through them.
    if (!world.WatchesList && !world.Servers.isEmpty()) {
      co_await sleepFor(GatherTime);
      continue;
    }
    const auto read = co_await world.From.ReadServers();
    if (!ok(read)) {
      const milliseconds pause = health.failed(error(read));
      co_await sleepFor(pause);
      continue;
    }
    health.answered();
    applyAll(world, value(read));
    const base::Error e =
        co_await followServers(world, health, value(read).Revision);
    // Reading anew is the answer to a lost history, but never in a rush.
    const milliseconds pause =
        isHistoryGone(e) ? ReadAgainPause : health.failed(e);
    co_await sleepFor(pause);
  }
}

} // namespace drumlanding::gateway
