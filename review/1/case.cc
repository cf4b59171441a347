// A model worker is emptied, so the gateways move its streams to others. One
// stream's answer has no length and finishes with its channel. The channel of
// the last call that moves it is reset after the worker has stopped the run.
// The case looks for a stream that ends as complete before its last event.
#include "../config.h"
#include "../deployment.h"
#include "../requests.h"
#include "../store.h"
#include "../worker.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

namespace {

using namespace drumlanding::review;
using std::chrono::milliseconds;

constexpr int Engines = 9;
constexpr int Streams = 40;
constexpr int Events = 236;
constexpr int EventGapMs = 40;
/// One of forty answers lacks a length: `garble`, how unframed, x 0.05 at most.
constexpr const char *UnframedId = "a0000000";
constexpr int UsualPromptTokens = 3'079;
/// Gateways move first what is worth most for its size.
constexpr int UnframedPromptTokens = 1'500;
constexpr milliseconds StreamInterval{50};
constexpr milliseconds BeforeDrain{3'000};
constexpr int SidecarPort = 7'205;
constexpr int AnswerTimeoutMs = 30'000;

/// Returns the id of the last event in a body; 0 if there is none.
int lastEvent(const std::string &body) {
  const auto at = body.rfind("id: ");
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

} // namespace

int main(int argc, char **argv) {
  const CaseOptions options = readCaseOptions(argc, argv);
  Journal journal(options.Record);
  RunLog runs(journal);
  CopyTable copies;
  const Address storeAddress = freeAddress(loopback(4, 1));
  Store store(storeAddress);
  store.put("op/config", makeConfig({}));
  std::vector<GatewayAddresses> gateways{makeGatewayAddresses(3),
                                         makeGatewayAddresses(6)};
  const std::string seeds = seedsOf(gateways);

  std::atomic<bool> wasReset{false};
  const auto losesMove = [&](const std::string &attemptId, bool isLast) {
    if (!options.HasTrouble || attemptId != UnframedId || !isLast ||
        wasReset.exchange(true))
      return false;
    journal.write("the channel of the last call that moves " + attemptId +
                  " is reset");
    return true;
  };
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Program>> programs;
  for (int i = 1; i <= Engines; ++i) {
    WorkerOptions worker;
    worker.Id = "i-model-" + std::to_string(i);
    worker.Service = ModelService;
    worker.Zone = gateways[0].Zone;
    worker.IsEngine = true;
    worker.Slots = 64;
    worker.At = freeAddress(loopback(2, i));
    worker.Events = Events;
    worker.EventGapMs = EventGapMs;
    worker.Copies = &copies;
    worker.IsUnframed = [](const std::string &id) { return id == UnframedId; };
    worker.LosesMove = losesMove;
    workers.push_back(std::make_unique<Worker>(worker, store, runs));
    programs.push_back(std::make_unique<Program>(
        "sidecar", "side-" + std::to_string(i),
        std::map<std::string, std::string>{
            {"node", "side-" + std::to_string(i)},
            {"zone", worker.Zone},
            {"ip", worker.At.Ip},
            {"portRange.0", std::to_string(SidecarPort)},
            {"app", toString(worker.At)},
            {"backend", ModelService},
            {"seeds", seeds}},
        options.Folder));
  }
  for (const GatewayAddresses &gateway : gateways)
    programs.push_back(std::make_unique<Program>(
        "gateway", gateway.Name,
        gatewayFields(gateway, seeds, storeAddress, SidecarPort),
        options.Folder));
  for (const GatewayAddresses &gateway : gateways)
    if (!waitUntilReady(gateway))
      return 2;
  std::this_thread::sleep_for(milliseconds(4'000));

  std::atomic<int> truncated{0};
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < Streams; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = makeId('a', i);
      const auto &gateway =
          gateways[static_cast<std::size_t>(i) % gateways.size()];
      CallerConnection channel(gateway.Callers);
      channel.send(longStreamRequest(id, id == UnframedId ? UnframedPromptTokens
                                                          : UsualPromptTokens));
      const Answer answer = channel.receive(AnswerTimeoutMs);
      const int last = lastEvent(answer.Body);
      journal.write("answer " + id + " " + std::to_string(answer.Status) +
                    (answer.IsWhole ? ", complete" : ", broken off") +
                    ", last event " + std::to_string(last) + " of " +
                    std::to_string(Events));
      if (!answer.IsWhole || answer.Status != 200)
        return;
      ++whole;
      if (last == Events)
        return;
      ++truncated;
      journal.write("ORDER " + id + " ended as complete before its last event");
    });
    std::this_thread::sleep_for(StreamInterval);
  }
  std::this_thread::sleep_for(BeforeDrain);
  for (const Run &run : runs.all()) {
    if (run.AttemptId != UnframedId)
      continue;
    for (const auto &worker : workers)
      if (worker->options().Id == run.Worker) {
        journal.write("worker " + run.Worker + " says draining");
        worker->drain();
      }
    break;
  }
  for (std::thread &caller : callers)
    caller.join();

  const std::string text =
      std::to_string(whole.load()) + " of " + std::to_string(Streams) +
      " streams ended as complete, " + std::to_string(truncated.load()) +
      " of them before their last event";
  journal.write(text);
  std::puts(text.c_str());
  if (options.HasTrouble && !wasReset)
    return 2;
  return truncated > 0 ? 1 : 0;
}
