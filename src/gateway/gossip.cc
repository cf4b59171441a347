#include "gossip.h"

#include "drumlanding/daemon/process.h"
#include "drumlanding/daemon/sleep.h"
#include "gateway.pb.h"

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
/// How often it is looked whether another gateway knows more.
constexpr milliseconds CatchUpEvery{200};
constexpr milliseconds FetchLimit{1'000};
/// A list from the store that is older than this is compared with the others'.
constexpr milliseconds ListIsOld{1'500};
/// Another gateway's list must be newer by this much to be fetched.
constexpr milliseconds ListIsNewer{1'000};
/// One message in so many carries the addresses of the live gateways.
constexpr std::uint64_t MessagesPerPeerList = 4;
constexpr std::string_view ConfigPath = "/config";
constexpr std::string_view ServersPath = "/servers";
constexpr int Fine = 200;

wire::Run toWire(const LedgerRun &run) {
  wire::Run out;
  out.set_id(run.Id);
  out.set_server(run.Server);
  out.set_prompt_tokens(run.PromptTokens);
  out.set_expected_tokens(run.ExpectedTokens);
  out.set_most_tokens(run.MostTokens);
  out.set_made_tokens(run.MadeTokens);
  out.set_has_begun(run.HasBegun);
  out.set_copy_server(run.CopyServer);
  return out;
}

LedgerRun fromWire(const wire::Run &run) {
  LedgerRun out;
  out.Id = run.id();
  out.Server = run.server();
  out.PromptTokens = run.prompt_tokens();
  out.ExpectedTokens = run.expected_tokens();
  out.MostTokens = run.most_tokens();
  out.MadeTokens = run.made_tokens();
  out.HasBegun = run.has_begun();
  out.CopyServer = run.copy_server();
  return out;
}

wire::ServerList toWire(const std::vector<ListedServer> &servers,
                        milliseconds age) {
  wire::ServerList list;
  list.set_age_ms(static_cast<std::uint64_t>(age.count()));
  for (const ListedServer &s : servers) {
    wire::Server &out = *list.add_servers();
    out.set_id(s.Id);
    out.set_service(s.Service);
    out.set_address(base::toString(s.Address));
    out.set_zone(s.Zone);
    out.set_slots(static_cast<std::uint32_t>(s.Slots));
    out.set_is_leaving(s.State == ServerState::Leaving);
    out.set_cold_left_ms(static_cast<std::uint32_t>(s.ColdLeft.count()));
  }
  return list;
}

std::vector<ListedServer> fromWire(const wire::ServerList &list) {
  std::vector<ListedServer> servers;
  for (const wire::Server &s : list.servers()) {
    const auto address = base::parseEndpoint("server", s.address());
    if (!ok(address))
      continue;
    servers.push_back(
        {s.id(), s.service(), value(address), s.zone(),
         static_cast<int>(s.slots()),
         s.is_leaving() ? ServerState::Leaving : ServerState::Ready,
         milliseconds(s.cold_left_ms())});
  }
  return servers;
}

} // namespace

Gossip::Gossip(World &world) : W(world), NextTell(world.Io) {}

base::Result<std::unique_ptr<Gossip>> Gossip::start(World &world) {
  std::unique_ptr<Gossip> gossip(new Gossip(world));
  Gossip &g = *gossip;
  auto datagrams = Datagrams::open(world.Io, world.Settings.ControlListen);
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
  world.TellPeers = [&g] {
    g.IsTellDue = true;
    g.NextTell.expires_after(GatherNews);
  };
  const auto take = [&g](std::string_view bytes,
                         const Datagrams::Sender &from) {
    g.take(bytes, from);
  };
  asio::co_spawn(world.Io, g.Socket->receive(take), asio::detached);
  world.Servers.OnUnsure = [&g](const Server &server) { g.askBeside(server); };
  asio::co_spawn(world.Io, g.tell(), asio::detached);
  asio::co_spawn(world.Io, g.catchUp(), asio::detached);
  return gossip;
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
    tellAll(false);
  }
}

void Gossip::tellAll(bool isLast) {
  const base::Instant now = W.now();
  wire::Gossip message;
  message.set_name(W.Settings.Name);
  message.set_address(base::toString(W.Settings.ControlListen));
  message.set_incarnation(W.Incarnation);
  message.set_config_version(W.Routes ? W.Routes->config().Version : 0);
  const base::Instant from = W.ListFrom == base::Instant{}
                                 ? base::Instant(base::Duration{0})
                                 : W.ListFrom;
  message.set_list_age_ms(static_cast<std::uint64_t>(base::toMs(now - from)));
  message.set_list_digest(W.Servers.digest());
  message.set_watches_list(W.WatchesList);
  message.set_is_last(isLast);
  for (const AvoidedServer &avoided : W.Servers.avoided(now)) {
    wire::Avoided &out = *message.add_avoided();
    out.set_server(avoided.Id);
    out.set_strikes(static_cast<std::uint32_t>(avoided.Strikes));
    out.set_left_ms(static_cast<std::uint64_t>(avoided.Left.count()));
  }
  // Bytes between zones are paid for: addresses go with a part of the messages.
  if (Told++ % MessagesPerPeerList == 0)
    for (const Peer &peer : W.Others.live(now))
      message.add_peers(base::toString(peer.Address));
  for (const LedgerRun &run : W.Runs.ownRuns())
    *message.add_runs() = toWire(run);
  for (std::string &id : W.Servers.leaving(now))
    message.add_leaving_servers(std::move(id));
  const std::string bytes = message.SerializeAsString();
  for (const base::Endpoint &to : W.Others.due(now))
    Socket->send(to, bytes);
}

void Gossip::sayGoodbye() { tellAll(true); }

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

/// A sidecar tells of its engine and wants to know the gateways.
void Gossip::takeNotice(const wire::Gossip &message,
                        const Datagrams::Sender &from) {
  const base::Instant now = W.now();
  const wire::EngineNotice &notice = message.notice();
  const auto address = base::parseEndpoint("engine", notice.address());
  if (!ok(address))
    return;
  ServerNotice heard;
  heard.Seen.Id = notice.server();
  heard.Seen.Service = notice.service();
  heard.Seen.Address = value(address);
  heard.Seen.Zone = notice.zone();
  heard.IsLeaving = notice.is_leaving();
  heard.LeavesIn = milliseconds(notice.leaves_in_ms());
  W.Servers.hearNotice(now, heard);
  wire::Gossip answer;
  answer.set_name(W.Settings.Name);
  answer.set_address(base::toString(W.Settings.ControlListen));
  answer.set_incarnation(W.Incarnation);
  for (const Peer &peer : W.Others.live(now))
    answer.add_peers(base::toString(peer.Address));
  Socket->answer(from, answer.SerializeAsString());
}

void Gossip::take(std::string_view datagram, const Datagrams::Sender &from) {
  wire::Gossip message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size())))
    return;
  const base::Instant now = W.now();
  if (message.has_notice()) {
    takeNotice(message, from);
    return;
  }
  const Peers::Heard heard = W.Others.heard(now, message);
  if (heard == Peers::Heard::Nothing)
    return;
  // Who has just started knows nobody yet.
  if (heard == Peers::Heard::Newcomer && !message.is_last())
    W.TellPeers();
  std::vector<LedgerRun> runs;
  for (const wire::Run &run : message.runs())
    runs.push_back(fromWire(run));
  W.Runs.takePeer(now, message.address(), std::move(runs));
  for (const std::string &id : message.leaving_servers())
    W.Servers.markLeaving(now, id);
  for (const wire::Avoided &avoided : message.avoided())
    W.Servers.hearAvoided(now, {avoided.server(),
                                static_cast<int>(avoided.strikes()),
                                milliseconds(avoided.left_ms())});
  hearList(now, message);
}

