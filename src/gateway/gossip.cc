#include "gossip.h"

#include "gateway-metrics.h"
#include "gossip-messages.h"
#include "suspect-requests.h"

#include "drumlanding/daemon/sleep.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using boost::system::error_code;
using daemon::sleepFor;

/// Interval between messages with the full state.
constexpr milliseconds FullStateInterval{500};
/// Changes within this time are sent in one message.
constexpr milliseconds DeltaBatchDelay{4};
/// Interval of the checks for peers with a newer config or list and for expired
/// state.
constexpr milliseconds CheckInterval{200};
/// Limits for a config or a list, which take longer on a slow link.
constexpr http::TransferTimeouts FetchTimeouts{milliseconds(1'000),
                                               milliseconds(1'000)};
/// One in this many full states carries the addresses of the live gateways.
constexpr std::uint64_t FullStatesPerPeerList = 4;
/// Maximum number of list changes that fit into a datagram with the rest of the
/// message. When there are more, none is sent and the peers fetch the list.
constexpr std::size_t MaxListChanges = 200;
constexpr std::string_view ConfigPath = "/config";
constexpr std::string_view ServersPath = "/servers";
/// Lists the suspect requests; DELETE of one of them releases it.
constexpr std::string_view SuspectsPath = "/suspects";
constexpr int HttpOk = 200;

/// Returns why a fetch failed, or an empty text if it succeeded.
std::string fetchProblem(const base::Result<http::Response> &fetched) {
  if (!ok(fetched))
    return describe(error(fetched));
  const int status = value(fetched).Status;
  return status == HttpOk ? "" : "status " + std::to_string(status);
}

} // namespace

Gossip::Gossip(GatewayContext &ctx) : Ctx(ctx), SendTimer(ctx.Io) {}

base::Result<std::unique_ptr<Gossip>> Gossip::start(GatewayContext &ctx) {
  std::unique_ptr<Gossip> gossip(new Gossip(ctx));
  Gossip &g = *gossip;
  auto datagrams = DatagramSocket::open(ctx.Io, ctx.Settings.ControlListen);
  if (!ok(datagrams))
    return error(datagrams);
  g.Socket = std::move(value(datagrams));
  auto control = http::Server::listen(ctx.Io, ctx.Settings.ControlListen,
                                      ctx.internalServerOptions(),
                                      [&g](http::Request r, http::Exchange &x) {
                                        return g.serve(std::move(r), x);
                                      });
  if (!ok(control))
    return error(control);
  g.ControlServer = std::move(value(control));
  ctx.NotifyPeers = [&g] { g.scheduleSend(); };
  const auto onDatagram = [&g](std::string_view bytes,
                               const DatagramSocket::Sender &from) {
    g.handleDatagram(bytes, from);
  };
  asio::co_spawn(ctx.Io, g.Socket->receive(onDatagram), asio::detached);
  ctx.Servers.OnUnverified = [&g](const Server &server) {
    g.requestSidecarNotice(server);
  };
  asio::co_spawn(ctx.Io, g.sendLoop(), asio::detached);
  asio::co_spawn(ctx.Io, g.tickLoop(), asio::detached);
  asio::co_spawn(ctx.Io, g.fetchLoop(), asio::detached);
  return gossip;
}

void Gossip::scheduleSend() {
  if (IsSendDue)
    return;
  IsSendDue = true;
  SendTimer.expires_after(DeltaBatchDelay);
}

asio::awaitable<void> Gossip::sendLoop() {
  for (;;) {
    if (!IsSendDue)
      SendTimer.expires_after(FullStateInterval);
    error_code ec;
    co_await SendTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      continue; // the timer was reset because an update is due
    IsSendDue = false;
    sendUpdate();
  }
}

/// Sends the full state every FullStateInterval and only the delta in between,
/// since the links of small VMs are slow.
void Gossip::sendUpdate() {
  const base::Instant now = Ctx.now();
  wire::Gossip message = makeStatusMessage();
  const std::vector<TrackedRun> runs = Ctx.Runs.ownRuns();
  const RunDelta delta = RunDeltas.nextDelta(runs);
  if (now - FullStateSentAt >= FullStateInterval) {
    FullStateSentAt = now;
    addFullState(message, runs);
  } else {
    message.set_is_news(true);
    for (const TrackedRun &run : delta.Changed)
      *message.add_runs() = toWire(run);
    for (const RunId id : delta.Ended)
      message.add_ended_runs(id);
    for (const LimitReport &report : Ctx.Limits.takeChangedReports(now))
      *message.add_limits() = toWire(report);
    for (const SuspectReport &report : Ctx.Suspects.takeChangedReports(now))
      *message.add_suspects() = toWire(report);
    for (const SuspectReport &report : Ctx.SuspectParts.takeChangedReports(now))
      *message.add_suspect_parts() = toWire(report);
  }
  addListDelta(message);
  broadcast(message);
}

/// Returns a message with this gateway's identity, its config and list
/// versions, and the leaving and ejected servers.
wire::Gossip Gossip::makeStatusMessage() {
  const base::Instant now = Ctx.now();
  wire::Gossip message;
  message.set_name(Ctx.Settings.Name);
  message.set_address(base::toString(Ctx.Settings.ControlListen));
  message.set_incarnation(Ctx.Incarnation);
  message.set_config_version(Ctx.configVersion());
  const base::Instant from =
      Ctx.hasStoreContact() ? Ctx.ListReadAt : Ctx.ListConfirmedAt;
  message.set_list_age_ms(static_cast<std::uint64_t>(base::toMs(now - from)));
  message.set_steady_ms(static_cast<std::uint64_t>(
      base::toMs(now - Ctx.Servers.storeStableSince())));
  message.set_list_digest(Ctx.Servers.digest());
  message.set_watches_list(Ctx.hasStoreContact());
  for (const ServerInstance &instance : Ctx.Servers.leaving(now)) {
    wire::ServerLife &out = *message.add_leaving_servers();
    out.set_id(instance.Id);
    out.set_born_ms(static_cast<std::uint64_t>(instance.StartedAt.count()));
  }
  for (const EjectedServer &ejected : Ctx.Servers.ejected(now)) {
    wire::Avoided &out = *message.add_avoided();
    out.set_server(ejected.Id);
    out.set_broken_answers(
        static_cast<std::uint32_t>(ejected.IncompleteResponses));
    out.set_left_ms(static_cast<std::uint64_t>(ejected.Remaining.count()));
    out.set_born_ms(static_cast<std::uint64_t>(ejected.StartedAt.count()));
  }
  // No request has the fingerprint of a part.
  const Quarantine *const evidence[] = {&Ctx.Suspects,
                                        &Ctx.SuspectParts.evidence()};
  for (const Quarantine *suspects : evidence)
    for (const RunClaim &claim : suspects->ownClaims()) {
      wire::RunClaim &out = *message.add_claims();
      out.set_fingerprint(toBytes(claim.Fingerprint));
      out.set_rank(claim.Rank);
    }
  return message;
}

/// Adds pending list changes, so that the peers need not fetch the complete
/// list after each change.
void Gossip::addListDelta(wire::Gossip &message) {
  const std::vector<ServerChange> delta = std::move(Ctx.PendingListChanges);
  Ctx.PendingListChanges.clear();
  if (delta.size() > MaxListChanges)
    return;
  for (const ServerChange &change : delta) {
    if (change.Listed)
      *message.add_changed_servers() = toWire(*change.Listed);
    else
      *message.add_gone_servers() =
          toWire(RemovedServer{change.Id, change.Revision});
  }
}

void Gossip::addFullState(wire::Gossip &message,
                          std::span<const TrackedRun> runs) {
  for (const TrackedRun &run : runs)
    *message.add_runs() = toWire(run);
  for (const LimitReport &report : Ctx.Limits.reports(Ctx.now()))
    *message.add_limits() = toWire(report);
  for (const SuspectReport &report : Ctx.Suspects.reports(Ctx.now()))
    *message.add_suspects() = toWire(report);
  for (const SuspectReport &report : Ctx.SuspectParts.reports(Ctx.now()))
    *message.add_suspect_parts() = toWire(report);
  // Traffic between zones is billed, so only some messages carry addresses.
  if (FullStateCount++ % FullStatesPerPeerList != 0)
    return;
  for (const Peer &peer : Ctx.GatewayPeers.live(Ctx.now()))
    message.add_peers(base::toString(peer.Address));
}

void Gossip::broadcast(const wire::Gossip &message) {
  const std::string bytes = message.SerializeAsString();
  for (const base::Endpoint &to : Ctx.GatewayPeers.sendTargets(Ctx.now()))
    Socket->send(to, bytes);
}

void Gossip::announceStop() {
  wire::Gossip message = makeStatusMessage();
  message.set_is_last(true);
  broadcast(message);
}

/// Requests a notice from an engine's sidecar to verify which server runs
/// there. After a restart of all servers, the store lists the previous ones for
/// several seconds.
void Gossip::requestSidecarNotice(const Server &server) {
  if (Ctx.Settings.SidecarPort == 0)
    return;
  const Service *service =
      Ctx.Routes ? Ctx.Routes->config().service(server.Listed.Service)
                 : nullptr;
  if (service && !service->Engine)
    return;
  wire::Gossip message;
  message.set_name(Ctx.Settings.Name);
  message.set_address(base::toString(Ctx.Settings.ControlListen));
  message.set_incarnation(Ctx.Incarnation);
  message.set_asks_notice(true);
  Socket->send({server.Listed.Address.Address, Ctx.Settings.SidecarPort},
               message.SerializeAsString());
}

/// Applies a sidecar's notice and replies with the addresses of the gateways.
void Gossip::handleSidecarNotice(const wire::Gossip &message,
                                 const DatagramSocket::Sender &from) {
  const base::Instant now = Ctx.now();
  Ctx.Servers.applyNotice(now, fromWire(message.notice()));
  wire::Gossip reply;
  reply.set_name(Ctx.Settings.Name);
  reply.set_address(base::toString(Ctx.Settings.ControlListen));
  reply.set_incarnation(Ctx.Incarnation);
  for (const Peer &peer : Ctx.GatewayPeers.live(now))
    reply.add_peers(base::toString(peer.Address));
  Socket->reply(from, reply.SerializeAsString());
}

void Gossip::handleDatagram(std::string_view datagram,
                            const DatagramSocket::Sender &from) {
  wire::Gossip message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size())))
    return;
  const base::Instant now = Ctx.now();
  if (message.has_notice()) {
    handleSidecarNotice(message, from);
    return;
  }
  const Peers::ReceiveResult senderState =
      Ctx.GatewayPeers.recordMessage(now, message);
  if (senderState == Peers::ReceiveResult::Ignored)
    return;
  // A gateway that has just started has no state yet.
  if (senderState == Peers::ReceiveResult::NewInstance && !message.is_last()) {
    wire::Gossip fullState = makeStatusMessage();
    addFullState(fullState, Ctx.Runs.ownRuns());
    Socket->reply(from, fullState.SerializeAsString());
  }
  applyRuns(now, message);
  applyServers(now, message);
  applyLimits(now, message);
  applySuspects(now, message);
  adoptListAge(now, message);
}

