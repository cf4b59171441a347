// Case 8: a client resumes a stream with Last-Event-Id, and the engine that
// runs it is taken away before its first event. Over both of its channels the
// client must get each event once and in order.
#include "../standins-2/standins.h"

#include <cstdio>
#include <thread>

namespace drumlanding::review {
namespace {

/// One of them crashes and one is taken away: the site's share is 0.17 each.
constexpr int Engines = 6;
/// Each trial is a stream of its own on a fresh deployment.
constexpr int Trials = 8;
constexpr int EventsPerStream = 12;
/// The first engine crashes after this many events.
constexpr int EventsBeforeBreak = 5;
/// An event holds 4 tokens, which take 25 ms each on a full engine.
constexpr Milliseconds EventTime{100};
/// The shortest notice of the site: `scale_in`, `spot`, x = 1.54.
constexpr Milliseconds Notice{1'540};
/// From the request to the notice.
constexpr Milliseconds NoticeDelay{100};
/// From the notice to the request's first token in the first trial, and how
/// much later it comes in each further one: prompts wait for others.
constexpr Milliseconds FirstTokenDelay{680};
constexpr Milliseconds FirstTokenStep{10};
/// Copying the KV cache of the prompt, and what a final copy still has to move.
constexpr Milliseconds CopyTime{120};
constexpr Milliseconds FinalCopyTime{20};
constexpr Milliseconds ReadTimeout{3'000};
constexpr Milliseconds SettleTime{700};

const std::string Stamp = "3e1b.07.5a2.600.0.c9f2a4d1";
const std::string Config =
    R"({"version":7,"routes":[)"
    R"({"name":"r-triage","host":"ficu95.example","pathPrefix":"/triage/","kind":"streaming","timeoutMs":6000,"sloMs":1500,"priority":0,"backend":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":180}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConns":232,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapTokens":34287,"kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"handleS":5.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

/// A request that an engine runs.
struct Run {
  bool HasFirstToken = false;
  bool IsStopped = false;
  int EventsMade = 0;
};

/// State that the engines of a trial share.
struct Shared {
  explicit Shared(Recorder &record) : Record(record) {}

  Recorder &Record;
  std::mutex Lock;
  /// Copies that have not been used, and the attempts that they belong to.
  std::map<std::string, std::string> Copies;
  int LastCopy = 0;
  /// The engine of the first request crashes after some events.
  bool HasBroken = false;
  Milliseconds FirstToken{0};
  /// Announces that an engine leaves; called when it has got a resumed request.
  std::function<void(int engine)> OnResumed;
};

/// An engine that speaks what the platform's pages tell of model servers.
class Engine {
public:
  Engine(int number, Shared &shared)
      : Number(number), Id("i-7f3a91c" + std::to_string(number)),
        Ip("127.0.0." + std::to_string(10 + number)), State(shared),
        Server([this](Channel &channel) { serve(channel); }, Ip) {}

  const std::string &id() const { return Id; }
  const std::string &ip() const { return Ip; }
  int port() const { return Server.port(); }
  void leave() {
    const std::lock_guard guard(State.Lock);
    LeavesAt = std::chrono::steady_clock::now() + Notice;
  }

private:
  void serve(Channel &channel);
  void report(Channel &channel);
  void copy(Channel &channel, const Message &request);
  bool resume(Channel &channel, const Message &request, Run &run);
  void stream(Channel &channel, const Message &request);
  void writeEvents(Channel &channel, Run &run, int from, bool isBroken);
  void write(const std::string &line) { State.Record.write(Id + ": " + line); }

  int Number;
  /// It resets each channel from then on.
  std::atomic<bool> HasCrashed{false};
  std::string Id;
  std::string Ip;
  Shared &State;
  std::map<std::string, std::shared_ptr<Run>> Runs;
  std::optional<std::chrono::steady_clock::time_point> LeavesAt;
  Listener Server;
};

void Engine::serve(Channel &channel) {
  Message request;
  while (!HasCrashed && readMessage(channel, request)) {
    if (HasCrashed)
      break;
    const std::string target = request.target();
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
  channel.reset();
}

void Engine::report(Channel &channel) {
  const std::lock_guard guard(State.Lock);
  std::string body =
      R"({"stage":"dual","models":[],"busy":false,"seq":1,"waiting":0,)"
      R"("running":1,"kvUsed":2200,"kvTotal":34287,"handles":0)";
  if (LeavesAt) {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        *LeavesAt - std::chrono::steady_clock::now());
    body += R"(,"state":"draining","leaves_ms":)" +
            std::to_string(std::max<std::int64_t>(left.count(), 1));
  }
  channel.write(
      makeResponse(200, {{"Content-Type", "application/json"}}, body + "}"));
}

/// Copies the KV cache of a run to another engine. A final copy stops the run
/// first. There is no run before its first token.
void Engine::copy(Channel &channel, const Message &request) {
  const auto from = request.Body.find("\"id\":\"") + 6;
  const std::string attempt =
      request.Body.substr(from, request.Body.find('"', from) - from);
  const bool isLast = request.Body.find("\"last\"") != std::string::npos;
  std::shared_ptr<Run> run;
  {
    const std::lock_guard guard(State.Lock);
    const auto it = Runs.find(attempt);
    if (it != Runs.end() && it->second->HasFirstToken)
      run = it->second;
    if (run && isLast)
      run->IsStopped = true;
  }
  write(std::string(isLast ? "final copy" : "copy") + " of " + attempt +
        (run ? "" : ": no such run"));
  if (!run) {
    channel.write(makeResponse(404, {}, "{}"));
    return;
  }
  sleepFor(isLast ? FinalCopyTime : CopyTime);
  std::string body;
  {
    const std::lock_guard guard(State.Lock);
    const std::string handle = "h" + std::to_string(++State.LastCopy);
    State.Copies[handle] = attempt;
    body = "{\"handle\":\"" + handle +
           "\",\"made\":" + std::to_string(run->EventsMade) + "}";
  }
  channel.write(makeResponse(200, {}, body));
}

/// Takes over a run from its copy; false if there is none.
bool Engine::resume(Channel &channel, const Message &request, Run &run) {
  const std::string from = request.header("Kv-From");
  if (from.empty())
    return true;
  const std::lock_guard guard(State.Lock);
  const auto it = State.Copies.find(from.substr(from.rfind('/') + 1));
  if (it == State.Copies.end() ||
      it->second != request.header("X-Attempt-Id")) {
    channel.write(makeResponse(503, {{"X-Not-Run", "1"}}, ""));
    return false;
  }
  State.Copies.erase(it);
  run.HasFirstToken = true;
  return true;
}

/// Runs a request, from the event after Last-Event-Id on.
void Engine::stream(Channel &channel, const Message &request) {
  const std::string attempt = request.header("X-Attempt-Id");
  const std::string lastEvent = request.header("Last-Event-Id");
  const auto run = std::make_shared<Run>();
  if (!resume(channel, request, *run))
    return;
  const bool isCopied = run->HasFirstToken;
  bool isBroken = false;
  {
    const std::lock_guard guard(State.Lock);
    Runs[attempt] = run;
    isBroken = !State.HasBroken;
    State.HasBroken = true;
  }
  write("runs " + attempt + ", Last-Event-Id '" + lastEvent + "', Kv-From '" +
        request.header("Kv-From") + "'");
  channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "X-Attempt-Id: " +
                attempt + "\r\nX-Served-Stamp: " + Stamp +
                "\r\nTransfer-Encoding: chunked\r\n\r\n");
  if (!isBroken && !isCopied && !lastEvent.empty())
    State.OnResumed(Number);
  if (!isBroken && !isCopied)
    sleepFor(State.FirstToken);
  {
    const std::lock_guard guard(State.Lock);
    run->HasFirstToken = true;
  }
  write("first token of " + attempt);
  writeEvents(channel, *run, std::atoi(lastEvent.c_str()) + 1, isBroken);
}

void Engine::writeEvents(Channel &channel, Run &run, int from, bool isBroken) {
  const int end = isBroken ? EventsBeforeBreak : EventsPerStream;
  for (int n = from; n <= end; ++n) {
    sleepFor(EventTime);
    {
      const std::lock_guard guard(State.Lock);
      const bool isGone =
          LeavesAt && std::chrono::steady_clock::now() >= *LeavesAt;
      if (run.IsStopped || isGone) {
        write(isGone ? "is gone" : "has stopped the run");
        channel.close();
        return;
      }
      ++run.EventsMade;
    }
    const std::string event = "id: " + std::to_string(n) + "\ndata: piece " +
                              std::to_string(n) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx", event.size());
    if (!channel.write(size + ("\r\n" + event + "\r\n")))
      return;
  }
  if (!isBroken) {
    channel.write("0\r\n\r\n");
    return;
  }
  HasCrashed = true;
  write("crashes");
  channel.reset();
}

/// A client that follows a broken channel.
class Client {
public:
  Client(int port, Recorder &record) : Port(port), Record(record) {}

