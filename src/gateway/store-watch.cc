#include "store-watch.h"

#include "gateway-metrics.h"

#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace drumlanding::gateway {
namespace {

using namespace asio::experimental::awaitable_operators;

using base::milliseconds;
using daemon::sleepFor;

/// A watch that says nothing for so long is asked anew, so that a connection
/// that died in silence is noticed while there is time to read the config again
/// and to tell the others before it has to be in force.
constexpr milliseconds ShortestWatchWait{100};
constexpr milliseconds LongestWatchWait{4'000};
constexpr double WatchPart = 0.4;
/// The same for the list of servers, whose renewals come all the time.
constexpr milliseconds ListWatchWait{500};
/// The same for a gateway that is told of changes by others: each call to the
/// store is paid for.
constexpr milliseconds RelayedWatchWait{12'000};
/// How often such a gateway checks that others still read the store.
constexpr milliseconds RoleCheckEvery{200};
/// Servers write their entries all the time: changes are taken in together. A
/// server that leaves serves for two seconds and longer.
constexpr milliseconds GatherTime{400};
/// Pause before the whole is read anew after a lost history.
constexpr milliseconds ReadAgainPause{150};
/// First pause before asking a store again that is away, and the longest, also
/// for a gateway that is told of changes by others.
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

void noteListRead(World &world, base::Instant now) {
  const bool hasFailed = world.ListReadFailedAt > world.ListReadAt;
  world.Servers.recordStoreContact(now,
                                   hasFailed ? world.ListReadFailedAt : now);
  world.ListReadAt = now;
  world.ListFrom = now;
}

/// Logs an entry that names no usable server, once.
void noteEntry(World &world, const ServerChange &change) {
  if (change.Problem.empty()) {
    world.BadEntries.erase(change.Id);
    return;
  }
  if (world.BadEntries.insert(change.Id).second)
    world.Log.write("entry-unusable",
                    {{"server", change.Id}, {"why", change.Problem}});
}

void apply(World &world, const ServerChanges &changes) {
  const base::Instant now = world.now();
  noteListRead(world, now);
  const std::uint64_t before = world.Servers.digest();
  for (const ServerChange &change : changes.Changes) {
    noteEntry(world, change);
    // Servers write their entries all the time: few writes change anything.
    const bool isNews = change.Listed
                            ? !world.Servers.isListedAs(*change.Listed)
                            : world.Servers.isListed(change.Id);
    if (isNews)
      world.ListNews.push_back(change);
    if (change.Listed)
      world.Servers.put(now, *change.Listed);
    else
      world.Servers.remove(now, {change.Id, change.Revision});
  }
  world.ListRevision = std::max(world.ListRevision, changes.Revision);
  if (world.Servers.digest() != before && world.TellPeers)
    world.TellPeers();
}

void applyAll(World &world, const ServerChanges &list) {
  ServerList all{list.Revision, {}, {}};
  world.BadEntries.clear();
  for (const ServerChange &change : list.Changes) {
    noteEntry(world, change);
    if (change.Listed)
      all.Servers.push_back(*change.Listed);
  }
  const base::Instant now = world.now();
  noteListRead(world, now);
  world.Servers.applySnapshot(now, all);
  world.ListRevision = std::max(world.ListRevision, all.Revision);
}

milliseconds watchWait(milliseconds configApply) {
  const milliseconds wait(
      static_cast<std::int64_t>(WatchPart * configApply.count()));
  return std::clamp(wait, ShortestWatchWait, LongestWatchWait);
}

asio::awaitable<void> followsItself(const World &world) {
  while (!world.WatchesList)
    co_await sleepFor(RoleCheckEvery);
}

/// Waits for a change of the config. A long watch ends as soon as this gateway
/// has to follow the store itself: its connection may be dead.
StoreReader::AsyncResult<ConfigText> nextConfig(World &world,
                                                std::uint64_t revision) {
  if (world.WatchesList) {
    const milliseconds wait = watchWait(world.Settings.ConfigApply);
    co_return co_await world.From.WatchConfig(revision, wait);
  }
  auto first = co_await (world.From.WatchConfig(revision, RelayedWatchWait) ||
                         followsItself(world));
  if (first.index() == 0)
    co_return std::get<0>(std::move(first));
  co_return base::Error{base::ErrorCode::NotFound, "config",
                        "no other gateway reads the store"};
}

/// Follows changes from a revision until the watch fails, or until others do it
/// for this gateway.
asio::awaitable<base::Error> followConfig(World &world, StoreHealth &health,
                                          std::uint64_t revision) {
  for (;;) {
    auto news = co_await nextConfig(world, revision);
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
    // Reading anew is the answer to a lost history, after a pause.
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
    const base::Instant asked = world.now();
    const auto read = co_await world.From.ReadServers();
    if (!ok(read)) {
      world.ListReadFailedAt = asked;
      const milliseconds pause = health.failed(error(read));
      co_await sleepFor(pause);
      continue;
    }
    health.answered();
    applyAll(world, value(read));
    const base::Error e =
        co_await followServers(world, health, value(read).Revision);
    // Reading anew is the answer to a lost history, after a pause.
    const milliseconds pause =
        isHistoryGone(e) ? ReadAgainPause : health.failed(e);
    co_await sleepFor(pause);
  }
}

} // namespace drumlanding::gateway