void Gossip::applyRuns(base::Instant now, const wire::Gossip &message) {
  std::vector<TrackedRun> runs;
  for (const wire::Run &run : message.runs())
    runs.push_back(fromWire(run));
  if (message.is_news())
    Ctx.Runs.applyPeerDelta(
        now, message.address(), runs,
        {message.ended_runs().begin(), message.ended_runs().end()});
  else
    Ctx.Runs.applyPeerSnapshot(now, message.address(), std::move(runs));
}

void Gossip::applyServers(base::Instant now, const wire::Gossip &message) {
  for (const wire::ServerLife &instance : message.leaving_servers())
    Ctx.Servers.markLeaving(now,
                            {instance.id(), milliseconds(instance.born_ms())});
  for (const wire::Avoided &ejected : message.avoided())
    Ctx.Servers.applyEjection(now, {ejected.server(),
                                    static_cast<int>(ejected.broken_answers()),
                                    milliseconds(ejected.left_ms()),
                                    milliseconds(ejected.born_ms())});
  // A peer's contact with the store counts as well: only a store that no
  // gateway reaches has an outage, not one that only this gateway cannot reach.
  if (message.watches_list())
    Ctx.Servers.recordStoreContact(now - milliseconds(message.list_age_ms()),
                                   now - milliseconds(message.steady_ms()));
  for (const ListedServer &listed : fromWire(message.changed_servers()))
    Ctx.Servers.put(now, listed, Evidence::Gateway);
  for (const wire::GoneServer &removed : message.gone_servers())
    Ctx.Servers.remove(now, fromWire(removed), Evidence::Gateway);
}

