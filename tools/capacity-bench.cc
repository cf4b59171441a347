// capacity-bench: measures the linear costs in docs/CAPACITY.md on the
// production cores: memory, CPU time and bytes per stream, server,
// organisation, token, report and change. Each cost is measured at three sizes
// and fitted with a straight line.
#include "drumlanding/agent/core.h"
#include "drumlanding/base/hash.h"
#include "drumlanding/bundle/signature.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/entry/members.h"
#include "drumlanding/wire/link.h"
#include "drumlanding/wire/request-id.h"

#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <string>
#include <vector>

namespace {

using namespace drumlanding;
using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Returns the heap memory in use, in bytes.
double heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the CPU time of this thread, in microseconds.
double cpuMicros() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 +
         static_cast<double>(t.tv_nsec) / 1e3;
}

struct Sample {
  double Size = 0;
  double Value = 0;
};

/// Prints the samples and the line fitted to them by least squares.
void printFit(const char *name, const char *unit, const char *per,
              const std::vector<Sample> &samples) {
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const Sample &s : samples) {
    ++n;
    x += s.Size;
    y += s.Value;
    xx += s.Size * s.Size;
    xy += s.Size * s.Value;
  }
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  const double offset = (y - slope * x) / n;
  std::printf("%-34s", name);
  for (const Sample &s : samples)
    std::printf(" %8.0f:%-11.1f", s.Size, s.Value);
  std::printf(" slope %.3f %s per %s, offset %.0f\n", slope, unit, per, offset);
}

