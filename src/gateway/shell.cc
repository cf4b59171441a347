#include "shell.h"

#include "gateway-metrics.h"
#include "store-watch.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using daemon::sleepFor;

/// The balancer asks every second and needs two answers to take a gateway out;
/// until then it may hand over new connections.
constexpr milliseconds BalancerTime{3'000};
constexpr milliseconds CheckEvery{50};

} // namespace

Shell::Shell(asio::io_context &io, const base::Clock &clock,
             GatewaySettings settings, ProtocolCodec dialect,
             StoreReader source)
    : W(io, clock, std::move(settings), std::move(dialect), std::move(source)),
      Moves(W), Requests(W, Moves) {
  W.Servers.OnLeaving = [this](const Server &server) {
    Moves.leave(server);
    if (W.TellPeers)
      W.TellPeers();
  };
  W.Runs.OnChange = [this] { Moves.runsChanged(); };
  W.Servers.OnOutageEnd = [this](base::Duration length) {
    W.Log.write("store-outage-over", {{"ms", base::toMs(length)}});
  };
  W.Servers.OnChange = [this](std::string_view event, Evidence evidence,
                              const Server &server) {
    W.Log.write(event, {{"server", server.Listed.Id},
                        {"evidence", toString(evidence)},
                        {"service", server.Listed.Service},
                        {"address", base::toString(server.Listed.Address)},
                        {"zone", server.Listed.Zone}});
  };
}

base::Result<std::unique_ptr<Shell>> Shell::start(asio::io_context &io,
                                                  const base::Clock &clock,
                                                  GatewaySettings settings,
                                                  ProtocolCodec dialect,
                                                  StoreReader source) {
  std::unique_ptr<Shell> shell(new Shell(
      io, clock, std::move(settings), std::move(dialect), std::move(source)));
  if (auto r = shell->listen(); !ok(r))
    return error(r);
  asio::co_spawn(io, watchConfig(shell->W), asio::detached);
  asio::co_spawn(io, watchServers(shell->W), asio::detached);
  shell->W.Log.write("started", {{"zone", shell->W.Settings.Zone},
                                 {"incarnation", shell->W.Incarnation}});
  return shell;
}

base::Result<base::Done> Shell::listen() {
  auto talk = Gossip::start(W);
  if (!ok(talk))
    return error(talk);
  Talk = std::move(value(talk));
  http::ServerOptions options;
  options.CurrentLimits = [this] {
    return W.Routes ? W.Routes->config().Limits : http::CallerLimits();
  };
  auto callers =
      http::Server::listen(W.Io, W.Settings.Listen, std::move(options),
                           [this](http::Request r, http::Exchange &x) {
                             return Requests.serve(std::move(r), x);
                           });
  if (!ok(callers))
    return error(callers);
  Callers = std::move(value(callers));
  auto ready = http::Server::listen(W.Io, W.Settings.ReadyListen, {},
                                    [this](http::Request r, http::Exchange &x) {
                                      return answerReady(std::move(r), x);
                                    });
  if (!ok(ready))
    return error(ready);
  Ready = std::move(value(ready));
  return listenForMetrics();
}

base::Result<base::Done> Shell::listenForMetrics() {
  if (!W.Settings.MetricsListen)
    return base::Done{};
  const auto answer = [this](http::Request r,
                             http::Exchange &x) -> asio::awaitable<void> {
    auto page = metricsPage(W, r);
    http::Response none{404, "text/plain", "no such page\n", {}};
    co_await x.send(std::move(page ? *page : none));
  };
  auto pages =
      http::Server::listen(W.Io, *W.Settings.MetricsListen, {}, answer);
  if (!ok(pages))
    return error(pages);
  MetricsPages = std::move(value(pages));
  return base::Done{};
}

asio::awaitable<void> Shell::answerReady(http::Request request,
                                         http::Exchange &x) {
  http::Response response{404, "text/plain", "no such page\n", {}};
  if (request.path() == W.Words.ReadyPath)
    response = W.isReady()
                   ? http::Response{200, "text/plain", "ready\n", {}}
                   : http::Response{503, "text/plain", "not ready\n", {}};
  co_await x.send(std::move(response));
}

void Shell::reload(const base::Result<GatewaySettings> &read) {
  if (!ok(read)) {
    W.Log.write("settings-rejected", {{"why", describe(error(read))}});
    return;
  }
  const GatewaySettings &fresh = value(read);
  const bool needsRestart = fresh.Listen != W.Settings.Listen ||
                            fresh.ReadyListen != W.Settings.ReadyListen ||
                            fresh.ControlListen != W.Settings.ControlListen ||
                            fresh.Store != W.Settings.Store;
  W.Settings.Retries = fresh.Retries;
  W.Settings.Drain = fresh.Drain;
  W.Settings.ConfigApply = fresh.ConfigApply;
  W.Settings.Grace = fresh.Grace;
  W.Budget.setOptions(fresh.Retries);
  W.Log.write("settings-taken", {{"needs_restart", needsRestart}});
}

void Shell::leave() {
  if (W.IsLeaving)
    return;
  W.IsLeaving = true;
  W.LeavingSince = W.now();
  W.Log.write("stopping", {{"open", W.Open}});
  Callers->closeAfterAnswers();
  asio::co_spawn(W.Io, windDown(), asio::detached);
}

asio::awaitable<void> Shell::windDown() {
  co_await sleepFor(BalancerTime);
  Callers->stopAccepting();
  do {
    Callers->closeIdle();
    co_await sleepFor(CheckEvery);
  } while (W.Open > 0 && W.now() < W.stopAt());
  Talk->announceStop();
  W.Log.write("stopped", {{"open", W.Open}});
  W.Io.stop();
}

} // namespace drumlanding::gateway
