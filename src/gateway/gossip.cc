#include "gossip.h"

#include "gateway-metrics.h"
#include "gossip-messages.h"

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

/// How often each gateway tells what it knows when nothing happens.
constexpr milliseconds TellEvery{500};
/// News go out together after this short time.
constexpr milliseconds GatherNews{4};
/// How often it is checked whether another gateway knows more, and whether
/// something has become old.
constexpr milliseconds CatchUpEvery{200};
constexpr milliseconds FetchLimit{1'000};
/// One message in so many carries the addresses of the live gateways.
constexpr std::uint64_t MessagesPerPeerList = 4;
/// Changes of the list that fit into a datagram beside all else; after more,
/// the others fetch the whole.
constexpr std::size_t MostListNews = 200;
constexpr std::string_view ConfigPath = "/config";
constexpr std::string_view ServersPath = "/servers";
constexpr int Fine = 200;

} // namespace

Gossip::Gossip(World &world) : W(world), NextTell(world.Io) {}

base::Result<std::unique_ptr<Gossip>> Gossip::start(World &world) {
  std::unique_ptr<Gossip> gossip(new Gossip(world));
  Gossip &g = *gossip;
  auto datagrams = DatagramSocket::open(world.Io, world.Settings.ControlListen);
  if (!ok(datagrams))
    return error(datagrams);
  g.Socket = std::move(value(datagrams));
  auto control =
      http::Server::listen(world.Io, world.Settings.ControlListen, {},
                           [&g](http::Request r, http::Exchange &x) {
                             return g.serve(std::move(r), x);
                           });
  if (!ok(control))
    return error(control);
  g.Control = std::move(value(control));
  world.TellPeers = [&g] { g.tellSoon(); };
  const auto take = [&g](std::string_view bytes,
                         const DatagramSocket::Sender &from) {
    g.take(bytes, from);
  };
  asio::co_spawn(world.Io, g.Socket->receive(take), asio::detached);
  world.Servers.OnUnverified = [&g](const Server &server) {
    g.askBeside(server);
  };
  asio::co_spawn(world.Io, g.tell(), asio::detached);
  asio::co_spawn(world.Io, g.tick(), asio::detached);
  asio::co_spawn(world.Io, g.catchUp(), asio::detached);
  return gossip;
}

void Gossip::tellSoon() {
  if (IsTellDue)
    return;
  IsTellDue = true;
  NextTell.expires_after(GatherNews);
}

asio::awaitable<void> Gossip::tell() {
  for (;;) {
    if (!IsTellDue)
      NextTell.expires_after(TellEvery);
    error_code ec;
    co_await NextTell.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      continue; // news came: the timer was set anew
    IsTellDue = false;
    tellAll();
  }
}

/// Tells all that this gateway does every half second, and between only what
/// is new: the links of small VMs are slow.
void Gossip::tellAll() {
  const base::Instant now = W.now();
  wire::Gossip message = greeting();
  const std::vector<TrackedRun> runs = W.Runs.ownRuns();
  const RunDelta news = Told.nextDelta(runs);
  if (now - ToldAllAt >= TellEvery) {
    ToldAllAt = now;
    addAll(message, runs);
  } else {
    message.set_is_news(true);
    for (const TrackedRun &run : news.Changed)
      *message.add_runs() = toWire(run);
    for (const RunId id : news.Ended)
      message.add_ended_runs(id);
  }
  addListNews(message);
  send(message);
}

/// Who this gateway is, and which config, list and leaving servers it knows.
wire::Gossip Gossip::greeting() {
  const base::Instant now = W.now();
  wire::Gossip message;
  message.set_name(W.Settings.Name);
  message.set_address(base::toString(W.Settings.ControlListen));
  message.set_incarnation(W.Incarnation);
  message.set_config_version(W.Routes ? W.Routes->config().Version : 0);
  const base::Instant from = W.hasStoreContact() ? W.ListReadAt : W.ListFrom;
  message.set_list_age_ms(static_cast<std::uint64_t>(base::toMs(now - from)));
  message.set_steady_ms(static_cast<std::uint64_t>(
      base::toMs(now - W.Servers.storeStableSince())));
  message.set_list_digest(W.Servers.digest());
  message.set_watches_list(W.hasStoreContact());
  for (const ServerInstance &life : W.Servers.leaving(now)) {
    wire::ServerLife &out = *message.add_leaving_servers();
    out.set_id(life.Id);
    out.set_born_ms(static_cast<std::uint64_t>(life.StartedAt.count()));
  }
  for (const EjectedServer &avoided : W.Servers.ejected(now)) {
    wire::Avoided &out = *message.add_avoided();
    out.set_server(avoided.Id);
    out.set_broken_answers(
        static_cast<std::uint32_t>(avoided.IncompleteResponses));
    out.set_left_ms(static_cast<std::uint64_t>(avoided.Remaining.count()));
    out.set_born_ms(static_cast<std::uint64_t>(avoided.StartedAt.count()));
  }
  return message;
}