Json organisationJson(int i) {
  return {{"name", "organisation-" + std::to_string(i)},
          {"credentialHash", bundle::credentialHash(std::to_string(i))},
          {"contract",
           {{"priority", 5},
            {"share", 1},
            {"models", {"m"}},
            {"services", Json::array()},
            {"maxOpen", 1'000'000},
            {"requestsPerSecond", 1'000'000},
            {"maxQueueWaitMs", 600'000},
            {"stallWeight", 1},
            {"gapWeight", 1}}}};
}

/// Signs bundles with a given number of organisations and servers.
struct BundleSigner {
  bundle::KeyPair Author = bundle::makeKeyPair();
  bundle::KeyPair Approver = bundle::makeKeyPair();
  bundle::TrustedKeys trusted() const {
    return {{Author.Public}, {Approver.Public}};
  }
  std::string signedBundle(std::uint64_t version, int organisations,
                           int servers) const {
    Json names = Json::array();
    for (int i = 0; i < servers; ++i)
      names.push_back("s-" + std::to_string(i));
    Json json{
        {"version", version},
        {"deployment", "d"},
        {"places", {{{"name", "p"}, {"failureDomain", "f"}, {"region", "r"}}}},
        {"links", Json::array()},
        {"models",
         {{{"name", "m"}, {"versions", {"1"}}, {"adapters", Json::array()}}}},
        {"services",
         {{{"name", "m"},
           {"kind", "engine"},
           {"servers", names},
           {"models", {"m"}}}}},
        {"organisations", Json::array()},
        {"limits",
         {{"maxBodyBytes", 1'000'000},
          {"maxPromptTokens", 100'000},
          {"maxOutputTokens", 100'000}}},
        {"drain", Json::array()}};
    for (int i = 0; i < organisations; ++i)
      json["organisations"].push_back(organisationJson(i));
    bundle::SignedBundle b{json.dump(), {}, {}};
    bundle::sign(b, bundle::Role::Author, Author.Secret);
    bundle::sign(b, bundle::Role::Approver, Approver.Secret);
    return bundle::serialise(b);
  }
};

const BundleSigner Signer;
base::ManualClock Time;

std::unique_ptr<agent::Core> makeAgent() {
  agent::CoreOptions o;
  o.Server = "s-0";
  o.Service = "m";
  o.Place = "p";
  o.Incarnation = 7;
  o.StartedAt = Time.now().Wall;
  o.Trusted = Signer.trusted();
  o.Scheduling.CapacityTokens = 1'000'000'000;
  o.Scheduling.StepTarget = base::milliseconds(0);
  auto core = std::make_unique<agent::Core>(std::move(o));
  wire::Request push;
  push.mutable_push()->mutable_document()->set_body(
      Signer.signedBundle(1, 1, 1));
  core->handle(Time.now(), agent::RequestArrived{1, push});
  core->handle(Time.now(),
               agent::ServerObserved{true, 1'000'000'000, {{"m", "1", {}}}});
  return core;
}

std::string streamId(int i) {
  char nonce[33];
  std::snprintf(nonce, sizeof nonce, "%032x", i);
  return toString(wire::RequestId{"s-0", 7, nonce});
}

void startStreams(agent::Core &core, int n) {
  for (int i = 0; i < n; ++i) {
    wire::Request request;
    request.mutable_versions()->set_bundle(1);
    wire::Start &start = *request.mutable_start();
    start.set_request_id(streamId(i));
    start.set_organisation("organisation-0");
    start.set_model("m");
    start.set_prompt(std::string(400, 'x'));
    start.set_prompt_tokens(100);
    start.set_max_tokens(100'000);
    start.set_not_after_ms((Time.now().Wall + 10s).time_since_epoch().count());
    core.handle(Time.now(), agent::RequestArrived{
                                static_cast<std::uint64_t>(i + 10), request});
  }
}

/// Delivers `tokens` tokens to each of `n` streams, one per stream in turn.
void deliverTokens(agent::Core &core, int n, int from, int tokens) {
  for (int t = from; t < from + tokens; ++t)
    for (int i = 0; i < n; ++i)
      core.handle(Time.now(),
                  agent::TokensArrived{streamId(i),
                                       static_cast<std::uint32_t>(t),
                                       {"half.8e238cdb.3 "}});
}

void measureAgentStreams() {
  std::vector<Sample> memory;
  std::vector<Sample> cpu;
  std::vector<Sample> bytes;
  for (int n : {40, 80, 160}) {
    auto core = makeAgent();
    const double before = heapBytes();
    startStreams(*core, n);
    deliverTokens(*core, n, 0, 1);
    memory.push_back({double(n), heapBytes() - before});
    const double start = cpuMicros();
    constexpr int Tokens = 360;
    deliverTokens(*core, n, 1, Tokens);
    cpu.push_back({double(n) * Tokens, cpuMicros() - start});
    bytes.push_back({double(n) * Tokens, heapBytes() - before});
  }
  printFit("agent: heap per open stream", "bytes", "stream", memory);
  printFit("agent: cpu per token taken", "us", "token", cpu);
  printFit("agent: heap per buffered token", "bytes", "token", bytes);
}

void measureAgentPolls() {
  std::vector<Sample> cpu;
  std::vector<Sample> bytes;
  for (int n : {40, 80, 160}) {
    auto core = makeAgent();
    startStreams(*core, n);
    constexpr int Rounds = 200;
    double spent = 0;
    double sent = 0;
    for (int t = 0; t < Rounds; ++t) {
      deliverTokens(*core, n, t, 1);
      wire::Request request;
      request.set_sender("entry-1");
      for (int i = 0; i < n; ++i) {
        wire::Cursor &c = *request.mutable_poll()->add_cursors();
        c.set_request_id(streamId(i));
        c.set_next_index(static_cast<std::uint32_t>(t));
      }
      const double start = cpuMicros();
      for (const agent::Command &c :
           core->handle(Time.now(), agent::RequestArrived{9, request}))
        if (const auto *reply = std::get_if<agent::SendReply>(&c))
          sent +=
              static_cast<double>(reply->Message.SerializeAsString().size());
      spent += cpuMicros() - start;
      sent += static_cast<double>(request.SerializeAsString().size());
    }
    cpu.push_back({double(n) * Rounds, spent});
    bytes.push_back({double(n) * Rounds, sent});
  }
  printFit("agent: cpu per token polled", "us", "token", cpu);
  printFit("link: poll bytes per token", "bytes", "token", bytes);
}

std::unique_ptr<entry::Core> makeEntry(int servers) {
  entry::CoreOptions o;
  o.Name = "entry-1";
  o.Place = "p";
  o.Trusted = Signer.trusted();
  o.SubsetSize = 1'000'000;
  auto core = std::make_unique<entry::Core>(std::move(o));
  core->handle(
      Time.now(),
      entry::DocumentRead{wire::BUNDLE, Signer.signedBundle(1, 1, servers)});
  entry::VmsListed list;
  for (int i = 0; i < servers; ++i)
    list.Vms.push_back(
        {"s-" + std::to_string(i), "agent", "m", "p", {"127.0.0.1", 1}, false});
  core->handle(Time.now(), list);
  return core;
}

/// Runs one tick of the entry and replies to each message as an agent would.
/// Returns the entry's CPU time in microseconds and adds the sealed messages'
/// sizes to `bytes`.
double runSyncRound(entry::Core &core, double &bytes) {
  Time.advance(600ms);
  double spent = 0;
  double start = cpuMicros();
  auto commands = core.handle(Time.now(), entry::Tick{});
  spent += cpuMicros() - start;
  for (const entry::Command &c : commands) {
    const auto *send = std::get_if<entry::SendMessage>(&c);
    if (!send)
      continue;
    wire::Reply reply;
    reply.set_incarnation(7);
    reply.mutable_versions()->set_bundle(1);
    wire::Report &report = *reply.mutable_report();
    report.set_running(80);
    report.set_used_tokens(50'000);
    report.set_capacity_tokens(60'000);
    report.set_models_digest(5);
    if (send->Request.sync().known_models() != 5)
      report.add_models("m@1");
    const wire::ControlKey key{std::string(32, 'k')};
    const std::string out =
        wire::seal(key, 1, false, send->Request.SerializeAsString());
    const std::string in = wire::seal(key, 1, true, reply.SerializeAsString());
    bytes += static_cast<double>(out.size() + in.size());
    start = cpuMicros();
    core.handle(Time.now(), entry::ReplyArrived{send->Message, reply});
    spent += cpuMicros() - start;
  }
  return spent;
}

void measureEntryServers() {
  std::vector<Sample> memory;
  std::vector<Sample> cpu;
  std::vector<Sample> wire;
  for (int n : {25, 100, 400}) {
    const double before = heapBytes();
    auto core = makeEntry(n);
    double bytes = 0;
    runSyncRound(*core, bytes);
    memory.push_back({double(n), heapBytes() - before});
    bytes = 0;
    double spent = 0;
    constexpr int Rounds = 20;
    for (int i = 0; i < Rounds; ++i)
      spent += runSyncRound(*core, bytes);
    cpu.push_back({double(n) * Rounds, spent});
    wire.push_back({double(n) * Rounds, bytes});
  }
  printFit("entry: heap per known server", "bytes", "server", memory);
  printFit("entry: cpu per report", "us", "report", cpu);
  printFit("link: bytes per report", "bytes", "report", wire);
}

void measureEntryStreams() {
  std::vector<Sample> memory;
  std::vector<Sample> cpu;
  std::vector<Sample> requestCpu;
  for (int n : {100, 400, 1'600}) {
    auto core = makeEntry(20);
    double bytes = 0;
    runSyncRound(*core, bytes);
    const double before = heapBytes();
    double spent = 0;
    std::vector<std::pair<std::string, std::string>> streams;
    for (int i = 0; i < n; ++i) {
      const double start = cpuMicros();
      auto commands = core->handle(
          Time.now(), entry::GenerationRequested{
                          static_cast<std::uint64_t>(i + 1), "0", "m", "", "",
                          std::string(400, 'x'), 1'000, true});
      spent += cpuMicros() - start;
      for (const entry::Command &c : commands)
        if (const auto *send = std::get_if<entry::SendMessage>(&c)) {
          streams.emplace_back(send->Peer, send->Request.start().request_id());
          wire::Reply accepted;
          accepted.set_incarnation(7);
          accepted.mutable_versions()->set_bundle(1);
          accepted.mutable_accepted();
          const double again = cpuMicros();
          core->handle(Time.now(),
                       entry::ReplyArrived{send->Message, accepted});
          spent += cpuMicros() - again;
        }
    }
    memory.push_back({double(n), heapBytes() - before});
    requestCpu.push_back({double(n), spent});
    // Reply to each poll with one token per stream.
    double tokenCpu = 0;
    constexpr std::uint32_t Rounds = 50;
    std::map<std::string, entry::MessageId> polls;
    const auto collect = [&](const entry::Commands &commands) {
      for (const entry::Command &c : commands)
        if (const auto *send = std::get_if<entry::SendMessage>(&c))
          if (send->Request.has_poll())
            polls[send->Peer] = send->Message;
    };
    collect(core->handle(Time.now(), entry::Tick{}));
    for (std::uint32_t t = 0; t < Rounds; ++t) {
      std::map<std::string, wire::Reply> replies;
      for (const auto &[peer, id] : streams) {
        wire::StreamPart &part = *replies[peer].mutable_poll()->add_parts();
        part.set_request_id(id);
        part.set_first_index(t);
        part.add_tokens("half.8e238cdb.3 ");
      }
      for (auto &[peer, reply] : replies) {
        reply.set_incarnation(7);
        reply.mutable_versions()->set_bundle(1);
        const double start = cpuMicros();
        collect(
            core->handle(Time.now(), entry::ReplyArrived{polls[peer], reply}));
        tokenCpu += cpuMicros() - start;
      }
    }
    cpu.push_back({double(n) * Rounds, tokenCpu});
  }
  printFit("entry: heap per open stream", "bytes", "stream", memory);
  printFit("entry: cpu per request", "us", "request", requestCpu);
  printFit("entry: cpu per token", "us", "token", cpu);
}

void measureBundles() {
  std::vector<Sample> bytes;
  std::vector<Sample> cpu;
  std::vector<Sample> memory;
  for (int n : {10, 100, 370}) {
    const std::string text = Signer.signedBundle(1, n, 100);
    bytes.push_back({double(n), double(text.size())});
    const double before = heapBytes();
    plan::DocumentStore store(Signer.trusted());
    const double start = cpuMicros();
    store.offer({}, wire::BUNDLE, text);
    cpu.push_back({double(n), cpuMicros() - start});
    memory.push_back({double(n), heapBytes() - before});
  }
  printFit("bundle: bytes per organisation", "bytes", "organisation", bytes);
  std::vector<Sample> deltaBytes;
  for (int n : {10, 100, 370}) {
    plan::DocumentStore store(Signer.trusted());
    store.offer({}, wire::BUNDLE, Signer.signedBundle(1, n, 100));
    store.offer({}, wire::BUNDLE, Signer.signedBundle(2, n + 1, 100));
    deltaBytes.push_back(
        {double(n), double(store.pack(wire::BUNDLE, 1).body().size())});
  }
  printFit("bundle: bytes per change", "bytes", "organisation", deltaBytes);
  printFit("bundle: cpu to check one", "us", "organisation", cpu);
  printFit("bundle: heap per organisation", "bytes", "organisation", memory);
}

void measurePlans() {
  std::vector<Sample> bytes;
  std::vector<Sample> makeCpu;
  std::vector<Sample> parseCpu;
  std::vector<Sample> memory;
  for (int n : {100, 1'000, 4'500}) {
    const auto signedText =
        bundle::parseSignedBundle(Signer.signedBundle(1, 1, n));
    const auto b = bundle::parseBundle(base::value(signedText).Document);
    std::vector<plan::PlannedServer> servers;
    for (int i = 0; i < n; ++i)
      servers.push_back({"s-" + std::to_string(i), "m", false});
    const plan::Plan first = plan::makePlan(base::value(b), servers, {});
    double start = cpuMicros();
    plan::makePlan(base::value(b), servers, first);
    makeCpu.push_back({double(n), cpuMicros() - start});
    const std::string text = plan::serialise(first);
    bytes.push_back({double(n), double(text.size())});
    const double before = heapBytes();
    start = cpuMicros();
    const auto again = plan::parsePlan(text);
    parseCpu.push_back({double(n), cpuMicros() - start});
    memory.push_back({double(n), heapBytes() - before});
  }
  printFit("plan: bytes per server", "bytes", "server", bytes);
  printFit("plan: cpu to make one", "us", "server", makeCpu);
  printFit("plan: cpu to read one", "us", "server", parseCpu);
  printFit("plan: heap per server", "bytes", "server", memory);
}

void measureSeals() {
  const wire::ControlKey key{std::string(32, 'k')};
  std::vector<Sample> cpu;
  for (int size : {100, 1'000, 10'000}) {
    const std::string payload(static_cast<std::size_t>(size), 'x');
    constexpr int Rounds = 2'000;
    const double start = cpuMicros();
    for (int i = 0; i < Rounds; ++i) {
      const std::string bytes = wire::seal(key, 1, false, payload);
      if (!ok(wire::open(key, false, bytes)))
        std::abort();
    }
    cpu.push_back({double(size), (cpuMicros() - start) / Rounds});
  }
  printFit("link: cpu to seal and open", "us", "byte", cpu);
}

} // namespace

int main() {
  if (sodium_init() < 0)
    return 1;
  std::printf("sizes and values, then the line through them\n");
  measureAgentStreams();
  measureAgentPolls();
  measureEntryServers();
  measureEntryStreams();
  measureBundles();
  measurePlans();
  measureSeals();
  return 0;
}
