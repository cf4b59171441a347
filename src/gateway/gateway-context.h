/// GatewayContext: what the parts of one gateway share. The gateway's VMs have
/// one slow core, so all of it runs on one thread and needs no locks.
#pragma once

#include "drumlanding/base/metrics.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/event-log.h"
#include "drumlanding/gateway/peers.h"
#include "drumlanding/gateway/placement.h"
#include "drumlanding/gateway/protocol-codec.h"
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
  /// Where the metrics are told, beside the control address; none when unset.
  std::optional<base::Endpoint> MetricsListen;
  std::vector<base::Endpoint> Seeds;
  /// The port of the processes beside engines; 0 when there are none.
  std::uint16_t SidecarPort = 0;
  RetryBudgetOptions Retries;
  /// How long a server that leaves as planned serves at least.
  base::milliseconds DrainTime{2'000};
  /// A config is in force this long after the store has taken it.
  base::milliseconds MaxConfigApplyTime{2'000};
  /// How often servers renew their entries in the store.
  base::milliseconds RenewalInterval = Directory::DefaultRenewalInterval;
  /// From the order to stop until the process is killed.
  base::milliseconds TerminationGracePeriod{8'000};
};

struct GatewayContext {
  /// The process ends by itself this long before it would be killed.
  static constexpr base::milliseconds ExitMargin{250};

  GatewayContext(asio::io_context &io, const base::Clock &clock,
                 GatewaySettings settings, ProtocolCodec dialect,
                 StoreReader source)
      : Io(io), Clock(clock), Settings(std::move(settings)),
        Codec(std::move(dialect)), Store(std::move(source)), Log(Settings.Name),
        Servers(Settings.RenewalInterval), Placer(Servers, Runs, Settings.Zone),
        Budget(Settings.Retries), Random(base::secureRandom64()),
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
  Placement Placer;
  RetryBudget Budget;
  base::Random Random;
  std::uint64_t Incarnation = base::secureRandom64();
  Peers GatewayPeers;
  /// The config in force; null before the first.
  RouteTablePointer Routes;
  /// When the config was last known to be the store's newest.
  base::Instant ConfigConfirmedAt{};
  /// Its text, for peers that are behind.
  std::string ConfigText;
  /// When the list of servers was last heard from the store, by whomever.
  base::Instant ListConfirmedAt{};
  /// The store's revision up to which every change of it is known here.
  std::uint64_t ListRevision = 0;
  /// When this gateway itself last heard it from the store.
  base::Instant ListReadAt{};
  /// When it last began to read it without getting an answer.
  base::Instant ListReadFailedAt{};
  /// This gateway is to follow the store's list itself, as it does until others
  /// are known to do it.
  bool WatchesList = true;
  /// Changes of the list heard from the store and not yet told to the others.
  std::vector<ServerChange> PendingListChanges;
  /// Entries of the list that name no usable server and were logged.
  std::set<std::string, std::less<>> UnusableEntryIds;
  bool IsLeaving = false;
  /// When the process was told to stop.
  base::Instant LeavingSince{};
  /// Requests being answered.
  int OpenRequests = 0;
  /// Tells the other gateways soon.
  std::function<void()> NotifyPeers;

  base::Instant now() const { return Clock.now().Steady; }
  /// True while the store's list reaches this gateway without help of others.
  bool hasStoreContact() const {
    return WatchesList && now() - ListReadAt < MaxListAge;
  }
  bool isReady() const { return Routes && !Servers.isEmpty() && !IsLeaving; }
  /// When a gateway that was told to stop ends, whatever is still open.
  base::Instant stopDeadline() const {
    return LeavingSince + Settings.TerminationGracePeriod - ExitMargin;
  }
  /// Puts a config in force unless it is older than the one there is.
  void applyConfig(std::string text, std::string_view from);
};

} // namespace drumlanding::gateway