  /// Reads the stream over two channels; true if each event came once.
  bool run();

private:
  bool readStream(const std::string &attempt);

  int Port;
  Recorder &Record;
  std::vector<int> Events;
};

/// Requests the stream after the last event received. Returns whether the
/// answer is whole.
bool Client::readStream(const std::string &attempt) {
  const auto channel = Channel::connect(Port);
  if (!channel)
    giveUp("cannot connect to the gateway");
  channel->setReadTimeout(ReadTimeout);
  std::string head =
      "POST /triage/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " +
      attempt +
      "\r\nX-Model: m\r\nX-Token-Usage: 2200,48\r\nX-Prompt-Prefix: "
      "5c1e07a2:350,91bd3f06:1850\r\nX-Deadline-Ms: 6000\r\n"
      "X-Api-Key: xd9dnn2ctnfzs989anu6\r\nContent-Length: 2\r\n";
  if (!Events.empty())
    head += "Last-Event-Id: " + std::to_string(Events.back()) + "\r\n";
  Record.write("client sends " + attempt + ", last event " +
               std::to_string(Events.empty() ? 0 : Events.back()));
  channel->write(head + "\r\n{}");
  Message response;
  if (!readHead(*channel, response) || response.status() != 200)
    return false;
  std::string chunk;
  while (readChunk(*channel, chunk)) {
    if (chunk.empty())
      return true;
    for (auto at = chunk.find("id: "); at != std::string::npos;
         at = chunk.find("id: ", at + 1)) {
      Events.push_back(std::atoi(chunk.c_str() + at + 4));
      Record.write("client gets event " + std::to_string(Events.back()));
    }
  }
  return false;
}

bool Client::run() {
  const bool isWhole = readStream("9c41d07be2a35f68");
  if (isWhole || Events.size() != EventsBeforeBreak)
    giveUp("the first channel did not break where it should");
  const bool isResumed = readStream("b7702a91c4d3e815");
  Record.write(isResumed ? "the resumed stream is whole"
                         : "the resumed stream has ended early");
  int last = 0;
  for (const int n : Events) {
    if (n != last + 1) {
      Record.write("ORDER: event " + std::to_string(n) + " follows event " +
                   std::to_string(last));
      return false;
    }
    last = n;
  }
  return true;
}

/// A deployment of a gateway and three engines with sidecars. Threads of open
/// connections outlive a trial, so its parts are never freed.
class Deployment {
public:
  Deployment(int trial, const std::string &folder, Recorder &record)
      : State(record), SidecarPort(freePort()),
        System(Platform.address(), folder, SidecarPort) {
    State.FirstToken = NoticeDelay + FirstTokenDelay + trial * FirstTokenStep;
    State.OnResumed = [this](int engine) { takeAway(engine); };
    Platform.put("op/config", Config);
    for (int n = 0; n < Engines; ++n) {
      Servers.push_back(std::make_unique<Engine>(n, State));
      writeEntry(n, "ready");
    }
    System.start();
    for (const auto &engine : Servers) {
      Sidecars.push_back(makeSidecar(folder, SidecarPort, engine->ip(),
                                     engine->port(), "llm",
                                     System.controlAddress()));
      Sidecars.back()->start();
    }
  }

