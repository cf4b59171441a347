// Case 7: some answers are reset in transit. Servers answer long requests
// before they have read them, and without a length, so that an answer ends with
// its channel. No client may get a part of an answer as a whole one.
#include "../standins-2/standins.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace drumlanding::review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int Servers = 4;
constexpr int Clients = 4;
constexpr Milliseconds RunTime{90'000};
/// The limit `maxBodyBytes` is 4,194,304.
constexpr std::size_t RequestBytes = 3'900'000;
constexpr std::size_t AnswerBytes = 2'000;
/// What arrives of an answer that is reset.
constexpr std::size_t ArrivedBytes = 100;
/// From what arrives of an answer to the reset.
constexpr std::chrono::microseconds ResetDelay{100};
/// The site's `answer_lost`, `reset`: share 0.5 of the servers, x = 0.05 of the
/// requests that they ran, for 4 s. The next one begins 4 s after its end.
constexpr Milliseconds LossTime{4'000};
constexpr Milliseconds LossPeriod{8'000};
constexpr int ServersPerLostAnswers = 2;
constexpr int RequestsPerLostAnswer = 20;
constexpr std::size_t ReadSize = 256 << 10;
constexpr Milliseconds AnswerTime{5'000};

const std::string Config =
    R"({"version":7,"routes":[)"
    R"({"name":"r-minutes","host":"ficu95.example","pathPrefix":"/minutes/","kind":"non_idempotent","timeoutMs":4000,"sloMs":300,"priority":2,"backend":"portal","maxAttempts":1,"public":false}],)"
    R"("services":[{"name":"portal","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

std::string makeAnswer(const std::string &attempt) {
  std::string body;
  while (body.size() < AnswerBytes)
    body += attempt + " ";
  return body.substr(0, AnswerBytes);
}

/// A server of plain requests.
class PlainServer {
public:
  PlainServer(int number, Recorder &record)
      : Number(number), Id("i-7f3a91c" + std::to_string(number)),
        Record(record), Server([this](Channel &channel) { serve(channel); }) {}

  const std::string &id() const { return Id; }
  int port() const { return Server.port(); }
  int lostAnswers() const { return Lost; }

private:
  void serve(Channel &channel);
  bool isAnswerLost();

  int Number;
  std::string Id;
  Recorder &Record;
  const Clock::time_point StartedAt = Clock::now();
  std::atomic<int> Runs{0};
  std::atomic<int> Lost{0};
  Listener Server;
};

/// Returns whether the answer to the request that has just arrived is lost.
bool PlainServer::isAnswerLost() {
  const int run = ++Runs;
  const bool isWindow = (Clock::now() - StartedAt) % LossPeriod < LossTime;
  return isTroubleOn() && isWindow &&
         Number % Servers < ServersPerLostAnswers &&
         run % RequestsPerLostAnswer == 0;
}

void PlainServer::serve(Channel &channel) {
  Message request;
  if (!readHead(channel, request))
    return;
  if (request.target() == "/healthz") {
    channel.write(makeResponse(200, {{"X-Instance-Id", Id}}, ""));
    return;
  }
  const std::string attempt = request.header("X-Attempt-Id");
  const std::string body = makeAnswer(attempt);
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                           "\r\nX-Served-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"
                           "\r\n\r\n";
  if (isAnswerLost()) {
    ++Lost;
    Record.write(Id + ": runs " + attempt + ", its answer is reset after " +
                 std::to_string(ArrivedBytes) + " bytes");
    channel.write(head + body.substr(0, ArrivedBytes));
    std::this_thread::sleep_for(ResetDelay);
    channel.reset();
    return;
  }
  channel.write(head + body);
  // The rest of the request is read before the channel ends.
  std::size_t left =
      std::strtoull(request.header("Content-Length").c_str(), nullptr, 10);
  std::string bytes;
  while (left > 0) {
    const std::size_t n = std::min(left, ReadSize);
    if (!channel.readBytes(n, bytes))
      return;
    left -= n;
  }
}

/// The clients and what they saw.
class Case {
public:
  Case(const std::string &folder, Recorder &record)
      : Record(record), System(Platform.address(), folder) {
    for (int n = 0; n < Servers; ++n) {
      Backends.push_back(std::make_unique<PlainServer>(n, record));
      Platform.put("servers/" + Backends.back()->id(),
                   makeServerEntry("portal", Backends.back()->port(), 6));
    }
    Platform.put("op/config", Config);
  }

  int run();

private:
  void runClient(int number);
  void sendRequest(const std::string &attempt);
  void checkAnswer(const std::string &attempt, const Message &answer);

  Recorder &Record;
  Store Platform;
  std::vector<std::unique_ptr<PlainServer>> Backends;
  Gateway System;
  const std::string RequestBody = std::string(RequestBytes, 'y');
  std::atomic<int> Sent{0};
  std::atomic<int> Whole{0};
  std::atomic<int> Partial{0};
};

void Case::checkAnswer(const std::string &attempt, const Message &answer) {
  if (answer.status() != 200) {
    Record.write("client: " + attempt + " ends with " +
                 std::to_string(answer.status()));
    return;
  }
  if (answer.Body == makeAnswer(attempt)) {
    ++Whole;
    return;
  }
  ++Partial;
  Record.write("MIXED: client: " + attempt +
               " ends with 200 and a whole body "
               "of " +
               std::to_string(answer.Body.size()) +
               " bytes; the server's has " + std::to_string(AnswerBytes));
}

void Case::sendRequest(const std::string &attempt) {
  const auto channel = Channel::connect(System.port());
  if (!channel)
    giveUp("cannot connect to the gateway");
  channel->setReadTimeout(AnswerTime);
  channel->write(
      "POST /minutes/" + attempt +
      " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attempt +
      "\r\nX-Deadline-Ms: 4000\r\n"
      "X-Api-Key: xd9dnn2ctnfzs989anu6\r\nContent-Length: " +
      std::to_string(RequestBytes) + "\r\n\r\n");
  channel->write(RequestBody);
  ++Sent;
  Message answer;
  if (readMessage(*channel, answer))
    checkAnswer(attempt, answer);
  else
    Record.write("client: " + attempt + " has no whole answer");
}

void Case::runClient(int number) {
  const auto until = Clock::now() + RunTime;
  for (int i = 0; Clock::now() < until && Partial == 0; ++i) {
    char attempt[17];
    std::snprintf(attempt, sizeof attempt, "%08x%08x", 0x9c41d000 + number, i);
    sendRequest(attempt);
  }
}

int Case::run() {
  System.start();
  std::vector<std::thread> clients;
  for (int n = 0; n < Clients; ++n)
    clients.emplace_back([this, n] { runClient(n); });
  for (std::thread &client : clients)
    client.join();
  System.process().stop();
  int lost = 0;
  for (const auto &backend : Backends)
    lost += backend->lostAnswers();
  Record.write(
      "requests: " + std::to_string(Sent) + ", whole answers: " +
      std::to_string(Whole) + ", answers reset: " + std::to_string(lost) +
      ", parts delivered as whole answers: " + std::to_string(Partial));
  if (Whole == 0)
    giveUp("no request was served");
  return Partial > 0 ? RuleBroken : RuleHeld;
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