/// So that the others need not fetch the whole list for each change of it.
void Gossip::addListNews(wire::Gossip &message) {
  const std::vector<ServerChange> news = std::move(W.ListNews);
  W.ListNews.clear();
  if (news.size() > MostListNews)
    return;
  for (const ServerChange &change : news) {
    if (change.Listed)
      *message.add_changed_servers() = toWire(*change.Listed);
    else
      *message.add_gone_servers() =
          toWire(RemovedServer{change.Id, change.Revision});
  }
}

void Gossip::addAll(wire::Gossip &message, std::span<const TrackedRun> runs) {
  for (const TrackedRun &run : runs)
    *message.add_runs() = toWire(run);
  // Bytes between zones are paid for: addresses go with a part of the messages.
  if (Messages++ % MessagesPerPeerList != 0)
    return;
  for (const Peer &peer : W.Others.live(W.now()))
    message.add_peers(base::toString(peer.Address));
}

void Gossip::send(const wire::Gossip &message) {
  const std::string bytes = message.SerializeAsString();
  for (const base::Endpoint &to : W.Others.sendTargets(W.now()))
    Socket->send(to, bytes);
}

void Gossip::announceStop() {
  wire::Gossip message = greeting();
  message.set_is_last(true);
  send(message);
}

/// Asks the process beside an engine who is there: after a restart of all, the
/// store lists the engines of before for seconds.
void Gossip::askBeside(const Server &server) {
  if (W.Settings.SidecarPort == 0)
    return;
  const Service *service =
      W.Routes ? W.Routes->config().service(server.Listed.Service) : nullptr;
  if (service && !service->Engine)
    return;
  wire::Gossip message;
  message.set_name(W.Settings.Name);
  message.set_address(base::toString(W.Settings.ControlListen));
  message.set_incarnation(W.Incarnation);
  message.set_asks_notice(true);
  Socket->send({server.Listed.Address.Address, W.Settings.SidecarPort},
               message.SerializeAsString());
}

/// Takes a sidecar's notice and answers with the gateways' addresses.
void Gossip::takeNotice(const wire::Gossip &message,
                        const DatagramSocket::Sender &from) {
  const base::Instant now = W.now();
  W.Servers.applyNotice(now, fromWire(message.notice()));
  wire::Gossip answer;
  answer.set_name(W.Settings.Name);
  answer.set_address(base::toString(W.Settings.ControlListen));
  answer.set_incarnation(W.Incarnation);
  for (const Peer &peer : W.Others.live(now))
    answer.add_peers(base::toString(peer.Address));
  Socket->reply(from, answer.SerializeAsString());
}

void Gossip::take(std::string_view datagram,
                  const DatagramSocket::Sender &from) {
  wire::Gossip message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size())))
    return;
  const base::Instant now = W.now();
  if (message.has_notice()) {
    takeNotice(message, from);
    return;
  }
  const Peers::ReceiveResult heard = W.Others.recordMessage(now, message);
  if (heard == Peers::ReceiveResult::Ignored)
    return;
  // Who has just started knows nothing yet.
  if (heard == Peers::ReceiveResult::NewInstance && !message.is_last()) {
    wire::Gossip all = greeting();
    addAll(all, W.Runs.ownRuns());
    Socket->reply(from, all.SerializeAsString());
  }
  takeRuns(now, message);
  takeServers(now, message);
  adoptListAge(now, message);
}

void Gossip::takeRuns(base::Instant now, const wire::Gossip &message) {
  std::vector<TrackedRun> runs;
  for (const wire::Run &run : message.runs())
    runs.push_back(fromWire(run));
  if (message.is_news())
    W.Runs.applyPeerDelta(
        now, message.address(), runs,
        {message.ended_runs().begin(), message.ended_runs().end()});
  else
    W.Runs.applyPeerSnapshot(now, message.address(), std::move(runs));
}

