/// GatewayContext: the state shared by the components of one gateway. Gateway
/// VMs have one slow core, so every component runs on the same thread and the
/// state needs no locks.
#pragma once

#include "drumlanding/base/metrics.h"
#include "drumlanding/gateway/config-transfer.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/event-log.h"
#include "drumlanding/gateway/load-shedder.h"
#include "drumlanding/gateway/part-quarantine.h"
#include "drumlanding/gateway/peers.h"
#include "drumlanding/gateway/placement.h"
#include "drumlanding/gateway/protocol-codec.h"
#include "drumlanding/gateway/quarantine.h"
#include "drumlanding/gateway/request-limits.h"
#include "drumlanding/gateway/response-memory.h"
#include "drumlanding/gateway/retry-budget.h"
#include "drumlanding/gateway/routes.h"
#include "drumlanding/gateway/run-table.h"
#include "drumlanding/gateway/store-reader.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace drumlanding::gateway {

namespace asio = boost::asio;

struct GatewaySettings {
  std::string Name;
  /// The failure domain of this VM.
  std::string Zone;
  base::Endpoint Listen;
  base::Endpoint ReadyListen;
  base::Endpoint ControlListen;
  base::Endpoint StoreAddress;
  /// Additional address that serves the metrics, which the control address
  /// always serves; unset for none.
  std::optional<base::Endpoint> MetricsListen;
  std::vector<base::Endpoint> Seeds;
  /// UDP port of the engines' sidecars; 0 when there are no sidecars.
  std::uint16_t SidecarPort = 0;
  RetryBudgetOptions Retries;
  ResponseLimits Responses;
  http::BodyBudgetOptions RequestBodies;
  http::ConnectionTableOptions Connections{http::maxConnectionsOfProcess()};
  /// Minimum time that a server keeps serving after it has announced a planned
  /// leave.
  base::milliseconds DrainTime{2'000};
  /// Time limit from the store's acceptance of a config until the gateway
  /// applies it.
  base::milliseconds MaxConfigApplyTime{2'000};
  /// Interval at which servers renew their entries in the store.
  base::milliseconds RenewalInterval = Directory::DefaultRenewalInterval;
  /// Time between the stop signal and the kill of the process.
  base::milliseconds TerminationGracePeriod{8'000};
};

struct GatewayContext {
  /// The process exits this long before the end of the termination grace
  /// period.
  static constexpr base::milliseconds ExitMargin{250};
  /// Time from the stop signal until the load balancer has removed this
  /// gateway: it checks readiness every second and needs two failed checks.
  /// Until then it may open new connections.
  static constexpr base::milliseconds BalancerRemovalTime{3'000};

  GatewayContext(asio::io_context &io, const base::Clock &clock,
                 GatewaySettings settings, ProtocolCodec codec,
                 StoreReader store)
      : Io(io), Clock(clock), Settings(std::move(settings)),
        Codec(std::move(codec)), Store(std::move(store)), Log(Settings.Name),
        Servers(Settings.RenewalInterval),
        Placer(Servers, Runs, Limits, Settings.Zone), Budget(Settings.Retries),
        Random(base::secureRandom64()),
        GatewayPeers(now(), {Settings.Name, Settings.ControlListen, Incarnation,
                             Settings.Seeds}) {}

  asio::io_context &Io;
  const base::Clock &Clock;
  GatewaySettings Settings;
  ProtocolCodec Codec;
  StoreReader Store;
  EventLog Log;
  base::Metrics Metrics;
  Directory Servers;
  RunTable Runs;
  RequestLimits Limits{base::Random(base::secureRandom64()).unit()};
  /// Requests under which servers have ended.
  Quarantine Suspects{base::Random(base::secureRandom64())};
  /// Parts of prompts under which servers have ended.
  PartQuarantine SuspectParts{base::Random(base::secureRandom64())};
  /// Servers whose end is being verified, and the latest time at which they
  /// closed a connection without a response.
  std::map<std::string, base::Instant> ClosedAtByServer;
  Placement Placer;
  RetryBudget Budget;
  LoadShedder Shedder;
  ResponseMemory ResponseBodies{Settings.Responses};
  std::shared_ptr<http::BodyBudget> RequestBodies =
      std::make_shared<http::BodyBudget>(Settings.RequestBodies);
  /// Of all servers of this process.
  std::shared_ptr<http::ConnectionTable> Connections =
      std::make_shared<http::ConnectionTable>(Settings.Connections);
  base::Random Random;
  std::uint64_t Incarnation = base::secureRandom64();
  Peers GatewayPeers;
  /// The routes of the config in force; null until the first config is applied.
  RouteTablePointer Routes;
  /// When the store last confirmed that it has no newer config.
  base::Instant ConfigConfirmedAt{};
  /// The encoded config in force, served to peers with an older one.
  std::string ConfigText;
  /// Transfers of a config to this gateway, from the store and from a peer.
  /// Either prevents the other for half of the time limit, so that a source
  /// that is slow leaves the other half.
  ConfigTransfer StoreTransfer{Settings.MaxConfigApplyTime / 2};
  ConfigTransfer PeerTransfer{Settings.MaxConfigApplyTime / 2};
  /// When the server list was last confirmed by the store, either by this
  /// gateway or by a peer that shares the same list.
  base::Instant ListConfirmedAt{};
  /// The store revision up to which all changes of the list are applied here.
  std::uint64_t ListRevision = 0;
  /// When this gateway itself last read the list from the store.
  base::Instant ListReadAt{};
  /// When this gateway started its last failed read of the list.
  base::Instant ListReadFailedAt{};
  /// True when this gateway has to watch the store's list itself: it is one of
  /// the few gateways that watch for all, or no peer is known to watch.
  bool WatchesList = true;
  /// Changes of the list that were read from the store and are not yet sent to
  /// the peers.
  std::vector<ServerChange> PendingListChanges;
  /// Ids of list entries that name no usable server and are already logged.
  std::set<std::string, std::less<>> UnusableEntryIds;
  bool IsLeaving = false;
  /// When the process received the stop signal.
  base::Instant LeavingSince{};
  /// Number of requests in progress.
  int OpenRequests = 0;
  /// Schedules a gossip message to the other gateways.
  std::function<void()> NotifyPeers;

  base::Instant now() const { return Clock.now().Steady; }
  /// Returns whether this gateway itself reads the store's list and has done so
  /// recently.
  bool hasStoreContact() const {
    return WatchesList && now() - ListReadAt < MaxListAge;
  }
  /// Returns the version of the config in force; 0 when there is none.
  std::uint64_t configVersion() const {
    return Routes ? Routes->config().Version : 0;
  }
  /// Returns a peer whose config is newer than the one in force.
  std::optional<Peer> peerWithNewerConfig() const {
    return GatewayPeers.withNewerConfig(now(), configVersion());
  }
  /// Returns a handler that records the progress of a config's transfer.
  http::ProgressHandler trackProgress(ConfigTransfer &transfer) const {
    return [this, &transfer] { transfer.recordProgress(now()); };
  }
  bool isReady() const { return Routes && !Servers.isEmpty() && !IsLeaving; }
  /// Returns when a stopping gateway exits, even if requests are still open.
  base::Instant stopDeadline() const {
    return LeavingSince + Settings.TerminationGracePeriod - ExitMargin;
  }
  /// Returns whether the load balancer may still send connections to this
  /// gateway, which is stopping.
  bool isBalancerRemovalPending() const {
    return now() < LeavingSince + BalancerRemovalTime;
  }
  /// Returns the options of a server that no callers use.
  http::ServerOptions internalServerOptions() const;
  /// Applies a config if its version is newer than that of the config in force.
  asio::awaitable<void> applyConfig(std::string text, std::string_view from);
};

} // namespace drumlanding::gateway
