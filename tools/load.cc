// load: load generator that acts as the callers of both deployments and checks
// every response.
#include "drumlanding/base/hash.h"
#include "load-checks.h"
#include "tool-support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <unistd.h>

DEFINE_string(entries, "127.0.0.1:8080",
              "[target] IP:port of the entries, separated by commas");
DEFINE_string(credentials, "", "[target] credentials, separated by commas");
DEFINE_string(model, "", "[target] model to generate with; empty for none");
DEFINE_string(service, "", "[target] plain service to call; empty for none");
DEFINE_string(engines, "",
              "[check] IP:port of the fake engines, to check that refused "
              "generations did not run");
DEFINE_string(services, "",
              "[check] IP:port of the fake services, to check that no call ran "
              "twice");
DEFINE_double(rate, 20, "[load] new requests per second");
DEFINE_int32(streams, 0,
             "[load] number of requests kept open; 0 to send at --rate");
DEFINE_double(seconds, 5, "[load] seconds to send requests");
DEFINE_double(drain_seconds, 30, "[load] seconds to wait for open requests");
DEFINE_uint32(max_tokens, 400, "[load] maximum tokens per generation");
DEFINE_double(call_part, 0.2,
              "[load] fraction of the requests that call --service");
DEFINE_double(drop_part, 0.1,
              "[load] fraction of the streams to drop and resume through any "
              "entry");
DEFINE_double(repeat_part, 0.3,
              "[load] fraction of the calls to send twice with one idempotency "
              "key");
DEFINE_uint64(seed, 1, "[load] seed of the random choices");
DEFINE_bool(progress, true, "[output] show a progress line");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;
using base::milliseconds;

constexpr std::string_view Flags[] = {
    "entries",   "credentials",   "model",      "service",
    "engines",   "services",      "rate",       "streams",
    "seconds",   "drain_seconds", "max_tokens", "call_part",
    "drop_part", "repeat_part",   "seed",       "progress"};
