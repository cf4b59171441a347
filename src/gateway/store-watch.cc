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

/// Bounds of a config watch's duration, and that duration as a ratio of
/// MaxConfigApplyTime. Watches are renewed this often so that a silently dead
/// connection is detected while there is time to read the config again and to
/// notify the peers before the config must be in force.
constexpr milliseconds MinConfigWatchWait{100};
constexpr milliseconds MaxConfigWatchWait{4'000};
constexpr double ConfigWatchWaitRatio = 0.4;
/// Duration of a watch of the server list, in which renewals arrive constantly.
constexpr milliseconds ListWatchWait{500};
/// Duration of a config watch in a gateway whose peers watch the store and
/// relay changes to it. Longer, since each call to the store is billed.
constexpr milliseconds RelayedWatchWait{12'000};
/// Interval at which that gateway checks whether peers still watch the store.
constexpr milliseconds RoleCheckInterval{200};
/// Delay before each watch of the server list, so that one call returns several
/// changes: servers renew their entries constantly. A leaving server keeps
/// serving for at least 2 s, so the delay loses no requests.
constexpr milliseconds ChangeBatchDelay{400};
/// Interval of the checks whether a peer has finished sending a config.
constexpr milliseconds TransferCheckInterval{50};
/// Delay before the config or the list is read again after its history was
/// compacted, or after newer versions have been written.
constexpr milliseconds ResyncDelay{150};
/// Initial and maximum backoff while the store is unreachable. The maximum is
/// longer for a gateway whose peers relay changes to it.
constexpr milliseconds InitialBackoff{100};
constexpr milliseconds MaxBackoff{400};
constexpr milliseconds MaxRelayedBackoff{1'000};

/// Tracks whether the store is reachable. Logs each transition once and
/// computes the backoff.
class StoreHealth {
public:
  StoreHealth(GatewayContext &ctx, std::string_view resource)
      : Ctx(ctx), Resource(resource), LastAnswerAt(ctx.now()) {}

  void recordSuccess() {
    countStoreCall(Ctx.Metrics, Resource, true);
    LastAnswerAt = Ctx.now();
    if (IsUnreachable)
      Ctx.Log.write("store-regained", {{"what", Resource}});
    IsUnreachable = false;
    Backoff = InitialBackoff;
  }

  /// Records a failed call and returns the delay before the next one.
  milliseconds recordFailure(const base::Error &e) {
    countStoreCall(Ctx.Metrics, Resource, false);
    if (!IsUnreachable)
      Ctx.Log.write("store-lost", {{"what", Resource},
                                   {"why", describe(e)},
                                   {"silent_ms", timeSinceAnswer().count()}});
    IsUnreachable = true;
    const milliseconds pause = Backoff;
    Backoff =
        std::min(Backoff * 2, Ctx.WatchesList ? MaxBackoff : MaxRelayedBackoff);
    return pause;
  }

private:
  milliseconds timeSinceAnswer() const {
    return milliseconds(base::toMs(Ctx.now() - LastAnswerAt));
  }

  GatewayContext &Ctx;
  std::string_view Resource;
  base::Instant LastAnswerAt;
  bool IsUnreachable = false;
  milliseconds Backoff = InitialBackoff;
};

bool isHistoryCompacted(const base::Error &e) {
  return e.Code == base::ErrorCode::NotFound;
}

void recordListRead(GatewayContext &ctx, base::Instant now) {
  const bool hasFailed = ctx.ListReadFailedAt > ctx.ListReadAt;
  ctx.Servers.recordStoreContact(now, hasFailed ? ctx.ListReadFailedAt : now);
  ctx.ListReadAt = now;
  ctx.ListConfirmedAt = now;
}

/// Logs an entry that names no usable server. Not repeated until the entry
/// becomes usable or the list is read again.
void logIfUnusable(GatewayContext &ctx, const ServerChange &change) {
  if (change.Problem.empty()) {
    ctx.UnusableEntryIds.erase(change.Id);
    return;
  }
  if (ctx.UnusableEntryIds.insert(change.Id).second)
    ctx.Log.write("entry-unusable",
                  {{"server", change.Id}, {"why", change.Problem}});
}

void applyChanges(GatewayContext &ctx, const ServerChanges &changes) {
  const base::Instant now = ctx.now();
  recordListRead(ctx, now);
  const std::uint64_t before = ctx.Servers.digest();
  for (const ServerChange &change : changes.Changes) {
    logIfUnusable(ctx, change);
    // Most writes are renewals that change nothing.
    const bool isChanged = change.Listed
                               ? !ctx.Servers.isListedAs(*change.Listed)
                               : ctx.Servers.isListed(change.Id);
    if (isChanged)
      ctx.PendingListChanges.push_back(change);
    if (change.Listed)
      ctx.Servers.put(now, *change.Listed);
    else
      ctx.Servers.remove(now, {change.Id, change.Revision});
  }
  ctx.ListRevision = std::max(ctx.ListRevision, changes.Revision);
  if (ctx.Servers.digest() != before && ctx.NotifyPeers)
    ctx.NotifyPeers();
}

void applySnapshot(GatewayContext &ctx, const ServerChanges &list) {
  ServerList all{list.Revision, {}, {}};
  ctx.UnusableEntryIds.clear();
  for (const ServerChange &change : list.Changes) {
    logIfUnusable(ctx, change);
    if (change.Listed)
      all.Servers.push_back(*change.Listed);
  }
  const base::Instant now = ctx.now();
  recordListRead(ctx, now);
  ctx.Servers.applySnapshot(now, all);
  ctx.ListRevision = std::max(ctx.ListRevision, all.Revision);
}

milliseconds configWatchWait(milliseconds configApply) {
  const milliseconds wait(
      static_cast<std::int64_t>(ConfigWatchWaitRatio * configApply.count()));
  return std::clamp(wait, MinConfigWatchWait, MaxConfigWatchWait);
}

/// Reads the config, unless one is arriving from a peer: then waits for its
/// end.
StoreReader::AsyncResult<ConfigText> readConfig(GatewayContext &ctx) {
  while (ctx.PeerTransfer.isActive(ctx.now()))
    co_await sleepFor(TransferCheckInterval);
  auto read =
      co_await ctx.Store.ReadConfig(ctx.trackProgress(ctx.StoreTransfer));
  ctx.StoreTransfer.recordEnd();
  co_return read;
}

/// Waits until this gateway has to watch the store itself and no config is
/// arriving from the store.
asio::awaitable<void> waitUntilWatchingList(const GatewayContext &ctx) {
  while (!ctx.WatchesList || ctx.StoreTransfer.isActive(ctx.now()))
    co_await sleepFor(RoleCheckInterval);
}

/// Waits for a change of the config. A long watch is abandoned as soon as this
/// gateway has to watch the store itself, because its connection may be dead.
StoreReader::AsyncResult<ConfigText>
waitForConfigChange(GatewayContext &ctx, std::uint64_t revision) {
  const auto onProgress = ctx.trackProgress(ctx.StoreTransfer);
  if (ctx.WatchesList) {
    const milliseconds wait = configWatchWait(ctx.Settings.MaxConfigApplyTime);
    auto change = co_await ctx.Store.WatchConfig(revision, wait, onProgress);
    ctx.StoreTransfer.recordEnd();
    co_return change;
  }
  auto first =
      co_await (ctx.Store.WatchConfig(revision, RelayedWatchWait, onProgress) ||
                waitUntilWatchingList(ctx));
  ctx.StoreTransfer.recordEnd();
  if (first.index() == 0)
    co_return std::get<0>(std::move(first));
  co_return base::Error{base::ErrorCode::NotFound, "config",
                        "no peer watches the store"};
}

/// Applies config changes after a revision until a watch fails or is abandoned.
asio::awaitable<base::Error>
followConfig(GatewayContext &ctx, StoreHealth &health, std::uint64_t revision) {
  for (;;) {
    auto change = co_await waitForConfigChange(ctx, revision);
    if (!ok(change))
      co_return error(change);
    health.recordSuccess();
    ctx.ConfigConfirmedAt = ctx.now();
    revision = value(change).Revision;
    if (value(change).Text.empty())
      continue;
    co_await ctx.applyConfig(std::move(value(change).Text), "store");
    // The next watch would return each version written meanwhile. A read
    // returns only the newest.
    if (ctx.peerWithNewerConfig())
      co_return base::Error{base::ErrorCode::NotFound, "config",
                            "newer versions have been written"};
  }
}

asio::awaitable<base::Error> followServers(GatewayContext &ctx,
                                           StoreHealth &health,
                                           std::uint64_t revision) {
  do {
    co_await sleepFor(ChangeBatchDelay);
    const auto changes =
        co_await ctx.Store.WatchServers(revision, ListWatchWait);
    if (!ok(changes))
      co_return error(changes);
    health.recordSuccess();
    revision = value(changes).Revision;
    applyChanges(ctx, value(changes));
  } while (ctx.WatchesList);
  co_return base::Error{base::ErrorCode::NotFound, "servers",
                        "peers watch the list"};
}

} // namespace

asio::awaitable<void> watchConfig(GatewayContext &ctx) {
  StoreHealth health(ctx, "config");
  for (;;) {
    auto read = co_await readConfig(ctx);
    if (!ok(read)) {
      const milliseconds pause = health.recordFailure(error(read));
      co_await sleepFor(pause);
      continue;
    }
    health.recordSuccess();
    ctx.ConfigConfirmedAt = ctx.now();
    const std::uint64_t previous = ctx.configVersion();
    if (!value(read).Text.empty())
      co_await ctx.applyConfig(std::move(value(read).Text), "store");
    if (ctx.configVersion() > previous && ctx.peerWithNewerConfig()) {
      co_await sleepFor(ResyncDelay);
      continue;
    }
    const base::Error e =
        co_await followConfig(ctx, health, value(read).Revision);
    // A compacted history is not a failure of the store: resync after a short
    // delay.
    const milliseconds pause =
        isHistoryCompacted(e) ? ResyncDelay : health.recordFailure(e);
    co_await sleepFor(pause);
  }
}

asio::awaitable<void> watchServers(GatewayContext &ctx) {
  StoreHealth health(ctx, "servers");
  for (;;) {
    // Peers that watch the list relay it to this gateway.
    if (!ctx.WatchesList && !ctx.Servers.isEmpty()) {
      co_await sleepFor(ChangeBatchDelay);
      continue;
    }
    const base::Instant startedAt = ctx.now();
    const auto read = co_await ctx.Store.ReadServers();
    if (!ok(read)) {
      ctx.ListReadFailedAt = startedAt;
      const milliseconds pause = health.recordFailure(error(read));
      co_await sleepFor(pause);
      continue;
    }
    health.recordSuccess();
    applySnapshot(ctx, value(read));
    const base::Error e =
        co_await followServers(ctx, health, value(read).Revision);
    // A compacted history is not a failure of the store: resync after a short
    // delay.
    const milliseconds pause =
        isHistoryCompacted(e) ? ResyncDelay : health.recordFailure(e);
    co_await sleepFor(pause);
  }
}

} // namespace drumlanding::gateway
