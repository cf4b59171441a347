// Case 9: an engine with many streams is taken away after a short notice and
// falls silent. The streams that could not be moved outlast the timeout of
// their route; each must have ended half a second later.
#include "../standins-2/standins.h"

#include <cstdio>
#include <thread>

namespace drumlanding::review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int Requests = 20;
/// One of them is taken away: the site's share is 0.17.
constexpr int EngineCount = 6;
/// `timeoutMs` of the route, after the operator has changed it.
constexpr Milliseconds RouteTimeout{6'000};
/// The rule: no final answer this long after the timeout.
constexpr Milliseconds Slack{500};
/// The rule: this many requests, and over a quarter of those that outlast the
/// timeout.
constexpr int MinLate = 8;
constexpr int ShareOfLate = 4;
/// Clients leave after four times the objective of 1,800 ms without an event.
constexpr Milliseconds ClientPatience{7'200};
/// The shortest notice of the site: `scale_in`, `spot`, x = 1.54.
constexpr Milliseconds Notice{1'540};
constexpr Milliseconds NoticeDelay{300};
/// The kernel of a gateway's machine ends a channel to a silent machine after
/// this time: the gateway asks for keep-alive probes after 1 s, and for three
/// of them, 1 s apart. The probes of a loopback channel are always answered, so
/// the stand-in resets the channel instead.
constexpr Milliseconds KeepAliveTime{4'000};
constexpr Milliseconds EventTime{100};
constexpr int EventsPerStream = 40;
/// Copying 3,000 tokens of 18,432 bytes at 2,700 Mbit/s, one copy after
/// another.
constexpr Milliseconds CopyTime{164};
constexpr Milliseconds FinalCopyTime{20};
constexpr Milliseconds SettleTime{1'000};

const std::string Config =
    R"({"version":9,"routes":[)"
    R"({"name":"r-summary","host":"ficu95.example","pathPrefix":"/summary/","kind":"streaming","timeoutMs":6000,"sloMs":1800,"priority":0,"backend":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":180}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConns":432,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapTokens":34459,"kvTokenBytes":18432,"linkMbps":2700.0,"moves":true,"backups":true,"stride":4,"handleS":5.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

/// A request that an engine runs.
struct Run {
  std::atomic<bool> IsStopped{false};
  bool IsCopied = false;
};

/// The copies of all engines that have not been used, and their attempts.
struct Copies {
  std::mutex Lock;
  std::map<std::string, std::string> Attempts;
  int Last = 0;
};

/// An engine that says nothing once it is gone.
class Engine {
public:
  Engine(int number, Copies &copies, Recorder &record)
      : Id("i-7f3a91c" + std::to_string(number)),
        Ip("127.0.0." + std::to_string(20 + number)), AllCopies(copies),
        Record(record),
        Server([this](Channel &channel) { serve(channel); }, Ip) {}

  const std::string &id() const { return Id; }
  const std::string &ip() const { return Ip; }
  int port() const { return Server.port(); }
  int runs() const { return RunCount; }
  void leave() {
    GoneAt = (Clock::now() + Notice).time_since_epoch().count();
    Record.write(Id + ": is to be taken away");
  }

private:
  Milliseconds timeLeft() const {
    const Clock::time_point at{Clock::duration(GoneAt.load())};
    return std::chrono::duration_cast<Milliseconds>(at - Clock::now());
  }
  bool isLeaving() const { return GoneAt != 0; }
  bool isGone() const { return isLeaving() && timeLeft().count() <= 0; }
  void serve(Channel &channel);
  /// Keeps a channel without a word until its peer closes it.
  void stayMute(const Channel &channel) const {
    while (!channel.isClosedByPeer())
      sleepFor(EventTime);
  }
  void report(Channel &channel);
  void copy(Channel &channel, const Message &request);
  void stream(Channel &channel, const Message &request);
  bool resume(Channel &channel, const Message &request);

  std::string Id;
  std::string Ip;
  Copies &AllCopies;
  Recorder &Record;
  std::atomic<Clock::rep> GoneAt{0};
  std::atomic<int> RunCount{0};
  std::mutex RunsLock;
  std::map<std::string, std::shared_ptr<Run>> Runs;
  /// Held while a copy is on the engine's link.
  std::mutex Link;
  Listener Server;
};

void Engine::serve(Channel &channel) {
  Message request;
  while (readMessage(channel, request)) {
    const std::string target = request.target();
    if (isGone()) {
      Record.write(Id + ": is gone and does not hear " + target);
      stayMute(channel);
      return;
    }
    if (target == "/drumlanding/report") {
      report(channel);
    } else if (target == "/healthz") {
      channel.write(makeResponse(200, {{"X-Instance-Id", Id}}, ""));
    } else if (target == "/drumlanding/kv-move") {
      copy(channel, request);
    } else if (request.method() == "DELETE") {
      channel.write(makeResponse(200, {}, "{}"));
    } else if (request.header("X-Expect-Instance") != Id) {
      channel.write(makeResponse(421, {{"X-Instance-Id", Id}}, ""));
    } else {
      stream(channel, request);
      return;
    }
  }
}

void Engine::report(Channel &channel) {
  std::string body =
      R"({"stage":"dual","models":[],"busy":false,"seq":1,"waiting":0,)"
      R"("running":20,"kvUsed":2200,"kvTotal":34459,"handles":0)";
  if (isLeaving())
    body += R"(,"state":"draining","leaves_ms":)" +
            std::to_string(std::max<std::int64_t>(timeLeft().count(), 1));
  channel.write(
      makeResponse(200, {{"Content-Type", "application/json"}}, body + "}"));
}

/// Copies the KV cache of a run; a final copy stops the run first.
void Engine::copy(Channel &channel, const Message &request) {
  const auto from = request.Body.find("\"id\":\"") + 6;
  const std::string attempt =
      request.Body.substr(from, request.Body.find('"', from) - from);
  const bool isLast = request.Body.find("\"last\"") != std::string::npos;
  std::shared_ptr<Run> run;
  bool isShort = isLast;
  {
    const std::lock_guard guard(RunsLock);
    if (const auto it = Runs.find(attempt); it != Runs.end())
      run = it->second;
    if (run) {
      isShort = run->IsCopied;
      run->IsCopied = true;
      run->IsStopped = isLast;
    }
  }
  if (!run) {
    channel.write(makeResponse(404, {}, "{}"));
    return;
  }
  {
    const std::lock_guard guard(Link);
    sleepFor(isShort ? FinalCopyTime : CopyTime);
  }
  if (isGone()) {
    stayMute(channel);
    return;
  }
  const std::lock_guard guard(AllCopies.Lock);
  const std::string handle = "h" + std::to_string(++AllCopies.Last);
  AllCopies.Attempts[handle] = attempt;
  Record.write(Id + ": has copied " + attempt + (isLast ? ", final" : ""));
  channel.write(
      makeResponse(200, {}, "{\"handle\":\"" + handle + "\",\"made\":1}"));
}

/// Takes over a run from its copy; false if there is none.
bool Engine::resume(Channel &channel, const Message &request) {
  const std::string from = request.header("Kv-From");
  if (from.empty())
    return true;
  const std::lock_guard guard(AllCopies.Lock);
  if (AllCopies.Attempts.erase(from.substr(from.rfind('/') + 1)) > 0)
    return true;
  channel.write(makeResponse(503, {{"X-Not-Run", "1"}}, ""));
  return false;
}

void Engine::stream(Channel &channel, const Message &request) {
  const std::string attempt = request.header("X-Attempt-Id");
  if (!resume(channel, request))
    return;
  ++RunCount;
  const auto run = std::make_shared<Run>();
  {
    const std::lock_guard guard(RunsLock);
    Runs[attempt] = run;
  }
  const int from = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
  Record.write(Id + ": runs " + attempt + " from event " +
               std::to_string(from));
  channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "X-Attempt-Id: " +
                attempt +
                "\r\nX-Served-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
  for (int n = from; n <= EventsPerStream; ++n) {
    sleepFor(EventTime);
    if (run->IsStopped) {
      channel.close();
      return;
    }
    if (isGone()) {
      sleepFor(timeLeft() + KeepAliveTime);
      Record.write(Id + ": the channel of " + attempt + " is reset");
      channel.reset();
      return;
    }
    const std::string event =
        "id: " + std::to_string(n) + "\ndata: " + attempt + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx", event.size());
    if (!channel.write(size + ("\r\n" + event + "\r\n")))
      return;
  }
  channel.write("0\r\n\r\n");
  const std::lock_guard guard(RunsLock);
  Runs.erase(attempt);
}

/// What a client saw of its request.
struct Outcome {
  /// From the request to the end of its answer; the time for which the client
  /// waited if there was none.
  Milliseconds Time{0};
  bool IsAnswered = false;
  std::string End;
};

/// Sends a request and waits for a final answer as long as the site's clients.
Outcome runClient(int port, int number) {
  Outcome outcome;
  const auto channel = Channel::connect(port);
  if (!channel)
    giveUp("cannot connect to the gateway");
  const auto from = Clock::now();
  channel->setReadTimeout(ClientPatience);
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0x7bc3000 + number);
  channel->write(
      std::string("POST /summary/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                  "X-Attempt-Id: ") +
      id +
      "\r\nX-Model: m\r\nX-Token-Usage: 3000,940\r\nX-Prompt-Prefix: "
      "5c1e07a2:79,91bd3f06:2921\r\nX-Deadline-Ms: 39000\r\n"
      "X-Api-Key: xd9dnn2ctnfzs989anu6\r\nContent-Length: 2\r\n\r\n{}");
  Message response;
  std::string chunk = "none";
  outcome.IsAnswered = readHead(*channel, response);
  const bool isStream = outcome.IsAnswered && response.status() == 200;
  while (isStream && !chunk.empty() && outcome.IsAnswered)
    outcome.IsAnswered = readChunk(*channel, chunk);
  outcome.Time = std::chrono::duration_cast<Milliseconds>(Clock::now() - from);
  outcome.End = outcome.IsAnswered
                    ? "whole answer with " + std::to_string(response.status())
                    : "broken off or without an answer";
  return outcome;
}

class Case {
public:
  Case(const std::string &folder, Recorder &record)
      : Folder(folder), Record(record), SidecarPort(freePort()),
        System(Platform.address(), folder, SidecarPort) {}

  int run();

private:
  void addEngine();
  void writeEntry(const Engine &engine, const std::string &state) {
    Platform.put("servers/" + engine.id(),
                 makeServerEntry("llm", engine.port(), 64, state, engine.ip()));
  }
  int judge(const std::vector<Outcome> &outcomes);

  std::string Folder;
  Recorder &Record;
  Copies AllCopies;
  Store Platform;
  int SidecarPort;
  std::vector<std::unique_ptr<Engine>> Engines;
  Gateway System;
  std::vector<std::unique_ptr<Program>> Sidecars;
};

/// Adds an engine with its sidecar.
void Case::addEngine() {
  Engines.push_back(std::make_unique<Engine>(static_cast<int>(Engines.size()),
                                             AllCopies, Record));
  const Engine &engine = *Engines.back();
  writeEntry(engine, "ready");
  Sidecars.push_back(makeSidecar(Folder, SidecarPort, engine.ip(),
                                 engine.port(), "llm",
                                 System.controlAddress()));
  Sidecars.back()->start();
}

int Case::judge(const std::vector<Outcome> &outcomes) {
  int outlasting = 0;
  int late = 0;
  for (const Outcome &outcome : outcomes) {
    Record.write("client: " + outcome.End + " after " +
                 std::to_string(outcome.Time.count()) + " ms");
    outlasting += outcome.Time >= RouteTimeout ? 1 : 0;
    late += outcome.Time >= RouteTimeout + Slack ? 1 : 0;
  }
  Record.write("outlast the timeout: " + std::to_string(outlasting) +
               ", without an answer 500 ms later: " + std::to_string(late));
  const bool isBroken = late >= MinLate && late * ShareOfLate > outlasting;
  return isBroken ? RuleBroken : RuleHeld;
}

int Case::run() {
  Platform.put("op/config", Config);
  addEngine();
  System.start();
  sleepFor(SettleTime);
  std::vector<Outcome> outcomes(Requests);
  std::vector<std::thread> clients;
  for (int i = 0; i < Requests; ++i)
    clients.emplace_back([this, i, &outcomes] {
      outcomes[static_cast<std::size_t>(i)] = runClient(System.port(), i);
    });
  // Engines that are added take no part in the requests before, but could
  // continue them.
  sleepFor(NoticeDelay / 2);
  for (int n = 1; n < EngineCount; ++n)
    addEngine();
  sleepFor(NoticeDelay / 2);
  if (Engines.front()->runs() != Requests)
    giveUp("the requests have not reached the engine");
  if (isTroubleOn()) {
    Engines.front()->leave();
    writeEntry(*Engines.front(), "draining");
  }
  for (std::thread &client : clients)
    client.join();
  for (const auto &sidecar : Sidecars)
    sidecar->stop();
  System.process().stop();
  return judge(outcomes);
}

} // namespace
} // namespace drumlanding::review

int main(int argc, char **argv) {
  using namespace drumlanding::review;
  if (argc != 3)
    giveUp("usage: case FOLDER RECORD");
  Recorder record(argv[2]);
  auto &test = *new Case(argv[1], record);
  const int code = test.run();
  std::printf("%s\n", code == RuleHeld ? "the rule held" : "the rule broke");
  std::fflush(stdout);
  std::_Exit(code);
}