void Gossip::applyLimits(base::Instant now, const wire::Gossip &message) {
  // Reports on servers that are not listed here yet arrive again within
  // FullStateInterval.
  for (const wire::RequestLimit &limit : message.limits())
    if (Ctx.Servers.find(limit.id()))
      Ctx.Limits.applyReport(now, {message.address(), message.incarnation()},
                             fromWire(limit));
}

void Gossip::applySuspects(base::Instant now, const wire::Gossip &message) {
  for (const wire::SuspectRequest &suspect : message.suspects())
    if (const auto report = fromWire(suspect))
      Ctx.Suspects.applyReport(now, message.address(), *report);
  for (const wire::SuspectRequest &suspect : message.suspect_parts())
    if (const auto report = fromWire(suspect))
      Ctx.SuspectParts.applyReport(now, message.address(), *report);
  if (message.suspect_parts_size() > 0)
    Ctx.SuspectParts.update(now);
  std::vector<RunClaim> claims;
  for (const wire::RunClaim &claim : message.claims())
    if (const auto fingerprint = fingerprintFromBytes(claim.fingerprint()))
      claims.push_back({*fingerprint, claim.rank()});
  Ctx.Suspects.applyClaims(now, message.address(), claims);
  Ctx.SuspectParts.evidence().applyClaims(now, message.address(), claims);
}