  int port() const { return System.port(); }
  void stop() {
    for (const auto &sidecar : Sidecars)
      sidecar->stop();
    System.process().stop();
  }

private:
  void writeEntry(int n, const std::string &state) {
    const Engine &engine = *Servers[static_cast<std::size_t>(n)];
    Platform.put("servers/" + engine.id(),
                 makeServerEntry("llm", engine.port(), 24, state, engine.ip()));
  }

  /// Announces the end of an engine, as its report and its entry tell it.
  void takeAway(int n) {
    if (!isTroubleOn())
      return;
    std::thread([this, n] {
      sleepFor(NoticeDelay);
      Engine &engine = *Servers[static_cast<std::size_t>(n)];
      State.Record.write(engine.id() + ": is to be taken away");
      engine.leave();
      writeEntry(n, "draining");
    }).detach();
  }

  Shared State;
  Store Platform;
  int SidecarPort;
  std::vector<std::unique_ptr<Engine>> Servers;
  Gateway System;
  std::vector<std::unique_ptr<Program>> Sidecars;
};

/// One stream; true if the rule held.
bool runTrial(int trial, const std::string &folder, Recorder &record) {
  record.write("trial " + std::to_string(trial + 1));
  auto &deployment = *new Deployment(trial, folder, record);
  // The sidecars find their engines and the gateway.
  sleepFor(SettleTime);
  const bool hasHeld = Client(deployment.port(), record).run();
  deployment.stop();
  return hasHeld;
}

} // namespace
} // namespace drumlanding::review

int main(int argc, char **argv) {
  using namespace drumlanding::review;
  if (argc != 3)
    giveUp("usage: case FOLDER RECORD");
  Recorder record(argv[2]);
  bool hasHeld = true;
  for (int trial = 0; trial < Trials && hasHeld; ++trial)
    hasHeld = runTrial(trial, argv[1], record);
  std::printf("%s\n", hasHeld ? "the rule held" : "the rule broke");
  std::fflush(stdout);
  std::_Exit(hasHeld ? RuleHeld : RuleBroken);
}
