#include "gateway-metrics.h"

#include "drumlanding/base/metrics.h"
#include "drumlanding/daemon/process.h"

namespace drumlanding::gateway {
namespace {

double toSeconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

std::string boolLabel(bool b) { return b ? "true" : "false"; }

} // namespace

void countCall(base::Metrics &metrics, const CallResult &result) {
  const std::string route(result.Route);
  metrics.count("drumlanding_gateway_calls_total",
                {{"route", route}, {"status", std::to_string(result.Status)}});
  metrics.observe("drumlanding_gateway_call_seconds", toSeconds(result.Elapsed),
                  {{"route", route}});
}

void countStream(base::Metrics &metrics, const StreamResult &result) {
  const std::string route(result.Route);
  metrics.count("drumlanding_gateway_streams_total",
                {{"route", route}, {"how", std::string(result.Outcome)}});
  if (result.TimeToFirstEvent == base::Duration(0))
    return;
  const base::MetricLabels labels{{"route", route}};
  metrics.observe("drumlanding_gateway_first_event_seconds",
                  toSeconds(result.TimeToFirstEvent), labels);
  metrics.observe("drumlanding_gateway_longest_pause_seconds",
                  toSeconds(result.MaxPause), labels);
  metrics.observe("drumlanding_gateway_stream_seconds",
                  toSeconds(result.Elapsed), labels);
}

void countMigrationStep(base::Metrics &metrics, std::string_view step,
                        bool isDone) {
  metrics.count("drumlanding_gateway_moves_total",
                {{"step", std::string(step)}, {"done", boolLabel(isDone)}});
}

void countRetry(base::Metrics &metrics, std::string_view service,
                bool isGranted) {
  metrics.count(
      "drumlanding_gateway_retries_total",
      {{"service", std::string(service)}, {"granted", boolLabel(isGranted)}});
}

void countReachedLimit(base::Metrics &metrics, std::string_view service,
                       bool isPlaced) {
  metrics.count(
      "drumlanding_gateway_limits_reached_total",
      {{"service", std::string(service)}, {"placed", boolLabel(isPlaced)}});
}

void countSuspectRefusal(base::Metrics &metrics, std::string_view service,
                         std::string_view why) {
  metrics.count("drumlanding_gateway_suspects_refused_total",
                {{"service", std::string(service)}, {"why", std::string(why)}});
}

void countShedConnection(base::Metrics &metrics) {
  metrics.count("drumlanding_gateway_connections_shed_total", {});
}

void countRefusedBody(base::Metrics &metrics) {
  metrics.count("drumlanding_gateway_bodies_refused_total", {});
}

void countEvictedRequest(base::Metrics &metrics, std::string_view limit) {
  metrics.count("drumlanding_requests_evicted_total",
                {{"limit", std::string(limit)}});
}

void countStoreCall(base::Metrics &metrics, std::string_view resource,
                    bool isAnswered) {
  metrics.count(
      "drumlanding_platform_calls_total",
      {{"call", std::string(resource)}, {"answered", boolLabel(isAnswered)}});
}

namespace {

/// Updates the gauges from the gateway's current state.
void updateGauges(GatewayContext &ctx) {
  const base::Instant now = ctx.now();
  base::Metrics &metrics = ctx.Metrics;
  int leaving = 0;
  int ejected = 0;
  int ready = 0;
  for (const Server *server : ctx.Servers.all()) {
    if (server->IsLeaving)
      ++leaving;
    else if (now < server->EjectedUntil)
      ++ejected;
    else
      ++ready;
  }
  const auto set = [&](const char *state, int n) {
    metrics.set("drumlanding_known_servers", n, {{"state", state}});
  };
  set("ready", ready);
  set("leaving", leaving);
  set("avoided", ejected);
  const auto setSuspects = [&](const char *state, Quarantine::State s) {
    metrics.set("drumlanding_gateway_suspect_requests",
                static_cast<double>(ctx.Suspects.count(now, s)),
                {{"state", state}});
  };
  setSuspects("suspect", Quarantine::State::Suspect);
  setSuspects("quarantined", Quarantine::State::Quarantined);
  metrics.set("drumlanding_gateway_quarantined_parts",
              static_cast<double>(ctx.SuspectParts.count()));
  metrics.set("drumlanding_gateway_open_requests", ctx.OpenRequests);
  metrics.set("drumlanding_gateway_peers",
              static_cast<double>(ctx.GatewayPeers.live(now).size()));
  metrics.set("drumlanding_gateway_list_age_seconds",
              toSeconds(now - ctx.ListConfirmedAt));
  metrics.set("drumlanding_gateway_config_age_seconds",
              toSeconds(now - ctx.ConfigConfirmedAt));
  metrics.set("drumlanding_gateway_log_lines_dropped",
              static_cast<double>(ctx.Log.dropped()));
}

} // namespace

std::optional<http::Response> metricsPage(GatewayContext &ctx,
                                          const http::Request &request) {
  updateGauges(ctx);
  const auto isReady = [&ctx] { return ctx.isReady(); };
  return daemon::handleOperatorRequest(request, ctx.Metrics, isReady);
}

} // namespace drumlanding::gateway
