// fake-engine: a fake inference engine with the published HTTP interface: token
// streams, cancel and resume, delayed load reports, delayed and lossy cache
// events, and model-load requests with fencing tokens.
//
// A token's text is "word.seed.index". The seed is drawn when a stream starts
// without a resume, so a client can check that all its tokens come from one
// generation.
#include "engine-model.h"
#include "tool-support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <memory>
#include <set>

DEFINE_string(listen, "127.0.0.1:7100", "[network] IP:port");
DEFINE_string(weights, "",
              "[network] IP:port of the weight store; empty to load models "
              "without fetching weights");
DEFINE_uint64(seed, 1, "[engine] seed of the output lengths");
DEFINE_string(lengths, "lernwerk", "[engine] lernwerk, pwani or mixed");
DEFINE_int32(fixed_length, 0,
             "[engine] output tokens of every stream; 0 to draw them from "
             "--lengths");
DEFINE_double(speed, 1, "[engine] factor by which steps run faster");
DEFINE_uint64(capacity, 60000, "[engine] KV cache size in tokens");
DEFINE_int32(report_lag_ms, 300,
             "[engine] interval and delay of the load report");
DEFINE_int32(cache_lag_ms, 1000, "[engine] delay of the cache events");
DEFINE_double(cache_gap, 0.05, "[engine] fraction of the cache events dropped");
DEFINE_bool(checks_fences, true,
            "[engine] reject model loads with a lower fence than the last");

namespace {

using namespace drumlanding;
using namespace drumlanding::tools;
using Clock = std::chrono::steady_clock;

constexpr std::string_view Flags[] = {
    "listen",       "weights",   "seed",         "lengths",
    "fixed_length", "speed",     "capacity",     "report_lag_ms",
    "cache_lag_ms", "cache_gap", "checks_fences"};
constexpr base::milliseconds IdleStep{2};
constexpr std::size_t PrefixBytes = 256;
/// Length of the unique marker with which `load` ends each prompt.
constexpr std::size_t MarkerBytes = 36;
constexpr const char *Words[] = {"so",   "take", "the",    "half", "and",
                                 "then", "we",   "divide", "by",   "three"};

/// The events of one stream that are queued for its HTTP connection.
struct Stream {
  explicit Stream(asio::any_io_executor executor) : Wake(executor) {}
  std::string Id;
  std::uint32_t Seed = 0;
  std::deque<http::ServerEvent> Events;
  bool IsEnded = false;
  asio::steady_timer Wake;

  void push(http::ServerEvent event, bool isLast) {
    Events.push_back(std::move(event));
    IsEnded = IsEnded || isLast;
    Wake.cancel();
  }
};

/// The state kept of a yielded stream, to resume it later.
struct YieldedStream {
  EngineJob Job;
  std::uint32_t Seed = 0;
};

LengthDistribution distributionOf(const std::string &name) {
  if (name == "pwani")
    return LengthDistribution::Pwani;
  return name == "mixed" ? LengthDistribution::Mixed
                         : LengthDistribution::Lernwerk;
}

class Engine {
public:
  explicit Engine(asio::io_context &io)
      : Io(io), Random(FLAGS_seed), Model([] {
          EngineOptions options;
          options.CapacityTokens = FLAGS_capacity;
          return options;
        }()) {}

  asio::awaitable<void> handle(http::Request request, http::Exchange &x) {
    const std::string path(request.path());
    constexpr std::string_view Streams = "/v1/streams/";
    if (path == "/v1/streams") {
      co_await serveStream(request, x);
    } else if (path == "/v1/streams/stop-all") {
      stopAll();
      co_await x.send(emptyResponse(200));
    } else if (path.starts_with(Streams) && path.ends_with("/stop")) {
      const std::string id =
          path.substr(Streams.size(), path.size() - Streams.size() - 5);
      const bool found = stop(id, request.query("keep") == "1");
      co_await x.send(emptyResponse(found ? 200 : 404));
    } else if (path == "/v1/load") {
      co_await x.send(jsonResponse(200, ReportedLoad));
    } else if (path == "/v1/models") {
      co_await loadModels(request, x);
    } else if (path == "/v1/cache-events") {
      co_await x.send(cacheEvents(parseNumberOr(request.query("after"), 0)));
    } else if (path == "/v1/test/started") {
      co_await x.send(jsonResponse(200, Json(StartCounts)));
    } else {
      co_await x.send(errorResponse(404, "unknown path"));
    }
  }

  /// Runs the engine model in real time.
  asio::awaitable<void> runSteps() {
    for (;;) {
      const EngineStep step = Model.step();
      if (step.Elapsed.count() == 0) {
        co_await sleepFor(IdleStep);
      } else {
        const double ns =
            static_cast<double>(step.Elapsed.count()) / FLAGS_speed;
        co_await sleepFor(base::Duration(static_cast<std::int64_t>(ns)));
      }
      deliver(step);
    }
  }