/// If a peer that watches the store has the same list, this gateway's list is
/// as recent as the peer's.
void Gossip::adoptListAge(base::Instant now, const wire::Gossip &message) {
  if (!message.watches_list() || Ctx.hasStoreContact() ||
      message.list_digest() != Ctx.Servers.digest())
    return;
  Ctx.ListConfirmedAt =
      std::max(Ctx.ListConfirmedAt, now - milliseconds(message.list_age_ms()));
}

asio::awaitable<void> Gossip::tickLoop() {
  for (;;) {
    co_await sleepFor(CheckInterval);
    const base::Instant now = Ctx.now();
    Ctx.Runs.tick(now);
    Ctx.Servers.tick(now);
    Ctx.Limits.evict(now, [this](std::string_view id) {
      return Ctx.Servers.find(id) != nullptr;
    });
    const auto hasOutlived = [&](const ServerInstance &server,
                                 base::Instant endAt) {
      return Ctx.Servers.hasOutlived(now, server, endAt);
    };
    Ctx.Suspects.withdrawOutlived(now, hasOutlived);
    Ctx.Suspects.evict(now);
    Ctx.SuspectParts.withdrawOutlived(now, hasOutlived);
    Ctx.SuspectParts.evidence().evict(now);
    Ctx.SuspectParts.update(now);
    Ctx.WatchesList = Ctx.GatewayPeers.shouldWatchList(now);
  }
}

