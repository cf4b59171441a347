#include "gateway-metrics.h"

#include "drumlanding/base/metrics.h"
#include "drumlanding/daemon/process.h"

namespace drumlanding::gateway {
namespace {

double inSeconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

std::string text(bool b) { return b ? "true" : "false"; }

} // namespace

void countCall(base::Metrics &metrics, const CallEnd &end) {
  const std::string route(end.Route);
  metrics.count("drumlanding_gateway_calls_total",
                {{"route", route}, {"status", std::to_string(end.Status)}});
  metrics.observe("drumlanding_gateway_call_seconds", inSeconds(end.Took),
                  {{"route", route}});
}

void countStream(base::Metrics &metrics, const StreamEnd &end) {
  const std::string route(end.Route);
  metrics.count("drumlanding_gateway_streams_total",
                {{"route", route}, {"how", std::string(end.How)}});
  if (end.FirstEvent == base::Duration(0))
    return;
  const base::MetricLabels labels{{"route", route}};
  metrics.observe("drumlanding_gateway_first_event_seconds",
                  inSeconds(end.FirstEvent), labels);
  metrics.observe("drumlanding_gateway_longest_pause_seconds",
                  inSeconds(end.LongestPause), labels);
  metrics.observe("drumlanding_gateway_stream_seconds", inSeconds(end.Took),
                  labels);
}

void countMove(base::Metrics &metrics, std::string_view step, bool isDone) {
  metrics.count("drumlanding_gateway_moves_total",
                {{"step", std::string(step)}, {"done", text(isDone)}});
}

void countRetry(base::Metrics &metrics, std::string_view service,
                bool isGranted) {
  metrics.count(
      "drumlanding_gateway_retries_total",
      {{"service", std::string(service)}, {"granted", text(isGranted)}});
}

void countStoreCall(base::Metrics &metrics, std::string_view what,
                    bool isAnswered) {
  metrics.count("drumlanding_platform_calls_total",
                {{"call", std::string(what)}, {"answered", text(isAnswered)}});
}

namespace {

/// Sets the gauges of what the gateway knows now.
void setGauges(World &world) {
  const base::Instant now = world.now();
  base::Metrics &metrics = world.Metrics;
  int leaving = 0;
  int avoided = 0;
  int ready = 0;
  for (const Server *server : world.Servers.all()) {
    if (server->IsLeaving)
      ++leaving;
    else if (now < server->EjectedUntil)
      ++avoided;
    else
      ++ready;
  }
  const auto set = [&](const char *state, int n) {
    metrics.set("drumlanding_known_servers", n, {{"state", state}});
  };
  set("ready", ready);
  set("leaving", leaving);
  set("avoided", avoided);
  metrics.set("drumlanding_gateway_open_requests", world.Open);
  metrics.set("drumlanding_gateway_peers",
              static_cast<double>(world.Others.live(now).size()));
  metrics.set("drumlanding_gateway_list_age_seconds",
              inSeconds(now - world.ListFrom));
  metrics.set("drumlanding_gateway_config_age_seconds",
              inSeconds(now - world.ConfigFrom));
  metrics.set("drumlanding_gateway_log_lines_dropped",
              static_cast<double>(world.Log.dropped()));
}

} // namespace

std::optional<http::Response> metricsPage(World &world,
                                          const http::Request &request) {
  setGauges(world);
  const auto isReady = [&world] { return world.isReady(); };
  return daemon::operatorsPage(request, world.Metrics, isReady);
}

} // namespace drumlanding::gateway
