#include "gateway-context.h"

namespace drumlanding::gateway {

void GatewayContext::applyConfig(std::string text, std::string_view from) {
  auto config = Store.DecodeConfig(text);
  if (!ok(config)) {
    Log.write("config-rejected",
              {{"from", from}, {"why", describe(error(config))}});
    return;
  }
  const std::uint64_t version = value(config).Version;
  if (Routes && version <= Routes->config().Version)
    return;
  Routes = std::make_shared<const RouteTable>(std::move(value(config)));
  ConfigText = std::move(text);
  Log.write("config-taken", {{"version", version},
                             {"from", from},
                             {"routes", Routes->config().Routes.size()}});
  Metrics.set("drumlanding_document_version", static_cast<double>(version),
              {{"document", "config"}});
  if (NotifyPeers)
    NotifyPeers();
}

} // namespace drumlanding::gateway