asio::awaitable<void> Gossip::fetchLoop() {
  for (;;) {
    co_await sleepFor(CheckInterval);
    const base::Instant now = Ctx.now();
    const auto peer = Ctx.peerWithNewerConfig();
    // A second transfer would slow down the one from the store.
    if (peer && !Ctx.StoreTransfer.isActive(now))
      co_await fetchConfig(*peer);
    else if (const auto newer =
                 Ctx.GatewayPeers.withNewerList(now, Ctx.ListConfirmedAt))
      co_await fetchServers(*newer);
  }
}

void Gossip::recordFetchFailure(const Peer &from, std::string_view resource,
                                std::string_view why) {
  Ctx.GatewayPeers.recordFetchFailure(Ctx.now(), from);
  Ctx.Log.write("peer-fetch-failed",
                {{"peer", from.Name}, {"what", resource}, {"why", why}});
}

asio::awaitable<void> Gossip::fetchConfig(Peer from) {
  http::Request request{"GET", std::string(ConfigPath), {}, {}};
  http::FetchResult fetched =
      co_await http::fetch(from.Address, std::move(request), FetchTimeouts,
                           Ctx.trackProgress(Ctx.PeerTransfer));
  Ctx.PeerTransfer.recordEnd();
  if (const std::string why = fetchProblem(fetched.Outcome); !why.empty()) {
    recordFetchFailure(from, "config", why);
    co_return;
  }
  co_await Ctx.applyConfig(std::move(value(fetched.Outcome).Body), from.Name);
}

asio::awaitable<void> Gossip::fetchServers(Peer from) {
  http::Request request{"GET", std::string(ServersPath), {}, {}};
  http::FetchResult fetched =
      co_await http::fetch(from.Address, std::move(request), FetchTimeouts);
  if (const std::string why = fetchProblem(fetched.Outcome); !why.empty()) {
    recordFetchFailure(from, "servers", why);
    co_return;
  }
  wire::ServerList list;
  if (!list.ParseFromString(value(fetched.Outcome).Body)) {
    recordFetchFailure(from, "servers", "malformed list");
    co_return;
  }
  const base::Instant now = Ctx.now();
  const base::Instant listFrom = now - milliseconds(list.age_ms());
  Ctx.Servers.applySnapshot(now, fromWire(list), Evidence::Gateway);
  Ctx.ListRevision = std::max<std::uint64_t>(Ctx.ListRevision, list.revision());
  Ctx.ListConfirmedAt = std::max(Ctx.ListConfirmedAt, listFrom);
  Ctx.Log.write("servers-from-peer", {{"peer", from.Name},
                                      {"servers", list.servers_size()},
                                      {"age_ms", list.age_ms()}});
}

asio::awaitable<void> Gossip::serve(http::Request request, http::Exchange &x) {
  http::Response response{404, "text/plain", "no such page\n", {}};
  if (auto page = metricsPage(Ctx, request)) {
    response = std::move(*page);
  } else if (request.path() == ConfigPath && Ctx.Routes) {
    response = {HttpOk, "application/octet-stream", Ctx.ConfigText, {}};
  } else if (request.path() == ServersPath) {
    const auto age = milliseconds(base::toMs(Ctx.now() - Ctx.ListConfirmedAt));
    ServerList known = Ctx.Servers.list();
    known.Revision = Ctx.ListRevision;
    const wire::ServerList list = toWire(known, age);
    response = {
        HttpOk, "application/octet-stream", list.SerializeAsString(), {}};
  } else if (request.path().starts_with(SuspectsPath)) {
    response =
        serveSuspects(Ctx, request, request.path().substr(SuspectsPath.size()));
  }
  co_await x.send(std::move(response));
}

} // namespace drumlanding::gateway
