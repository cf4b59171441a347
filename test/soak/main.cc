// soak: runs the real gateways and sidecars as processes of their own, before
// stand-in servers and a stand-in store, strikes them with faults from a seed,
// and checks the promises from what callers and servers see.
//
//   soak --programs build --work /tmp/soak --seed 7 --seconds 60
#include "callers.h"
#include "faults.h"

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
DEFINE_double(seconds, 40, "[soak] how long faults strike");
DEFINE_string(programs, "build", "[soak] folder of the programs");
DEFINE_string(work, "", "[soak] folder for settings and logs");
DEFINE_int32(gateways, 3, "[soak] gateways, 1 to 100");
DEFINE_int32(engines, 4, "[soak] engines, each with a sidecar, 1 to 100");
DEFINE_int32(services, 3, "[soak] plain servers, 1 to 50");
DEFINE_int32(callers, 24, "[soak] callers, each with one request at a time");
DEFINE_int32(base_port, 21000, "[soak] first port on loopback");

namespace drumlanding::soak {
namespace {

using base::milliseconds;
using daemon::sleepFor;

constexpr std::string_view Flags[] = {"seed",     "seconds",  "programs",
                                      "work",     "gateways", "engines",
                                      "services", "callers",  "base_port"};
constexpr milliseconds EndLimit{12'000};
/// With less than this part served, the run has shown nothing.
constexpr double LeastWhole = 0.3;
/// Addresses 127.0.GROUP.n tell the machines apart.
constexpr int GatewayGroup = 2;
constexpr int ServerGroup = 1;

/// Ports, the same on all machines, from the first one.
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

base::Endpoint at(int group, int n, Port p) {
  return {fmt::format("127.0.{}.{}", group, n), port(p)};
}

std::string zoneOf(int n) { return n % 2 == 0 ? "hall-a" : "hall-b"; }

std::string logFile(const std::string &name) {
  return FLAGS_work + "/" + name + ".log";
}

class Soak {
public:
  Soak() : Store(storeAt()), Plans(Log, Store) {}

  int run() {
    startStore();
    startWorkers();
    for (int n = 1; n <= FLAGS_gateways; ++n)
      startGateway(n);
    for (int n = 1; n <= FLAGS_engines; ++n)
      startSidecar(n);
    All.Programs.OnSurprise = [this](const Program &program, int status) {
      Log.broken("no process ends by itself",
                 fmt::format("{} status {}", program.Name, status));
    };
    Log.ServerAt = [this](const std::string &address) {
      return serverAt(address);
    };
    asio::co_spawn(Io, All.Programs.keepRunning(), asio::detached);
    asio::co_spawn(Io, All.Fleet.watchReadiness(), asio::detached);
    asio::co_spawn(Io, play(), [](std::exception_ptr e) {
      if (e)
        std::rethrow_exception(e);
    });
    Io.run();
    All.Programs.endAll();
    return judge();
  }

private:
  static base::Endpoint storeAt() { return {"127.0.0.1", port(StorePort)}; }
  static std::string programFile(const char *name) {
    return FLAGS_programs + "/" + name;
  }

  void startStore() {
    All.Store = storeAt();
    All.Programs.add("store",
                     {programFile("fake-platform"), "--listen",
                      base::toString(storeAt()), "--writes_per_second", "400"},
                     logFile("store"));
  }

  void startWorkers() {
    for (int n = 1; n <= FLAGS_engines + FLAGS_services; ++n) {
      const bool isEngine = n <= FLAGS_engines;
      Worker::Place place{isEngine ? "llm" : "shop", zoneOf(n),
                          at(ServerGroup, n, PublicPort),
                          at(ServerGroup, n, PrivatePort), isEngine};
      All.Workers.push_back(std::make_unique<Worker>(
          Io, Log, TheCopies, Store, std::move(place),
          FLAGS_seed * 1'000 + static_cast<std::uint64_t>(n)));
      All.Workers.back()->begin();
    }
  }

  std::string seeds() const {
    std::string text;
    for (int n = 1; n <= std::min(FLAGS_gateways, 3); ++n)
      text +=
          (n > 1 ? "," : "") + base::toString(at(GatewayGroup, n, ControlPort));
    return text;
  }

  void startGateway(int n) {
    auto gateway = std::make_unique<Gateway>();
    gateway->Public = at(GatewayGroup, n, PublicPort);
    gateway->Ready = at(GatewayGroup, n, ReadyPort);
    const base::Endpoint listen = at(GatewayGroup, n, PrivatePort);
    const base::Endpoint store = at(GatewayGroup, n, StoreLinkPort);
    auto callerLink = Proxy::start(Io, gateway->Public, listen);
    auto storeLink = Proxy::start(Io, store, storeAt());
    if (!ok(callerLink) || !ok(storeLink)) {
      Log.broken("soak", "a port is taken");
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
        base::toString(at(GatewayGroup, n, ControlPort)), base::toString(store),
        seeds(), port(SidecarPort));
    gateway->Process =
        &All.Programs.add(name,
                          {programFile("drumlanding-gateway"),
                           "--node_file=" + gateway->SettingsFile},
                          logFile(name));
    All.Fleet.All.push_back(std::move(gateway));
  }

  void startSidecar(int n) {
    const std::string name = fmt::format("sidecar-{}", n);
    All.Sidecars.push_back(&All.Programs.add(
        name,
        {programFile("drumlanding-sidecar"), "--name=" + name,
         "--place=" + zoneOf(n), "--failure_domain=" + zoneOf(n),
         "--sidecar_listen=" + base::toString(at(ServerGroup, n, SidecarPort)),
         "--engine=" + base::toString(at(ServerGroup, n, PublicPort)),
         "--service=llm", "--seeds=" + seeds()},
        logFile(name)));
  }

  std::string serverAt(const std::string &address) const {
    for (const auto &worker : All.Workers)
      if (worker->isUp() && base::toString(worker->place().Public) == address)
        return worker->id();
    return {};
  }

  asio::awaitable<void> play() {
    const auto length =
        milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1'000));
    Faults faults(Io, Log, All, Plans, FLAGS_seed);
    Callers callers(Io, Log, Plans, All.Fleet, FLAGS_seed + 1);
    callers.begin(FLAGS_callers);
    co_await faults.run(Journal::now() + length);
    callers.stop();
    const base::Instant limit = Journal::now() + EndLimit;
    while (callers.open() > 0 && Journal::now() < limit)
      co_await sleepFor(milliseconds(20));
    if (callers.open() > 0)
      Log.broken("every request gets a final answer in time",
                 fmt::format("{} callers wait", callers.open()));
    Counts = callers.counts();
    Io.stop();
  }

  int judge() {
    if (Counts.Whole < LeastWhole * Counts.Sent)
      Log.broken("requests are served",
                 fmt::format("{} of {}", Counts.Whole, Counts.Sent));
    std::printf("soak: seed=%llu requests=%d whole=%d refused=%d failed=%d "
                "broken=%d faults=%zu violations=%zu\n",
                static_cast<unsigned long long>(FLAGS_seed), Counts.Sent,
                Counts.Whole, Counts.Refused, Counts.Failed, Counts.Broken,
                Log.faults(), Log.violations());
    std::fflush(stdout);
    return Log.violations() == 0 ? 0 : 1;
  }

  asio::io_context Io{1};
  Journal Log;
  platform::Store Store;
  Copies TheCopies;
  Operators Plans;
  Deployment All;
  CallerCounts Counts;
};

} // namespace
} // namespace drumlanding::soak

int main(int argc, char **argv) {
  using namespace drumlanding;
  const auto words = base::readSettings(
      argc, argv, "soak: strikes the real programs with faults", soak::Flags);
  if (!ok(words))
    base::exitOnBadSettings(error(words));
  if (FLAGS_work.empty())
    FLAGS_work = std::filesystem::temp_directory_path() / "drumlanding-soak";
  std::filesystem::create_directories(FLAGS_work);
  std::signal(SIGPIPE, SIG_IGN);
  const int code = soak::Soak().run();
  // Connections that are still open hold references into it.
  std::_Exit(code);
}