  /// Publishes, every --report_lag_ms, the load measured one interval earlier.
  asio::awaitable<void> refreshLoadReport() {
    for (;;) {
      Json next = currentLoad();
      co_await sleepFor(base::milliseconds(FLAGS_report_lag_ms));
      ReportedLoad = std::move(next);
    }
  }

private:
  Json currentLoad() const {
    const EngineOptions &o = Model.options();
    const double plainStepMs =
        o.StepMs + o.StreamMs * static_cast<double>(Model.running());
    return {{"capacityTokens", o.CapacityTokens},
            {"usedTokens", Model.usedTokens()},
            {"running", Model.running()},
            {"queued", Model.queued()},
            {"plainStepMs", plainStepMs / FLAGS_speed},
            {"prefillTokenMs", o.PrefillTokenMs / FLAGS_speed},
            {"preemptions", PreemptionCount},
            {"models", Models}};
  }

  void deliver(const EngineStep &step) {
    PreemptionCount += step.Preempted.size();
    for (const EngineToken &token : step.Tokens) {
      const auto it = StreamsByJob.find(token.Id);
      if (it == StreamsByJob.end())
        continue;
      const std::shared_ptr<Stream> stream = it->second;
      const char *word = Words[token.Index % std::size(Words)];
      stream->push(
          {std::to_string(token.Index), "token",
           fmt::format("{}.{:08x}.{} ", word, stream->Seed, token.Index)},
          false);
      if (!token.IsLast)
        continue;
      stream->push({"", "done", "{}"}, true);
      removeStream(*stream, token.Id);
    }
    for (const CacheEvent &event : step.CacheEvents) {
      ++LastCacheSequence;
      if (Random.chance(FLAGS_cache_gap))
        continue;
      CacheEvents.push_back({LastCacheSequence, Clock::now(), event});
      if (CacheEvents.size() > 1'000)
        CacheEvents.pop_front();
    }
  }

  void removeStream(const Stream &stream, std::uint64_t jobId) {
    JobIds.erase(stream.Id);
    StreamsByJob.erase(jobId);
  }

  bool stop(const std::string &id, bool keep) {
    if (!keep)
      YieldedStreams.erase(id);
    const auto it = JobIds.find(id);
    if (it == JobIds.end())
      return false;
    const std::uint64_t jobId = it->second;
    const std::shared_ptr<Stream> stream = StreamsByJob.at(jobId);
    const EngineJob job = Model.stop(jobId);
    if (keep)
      YieldedStreams[id] = {job, stream->Seed};
    stream->push({"", keep ? "yielded" : "cancelled", "{}"}, true);
    removeStream(*stream, jobId);
    return true;
  }

  void stopAll() {
    while (!JobIds.empty())
      stop(std::string(JobIds.begin()->first), false);
    YieldedStreams.clear();
  }

  bool isLoaded(const Json &request) const {
    for (const Json &m : Models)
      if (m.at("model") == request.at("model"))
        return true;
    return false;
  }

  EngineJob makeJob(const Json &request) {
    const std::string prompt = request.at("prompt");
    EngineJob job;
    job.Id = ++LastJobId;
    job.PromptTokens = request.at("promptTokens");
    job.Priority = request.at("priority");
    job.OutputTokens =
        FLAGS_fixed_length > 0
            ? static_cast<std::uint32_t>(FLAGS_fixed_length)
            : drawRequestSizes(distributionOf(FLAGS_lengths), Random)
                  .OutputTokens;
    job.OutputTokens = std::min(job.OutputTokens,
                                request.at("maxTokens").get<std::uint32_t>());
    if (prompt.size() >= PrefixBytes) {
      job.PrefixHash = base::hash64(prompt.substr(0, PrefixBytes));
      job.PrefixTokens = PrefixBytes / 4;
    }
    const std::size_t markerStart =
        prompt.size() > MarkerBytes ? prompt.size() - MarkerBytes : 0;
    ++StartCounts[prompt.substr(markerStart)];
    return job;
  }

  asio::awaitable<void> serveStream(const http::Request &request,
                                    http::Exchange &x) {
    const Json json = Json::parse(request.Body, nullptr, false);
    if (!json.is_object() || !json.contains("id") || !json["id"].is_string()) {
      co_await x.send(errorResponse(400, "malformed"));
      co_return;
    }
    const std::string id = json["id"];
    if (!isLoaded(json) || JobIds.contains(id)) {
      co_await x.send(errorResponse(503, "refused"));
      co_return;
    }
    auto stream = std::make_shared<Stream>(Io.get_executor());
    stream->Id = id;
    const std::uint32_t resumeFrom = json.value("resumeFrom", 0U);
    EngineJob job;
    if (resumeFrom > 0) {
      const auto yielded = YieldedStreams.find(id);
      if (yielded == YieldedStreams.end() ||
          yielded->second.Job.Produced < resumeFrom) {
        co_await x.send(errorResponse(
            409, "stream was not kept or has fewer tokens than resumeFrom"));
        co_return;
      }
      job = yielded->second.Job;
      job.Produced = resumeFrom;
      job.Id = ++LastJobId;
      stream->Seed = yielded->second.Seed;
      YieldedStreams.erase(yielded);
    } else {
      job = makeJob(json);
      stream->Seed = static_cast<std::uint32_t>(base::secureRandom64());
    }
    JobIds[id] = job.Id;
    StreamsByJob[job.Id] = stream;
    Model.submit(job);
    co_await sendEvents(stream, job.Id, x);
  }

  asio::awaitable<void> sendEvents(std::shared_ptr<Stream> stream,
                                   std::uint64_t jobId, http::Exchange &x) {
    x.onDisconnect([this, id = stream->Id, jobId] {
      const auto it = JobIds.find(id);
      if (it != JobIds.end() && it->second == jobId)
        stop(id, false);
    });
    bool isOpen = co_await x.beginEvents(std::vector<http::Header>());
    while (isOpen) {
      while (stream->Events.empty() && !stream->IsEnded) {
        stream->Wake.expires_at(Clock::time_point::max());
        boost::system::error_code ec;
        co_await stream->Wake.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
      }
      std::vector<http::ServerEvent> events(stream->Events.begin(),
                                            stream->Events.end());
      stream->Events.clear();
      const bool isEnded = stream->IsEnded;
      isOpen = co_await x.events(std::move(events));
      if (isEnded)
        break;
    }
    co_await x.endEvents();
  }

  asio::awaitable<void> loadModels(const http::Request &request,
                                   http::Exchange &x) {
    const Json json = Json::parse(request.Body, nullptr, false);
    const std::uint64_t fence = json.value("fence", std::uint64_t(0));
    if (FLAGS_checks_fences && fence < LastFence) {
      co_await x.send(
          errorResponse(409, "fence is lower than that of the last load"));
      co_return;
    }
    LastFence = fence;
    if (!FLAGS_weights.empty())
      for (const Json &m : json.at("models")) {
        const auto store = base::parseEndpoint("--weights", FLAGS_weights);
        http::Request fetch;
        fetch.Method = "GET";
        fetch.Target = "/v1/weights/" + m.at("model").get<std::string>();
        co_await http::fetch(value(store), std::move(fetch),
                             base::milliseconds(10'000));
      }
    // A load with a higher fence may have been accepted during the fetch.
    if (fence < LastFence && FLAGS_checks_fences) {
      co_await x.send(
          errorResponse(409, "fence is lower than that of the last load"));
      co_return;
    }
    Models = json.at("models");
    co_await x.send(emptyResponse(200));
  }

  http::Response cacheEvents(std::uint64_t after) const {
    const auto visibleUntil =
        Clock::now() - base::milliseconds(FLAGS_cache_lag_ms);
    Json events = Json::array();
    for (const RecordedCacheEvent &e : CacheEvents)
      if (e.Sequence > after && e.RecordedAt <= visibleUntil)
        events.push_back({{"sequence", e.Sequence},
                          {"prefix", e.Event.PrefixHash},
                          {"added", e.Event.Added}});
    return jsonResponse(200, {{"events", events}});
  }

  struct RecordedCacheEvent {
    std::uint64_t Sequence = 0;
    Clock::time_point RecordedAt;
    CacheEvent Event;
  };

  asio::io_context &Io;
  base::Random Random;
  EngineModel Model;
  std::map<std::string, std::uint64_t> JobIds;
  std::map<std::uint64_t, std::shared_ptr<Stream>> StreamsByJob;
  std::map<std::string, YieldedStream> YieldedStreams;
  std::map<std::string, int> StartCounts;
  std::deque<RecordedCacheEvent> CacheEvents;
  std::uint64_t LastCacheSequence = 0;
  std::uint64_t LastJobId = 0;
  std::uint64_t LastFence = 0;
  std::uint64_t PreemptionCount = 0;
  Json Models = Json::array();
  Json ReportedLoad = currentLoad();
};

} // namespace

int main(int argc, char **argv) {
  readToolFlags(argc, argv, "fake-engine: a fake inference engine", Flags);
  asio::io_context io(1);
  Engine engine(io);
  asio::co_spawn(io, engine.runSteps(), asio::detached);
  asio::co_spawn(io, engine.refreshLoadReport(), asio::detached);
  return serveUntilStopped(io, FLAGS_listen,
                           [&](http::Request request, http::Exchange &x) {
                             return engine.handle(std::move(request), x);
                           });
}
