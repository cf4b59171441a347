#include "gateway-context.h"

#include "drumlanding/daemon/sleep.h"

namespace drumlanding::gateway {
namespace {

/// Maximum number of connections of a server that only other processes of the
/// deployment, the load balancer and operators use. They send one request at a
/// time.
constexpr std::size_t MaxInternalConnections = 256;

} // namespace

http::ServerOptions GatewayContext::internalServerOptions() const {
  http::ServerOptions options;
  options.MaxConnections = MaxInternalConnections;
  options.Connections = Connections;
  return options;
}

asio::awaitable<void> GatewayContext::applyConfig(std::string text,
                                                  std::string_view from) {
  // Decoding a large config takes tens of ms on a weak VM, and so did receiving
  // it. Streams that have waited go first.
  co_await daemon::yield();
  auto config = Store.DecodeConfig(text);
  if (!ok(config)) {
    Log.write("config-rejected",
              {{"from", from}, {"why", describe(error(config))}});
    co_return;
  }
  const std::uint64_t version = value(config).Version;
  if (Routes && version <= Routes->config().Version)
    co_return;
  Routes = std::make_shared<const RouteTable>(std::move(value(config)));
  ConfigText = std::move(text);
  Log.write("config-taken", {{"version", version},
                             {"from", from},
                             {"routes", Routes->config().Routes.size()},
                             {"needs_keys", Routes->needsKeys()}});
  Metrics.set("drumlanding_document_version", static_cast<double>(version),
              {{"document", "config"}});
  if (NotifyPeers)
    NotifyPeers();
}

} // namespace drumlanding::gateway
