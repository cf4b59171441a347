/// Scheduler: decides which generations start on the engine, which yield to
/// others and which resume. Belongs to one agent; without I/O.
///
///   Scheduler s(options);
///   s.add(now, id, spec);
///   for (JobId id : s.decide(now).Start) ...
///
/// Every token passes through the agent, so its count of used KV cache is
/// exact. The engine's report of used tokens lags behind and is not read.
#pragma once

#include "drumlanding/agent/lengths.h"
#include "drumlanding/base/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

using JobId = std::uint64_t;

/// Parameters of a generation, known when it is added.
struct JobSpec {
  std::string Organisation;
  LengthClass Class = 0;
  int Priority = 5;
  double Share = 1;
  double StallWeight = 1;
  double GapWeight = 1;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// Maximum wait for the engine that the contract allows.
  base::milliseconds MaxQueueWait{0};
};

/// A generation as SchedulerOptions::Survival receives it.
struct JobView {
  JobId Id;
  const JobSpec &Spec;
  std::uint32_t Produced;
};

/// How admission decides whether one more generation fits.
enum class AdmissionRule {
  Survival, ///< Forecast mean and deviation at several horizons.
  Reserve,  ///< A fixed number of tokens per generation.
  Greedy,   ///< Everything; the engine preempts (a baseline).
};

struct SchedulerOptions {
  /// KV cache capacity of the engine in tokens.
  std::uint64_t CapacityTokens = 60'000;
  AdmissionRule Rule = AdmissionRule::Survival;
  /// Headroom in standard deviations of the forecast, at a stall weight of 1.
  double RiskFactor = 1.5;
  /// Added to the risk factor by each yield; decays over time. Yields show that
  /// the forecast is too low, for instance while output lengths drift.
  double RiskPerYield = 0.25;
  /// Maximum duration of a step with prefill, at a gap weight of 1; zero
  /// removes the limit.
  base::milliseconds StepTarget{60};
  /// A generation that has yielded this often is selected to yield again only
  /// when all running ones have.
  std::uint32_t MaxYields = 2;
  /// Tokens that AdmissionRule::Reserve reserves for each generation.
  std::uint32_t ReserveTokens = 4'000;
  /// Fraction of the capacity up to which organisations above their fair share
  /// are admitted.
  double OverShareCapacityFraction = 0.9;
  /// Admission forecasts look at most this many tokens ahead.
  std::uint32_t MaxHorizon = 512;
  /// Others yield for a yielded generation that has waited this long.
  base::milliseconds ForceResumeAfter{6'000};
  /// Replaces the learnt length model, for instance by the benchmark's oracle.
  std::function<double(const JobView &, std::uint32_t additional)> Survival;
};

/// Generations to start and to yield now. `Start` includes yielded ones to
/// resume.
struct Decisions {
  std::vector<JobId> Start;
  std::vector<JobId> Yield;
};

/// Load figures for reports to the entries and for metrics.
struct SchedulerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t CapacityTokens = 0;
  base::milliseconds PredictedWait{0};
};

/// Not thread-safe; belongs to one agent's core.
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions options);

  /// Adds a generation to its organisation's queue.
  void add(base::Instant now, JobId id, const JobSpec &spec);

  /// Predicts how long a new generation would wait for the engine.
  base::milliseconds predictedWait(const JobSpec &spec) const;

  /// Records `count` new tokens of a running generation.
  void recordTokens(base::Instant now, JobId id, std::uint32_t count);

  /// Records that a generation has left the engine, because it yielded or was
  /// preempted.
  void recordYielded(base::Instant now, JobId id);

  /// Removes a generation; `ended` is true if it ended by itself.
  void remove(base::Instant now, JobId id, bool ended);

  /// Records the duration of an engine step that prefilled `prefillTokens`
  /// tokens, or none.
  void recordStep(base::Duration step, std::uint32_t prefillTokens);

  Decisions decide(base::Instant now);

  void setCapacity(std::uint64_t tokens) { Options.CapacityTokens = tokens; }
  bool contains(JobId id) const { return Jobs.contains(id); }
  std::uint32_t yieldCount(JobId id) const;
  SchedulerLoad load() const;
  const LengthModel &lengths() const { return Lengths; }

private:
  static constexpr std::array<std::uint32_t, 7> Horizons = {
      16, 64, 256, 512, 1024, 2048, 4096};
  using PerHorizon = std::array<double, Horizons.size()>;

  enum class JobState { Waiting, Prefilling, Running, Yielding, Yielded };

  struct Job {
    JobId Id = 0;
    JobSpec Spec;
    JobState State = JobState::Waiting;
    std::uint32_t Produced = 0;
    std::uint32_t Yields = 0;
    /// Tokens prefilled at the last start or resume.
    std::uint32_t PrefillTokens = 0;
    base::Instant StateSince;
    /// Value of `Produced` at the last forecast.
    std::uint32_t ForecastProduced = 0;
    PerHorizon Mean{};
    PerHorizon Variance{};
    std::uint64_t tokens() const { return Spec.PromptTokens + Produced; }
  };

  /// Queue and resource use of one organisation.
  struct Tenant {
    std::deque<JobId> Queue;
    /// Weight computed from the contract's share and priority.
    double Share = 1;
    /// Attained service: tokens produced and, at a lower cost, prompt tokens,
    /// divided by the share.
    double Attained = 0;
    std::uint64_t UsedTokens = 0;
    std::uint32_t Active = 0;
  };

  bool isOnEngine(const Job &job) const;
  double survival(const Job &job, std::uint32_t additional) const;
  void forecast(Job &job);
  void addForecast(const Job &job, double sign);
  void placeOnEngine(base::Instant now, Job &job);
  void removeFromEngine(Job &job);
  void activate(Tenant &tenant);
  double minAttained() const;

  std::uint64_t capacityLimit(const Job &job) const;
  bool exceedsFairShare(const Tenant &tenant) const;
  bool fitsNow(const Job &job) const;
  bool fitsForecast(const Job &job, std::uint64_t limit) const;
  bool canAdmit(Job &job);
  bool isWithinPrefillBudget(const Job &job) const;
  double riskFactor() const;
  void decayRisk(base::Instant now);
  base::milliseconds stepTarget() const;

  Job *nextWaiting();
  void yieldForCapacity(base::Instant now, Decisions &out);
  Job *selectVictim();
  bool resume(base::Instant now, Decisions &out);
  void yieldForOldest(base::Instant now, Decisions &out);
  void yield(base::Instant now, Job &job, Decisions &out);
  bool canResume(const Job &job) const;
  void admit(base::Instant now, Decisions &out);

  SchedulerOptions Options;
  LengthModel Lengths;
  std::unordered_map<JobId, Job> Jobs;
  std::map<std::string, Tenant, std::less<>> Tenants;
  std::deque<JobId> Yielded;
  std::uint64_t UsedTokens = 0;
  std::uint64_t YieldingTokens = 0;
  std::uint32_t OnEngine = 0;
  std::uint32_t WaitingJobs = 0;
  std::uint64_t PrefillInFlight = 0;
  double RiskBoost = 0;
  base::Instant RiskDecayedAt{};
  double StallWeightSum = 0;
  double GapWeightSum = 0;
  PerHorizon MeanSum{};
  PerHorizon VarianceSum{};
  /// Learnt durations of an engine step and of a prefill token, in
  /// milliseconds.
  double PlainStepMs = 30;
  double PrefillTokenMs = 0.1;
  /// Moving average of the time between admissions; gives the predicted wait.
  double AdmissionIntervalMs = 0;
  base::Instant LastAdmission{};
};

} // namespace drumlanding::agent
