#include "engine-reports.h"

#include "drumlanding/daemon/sleep.h"
#include "drumlanding/gateway/report-schedule.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace drumlanding::gateway {
namespace {

using base::milliseconds;

constexpr milliseconds CheckInterval{50};
/// Reports arrive within milliseconds.
constexpr milliseconds ReportTimeout{400};
/// Reports describe the engine as it was some hundred milliseconds ago.
constexpr milliseconds ReportDelay{300};

/// Returns the engines with generations of this gateway that are not known to
/// be leaving.
std::vector<ServerInstance> enginesInUse(const GatewayContext &ctx) {
  std::vector<ServerInstance> engines;
  for (const TrackedRun &run : ctx.Runs.ownRuns()) {
    const Server *server = ctx.Servers.find(run.Server);
    if (!server || server->IsLeaving)
      continue;
    const ServerInstance engine{server->Listed.Id, server->Listed.StartedAt};
    if (std::find(engines.begin(), engines.end(), engine) == engines.end())
      engines.push_back(engine);
  }
  return engines;
}

void applyReport(GatewayContext &ctx, const ServerInstance &engine,
                 const ServerReport &report) {
  const Server *server = ctx.Servers.find(engine.Id);
  if (!server || server->Listed.StartedAt != engine.StartedAt)
    return;
  // Another server may have taken over the address.
  const bool isSameInstance = report.StartedAt == milliseconds(0) ||
                              engine.StartedAt == milliseconds(0) ||
                              report.StartedAt == engine.StartedAt;
  if (!isSameInstance || !report.IsLeaving)
    return;
  ServerNotice notice;
  notice.Entry = server->Listed;
  notice.IsLeaving = true;
  if (report.LeavesIn)
    notice.LeavesIn = std::max(*report.LeavesIn - ReportDelay, milliseconds(1));
  ctx.Servers.applyNotice(ctx.now(), notice, Evidence::Report);
}

asio::awaitable<void> requestReport(GatewayContext &ctx,
                                    ServerInstance engine) {
  const Server *server = ctx.Servers.find(engine.Id);
  if (!server)
    co_return;
  const http::FetchResult fetched = co_await http::fetch(
      server->Listed.Address, ctx.Codec.EncodeReportRequest(), ReportTimeout);
  if (!ok(fetched.Outcome)) {
    ctx.Log.write("report-failed", {{"server", engine.Id},
                                    {"why", describe(error(fetched.Outcome))}});
    co_return;
  }
  const auto report = ctx.Codec.DecodeReport(value(fetched.Outcome));
  if (ok(report))
    applyReport(ctx, engine, value(report));
  else
    ctx.Log.write("report-failed",
                  {{"server", engine.Id}, {"why", describe(error(report))}});
}

} // namespace

asio::awaitable<void> watchEngineReports(GatewayContext &ctx) {
  ReportSchedule schedule;
  for (;;) {
    co_await daemon::sleepFor(CheckInterval);
    const base::Instant now = ctx.now();
    const base::Duration listAge = now - ctx.ListConfirmedAt;
    const std::vector<ServerInstance> engines = enginesInUse(ctx);
    for (ServerInstance &engine : schedule.takeDue(now, listAge, engines))
      asio::co_spawn(ctx.Io, requestReport(ctx, std::move(engine)),
                     asio::detached);
  }
}

} // namespace drumlanding::gateway
