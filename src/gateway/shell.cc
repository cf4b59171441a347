#include "shell.h"

#include "gateway-metrics.h"
#include "saved-parts.h"
#include "store-watch.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;
using daemon::sleepFor;

constexpr milliseconds DrainCheckInterval{50};
/// Time for the responses to requests that are open at the exit; less than
/// GatewayContext::ExitMargin.
constexpr milliseconds FinalResponseTime{100};

} // namespace

Shell::Shell(asio::io_context &io, const base::Clock &clock,
             GatewaySettings settings, ProtocolCodec codec, StoreReader store)
    : Ctx(io, clock, std::move(settings), std::move(codec), std::move(store)),
      Migrations(Ctx), RequestForwarder(Ctx, Migrations) {
  Ctx.Servers.OnLeaving = [this](const Server &server) {
    Migrations.migrateAllFrom(server);
    if (Ctx.NotifyPeers)
      Ctx.NotifyPeers();
  };
  Ctx.Runs.OnChange = [this] { Migrations.onRunsChanged(); };
  Ctx.Limits.AvailableShare = [this](base::Instant now) {
    return Ctx.GatewayPeers.heardFraction(now);
  };
  Ctx.Limits.OnChange = [this](const LimitReport &limit,
                               std::string_view source) {
    Ctx.Log.write("request-limit",
                  {{"server", limit.Server.Id},
                   {"is_limited", limit.RequestsPerSecond.has_value()},
                   {"per_second", limit.RequestsPerSecond.value_or(0)},
                   {"source", source},
                   {"age_ms", base::toMs(limit.Age)}});
    if (Ctx.NotifyPeers)
      Ctx.NotifyPeers();
  };
  Ctx.Suspects.OnChange = [this](std::string_view event,
                                 const SuspectReport &suspect,
                                 std::string_view source) {
    Ctx.Log.write(event, {{"fingerprint", toString(suspect.Fingerprint)},
                          {"organisation", suspect.Organisation},
                          {"ends", suspect.Ends.size()},
                          {"source", source}});
  };
  Ctx.Suspects.OnUpdate = [this] {
    if (Ctx.NotifyPeers)
      Ctx.NotifyPeers();
  };
  Ctx.SuspectParts.evidence().OnUpdate = Ctx.Suspects.OnUpdate;
  Ctx.SuspectParts.OnChange = [this](std::string_view event,
                                     const SuspectReport &suspect,
                                     bool isCertain) {
    Ctx.Log.write(event, {{"fingerprint", toString(suspect.Fingerprint)},
                          {"organisation", suspect.Organisation},
                          {"part", suspect.Part},
                          {"ends", suspect.Ends.size()},
                          {"certain", isCertain}});
    Migrations.abandonQuarantined();
  };
  Ctx.RequestBodies->OnRefused = [this] {
    countRefusedBody(Ctx.Metrics);
    Ctx.Log.write("body-refused",
                  {{"bytes", Ctx.RequestBodies->reservedBytes()},
                   {"open", Ctx.OpenRequests}});
  };
  Ctx.Connections->OnRequestClosed =
      [this](http::ConnectionTable::Limit limit) {
        const std::string_view name = toString(limit);
        countEvictedRequest(Ctx.Metrics, name);
        Ctx.Log.write("request-evicted",
                      {{"limit", name}, {"open", Ctx.OpenRequests}});
      };
  Ctx.Servers.OnOutageEnd = [this](base::Duration length) {
    Ctx.Log.write("store-outage-over", {{"ms", base::toMs(length)}});
  };
  Ctx.Servers.OnChange = [this](std::string_view event, Evidence evidence,
                                const Server &server) {
    Ctx.Log.write(event, {{"server", server.Listed.Id},
                          {"evidence", toString(evidence)},
                          {"service", server.Listed.Service},
                          {"address", base::toString(server.Listed.Address)},
                          {"zone", server.Listed.Zone}});
  };
}

namespace {

/// Measures how late the event loop runs timers.
asio::awaitable<void> measureDelay(GatewayContext &ctx) {
  for (;;) {
    const base::Instant dueAt = ctx.now() + LoadShedder::SampleInterval;
    co_await sleepFor(LoadShedder::SampleInterval);
    const base::Instant now = ctx.now();
    const bool wasOverloaded = ctx.Shedder.isOverloaded();
    ctx.Shedder.recordDelay(now, now - dueAt);
    if (ctx.Shedder.isOverloaded() != wasOverloaded)
      ctx.Log.write(
          wasOverloaded ? "overload-ended" : "overload-began",
          {{"delay_ms", base::toMs(now - dueAt)}, {"open", ctx.OpenRequests}});
  }
}

} // namespace

base::Result<std::unique_ptr<Shell>>
Shell::start(asio::io_context &io, const base::Clock &clock,
             GatewaySettings settings, ProtocolCodec codec, StoreReader store) {
  std::unique_ptr<Shell> shell(new Shell(io, clock, std::move(settings),
                                         std::move(codec), std::move(store)));
  if (auto r = shell->listen(); !ok(r))
    return error(r);
  asio::co_spawn(io, watchConfig(shell->Ctx), asio::detached);
  asio::co_spawn(io, watchServers(shell->Ctx), asio::detached);
  asio::co_spawn(io, measureDelay(shell->Ctx), asio::detached);
  asio::co_spawn(io, keepSavedParts(shell->Ctx), asio::detached);
  shell->Ctx.Log.write("started", {{"zone", shell->Ctx.Settings.Zone},
                                   {"incarnation", shell->Ctx.Incarnation}});
  return shell;
}