constexpr milliseconds StreamIdleTimeout{20'000};
constexpr milliseconds CallTimeout{20'000};
constexpr milliseconds ResumeDelay{200};
constexpr int MaxResumes = 40;
constexpr std::size_t MarkerBytes = 36;

std::vector<base::Endpoint> parseEndpoints(std::string_view flag,
                                           const std::string &list) {
  std::vector<base::Endpoint> all;
  for (const std::string &part : base::splitList(list)) {
    const auto endpoint = base::parseEndpoint(flag, part);
    if (!ok(endpoint))
      base::exitOnBadSettings(error(endpoint));
    all.push_back(value(endpoint));
  }
  return all;
}

/// How one connection of a stream ended.
enum class StreamResult { Complete, Failed, Refused, Dropped, Interrupted };

class LoadGenerator {
public:
  explicit LoadGenerator(asio::io_context &io)
      : Io(io), Random(FLAGS_seed),
        Entries(parseEndpoints("--entries", FLAGS_entries)),
        Engines(parseEndpoints("--engines", FLAGS_engines)),
        Services(parseEndpoints("--services", FLAGS_services)),
        Credentials(base::splitList(FLAGS_credentials)) {}

  asio::awaitable<void> run() {
    StartedAt = Time.now().Steady;
    const auto until =
        StartedAt +
        base::Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e9));
    while (Time.now().Steady < until) {
      if (FLAGS_streams > 0 && OpenRequests >= FLAGS_streams) {
        co_await sleepFor(milliseconds(2));
        continue;
      }
      asio::co_spawn(Io, sendRequest(), asio::detached);
      if (FLAGS_streams == 0)
        co_await sleepFor(
            base::Duration(static_cast<std::int64_t>(1e9 / FLAGS_rate)));
      showProgress(false);
    }
    const auto drainDeadline =
        Time.now().Steady +
        base::Duration(static_cast<std::int64_t>(FLAGS_drain_seconds * 1e9));
    while (OpenRequests > 0 && Time.now().Steady < drainDeadline) {
      co_await sleepFor(milliseconds(50));
      showProgress(false);
    }
    showProgress(true);
    co_await checkRuns();
    printCounts();
    std::fflush(stdout);
    std::_Exit(Counts.violations() == 0 && OpenRequests == 0 ? 0 : 1);
  }

private:
  const base::Endpoint &pickEntry() {
    return Entries[Random.below(Entries.size())];
  }
  const std::string &pickCredential() {
    return Credentials[Random.below(Credentials.size())];
  }

  asio::awaitable<void> sendRequest() {
    ++OpenRequests;
    ++Counts.Requests;
    const bool isCall = !FLAGS_service.empty() &&
                        (FLAGS_model.empty() || Random.chance(FLAGS_call_part));
    if (isCall)
      co_await callService();
    else
      co_await runGeneration();
    --OpenRequests;
  }

  // Generations.

  asio::awaitable<void> runGeneration() {
    const std::string marker =
        fmt::format("{:0>{}}", base::randomId(), MarkerBytes);
    const std::string credential = pickCredential();
    StreamChecker checker(Counts);
    std::string id;
    const bool isDropped = Random.chance(FLAGS_drop_part);
    auto dropIndex = static_cast<std::uint32_t>(
        isDropped ? 1 + Random.below(20) : FLAGS_max_tokens + 1);
    const Json body{{"model", FLAGS_model},
                    {"prompt", makePrompt(marker)},
                    {"maxTokens", FLAGS_max_tokens}};
    http::Request request{"POST",
                          "/v1/generations",
                          {{"Authorization", "Bearer " + credential}},
                          body.dump()};
    const base::Instant requestedAt = Time.now().Steady;
    StreamResult result = co_await readStream(std::move(request), checker, id,
                                              dropIndex, marker, requestedAt);
    for (int i = 0; i < MaxResumes && !id.empty(); ++i) {
      if (result != StreamResult::Interrupted &&
          result != StreamResult::Dropped)
        break;
      ++Counts.Resumed;
      dropIndex = FLAGS_max_tokens + 1;
      http::Request again{"GET",
                          "/v1/generations/" + id,
                          {{"Authorization", "Bearer " + credential}},
                          ""};
      if (checker.nextIndex() > 0)
        again.Headers.push_back(
            {"Last-Event-ID", std::to_string(checker.nextIndex() - 1)});
      result = co_await readStream(std::move(again), checker, id, dropIndex, "",
                                   requestedAt);
      if (result == StreamResult::Interrupted)
        co_await sleepFor(ResumeDelay);
    }
    if (result == StreamResult::Complete)
      ++Counts.Complete;
    if (result == StreamResult::Failed)
      ++Counts.Failed;
    if (result == StreamResult::Interrupted)
      ++Counts.Unanswered;
    TokenGapsMs.insert(TokenGapsMs.end(), checker.gapsMs().begin(),
                       checker.gapsMs().end());
  }

  std::string makePrompt(const std::string &marker) {
    // Only 20 topics, so that prompts share prefixes.
    const std::string topic = std::to_string(Random.below(20));
    std::string prompt = "You help pupils with exercise " + topic + ". ";
    prompt += std::string(300 + Random.below(900), 'x');
    return prompt + marker;
  }

  asio::awaitable<StreamResult>
  readStream(http::Request request, StreamChecker &checker, std::string &id,
             std::uint32_t dropIndex, const std::string &marker,
             base::Instant requestedAt) {
    StreamResult result = StreamResult::Interrupted;
    const auto onHead = [&](const std::vector<http::Header> &headers) {
      for (const http::Header &h : headers)
        if (h.Name == "Drumlanding-Generation")
          id = h.Value;
    };
    const auto onEvent = [&](const http::ServerEvent &event) {
      if (event.Name == "token") {
        if (checker.nextIndex() == 0) {
          const std::chrono::duration<double, std::milli> wait =
              Time.now().Steady - requestedAt;
          FirstTokenMs.push_back(wait.count());
        }
        checker.checkToken(event, Time.now().Steady);
        if (checker.nextIndex() < dropIndex)
          return true;
        result = StreamResult::Dropped;
        return false;
      }
      result =
          event.Name == "done" ? StreamResult::Complete : StreamResult::Failed;
      if (event.Name == "error")
        ++ErrorReasons[reasonOf(event.Data)];
      return false;
    };
    const http::StreamEnd end = co_await http::stream(
        pickEntry(), std::move(request), StreamIdleTimeout, onEvent, onHead);
    if (end.Status == 0 || end.Status == 200)
      co_return result;
    const std::string reason = reasonOf(end.Body);
    ++ErrorReasons[reason];
    // A restarted entry rejects resumes until it has discovered the agents, so
    // the resume is tried again.
    const bool isEarly = marker.empty() && reason == "not-ready";
    if (isEarly ||
        (marker.empty() && reason == "not-found" && checker.nextIndex() == 0))
      co_return StreamResult::Interrupted;
    if (verdictOf(end.Body) == "not-run" && !marker.empty()) {
      ++Counts.Refused;
      NotRunMarkers.insert(marker);
      co_return StreamResult::Refused;
    }
    co_return StreamResult::Failed;
  }

  static std::string errorField(const std::string &body, const char *name) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error"))
      return "none";
    return json["error"].value(name, "none");
  }
  static std::string reasonOf(const std::string &body) {
    return errorField(body, "reason");
  }
  static std::string verdictOf(const std::string &body) {
    return errorField(body, "verdict");
  }

  // Calls of the plain service, each of which may run only once.

  asio::awaitable<void> callService() {
    const std::string id = base::randomId();
    const std::string key = makeUuid7(Time.now().Wall);
    const std::string credential = pickCredential();
    const bool isRepeated = Random.chance(FLAGS_repeat_part);
    if (isRepeated)
      asio::co_spawn(Io, sendCall(id, key, credential, true), asio::detached);
    co_await sendCall(id, key, credential, false);
  }

  asio::awaitable<void> sendCall(std::string id, std::string key,
                                 std::string credential, bool isRepeat) {
    http::Request request{
        "POST",
        "/v1/services/" + FLAGS_service + "/progress",
        {{"Authorization", "Bearer " + credential}, {"Idempotency-Key", key}},
        Json{{"id", id}}.dump()};
    const auto fetched =
        co_await http::fetch(pickEntry(), std::move(request), CallTimeout);
    if (!ok(fetched.Outcome)) {
      Counts.Unanswered += isRepeat ? 0 : 1;
      co_return;
    }
    const http::Response &response = value(fetched.Outcome);
    if (response.Status == 200) {
      const Json json = Json::parse(response.Body, nullptr, false);
      if (!json.is_object() || json.value("id", "") != id)
        ++Counts.WrongResponses;
      Counts.Complete += isRepeat ? 0 : 1;
      Answered.insert(id);
      co_return;
    }
    ++ErrorReasons[reasonOf(response.Body)];
    if (isRepeat)
      co_return;
    if (verdictOf(response.Body) == "not-run") {
      ++Counts.Refused;
      // Not counted as a violation if it ran: its repeat may have run it.
      co_return;
    }
    ++Counts.Failed;
  }

  /// Reads from the fakes which generations and calls ran, and counts
  /// violations.
  asio::awaitable<void> checkRuns() {
    for (const base::Endpoint &engine : Engines) {
      const Json started = co_await fetchJson(engine, "/v1/test/started");
      for (const auto &[marker, n] : started.items())
        if (NotRunMarkers.contains(marker))
          ++Counts.RunsAfterNotRun;
    }
    std::map<std::string, int> runs;
    for (const base::Endpoint &service : Services) {
      const Json all = co_await fetchJson(service, "/v1/test/runs");
      for (const auto &[id, n] : all.items())
        runs[id] += n.get<int>();
    }
    for (const auto &[id, n] : runs)
      if (!id.empty() && n > 1)
        ++Counts.DuplicateRuns;
  }

  asio::awaitable<Json> fetchJson(base::Endpoint to, std::string path) {
    http::Request request;
    request.Method = "GET";
    request.Target = path;
    const auto fetched =
        co_await http::fetch(to, std::move(request), milliseconds(5'000));
    if (!ok(fetched.Outcome))
      co_return Json::object();
    Json json = Json::parse(value(fetched.Outcome).Body, nullptr, false);
    co_return json.is_object() ? json : Json::object();
  }

  void showProgress(bool isLast) {
    // Rewrite the line on a terminal; print only the last one elsewhere.
    if (!FLAGS_progress || (!isLast && !isatty(STDERR_FILENO)))
      return;
    if ((!isLast && Time.now().Steady < NextProgress))
      return;
    NextProgress = Time.now().Steady + milliseconds(250);
    const std::chrono::duration<double> since = Time.now().Steady - StartedAt;
    std::fprintf(stderr,
                 "\rload: %5.1f s, %llu requests, %d open, %llu whole, "
                 "%llu tokens, %llu refused, %llu violations%s",
                 since.count(),
                 static_cast<unsigned long long>(Counts.Requests), OpenRequests,
                 static_cast<unsigned long long>(Counts.Complete),
                 static_cast<unsigned long long>(Counts.Tokens),
                 static_cast<unsigned long long>(Counts.Refused),
                 static_cast<unsigned long long>(Counts.violations()),
                 isLast ? "\n" : "");
  }

  void printCounts() const {
    fmt::print("requests={} whole={} tokens={} duplicates={} gaps={} mixed={} "
               "crossed={} ran_twice={} ran_though_not={} refusals={} "
               "broken={} unanswered={} resumed={} open={} "
               "first_token_p50_ms={:.0f} first_token_p95_ms={:.0f} "
               "gap_p50_ms={:.1f} gap_p95_ms={:.1f} gap_p99_ms={:.1f}",
               Counts.Requests, Counts.Complete, Counts.Tokens,
               Counts.DuplicateTokens, Counts.IndexGaps, Counts.Mismatched,
               Counts.WrongResponses, Counts.DuplicateRuns,
               Counts.RunsAfterNotRun, Counts.Refused, Counts.Failed,
               Counts.Unanswered, Counts.Resumed, OpenRequests,
               quantile(FirstTokenMs, 0.5), quantile(FirstTokenMs, 0.95),
               quantile(TokenGapsMs, 0.5), quantile(TokenGapsMs, 0.95),
               quantile(TokenGapsMs, 0.99));
    for (const auto &[reason, n] : ErrorReasons)
      fmt::print(" reason_{}={}", reason, n);
    fmt::print("\n");
  }

  asio::io_context &Io;
  base::SystemClock Time;
  base::Random Random;
  std::vector<base::Endpoint> Entries;
  std::vector<base::Endpoint> Engines;
  std::vector<base::Endpoint> Services;
  std::vector<std::string> Credentials;
  LoadCounts Counts;
  int OpenRequests = 0;
  base::Instant StartedAt{};
  base::Instant NextProgress{};
  std::set<std::string> NotRunMarkers;
  std::set<std::string> Answered;
  std::map<std::string, int> ErrorReasons;
  std::vector<double> FirstTokenMs;
  std::vector<double> TokenGapsMs;
};

} // namespace

int main(int argc, char **argv) {
  readToolFlags(argc, argv, "load: sends requests and checks every response",
                Flags);
  if (FLAGS_credentials.empty())
    base::exitOnBadSettings(
        base::invalid("--credentials", "at least one credential is required"));
  asio::io_context io(1);
  LoadGenerator load(io);
  asio::co_spawn(io, load.run(), asio::detached);
  io.run();
  return 1;
}
