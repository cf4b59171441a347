#include "fault-injector.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace drumlanding::soak {
namespace {

using base::milliseconds;
using daemon::sleepFor;

constexpr milliseconds FaultPhaseDuration{8'000};
constexpr milliseconds PlannedPhaseDuration{8'000};
/// Long enough for ejections and stale entries to expire and for the store to
/// be read again after a fault.
constexpr milliseconds QuietPhaseDuration{6'500};
constexpr milliseconds PollInterval{20};
/// A gateway is ready again within this time after a fault.
constexpr milliseconds ReadyTimeout{6'000};
constexpr milliseconds ServerRegistrationTime{1'000};
constexpr milliseconds SettingsErrorExitTime{300};
constexpr milliseconds StoreControlTimeout{1'000};

std::string readFile(const std::string &name) {
  std::ifstream file(name);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Replaces a file atomically, so that a reader never sees a partial file.
void replaceFile(const std::string &name, const std::string &text) {
  const std::string newFile = name + ".new";
  std::ofstream(newFile) << text;
  std::filesystem::rename(newFile, name);
}

} // namespace

FaultInjector::FaultInjector(asio::io_context &io, Journal &journal,
                             Deployment &deployment, ConfigWriter &configs,
                             std::uint64_t seed)
    : Io(io), Log(journal), System(deployment), Configs(configs), Random(seed) {
  constexpr bool Planned = true;
  constexpr bool Unplanned = false;
  // Faults of backend servers are drawn most often, since most promises concern
  // how requests end on them.
  constexpr int HighWeight = 3;
  FaultKinds = {
      {"kill a gateway", Unplanned, 1,
       [](FaultInjector &f) { return f.killGateway(); }},
      {"pause a gateway", Unplanned, 1,
       [](FaultInjector &f) { return f.pauseGateway(); }},
      {"kill all gateways", Unplanned, 1,
       [](FaultInjector &f) { return f.killAllGateways(); }},
      {"kill or pause a sidecar", Unplanned, 1,
       [](FaultInjector &f) { return f.injectSidecarFault(); }},
      {"store down", Unplanned, 1,
       [](FaultInjector &f) { return f.injectStoreFault("down=1"); }},
      {"store slow", Unplanned, 1,
       [](FaultInjector &f) { return f.injectStoreFault("delay_ms=300"); }},
      {"store loses responses", Unplanned, 1,
       [](FaultInjector &f) { return f.injectStoreFault("lose=5"); }},
      {"fault on a link to the store", Unplanned, 1,
       [](FaultInjector &f) {
         return f.injectLinkFault(*f.randomGateway().StoreLink);
       }},
      {"blackhole connections to the store", Unplanned, 1,
       [](FaultInjector &f) { return f.blackholeStoreConnections(); }},
      {"fault on a link to callers", Unplanned, 1,
       [](FaultInjector &f) {
         return f.injectLinkFault(*f.randomGateway().CallerLink);
       }},
      {"reset callers' connections", Unplanned, 1,
       [](FaultInjector &f) {
         return f.resetConnections(*f.randomGateway().CallerLink);
       }},
      {"fault on a link to a server", Unplanned, HighWeight,
       [](FaultInjector &f) {
         return f.injectLinkFault(f.randomServer().link());
       }},
      {"reset a server's connections", Unplanned, HighWeight,
       [](FaultInjector &f) {
         return f.resetConnections(f.randomServer().link());
       }},
      {"crash a server", Unplanned, HighWeight,
       [](FaultInjector &f) { return f.crashServer(); }},
      {"repeat a request that ends servers", Unplanned, HighWeight,
       [](FaultInjector &f) { return f.RepeatDeadlyRequest(); }},
      {"degrade a server", Unplanned, HighWeight,
       [](FaultInjector &f) { return f.degradeServer(); }},
      {"restart a gateway", Planned, 1,
       [](FaultInjector &f) { return f.restartGateway(); }},
      {"name a server's limit", Planned, 1,
       [](FaultInjector &f) { return f.nameLimit(); }},
      {"reload a gateway's settings", Planned, 1,
       [](FaultInjector &f) { return f.reloadGateway(); }},
      {"drain a server", Planned, 1,
       [](FaultInjector &f) { return f.drainServer(); }},
      {"write a malformed entry", Planned, 1,
       [](FaultInjector &f) {
         return f.System.Servers.front()->writeForeignEntry();
       }},
      {"change the config", Planned, 1,
       [](FaultInjector &f) { return f.changeConfig(); }},
      {"change the config repeatedly", Planned, 1,
       [](FaultInjector &f) { return f.changeConfigRepeatedly(); }}};
}

const FaultInjector::FaultKind &FaultInjector::randomFaultKind() {
  int totalWeight = 0;
  for (const FaultKind &kind : FaultKinds)
    totalWeight += kind.Weight;
  int remainingWeight =
      static_cast<int>(Random.below(static_cast<std::uint64_t>(totalWeight)));
  for (const FaultKind &kind : FaultKinds) {
    remainingWeight -= kind.Weight;
    if (remainingWeight < 0)
      return kind;
  }
  return FaultKinds.back();
}

asio::awaitable<void> FaultInjector::run(base::Instant until) {
  const std::size_t startup = Log.beginFault("start", false);
  co_await Configs.writeNext();
  for (const auto &gateway : System.Gateways.Members)
    co_await waitUntilReady(*gateway);
  // By then the servers have written their entries into the store.
  co_await sleepFor(ServerRegistrationTime);
  Log.endFault(startup);
  co_await runQuietPhase(QuietPhaseDuration);
  while (Journal::now() < until) {
    co_await runPhase(FaultPhaseDuration, false);
    co_await runQuietPhase(QuietPhaseDuration);
    co_await runPhase(PlannedPhaseDuration, true);
    co_await runQuietPhase(QuietPhaseDuration);
  }
}

asio::awaitable<void> FaultInjector::runPhase(milliseconds length,
                                              bool isPlanned) {
  Log.print(isPlanned ? "-- planned work" : "-- faults");
  const base::Instant end = Journal::now() + length;
  while (Journal::now() < end) {
    const FaultKind &kind = randomFaultKind();
    // Planned work also happens in fault phases.
    if (kind.IsPlanned || !isPlanned)
      asio::co_spawn(Io, injectFault(kind), asio::detached);
    co_await sleepFor(randomDuration(50, 500));
  }
}

asio::awaitable<void> FaultInjector::runQuietPhase(milliseconds length) {
  while (ActiveFaults > 0)
    co_await sleepFor(PollInterval);
  Log.print("-- quiet");
  co_await sleepFor(length);
}

asio::awaitable<void> FaultInjector::injectFault(const FaultKind &kind) {
  ++ActiveFaults;
  const std::size_t number = Log.beginFault(kind.Name, kind.IsPlanned);
  co_await kind.Inject(*this);
  Log.endFault(number);
  --ActiveFaults;
}

Gateway &FaultInjector::randomGateway() {
  return *System.Gateways.Members[Random.below(System.Gateways.Members.size())];
}

FakeServer &FaultInjector::randomServer() {
  return *System.Servers[Random.below(System.Servers.size())];
}

milliseconds FaultInjector::randomDuration(int fromMs, int toMs) {
  return milliseconds(fromMs + static_cast<int>(Random.below(
                                   static_cast<std::uint64_t>(toMs - fromMs))));
}

asio::awaitable<void> FaultInjector::waitUntilReady(Gateway &gateway) {
  const base::Instant deadline = Journal::now() + ReadyTimeout;
  while (!gateway.IsReady && Journal::now() < deadline)
    co_await sleepFor(PollInterval);
}

asio::awaitable<void> FaultInjector::killGateway() {
  Gateway &gateway = randomGateway();
  System.Programs.signal(*gateway.Process, SIGKILL);
  gateway.IsReady = false;
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> FaultInjector::killAllGateways() {
  // Rarer than other faults: an outage of all gateways hides their effects.
  if (!Random.chance(0.3))
    co_return;
  for (const auto &gateway : System.Gateways.Members) {
    System.Programs.signal(*gateway->Process, SIGKILL);
    gateway->IsReady = false;
  }
  for (const auto &gateway : System.Gateways.Members)
    co_await waitUntilReady(*gateway);
}

asio::awaitable<void> FaultInjector::pauseGateway() {
  Gateway &gateway = randomGateway();
  if (gateway.Process->IsPaused)
    co_return;
  System.Programs.signal(*gateway.Process, SIGSTOP);
  co_await sleepFor(randomDuration(100, 3'000));
  System.Programs.signal(*gateway.Process, SIGCONT);
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> FaultInjector::restartGateway() {
  Gateway &gateway = randomGateway();
  const int instance = gateway.Process->InstanceNumber;
  System.Programs.signal(*gateway.Process, SIGTERM);
  while (gateway.Process->InstanceNumber == instance)
    co_await sleepFor(PollInterval);
  gateway.IsReady = false;
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> FaultInjector::reloadGateway() {
  Gateway &gateway = randomGateway();
  if (gateway.Process->HasBadSettings)
    co_return;
  const std::string good = readFile(gateway.SettingsFile);
  const bool isBad = Random.chance(0.3);
  gateway.Process->HasBadSettings = isBad;
  replaceFile(gateway.SettingsFile,
              isBad
                  ? good + "--retry_part=nonsense\n"
                  : good + fmt::format("--retry_extra={}\n", Random.below(50)));
  System.Programs.signal(*gateway.Process, SIGHUP);
  co_await sleepFor(randomDuration(100, 500));
  if (!isBad)
    co_return;
  replaceFile(gateway.SettingsFile, good);
  // By then a gateway that started with the bad settings has exited.
  co_await sleepFor(SettingsErrorExitTime);
  gateway.Process->HasBadSettings = false;
}

asio::awaitable<void> FaultInjector::injectSidecarFault() {
  if (System.Sidecars.empty())
    co_return;
  Program &sidecar = *System.Sidecars[Random.below(System.Sidecars.size())];
  if (Random.chance(0.5)) {
    System.Programs.signal(sidecar, SIGKILL);
    co_await sleepFor(randomDuration(500, 1'000));
    co_return;
  }
  System.Programs.signal(sidecar, SIGSTOP);
  co_await sleepFor(randomDuration(100, 3'000));
  System.Programs.signal(sidecar, SIGCONT);
}

asio::awaitable<void> FaultInjector::injectStoreFault(std::string fault) {
  http::Request inject{"PUT", "/v1/test/faults?" + fault, {}, {}};
  co_await http::fetch(System.Store, std::move(inject), StoreControlTimeout);
  co_await sleepFor(randomDuration(500, 5'000));
  http::Request clear{"PUT", "/v1/test/faults?down=0", {}, {}};
  co_await http::fetch(System.Store, std::move(clear), StoreControlTimeout);
}

asio::awaitable<void> FaultInjector::blackholeStoreConnections() {
  for (const auto &gateway : System.Gateways.Members)
    gateway->StoreLink->blackholeOpenConnections();
  co_await sleepFor(PollInterval);
}

asio::awaitable<void> FaultInjector::injectLinkFault(Proxy &link) {
  constexpr LinkFault Choices[] = {
      LinkFault::Delayed, LinkFault::Stalled, LinkFault::StalledToServer,
      LinkFault::StalledToClient, LinkFault::Refused};
  link.setFault(Choices[Random.below(std::size(Choices))]);
  co_await sleepFor(randomDuration(200, 3'000));
  link.setFault(LinkFault::None);
}

asio::awaitable<void> FaultInjector::resetConnections(Proxy &link) {
  link.resetAll();
  co_await sleepFor(randomDuration(50, 200));
}

asio::awaitable<void> FaultInjector::crashServer() {
  FakeServer &server = randomServer();
  if (!server.isUp())
    co_return;
  co_await server.crash(randomDuration(300, 3'000));
}

asio::awaitable<void> FaultInjector::degradeServer() {
  FakeServer &server = randomServer();
  constexpr FaultMode Choices[] = {
      FaultMode::Errors, FaultMode::TruncatesResponses,
      FaultMode::DropsRequests, FaultMode::Overloaded};
  server.Mode = Choices[Random.below(std::size(Choices))];
  co_await sleepFor(randomDuration(500, 3'000));
  server.Mode = FaultMode::None;
}

asio::awaitable<void> FaultInjector::nameLimit() {
  FakeServer &server = randomServer();
  const double requestsPerSecond = 0.5 + 8 * Random.unit();
  co_await server.nameLimit(requestsPerSecond, randomDuration(6'000, 10'000));
}

asio::awaitable<void> FaultInjector::drainServer() {
  FakeServer &server = randomServer();
  // Drains one server of a service at a time, so that the service stays
  // available.
  for (const auto &other : System.Servers)
    if (other->options().Service == server.options().Service &&
        other->LeavingSince != base::Instant::max())
      co_return;
  if (!server.isUp() || server.isLeaving())
    co_return;
  co_await server.leave(randomDuration(2'000, 4'000));
  co_await sleepFor(randomDuration(500, 1'000));
}

asio::awaitable<void> FaultInjector::changeConfig() {
  if (IsConfigChanging)
    co_return;
  IsConfigChanging = true;
  co_await Configs.writeNext();
  IsConfigChanging = false;
}

asio::awaitable<void> FaultInjector::changeConfigRepeatedly() {
  for (int i = 0; i < 5; ++i) {
    co_await changeConfig();
    co_await sleepFor(randomDuration(20, 300));
  }
}

} // namespace drumlanding::soak
