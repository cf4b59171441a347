/// Engine model: a model engine in steps, without I/O: continuous batching,
/// limited memory that can fill in mid-decode, priorities, a prefix cache.
///
///   EngineModel engine(options);
///   engine.submit(job);
///   EngineStep step = engine.step(); // step.Took, step.Tokens
///
/// `fake-engine` runs it in real time, `policy-bench` on a virtual clock.
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/base/hash.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace drumlanding::tools {

/// Costs and sizes; times in milliseconds.
struct EngineOptions {
  std::uint64_t CapacityTokens = 60'000;
  double StepMs = 15;
  double StreamMs = 0.15;
  double PrefillTokenMs = 0.1;
  /// Memory for cached prefixes, besides CapacityTokens; 0 for no cache.
  std::uint64_t CacheCapacityTokens = 12'000;
};

struct EngineJob {
  std::uint64_t Id = 0;
  std::uint32_t PromptTokens = 0;
  /// Tokens it will produce; the outside does not know.
  std::uint32_t OutputTokens = 0;
  int Priority = 5;
  std::uint32_t Produced = 0;
  /// Hash and size of the shared beginning of the prompt; 0 for none.
  std::uint64_t PrefixHash = 0;
  std::uint32_t PrefixTokens = 0;
  std::uint64_t tokens() const { return PromptTokens + Produced; }
};

struct EngineToken {
  std::uint64_t Id = 0;
  std::uint32_t Index = 0;
  bool IsLast = false;
};

/// A change of the prefix cache.
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

  /// Puts a job into the engine's own queue.
  void submit(const EngineJob &job);
  /// Takes a job off; returns what it was, with Id 0 when it is not there.
  EngineJob stop(std::uint64_t id);
  /// Runs one step. Takes no time when there is nothing to do.
  EngineStep step();

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
  /// In order of admission: the newest is preempted first.
  std::vector<EngineJob> Running;
  std::deque<EngineJob> Queue;
  std::uint64_t UsedTokens = 0;
  struct CachedPrefix {
    std::uint64_t Hash = 0;
    std::uint32_t Tokens = 0;
  };
  /// Least recently used last.
  std::list<CachedPrefix> Cached;
  std::uint64_t CachedTokens = 0;
};

/// The shapes of output lengths that the benches and stand-ins know.
enum class LengthDistribution { Lernwerk, Pwani, Mixed };

/// Draws the sizes of one request.
struct RequestSizes {
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
};
RequestSizes drawRequestSizes(LengthDistribution distribution,
                              base::Random &random);

} // namespace drumlanding::tools
