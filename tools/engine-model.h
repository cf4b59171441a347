/// Step-by-step simulation of an inference engine, without I/O: continuous
/// batching, a KV cache that can fill up during decoding, request priorities,
/// and a prefix cache.
///
///   EngineModel engine(options);
///   engine.submit(job);
///   EngineStep step = engine.step(); // step.Elapsed, step.Tokens
///
/// `fake-engine` runs the model in real time, `policy-bench` on a virtual
/// clock.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/hash.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace drumlanding::tools {

/// Sizes and costs of a simulated engine.
struct EngineOptions {
  /// Size of the KV cache, in tokens.
  std::uint64_t CapacityTokens = 60'000;
  /// Fixed duration of a step.
  double StepMs = 15;
  /// Added to a step for each running stream.
  double StreamMs = 0.15;
  /// Added to a step for each token that it prefills.
  double PrefillTokenMs = 0.1;
  /// Size of the prefix cache, in addition to CapacityTokens; 0 disables it.
  std::uint64_t CacheCapacityTokens = 12'000;
  /// With more jobs than this, the engine names a limit; 0 never.
  std::size_t MaxUnlimitedJobs = 0;
};

struct EngineJob {
  std::uint64_t Id = 0;
  std::uint32_t PromptTokens = 0;
  /// Number of tokens the job will produce. Schedulers have no access to it.
  std::uint32_t OutputTokens = 0;
  int Priority = 5;
  std::uint32_t Produced = 0;
  /// Hash and size of the prompt's shared prefix; 0 if it has none.
  std::uint64_t PrefixHash = 0;
  std::uint32_t PrefixTokens = 0;
  std::uint64_t tokens() const { return PromptTokens + Produced; }
};

struct EngineToken {
  std::uint64_t Id = 0;
  std::uint32_t Index = 0;
  bool IsLast = false;
};

/// An insertion into the prefix cache or an eviction from it.
struct CacheEvent {
  std::uint64_t PrefixHash = 0;
  bool Added = false;
};

struct EngineStep {
  base::Duration Elapsed{0};
  std::uint32_t PrefillTokens = 0;
  std::vector<EngineToken> Tokens;
  std::vector<std::uint64_t> Preempted;
  std::vector<CacheEvent> CacheEvents;
};

class EngineModel {
public:
  explicit EngineModel(EngineOptions options) : Options(options) {}

  /// Adds a job to the engine's queue: higher priorities first, then in order
  /// of arrival.
  void submit(const EngineJob &job);
  /// Removes a running or queued job and returns it; Id is 0 if there is none.
  EngineJob stop(std::uint64_t id);
  /// Runs one step. Elapsed is 0 if no job runs.
  EngineStep step();

  /// Returns the jobs per second that the engine asks for, the rate at which it
  /// has recently completed them; unset while it has few jobs.
  std::optional<double> requestLimit() const;

  bool isIdle() const { return Running.empty() && Queue.empty(); }
  std::uint64_t usedTokens() const { return UsedTokens; }
  std::size_t running() const { return Running.size(); }
  std::size_t queued() const { return Queue.size(); }
  const EngineOptions &options() const { return Options; }

private:
  void preempt(EngineStep &out);
  void admit(EngineStep &out);
  std::uint32_t prefillTokensFor(const EngineJob &job, EngineStep &out);
  void addToCache(const EngineJob &job, EngineStep &out);

  EngineOptions Options;
  /// In order of admission; the last admitted job is preempted first.
  std::vector<EngineJob> Running;
  std::deque<EngineJob> Queue;
  std::uint64_t UsedTokens = 0;
  /// Exponentially weighted rate of completed jobs.
  double CompletedPerSecond = 0;
  struct CachedPrefix {
    std::uint64_t Hash = 0;
    std::uint32_t Tokens = 0;
  };
  /// Ordered from the most to the least recently used.
  std::list<CachedPrefix> Cached;
  std::uint64_t CachedTokens = 0;
};

/// Distributions of prompt and output lengths. Mixed draws from either of the
/// other two with equal probability.
enum class LengthDistribution { Lernwerk, Pwani, Mixed };

struct RequestSizes {
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
};
/// Draws the sizes of one request.
RequestSizes drawRequestSizes(LengthDistribution distribution,
                              base::Random &random);

} // namespace drumlanding::tools
