#include "faults.h"

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

constexpr milliseconds StormLength{8'000};
constexpr milliseconds PlannedLength{8'000};
/// Long enough for what is avoided, forgotten and read again after trouble.
constexpr milliseconds CalmLength{6'500};
constexpr milliseconds LookEvery{20};
/// A gateway that was struck is ready again within this time.
constexpr milliseconds ReadyLimit{6'000};
constexpr milliseconds StartTime{1'000};
constexpr milliseconds SettingsTime{300};
constexpr milliseconds TestCallLimit{1'000};

std::string readFile(const std::string &name) {
  std::ifstream file(name);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Replaces a file in one step, so that nobody reads half of it.
void replaceFile(const std::string &name, const std::string &text) {
  const std::string fresh = name + ".new";
  std::ofstream(fresh) << text;
  std::filesystem::rename(fresh, name);
}

} // namespace

Faults::Faults(asio::io_context &io, Journal &journal, Deployment &deployment,
               Operators &operators, std::uint64_t seed)
    : Io(io), Log(journal), All(deployment), Plans(operators), Random(seed) {
  constexpr bool Planned = true;
  constexpr bool Trouble = false;
  // What servers do to requests is drawn most: there the promises are at stake.
  constexpr int Often = 3;
  Kinds = {
      {"kill a gateway", Trouble, 1, [](Faults &f) { return f.killGateway(); }},
      {"pause a gateway", Trouble, 1,
       [](Faults &f) { return f.pauseGateway(); }},
      {"kill all gateways", Trouble, 1,
       [](Faults &f) { return f.killAllGateways(); }},
      {"strike a sidecar", Trouble, 1,
       [](Faults &f) { return f.strikeSidecar(); }},
      {"store down", Trouble, 1,
       [](Faults &f) { return f.strikeStore("down=1"); }},
      {"store slow", Trouble, 1,
       [](Faults &f) { return f.strikeStore("delay_ms=300"); }},
      {"store loses answers", Trouble, 1,
       [](Faults &f) { return f.strikeStore("lose=5"); }},
      {"link to the store", Trouble, 1,
       [](Faults &f) { return f.strikeLink(*f.anyGateway().StoreLink); }},
      {"silence connections to the store", Trouble, 1,
       [](Faults &f) { return f.silenceStore(); }},
      {"link to callers", Trouble, 1,
       [](Faults &f) { return f.strikeLink(*f.anyGateway().CallerLink); }},
      {"reset callers' connections", Trouble, 1,
       [](Faults &f) { return f.resetLink(*f.anyGateway().CallerLink); }},
      {"link to a server", Trouble, Often,
       [](Faults &f) { return f.strikeLink(f.anyWorker().link()); }},
      {"reset a server's connections", Trouble, Often,
       [](Faults &f) { return f.resetLink(f.anyWorker().link()); }},
      {"crash a server", Trouble, Often,
       [](Faults &f) { return f.crashWorker(); }},
      {"worsen a server", Trouble, Often,
       [](Faults &f) { return f.worsenWorker(); }},
      {"stop a gateway", Planned, 1, [](Faults &f) { return f.stopGateway(); }},
      {"hang up on a gateway", Planned, 1,
       [](Faults &f) { return f.hangUpGateway(); }},
      {"empty a server", Planned, 1, [](Faults &f) { return f.emptyWorker(); }},
      {"entry of another writer", Planned, 1,
       [](Faults &f) { return f.All.Workers.front()->writeForeignEntry(); }},
      {"change the config", Planned, 1,
       [](Faults &f) { return f.changeConfig(); }},
      {"change the config often", Planned, 1,
       [](Faults &f) { return f.changeConfigOften(); }}};
}

const Faults::Kind &Faults::anyKind() {
  int all = 0;
  for (const Kind &kind : Kinds)
    all += kind.Weight;
  int drawn = static_cast<int>(Random.below(static_cast<std::uint64_t>(all)));
  for (const Kind &kind : Kinds) {
    drawn -= kind.Weight;
    if (drawn < 0)
      return kind;
  }
  return Kinds.back();
}

asio::awaitable<void> Faults::run(base::Instant until) {
  const std::size_t start = Log.beginFault("start", false);
  co_await Plans.change();
  for (const auto &gateway : All.Fleet.All)
    co_await waitUntilReady(*gateway);
  // The servers have listed themselves by then.
  co_await sleepFor(StartTime);
  Log.endFault(start);
  co_await calm(CalmLength);
  while (Journal::now() < until) {
    co_await phase(StormLength, false);
    co_await calm(CalmLength);
    co_await phase(PlannedLength, true);
    co_await calm(CalmLength);
  }
}

asio::awaitable<void> Faults::phase(milliseconds length, bool isPlanned) {
  Log.print(isPlanned ? "-- planned work" : "-- storm");
  const base::Instant end = Journal::now() + length;
  while (Journal::now() < end) {
    const Kind &kind = anyKind();
    // Planned work strikes in storms as well.
    if (kind.IsPlanned || !isPlanned)
      asio::co_spawn(Io, strike(kind), asio::detached);
    co_await sleepFor(between(50, 500));
  }
}

asio::awaitable<void> Faults::calm(milliseconds length) {
  while (Open > 0)
    co_await sleepFor(LookEvery);
  Log.print("-- calm");
  co_await sleepFor(length);
}

asio::awaitable<void> Faults::strike(const Kind &kind) {
  ++Open;
  const std::size_t number = Log.beginFault(kind.Name, kind.IsPlanned);
  co_await kind.Strike(*this);
  Log.endFault(number);
  --Open;
}

Gateway &Faults::anyGateway() {
  return *All.Fleet.All[Random.below(All.Fleet.All.size())];
}

Worker &Faults::anyWorker() {
  return *All.Workers[Random.below(All.Workers.size())];
}

milliseconds Faults::between(int fromMs, int toMs) {
  return milliseconds(fromMs + static_cast<int>(Random.below(
                                   static_cast<std::uint64_t>(toMs - fromMs))));
}

asio::awaitable<void> Faults::waitUntilReady(Gateway &gateway) {
  const base::Instant limit = Journal::now() + ReadyLimit;
  while (!gateway.IsReady && Journal::now() < limit)
    co_await sleepFor(LookEvery);
}

asio::awaitable<void> Faults::killGateway() {
  Gateway &gateway = anyGateway();
  All.Programs.signal(*gateway.Process, SIGKILL);
  gateway.IsReady = false;
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> Faults::killAllGateways() {
  // Rarer than the others, or nothing else would be seen.
  if (!Random.chance(0.3))
    co_return;
  for (const auto &gateway : All.Fleet.All) {
    All.Programs.signal(*gateway->Process, SIGKILL);
    gateway->IsReady = false;
  }
  for (const auto &gateway : All.Fleet.All)
    co_await waitUntilReady(*gateway);
}

asio::awaitable<void> Faults::pauseGateway() {
  Gateway &gateway = anyGateway();
  if (gateway.Process->IsPaused)
    co_return;
  All.Programs.signal(*gateway.Process, SIGSTOP);
  co_await sleepFor(between(100, 3'000));
  All.Programs.signal(*gateway.Process, SIGCONT);
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> Faults::stopGateway() {
  Gateway &gateway = anyGateway();
  const int life = gateway.Process->Life;
  All.Programs.signal(*gateway.Process, SIGTERM);
  while (gateway.Process->Life == life)
    co_await sleepFor(LookEvery);
  gateway.IsReady = false;
  co_await waitUntilReady(gateway);
}

asio::awaitable<void> Faults::hangUpGateway() {
  Gateway &gateway = anyGateway();
  if (gateway.Process->HasBadSettings)
    co_return;
  const std::string good = readFile(gateway.SettingsFile);
  const bool isBad = Random.chance(0.3);
  gateway.Process->HasBadSettings = isBad;
  replaceFile(gateway.SettingsFile,
              isBad
                  ? good + "--retry_part=nonsense\n"
                  : good + fmt::format("--retry_extra={}\n", Random.below(50)));
  All.Programs.signal(*gateway.Process, SIGHUP);
  co_await sleepFor(between(100, 500));
  if (!isBad)
    co_return;
  replaceFile(gateway.SettingsFile, good);
  // One that started with them has ended by then.
  co_await sleepFor(SettingsTime);
  gateway.Process->HasBadSettings = false;
}

asio::awaitable<void> Faults::strikeSidecar() {
  if (All.Sidecars.empty())
    co_return;
  Program &sidecar = *All.Sidecars[Random.below(All.Sidecars.size())];
  if (Random.chance(0.5)) {
    All.Programs.signal(sidecar, SIGKILL);
    co_await sleepFor(between(500, 1'000));
    co_return;
  }
  All.Programs.signal(sidecar, SIGSTOP);
  co_await sleepFor(between(100, 3'000));
  All.Programs.signal(sidecar, SIGCONT);
}

asio::awaitable<void> Faults::strikeStore(std::string fault) {
  http::Request begin{"PUT", "/v1/test/faults?" + fault, {}, {}};
  co_await http::fetch(All.Store, std::move(begin), TestCallLimit);
  co_await sleepFor(between(500, 5'000));
  http::Request end{"PUT", "/v1/test/faults?down=0", {}, {}};
  co_await http::fetch(All.Store, std::move(end), TestCallLimit);
}

asio::awaitable<void> Faults::silenceStore() {
  for (const auto &gateway : All.Fleet.All)
    gateway->StoreLink->silenceOpen();
  co_await sleepFor(LookEvery);
}

asio::awaitable<void> Faults::strikeLink(Proxy &link) {
  constexpr LinkFault Possible[] = {LinkFault::Delayed, LinkFault::Silent,
                                    LinkFault::CutToServer,
                                    LinkFault::CutToClient, LinkFault::Refused};
  link.set(Possible[Random.below(std::size(Possible))]);
  co_await sleepFor(between(200, 3'000));
  link.set(LinkFault::None);
}

asio::awaitable<void> Faults::resetLink(Proxy &link) {
  link.resetAll();
  co_await sleepFor(between(50, 200));
}

asio::awaitable<void> Faults::crashWorker() {
  Worker &worker = anyWorker();
  if (!worker.isUp())
    co_return;
  co_await worker.crash(between(300, 3'000));
}

asio::awaitable<void> Faults::worsenWorker() {
  Worker &worker = anyWorker();
  constexpr Mood Possible[] = {Mood::Errors, Mood::BreaksOff, Mood::Loses,
                               Mood::Full};
  worker.HasMood = Possible[Random.below(std::size(Possible))];
  co_await sleepFor(between(500, 3'000));
  worker.HasMood = Mood::Well;
}

asio::awaitable<void> Faults::emptyWorker() {
  Worker &worker = anyWorker();
  // One of each service stays.
  for (const auto &other : All.Workers)
    if (other->place().Service == worker.place().Service &&
        other->LeavingSince != base::Instant::max())
      co_return;
  if (!worker.isUp() || worker.isLeaving())
    co_return;
  co_await worker.leave(between(2'000, 4'000));
  co_await sleepFor(between(500, 1'000));
}

asio::awaitable<void> Faults::changeConfig() {
  if (IsConfigChanging)
    co_return;
  IsConfigChanging = true;
  co_await Plans.change();
  IsConfigChanging = false;
}

asio::awaitable<void> Faults::changeConfigOften() {
  for (int i = 0; i < 5; ++i) {
    co_await changeConfig();
    co_await sleepFor(between(20, 300));
  }
}

} // namespace drumlanding::soak
