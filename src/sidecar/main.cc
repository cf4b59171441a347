// drumlanding-sidecar: runs on the VM of an engine and notifies the gateways
// when the engine is going to leave.
#include "platform/protocol-codec.h"
#include "sidecar.h"

#include "drumlanding/daemon/process.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>

DEFINE_string(node_file, "",
              "[process] settings file, one --flag=value per line");
DEFINE_string(sidecar_listen, "",
              "[network] IP:port at which gateways' messages arrive (UDP)");
DEFINE_string(engine, "", "[network] IP:port of the engine on this VM");
DEFINE_string(service, "", "[identity] service that the engine serves");
DEFINE_string(seeds, "",
              "[network] initial gateway addresses, separated by commas");

namespace {

using namespace drumlanding;

constexpr std::string_view Flags[] = {"node_file", "sidecar_listen", "engine",
                                      "service", "seeds"};

base::Result<sidecar::SidecarSettings> readSidecarSettings(int argc,
                                                           char **argv) {
  const auto process = daemon::readProcessSettings(
      argc, argv, "drumlanding-sidecar: monitors the engine on this VM", Flags);
  if (!ok(process))
    return error(process);
  sidecar::SidecarSettings settings;
  settings.Name = value(process).Name;
  settings.Zone = value(process).FailureDomain;
  settings.Service = FLAGS_service;
  const auto listen =
      base::parseEndpoint("--sidecar_listen", FLAGS_sidecar_listen);
  if (!ok(listen))
    return error(listen);
  settings.Listen = value(listen);
  const auto engine = base::parseEndpoint("--engine", FLAGS_engine);
  if (!ok(engine))
    return error(engine);
  settings.Engine = value(engine);
  auto seeds = base::parseEndpoints("--seeds", FLAGS_seeds);
  if (!ok(seeds))
    return error(seeds);
  settings.Seeds = std::move(value(seeds));
  return settings;
}

} // namespace

int main(int argc, char **argv) {
  const auto settings = readSidecarSettings(argc, argv);
  if (!ok(settings))
    base::exitOnBadSettings(error(settings));
  boost::asio::io_context io(1);
  // The process that reads the log may exit first.
  std::signal(SIGPIPE, SIG_IGN);
  const base::SystemClock clock;
  auto sidecar = sidecar::Sidecar::start(io, clock, value(settings),
                                         platform::makeProtocolCodec());
  if (!ok(sidecar))
    base::exitOnBadSettings(error(sidecar));
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](boost::system::error_code, int) { io.stop(); });
  std::signal(SIGHUP, SIG_IGN);
  io.run();
  return 0;
}