void Gossip::takeServers(base::Instant now, const wire::Gossip &message) {
  for (const wire::ServerLife &life : message.leaving_servers())
    W.Servers.markLeaving(now, {life.id(), milliseconds(life.born_ms())});
  for (const wire::Avoided &avoided : message.avoided())
    W.Servers.applyEjection(now, {avoided.server(),
                                  static_cast<int>(avoided.broken_answers()),
                                  milliseconds(avoided.left_ms()),
                                  milliseconds(avoided.born_ms())});
  // An outage of the store is one that affects every gateway, not a loss of
  // this gateway's own path to it.
  if (message.watches_list())
    W.Servers.recordStoreContact(now - milliseconds(message.list_age_ms()),
                                 now - milliseconds(message.steady_ms()));
  for (const ListedServer &listed : fromWire(message.changed_servers()))
    W.Servers.put(now, listed, Evidence::Gateway);
  for (const wire::GoneServer &gone : message.gone_servers())
    W.Servers.remove(now, fromWire(gone), Evidence::Gateway);
}

/// A gateway that follows the store's list has the same one: it is as fresh
/// as theirs.
void Gossip::adoptListAge(base::Instant now, const wire::Gossip &message) {
  if (!message.watches_list() || W.hasStoreContact() ||
      message.list_digest() != W.Servers.digest())
    return;
  W.ListFrom = std::max(W.ListFrom, now - milliseconds(message.list_age_ms()));
}

asio::awaitable<void> Gossip::tick() {
  for (;;) {
    co_await sleepFor(CatchUpEvery);
    const base::Instant now = W.now();
    W.Runs.tick(now);
    W.Servers.tick(now);
    W.WatchesList = W.Others.shouldWatchList(now);
  }
}

asio::awaitable<void> Gossip::catchUp() {
  for (;;) {
    co_await sleepFor(CatchUpEvery);
    const base::Instant now = W.now();
    const std::uint64_t version = W.Routes ? W.Routes->config().Version : 0;
    if (const auto peer = W.Others.withNewerConfig(now, version))
      co_await fetchConfig(*peer);
    else if (const auto newer = W.Others.withNewerList(now, W.ListFrom))
      co_await fetchServers(*newer);
  }
}

void Gossip::fetchFailed(const Peer &from, std::string_view what) {
  W.Others.recordFetchFailure(W.now(), from);
  W.Log.write("peer-fetch-failed", {{"peer", from.Name}, {"what", what}});
}

asio::awaitable<void> Gossip::fetchConfig(Peer from) {
  http::Request request{"GET", std::string(ConfigPath), {}, {}};
  http::Fetched fetched =
      co_await http::fetch(from.Address, std::move(request), FetchLimit);
  if (!ok(fetched.Answer) || value(fetched.Answer).Status != Fine) {
    fetchFailed(from, "config");
    co_return;
  }
  W.takeConfig(std::move(value(fetched.Answer).Body), from.Name);
}

asio::awaitable<void> Gossip::fetchServers(Peer from) {
  http::Request request{"GET", std::string(ServersPath), {}, {}};
  http::Fetched fetched =
      co_await http::fetch(from.Address, std::move(request), FetchLimit);
  wire::ServerList list;
  if (!ok(fetched.Answer) || value(fetched.Answer).Status != Fine ||
      !list.ParseFromString(value(fetched.Answer).Body)) {
    fetchFailed(from, "servers");
    co_return;
  }
  const base::Instant now = W.now();
  const base::Instant listFrom = now - milliseconds(list.age_ms());
  W.Servers.applySnapshot(now, fromWire(list), Evidence::Gateway);
  W.ListRevision = std::max<std::uint64_t>(W.ListRevision, list.revision());
  W.ListFrom = std::max(W.ListFrom, listFrom);
  W.Log.write("servers-from-peer", {{"peer", from.Name},
                                    {"servers", list.servers_size()},
                                    {"age_ms", list.age_ms()}});
}

asio::awaitable<void> Gossip::serve(http::Request request, http::Exchange &x) {
  http::Response response{404, "text/plain", "no such page\n", {}};
  if (auto page = metricsPage(W, request)) {
    response = std::move(*page);
  } else if (request.path() == ConfigPath && W.Routes) {
    response = {Fine, "application/octet-stream", W.ConfigText, {}};
  } else if (request.path() == ServersPath) {
    const auto age = milliseconds(base::toMs(W.now() - W.ListFrom));
    ServerList known = W.Servers.list();
    known.Revision = W.ListRevision;
    const wire::ServerList list = toWire(known, age);
    response = {Fine, "application/octet-stream", list.SerializeAsString(), {}};
  }
  co_await x.send(std::move(response));
}

} // namespace drumlanding::gateway
