// Operators take the only tenant away with its two keys. Long after the config
// had to be in force, requests come with the keys that were taken away, and
// with one that no config ever held.
#include "../config.h"
#include "../deployment.h"
#include "../requests.h"
#include "../store.h"
#include "../worker.h"

#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

namespace {

using namespace drumlanding::review;
using std::chrono::milliseconds;

constexpr int Requests = 10;
constexpr const char *StrangersKey = "aaaabbbbccccddddeeee";
/// From the acknowledgement of the config to the requests; `configApplyMs` is
/// 2,000, `revokeMs` 5,000.
constexpr milliseconds Wait{6'000};
constexpr int AnswerTimeoutMs = 5'000;

} // namespace

int main(int argc, char **argv) {
  const CaseOptions options = readCaseOptions(argc, argv);
  Journal journal(options.Record);
  RunLog runs(journal);
  const Address storeAddress = freeAddress(loopback(4, 1));
  Store store(storeAddress);
  ConfigOptions config;
  store.put("op/config", makeConfig(config));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 3; ++i) {
    WorkerOptions worker;
    worker.Id = "i-plain-" + std::to_string(i);
    worker.Service = PlainService;
    worker.Zone = "hall-a";
    worker.At = freeAddress(loopback(3, i));
    workers.push_back(std::make_unique<Worker>(worker, store, runs));
  }
  std::vector<GatewayAddresses> gateways{makeGatewayAddresses(3),
                                         makeGatewayAddresses(4)};
  std::vector<std::unique_ptr<Program>> programs;
  for (const GatewayAddresses &gateway : gateways)
    programs.push_back(std::make_unique<Program>(
        "gateway", gateway.Name,
        gatewayFields(gateway, seedsOf(gateways), storeAddress, 7200),
        options.Folder));
  for (const GatewayAddresses &gateway : gateways)
    if (!waitUntilReady(gateway))
      return 2;

  const auto send = [&](char prefix, int i, const std::string &key) {
    const std::string id = makeId(prefix, i);
    const auto &gateway =
        gateways[static_cast<std::size_t>(i) % gateways.size()];
    CallerConnection channel(gateway.Callers);
    channel.send(sheetRequestWithKey(id, key));
    const int status = channel.receive(AnswerTimeoutMs).Status;
    journal.write("answer " + id + " with key " + key + ": " +
                  std::to_string(status));
    return runs.count(id);
  };
  // Before: the tenant is served, a stranger isn't.
  if (send('a', 0, Key) != 1 || send('a', 1, SecondKey) != 1 ||
      send('a', 2, StrangersKey) != 0)
    return 2;
  config.Version = 4;
  config.HasTenant = !options.HasTrouble;
  store.put("op/config", makeConfig(config));
  journal.write(options.HasTrouble
                    ? "the store has acknowledged config 4, without tenants"
                    : "the store has acknowledged config 4, same tenant");
  std::this_thread::sleep_for(Wait);

  int withDroppedKeys = 0;
  int withUnknownKey = 0;
  for (int i = 0; i < Requests; ++i) {
    // Without the disruption no key is dropped.
    if (options.HasTrouble)
      withDroppedKeys += send('d', i, i % 4 < 2 ? Key : SecondKey);
    withUnknownKey += send('u', i, StrangersKey);
  }
  const std::string text = std::to_string(withDroppedKeys) +
                           " requests ran with dropped keys, " +
                           std::to_string(withUnknownKey) +
                           " with a key that no config ever held, of " +
                           std::to_string(Requests) + " each";
  journal.write(text);
  std::puts(text.c_str());
  return withDroppedKeys + withUnknownKey > 0 ? 1 : 0;
}