/// A gateway that follows the store's list has the same one: it is as fresh
/// as theirs.
void Gossip::hearList(base::Instant now, const wire::Gossip &message) {
  if (!message.watches_list() || message.list_digest() != W.Servers.digest())
    return;
  W.ListFrom = std::max(W.ListFrom, now - milliseconds(message.list_age_ms()));
}

asio::awaitable<void> Gossip::catchUp() {
  for (;;) {
    co_await sleepFor(CatchUpEvery);
    const base::Instant now = W.now();
    W.Runs.tick(now);
    W.Servers.tick(now);
    const std::uint64_t version = W.Routes ? W.Routes->config().Version : 0;
    W.WatchesList = W.Others.shouldWatchList(now);
    for (const Peer &peer : W.Others.live(now)) {
      if (peer.ConfigVersion > version) {
        co_await fetchConfig(peer);
        break;
      }
      const bool isOther = peer.WatchesList && !W.WatchesList &&
                           peer.ListDigest != W.Servers.digest();
      const bool isFresh = now - peer.ListFrom < ListIsOld;
      if ((isOther && isFresh) || peer.ListFrom - W.ListFrom > ListIsNewer) {
        co_await fetchServers(peer);
        break;
      }
    }
  }
}

asio::awaitable<void> Gossip::fetchConfig(Peer from) {
  http::Request request{"GET", std::string(ConfigPath), {}, {}};
  http::Fetched fetched =
      co_await http::fetch(from.Address, std::move(request), FetchLimit);
  if (!ok(fetched.Answer) || value(fetched.Answer).Status != Fine) {
    W.Log.write("peer-fetch-failed", {{"peer", from.Name}, {"what", "config"}});
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
    W.Log.write("peer-fetch-failed",
                {{"peer", from.Name}, {"what", "servers"}});
    co_return;
  }
  const base::Instant now = W.now();
  const base::Instant listFrom = now - milliseconds(list.age_ms());
  W.Servers.takePeerList(now, fromWire(list));
  W.ListFrom = listFrom;
  W.Log.write("servers-from-peer", {{"peer", from.Name},
                                    {"servers", list.servers_size()},
                                    {"age_ms", list.age_ms()}});
}

asio::awaitable<void> Gossip::serve(http::Request request, http::Exchange &x) {
  http::Response response{404, "text/plain", "no such page\n", {}};
  const auto isReady = [this] { return W.isReady(); };
  if (auto page = daemon::operatorsPage(request, W.Metrics, isReady)) {
    response = std::move(*page);
  } else if (request.path() == ConfigPath && W.Routes) {
    response = {Fine, "application/octet-stream", W.ConfigText, {}};
  } else if (request.path() == ServersPath) {
    const auto age = milliseconds(base::toMs(W.now() - W.ListFrom));
    const wire::ServerList list = toWire(W.Servers.list(), age);
    response = {Fine, "application/octet-stream", list.SerializeAsString(), {}};
  }
  co_await x.send(std::move(response));
}

} // namespace drumlanding::gateway