base::Result<base::Done> Shell::listen() {
  auto gossip = Gossip::start(Ctx);
  if (!ok(gossip))
    return error(gossip);
  PeerGossip = std::move(value(gossip));
  http::ServerOptions options;
  options.CurrentLimits = [this] {
    return Ctx.Routes ? Ctx.Routes->config().Limits : http::CallerLimits();
  };
  options.AcceptsConnection = [this] {
    const bool isAccepted = Ctx.Shedder.accepts(Ctx.now());
    if (!isAccepted)
      countShedConnection(Ctx.Metrics);
    return isAccepted;
  };
  options.Bodies = Ctx.RequestBodies;
  options.Connections = Ctx.Connections;
  options.NoRoom = makeUnreadRefusal();
  auto callers =
      http::Server::listen(Ctx.Io, Ctx.Settings.Listen, std::move(options),
                           [this](http::Request r, http::Exchange &x) {
                             return RequestForwarder.serve(std::move(r), x);
                           });
  if (!ok(callers))
    return error(callers);
  CallerServer = std::move(value(callers));
  auto ready = http::Server::listen(Ctx.Io, Ctx.Settings.ReadyListen,
                                    Ctx.internalServerOptions(),
                                    [this](http::Request r, http::Exchange &x) {
                                      return serveReadiness(std::move(r), x);
                                    });
  if (!ok(ready))
    return error(ready);
  ReadyServer = std::move(value(ready));
  return listenForMetrics();
}

base::Result<base::Done> Shell::listenForMetrics() {
  if (!Ctx.Settings.MetricsListen)
    return base::Done{};
  const auto servePage = [this](http::Request r,
                                http::Exchange &x) -> asio::awaitable<void> {
    auto page = metricsPage(Ctx, r);
    http::Response notFound{404, "text/plain", "no such page\n", {}};
    co_await x.send(std::move(page ? *page : notFound));
  };
  auto pages = http::Server::listen(Ctx.Io, *Ctx.Settings.MetricsListen,
                                    Ctx.internalServerOptions(), servePage);
  if (!ok(pages))
    return error(pages);
  MetricsServer = std::move(value(pages));
  return base::Done{};
}

asio::awaitable<void> Shell::serveReadiness(http::Request request,
                                            http::Exchange &x) {
  http::Response response{404, "text/plain", "no such page\n", {}};
  if (request.path() == Ctx.Codec.ReadyPath)
    response = Ctx.isReady()
                   ? http::Response{200, "text/plain", "ready\n", {}}
                   : http::Response{503, "text/plain", "not ready\n", {}};
  co_await x.send(std::move(response));
}

void Shell::reload(const base::Result<GatewaySettings> &settings) {
  if (!ok(settings)) {
    Ctx.Log.write("settings-rejected", {{"why", describe(error(settings))}});
    return;
  }
  const GatewaySettings &updated = value(settings);
  const bool needsRestart =
      updated.Listen != Ctx.Settings.Listen ||
      updated.ReadyListen != Ctx.Settings.ReadyListen ||
      updated.ControlListen != Ctx.Settings.ControlListen ||
      updated.StoreAddress != Ctx.Settings.StoreAddress;
  Ctx.Settings.Retries = updated.Retries;
  Ctx.Settings.DrainTime = updated.DrainTime;
  Ctx.Settings.MaxConfigApplyTime = updated.MaxConfigApplyTime;
  Ctx.Settings.TerminationGracePeriod = updated.TerminationGracePeriod;
  Ctx.Settings.Responses = updated.Responses;
  Ctx.Settings.RequestBodies = updated.RequestBodies;
  Ctx.Settings.Connections = updated.Connections;
  Ctx.Budget.setOptions(updated.Retries);
  Ctx.ResponseBodies.setLimits(updated.Responses);
  Ctx.RequestBodies->setOptions(updated.RequestBodies);
  Ctx.Connections->setMaxRequestBytes(updated.Connections.MaxRequestBytes);
  Ctx.Log.write("settings-taken", {{"needs_restart", needsRestart}});
}

void Shell::shutDown() {
  if (Ctx.IsLeaving)
    return;
  Ctx.IsLeaving = true;
  Ctx.LeavingSince = Ctx.now();
  Ctx.Log.write("stopping", {{"open", Ctx.OpenRequests}});
  CallerServer->closeAfterResponses();
  asio::co_spawn(Ctx.Io, drainAndStop(), asio::detached);
}

asio::awaitable<void> Shell::drainAndStop() {
  co_await sleepFor(GatewayContext::BalancerRemovalTime);
  CallerServer->stopAccepting();
  do {
    CallerServer->closeIdle();
    co_await sleepFor(DrainCheckInterval);
  } while (Ctx.OpenRequests > 0 && Ctx.now() < Ctx.stopDeadline());
  if (Ctx.OpenRequests > 0) {
    Ctx.Log.write("requests-cut", {{"open", Ctx.OpenRequests}});
    RequestForwarder.abortAll(AbortReason::Stopping);
    // Lets the responses go out.
    co_await sleepFor(FinalResponseTime);
  }
  PeerGossip->announceStop();
  Ctx.Log.write("stopped", {{"open", Ctx.OpenRequests}});
  Ctx.Io.stop();
}

} // namespace drumlanding::gateway
