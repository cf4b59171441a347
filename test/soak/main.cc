// soak: runs the real gateways and sidecars as separate processes with fake
// backend servers and a fake store, injects faults drawn from a seed, and
// checks the documented promises against what callers and servers observe.
//
//   soak --programs build --work /tmp/soak --seed 7 --seconds 60
#include "callers.h"
#include "fault-injector.h"

#include "drumlanding/base/settings.h"
#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "[soak] seed of faults and callers");
DEFINE_double(seconds, 40, "[soak] seconds during which faults are injected");
DEFINE_string(programs, "build", "[soak] directory of the programs under test");
DEFINE_string(work, "", "[soak] directory for settings and logs");
DEFINE_int32(gateways, 3, "[soak] number of gateways, 1 to 100");
DEFINE_int32(engines, 4,
             "[soak] number of engines, each with a sidecar, 1 to 100");
DEFINE_int32(services, 3, "[soak] number of plain backend servers, 1 to 50");
DEFINE_int32(callers, 24,
             "[soak] number of callers, each with one request at a time");
DEFINE_int32(base_port, 21000, "[soak] first port on loopback");

namespace drumlanding::soak {
namespace {

using base::milliseconds;
using daemon::sleepFor;

constexpr std::string_view Flags[] = {"seed",     "seconds",  "programs",
                                      "work",     "gateways", "engines",
                                      "services", "callers",  "base_port"};
constexpr milliseconds ShutdownTimeout{12'000};
/// A run that completes a smaller fraction of its requests has tested nothing.
constexpr double MinCompletedRatio = 0.3;
/// Each simulated machine has its own address, 127.0.SUBNET.n.
constexpr int GatewaySubnet = 2;
constexpr int ServerSubnet = 1;

/// Ports, as offsets from --base_port; the same on every address.
enum Port {
  StorePort,
  PublicPort,
  PrivatePort,
  ReadyPort,
  ControlPort,
  StoreLinkPort,
  SidecarPort,
};

std::uint16_t port(Port p) {
  return static_cast<std::uint16_t>(FLAGS_base_port + p);
}

base::Endpoint endpoint(int subnet, int n, Port p) {
  return {fmt::format("127.0.{}.{}", subnet, n), port(p)};
}

std::string zoneOf(int n) { return n % 2 == 0 ? "hall-a" : "hall-b"; }

std::string logFile(const std::string &name) {
  return FLAGS_work + "/" + name + ".log";
}

class Soak {
public:
  Soak() : Store(storeEndpoint()), Configs(Log, Store) {}

  int run() {
    startStore();
    startServers();
    for (int n = 1; n <= FLAGS_gateways; ++n)
      startGateway(n);
    for (int n = 1; n <= FLAGS_engines; ++n)
      startSidecar(n);
    // An address is in use: another run has the same ports.
    if (Log.violations() > 0) {
      System.Programs.killAll();
      return reportResult();
    }
    System.Programs.OnUnexpectedExit = [this](const Program &program,
                                              int status) {
      Log.recordViolation(
          "no process ends by itself",
          fmt::format("{} exited with wait status {}", program.Name, status));
    };
    Log.ServerAt = [this](const std::string &address) {
      return serverAt(address);
    };
    asio::co_spawn(Io, System.Programs.supervise(), asio::detached);
    asio::co_spawn(Io, System.Gateways.probeReadiness(), asio::detached);
    asio::co_spawn(Io, runScenario(), [](std::exception_ptr e) {
      if (e)
        std::rethrow_exception(e);
    });
    Io.run();
    System.Programs.killAll();
    return reportResult();
  }

private:
  static base::Endpoint storeEndpoint() {
    return {"127.0.0.1", port(StorePort)};
  }
  static std::string programFile(const char *name) {
    return FLAGS_programs + "/" + name;
  }

  void startStore() {
    System.Store = storeEndpoint();
    System.Programs.add("store",
                        {programFile("fake-platform"), "--listen",
                         base::toString(storeEndpoint()), "--writes_per_second",
                         "400"},
                        logFile("store"));
  }

  void startServers() {
    for (int n = 1; n <= FLAGS_engines + FLAGS_services; ++n) {
      const bool isEngine = n <= FLAGS_engines;
      FakeServer::Options options{isEngine ? "llm" : "shop",
                                  zoneOf(n),
                                  endpoint(ServerSubnet, n, PublicPort),
                                  endpoint(ServerSubnet, n, PrivatePort),
                                  isEngine,
                                  FLAGS_gateways};
      System.Servers.push_back(std::make_unique<FakeServer>(
          Io, Log, SharedCopies, Store, std::move(options),
          FLAGS_seed * 1'000 + static_cast<std::uint64_t>(n)));
      System.Servers.back()->start();
    }
  }

  std::string seeds() const {
    std::string text;
    for (int n = 1; n <= std::min(FLAGS_gateways, 3); ++n)
      text += (n > 1 ? "," : "") +
              base::toString(endpoint(GatewaySubnet, n, ControlPort));
    return text;
  }

  void startGateway(int n) {
    auto gateway = std::make_unique<Gateway>();
    gateway->Public = endpoint(GatewaySubnet, n, PublicPort);
    gateway->Ready = endpoint(GatewaySubnet, n, ReadyPort);
    const base::Endpoint listen = endpoint(GatewaySubnet, n, PrivatePort);
    const base::Endpoint store = endpoint(GatewaySubnet, n, StoreLinkPort);
    auto callerLink = Proxy::start(Io, gateway->Public, listen);
    auto storeLink = Proxy::start(Io, store, storeEndpoint());
    if (!ok(callerLink) || !ok(storeLink)) {
      Log.recordViolation(
          "soak", "cannot listen for the proxies of a gateway: port in use");
      return;
    }
    gateway->CallerLink = std::move(value(callerLink));
    gateway->StoreLink = std::move(value(storeLink));
    const std::string name = fmt::format("gateway-{}", n);
    gateway->SettingsFile = FLAGS_work + "/" + name + ".settings";
    std::ofstream(gateway->SettingsFile) << fmt::format(
        "--name={}\n--place={}\n--failure_domain={}\n--listen={}\n"
        "--ready_listen={}\n--gateway_listen={}\n--platform={}\n--seeds={}\n"
        "--sidecar_port={}\n--retry_extra=30\n--drain_ms=1000\n--renewal_ms="
        "500\n--grace_s=8\n",
        name, zoneOf(n), zoneOf(n), base::toString(listen),
        base::toString(gateway->Ready),
        base::toString(endpoint(GatewaySubnet, n, ControlPort)),
        base::toString(store), seeds(), port(SidecarPort));
    gateway->Process =
        &System.Programs.add(name,
                             {programFile("drumlanding-gateway"),
                              "--node_file=" + gateway->SettingsFile},
                             logFile(name));
    System.Gateways.Members.push_back(std::move(gateway));
  }

  void startSidecar(int n) {
    const std::string name = fmt::format("sidecar-{}", n);
    System.Sidecars.push_back(&System.Programs.add(
        name,
        {programFile("drumlanding-sidecar"), "--name=" + name,
         "--place=" + zoneOf(n), "--failure_domain=" + zoneOf(n),
         "--sidecar_listen=" +
             base::toString(endpoint(ServerSubnet, n, SidecarPort)),
         "--engine=" + base::toString(endpoint(ServerSubnet, n, PublicPort)),
         "--service=llm", "--seeds=" + seeds()},
        logFile(name)));
  }

  std::string serverAt(const std::string &address) const {
    for (const auto &server : System.Servers)
      if (server->isUp() && base::toString(server->options().Public) == address)
        return server->id();
    return {};
  }

  asio::awaitable<void> runScenario() {
    const auto duration =
        milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1'000));
    FaultInjector faults(Io, Log, System, Configs, FLAGS_seed);
    Callers callers(Io, Log, Configs, System.Gateways, FLAGS_seed + 1);
    faults.RepeatDeadlyRequest = [&] { return callers.repeatDeadlyRequest(); };
    callers.start(FLAGS_callers);
    co_await faults.run(Journal::now() + duration);
    callers.stop();
    const base::Instant deadline = Journal::now() + ShutdownTimeout;
    while (callers.active() > 0 && Journal::now() < deadline)
      co_await sleepFor(milliseconds(20));
    if (callers.active() > 0)
      Log.recordViolation("every request gets a final answer in time",
                          fmt::format("{} callers still wait for a response",
                                      callers.active()));
    Counts = callers.counts();
    Io.stop();
  }

  int reportResult() {
    if (Counts.Completed < MinCompletedRatio * Counts.Sent)
      Log.recordViolation("requests are served",
                          fmt::format("{} of {} requests completed",
                                      Counts.Completed, Counts.Sent));
    std::printf("soak: seed=%llu requests=%d whole=%d refused=%d failed=%d "
                "broken=%d faults=%zu violations=%zu\n",
                static_cast<unsigned long long>(FLAGS_seed), Counts.Sent,
                Counts.Completed, Counts.Refused, Counts.Failed,
                Counts.Truncated, Log.faults(), Log.violations());
    std::fflush(stdout);
    return Log.violations() == 0 ? 0 : 1;
  }

  asio::io_context Io{1};
  Journal Log;
  platform::Store Store;
  CopyTable SharedCopies;
  ConfigWriter Configs;
  Deployment System;
  CallerCounts Counts;
};

} // namespace
} // namespace drumlanding::soak

int main(int argc, char **argv) {
  using namespace drumlanding;
  const auto arguments = base::readSettings(
      argc, argv, "soak: injects faults into gateways and sidecars",
      soak::Flags);
  if (!ok(arguments))
    base::exitOnBadSettings(error(arguments));
  if (FLAGS_work.empty())
    FLAGS_work = std::filesystem::temp_directory_path() / "drumlanding-soak";
  std::filesystem::create_directories(FLAGS_work);
  std::signal(SIGPIPE, SIG_IGN);
  const int code = soak::Soak().run();
  // Exits without destructors: coroutines of open connections still refer to
  // the destroyed Soak.
  std::_Exit(code);
}
