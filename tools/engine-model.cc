#include "engine-model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace drumlanding::tools {
namespace {

constexpr std::uint32_t MaxOutputTokens = 20'000;
/// Time constant of the rate of completed jobs.
constexpr double CompletionRateSeconds = 5;

double normal(base::Random &random) {
  const double u = std::max(random.unit(), 1e-12);
  return std::sqrt(-2 * std::log(u)) *
         std::cos(2 * std::numbers::pi * random.unit());
}

double logNormal(base::Random &random, double median, double sigma) {
  return median * std::exp(sigma * normal(random));
}

double pareto(base::Random &random, double min, double alpha) {
  return min / std::pow(std::max(random.unit(), 1e-9), 1 / alpha);
}

std::uint32_t clampTokens(double n, std::uint32_t max) {
  return static_cast<std::uint32_t>(std::clamp<double>(n, 1, max));
}

/// Draws from the Lernwerk distribution: mostly short outputs with a heavy
/// tail, from two lines to forty. The prompt holds an exercise and the
/// conversation so far.
RequestSizes drawLernwerk(base::Random &random) {
  const bool isLong = random.chance(0.03);
  const double length =
      isLong ? pareto(random, 800, 1.3) : logNormal(random, 150, 0.9);
  return {clampTokens(logNormal(random, 500, 0.5), 950),
          clampTokens(length, MaxOutputTokens)};
}

/// Draws from the Pwani distribution: classifications of a few tokens and long
/// summaries. The prompt holds part of a transcript.
RequestSizes drawPwani(base::Random &random) {
  const bool isSummary = random.chance(0.35);
  const double length =
      isSummary ? logNormal(random, 700, 1.0) : logNormal(random, 20, 0.7);
  return {clampTokens(logNormal(random, 550, 0.5), 950),
          clampTokens(length, MaxOutputTokens)};
}

} // namespace

void EngineModel::submit(const EngineJob &job) {
  // Insert before the first job of lower priority, which keeps arrival order
  // among equal priorities.
  const auto it =
      std::find_if(Queue.begin(), Queue.end(), [&](const EngineJob &other) {
        return other.Priority < job.Priority;
      });
  Queue.insert(it, job);
}

EngineJob EngineModel::stop(std::uint64_t id) {
  const auto matchesId = [&](const EngineJob &job) { return job.Id == id; };
  const auto running = std::find_if(Running.begin(), Running.end(), matchesId);
  if (running != Running.end()) {
    const EngineJob job = *running;
    UsedTokens -= job.tokens();
    Running.erase(running);
    return job;
  }
  const auto queued = std::find_if(Queue.begin(), Queue.end(), matchesId);
  if (queued == Queue.end())
    return {};
  const EngineJob job = *queued;
  Queue.erase(queued);
  return job;
}

void EngineModel::preempt(EngineStep &out) {
  while (Running.size() > 1 &&
         UsedTokens + Running.size() > Options.CapacityTokens) {
    EngineJob job = Running.back();
    Running.pop_back();
    UsedTokens -= job.tokens();
    out.Preempted.push_back(job.Id);
    Queue.push_front(job);
  }
}

std::uint32_t EngineModel::prefillTokensFor(const EngineJob &job,
                                            EngineStep &out) {
  const auto tokens = static_cast<std::uint32_t>(job.tokens());
  if (job.PrefixHash == 0 || Options.CacheCapacityTokens == 0)
    return tokens;
  const auto it =
      std::find_if(Cached.begin(), Cached.end(), [&](const CachedPrefix &c) {
        return c.Hash == job.PrefixHash;
      });
  const bool isCached = it != Cached.end();
  const std::uint32_t saved = isCached ? std::min(it->Tokens, tokens - 1) : 0;
  if (isCached)
    Cached.splice(Cached.begin(), Cached, it);
  else
    addToCache(job, out);
  return tokens - saved;
}

void EngineModel::addToCache(const EngineJob &job, EngineStep &out) {
  Cached.push_front({job.PrefixHash, job.PrefixTokens});
  CachedTokens += job.PrefixTokens;
  out.CacheEvents.push_back({job.PrefixHash, true});
  while (CachedTokens > Options.CacheCapacityTokens && Cached.size() > 1) {
    CachedTokens -= Cached.back().Tokens;
    out.CacheEvents.push_back({Cached.back().Hash, false});
    Cached.pop_back();
  }
}

void EngineModel::admit(EngineStep &out) {
  while (!Queue.empty()) {
    const EngineJob &job = Queue.front();
    const std::uint64_t growth = Running.size() + 1;
    if (!Running.empty() &&
        UsedTokens + job.tokens() + growth > Options.CapacityTokens)
      return;
    out.PrefillTokens += prefillTokensFor(job, out);
    UsedTokens += job.tokens();
    Running.push_back(job);
    Queue.pop_front();
  }
}

std::optional<double> EngineModel::requestLimit() const {
  if (Options.MaxUnlimitedJobs == 0 ||
      Running.size() + Queue.size() <= Options.MaxUnlimitedJobs)
    return std::nullopt;
  return CompletedPerSecond;
}

EngineStep EngineModel::step() {
  EngineStep out;
  preempt(out);
  // A job preempted in this step would be admitted and preempted again.
  if (out.Preempted.empty())
    admit(out);
  if (Running.empty())
    return out;
  const double ms = Options.StepMs +
                    Options.StreamMs * static_cast<double>(Running.size()) +
                    Options.PrefillTokenMs * out.PrefillTokens;
  out.Elapsed = base::Duration(static_cast<std::int64_t>(ms * 1e6));
  for (EngineJob &job : Running) {
    const bool isLast = job.Produced + 1 >= job.OutputTokens;
    out.Tokens.push_back({job.Id, job.Produced, isLast});
    ++job.Produced;
    ++UsedTokens;
  }
  std::erase_if(Running, [&](const EngineJob &job) {
    if (job.Produced < job.OutputTokens)
      return false;
    UsedTokens -= job.tokens();
    return true;
  });
  const double seconds = ms / 1'000;
  const double weight = 1 - std::exp(-seconds / CompletionRateSeconds);
  const auto completed =
      std::count_if(out.Tokens.begin(), out.Tokens.end(),
                    [](const EngineToken &token) { return token.IsLast; });
  CompletedPerSecond +=
      weight * (static_cast<double>(completed) / seconds - CompletedPerSecond);
  return out;
}

RequestSizes drawRequestSizes(LengthDistribution distribution,
                              base::Random &random) {
  if (distribution == LengthDistribution::Mixed)
    distribution = random.chance(0.5) ? LengthDistribution::Lernwerk
                                      : LengthDistribution::Pwani;
  return distribution == LengthDistribution::Lernwerk ? drawLernwerk(random)
                                                      : drawPwani(random);
}

} // namespace drumlanding::tools
