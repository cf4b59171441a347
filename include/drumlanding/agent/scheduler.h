/// Scheduler: which generation goes on the engine next, which must yield and
/// which comes back. The decisions of one agent, without I/O.
///
///   Scheduler s(options);
///   s.add(now, id, spec);
///   for (JobId id : s.decide(now).Start) ...
///
/// The agent sees every token, so the account of the engine's memory is exact;
/// the engine's own report lags and serves only as a check.
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

/// What the scheduler knows of a generation when it arrives.
struct JobSpec {
  std::string Organisation;
  LengthClass Class = 0;
  int Priority = 5;
  double Share = 1;
  double StallWeight = 1;
  double GapWeight = 1;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// The longest wait for the engine that the contract accepts.
  base::milliseconds MaxQueueWait{0};
};

/// A generation as the hooks see it.
struct JobView {
  JobId Id;
  const JobSpec &Spec;
  std::uint32_t Produced;
};

/// How admission judges whether one more generation fits.
enum class AdmissionRule {
  Survival, ///< Expected use and its deviation at several horizons.
  Reserve,  ///< A fixed number of tokens for each generation.
  Greedy,   ///< Whatever fits now (a baseline; the engine preempts).
};

struct SchedulerOptions {
  /// Memory of the engine in tokens.
  std::uint64_t CapacityTokens = 60'000;
  AdmissionRule Rule = AdmissionRule::Survival;
  /// Deviations of head-room for a stall weight of 1.
  double RiskFactor = 1.5;
  /// Added to the risk factor by each yield; it fades again. The forecast is
  /// wrong while lengths drift, and yields are the proof.
  double RiskPerYield = 0.25;
  /// Longest step that prefill may stretch to, for a gap weight of 1; zero
  /// leaves prefill unpaced.
  base::milliseconds StepTarget{60};
  /// A generation that has yielded this often yields only when all have.
  std::uint32_t MaxYields = 2;
  /// Tokens reserved for each generation by AdmissionRule::Reserve.
  std::uint32_t ReserveTokens = 4'000;
  /// Part of the memory that organisations above their share may fill.
  double OverShareCapacityFraction = 0.9;
  /// Forecasts look at most this many tokens ahead.
  std::uint32_t MaxHorizon = 512;
  /// A yielded generation that has waited this long makes others yield.
  base::milliseconds ForceResumeAfter{6'000};
  /// Replaces the learnt lengths; the bench's oracle knows them all.
  std::function<double(const JobView &, std::uint32_t additional)> Survival;
};

/// What has to happen now. A yielded generation is resumed by Start again.
struct Decisions {
  std::vector<JobId> Start;
  std::vector<JobId> Yield;
};

/// Figures for the report and the metrics.
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

  /// Takes a generation into its organisation's queue.
  void add(base::Instant now, JobId id, const JobSpec &spec);

  /// Predicts how long a new generation would wait for the engine.
  base::milliseconds predictedWait(const JobSpec &spec) const;

  /// Notes `count` tokens of a running generation.
  void recordTokens(base::Instant now, JobId id, std::uint32_t count);

  /// Notes that a generation that had to yield has left the engine.
  void recordYielded(base::Instant now, JobId id);

  /// Forgets a generation; `ended` says that it ended by itself.
  void remove(base::Instant now, JobId id, bool ended);

  /// Notes the length of one engine step that prefilled nothing, or some.
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
    /// Tokens to prefill at the last start.
    std::uint32_t PrefillTokens = 0;
    base::Instant StateSince;
    /// Produced when the forecast was last made.
    std::uint32_t ForecastProduced = 0;
    PerHorizon Mean{};
    PerHorizon Variance{};
    std::uint64_t tokens() const { return Spec.PromptTokens + Produced; }
  };

  /// One organisation's queue and its use so far.
  struct Tenant {
    std::deque<JobId> Queue;
    /// The contract's share and priority in one weight.
    double Share = 1;
    /// Tokens got, divided by the share.
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
  /// Learnt costs of the engine, in milliseconds.
  double PlainStepMs = 30;
  double PrefillTokenMs = 0.1;
  /// Time between admissions, faded; for the predicted wait.
  double AdmissionIntervalMs = 0;
  base::Instant LastAdmission{};
};

} // namespace drumlanding::agent
