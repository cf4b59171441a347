#include "drumlanding/agent/scheduler.h"

#include "drumlanding/base/invariant.h"

#include <algorithm>
#include <cmath>

namespace drumlanding::agent {
namespace {

/// A generation's forecast is recomputed after this many tokens.
constexpr std::uint32_t TokensPerForecast = 16;
/// Engine steps until a yield takes effect. Capacity for the tokens produced in
/// this time stays reserved.
constexpr std::uint32_t YieldLatencySteps = 3;
/// A generation is resumed only if this fraction of the capacity stays free.
constexpr double ResumeHeadroomFraction = 0.02;
/// Cost of a prompt token in an organisation's attained service, relative to a
/// generated token.
constexpr double PromptTokenCost = 0.2;
/// Each step of priority multiplies the share by this factor. Priorities are
/// weights, not strict classes, so that the lowest one is never starved.
constexpr double PriorityFactor = 1.5;
constexpr int NeutralPriority = 5;
/// An organisation exceeds its fair share if it uses more than this multiple of
/// its proportional part of the capacity.
constexpr double FairShareTolerance = 1.5;
/// Weight of a new observation in the moving averages.
constexpr double LearningRate = 0.05;
constexpr base::milliseconds MinStepTarget{40};
/// Fraction of the capacity that a yield should free.
constexpr double MinFreedFraction = 0.025;
/// Time in which the risk added by yields decays to 1/e.
constexpr double RiskDecaySeconds = 120;
constexpr double MaxRiskBoost = 3;

double weightOf(const JobSpec &spec) {
  return spec.Share * std::pow(PriorityFactor, spec.Priority - NeutralPriority);
}

double toMillis(base::Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

Scheduler::Scheduler(SchedulerOptions options) : Options(std::move(options)) {}

bool Scheduler::isOnEngine(const Job &job) const {
  return job.State == JobState::Prefilling || job.State == JobState::Running ||
         job.State == JobState::Yielding;
}

double Scheduler::survival(const Job &job, std::uint32_t additional) const {
  if (job.Produced + additional >= job.Spec.MaxTokens)
    return 0;
  if (Options.Survival)
    return Options.Survival({job.Id, job.Spec, job.Produced}, additional);
  return Lengths.survival(job.Spec.Class, job.Produced, additional);
}

void Scheduler::forecast(Job &job) {
  job.ForecastProduced = job.Produced;
  for (std::size_t i = 0; i < Horizons.size(); ++i) {
    const double survivalProbability = survival(job, Horizons[i]);
    const double size = static_cast<double>(job.tokens() + Horizons[i]);
    job.Mean[i] = survivalProbability * size;
    job.Variance[i] =
        survivalProbability * (1 - survivalProbability) * size * size;
  }
}

void Scheduler::addForecast(const Job &job, double sign) {
  for (std::size_t i = 0; i < Horizons.size(); ++i) {
    MeanSum[i] += sign * job.Mean[i];
    VarianceSum[i] += sign * job.Variance[i];
  }
}

double Scheduler::minAttained() const {
  std::optional<double> lowest;
  for (const auto &[name, tenant] : Tenants)
    if (tenant.Active > 0 && (!lowest || tenant.Attained < *lowest))
      lowest = tenant.Attained;
  return lowest.value_or(0);
}

void Scheduler::activate(Tenant &tenant) {
  // An organisation gains no credit for the time in which it had no
  // generations.
  if (tenant.Active == 0)
    tenant.Attained = std::max(tenant.Attained, minAttained());
  ++tenant.Active;
}

void Scheduler::add(base::Instant now, JobId id, const JobSpec &spec) {
  Tenant &tenant = Tenants[spec.Organisation];
  tenant.Share = weightOf(spec);
  activate(tenant);
  tenant.Queue.push_back(id);
  ++WaitingJobs;
  Job &job = Jobs[id];
  job.Id = id;
  job.Spec = spec;
  job.StateSince = now;
}

base::milliseconds Scheduler::predictedWait(const JobSpec &spec) const {
  const auto it = Tenants.find(spec.Organisation);
  const double ahead =
      it == Tenants.end() ? 0 : static_cast<double>(it->second.Queue.size());
  // Fair queueing serves all organisations with waiting generations in turn.
  double queues = 1;
  for (const auto &[name, tenant] : Tenants)
    if (!tenant.Queue.empty() && name != spec.Organisation)
      queues += tenant.Share / weightOf(spec);
  const double wait =
      std::min(static_cast<double>(WaitingJobs), ahead * queues) *
      AdmissionIntervalMs;
  return base::milliseconds(static_cast<std::int64_t>(wait));
}

void Scheduler::placeOnEngine(base::Instant now, Job &job) {
  job.PrefillTokens = static_cast<std::uint32_t>(job.tokens());
  job.State = JobState::Prefilling;
  job.StateSince = now;
  PrefillInFlight += job.PrefillTokens;
  UsedTokens += job.tokens();
  ++OnEngine;
  StallWeightSum += job.Spec.StallWeight;
  GapWeightSum += job.Spec.GapWeight;
  Tenant &tenant = Tenants[job.Spec.Organisation];
  tenant.UsedTokens += job.tokens();
  tenant.Attained += PromptTokenCost * job.Spec.PromptTokens / tenant.Share;
  // A generation that runs alone may exceed the capacity: there is no other way
  // to run it.
  base::invariant(base::Invariant::MemoryWithinLimit,
                  Options.Rule == AdmissionRule::Greedy || OnEngine == 1 ||
                      UsedTokens <= Options.CapacityTokens,
                  job.Spec.Organisation);
  forecast(job);
  addForecast(job, 1);
}

void Scheduler::removeFromEngine(Job &job) {
  if (job.State == JobState::Prefilling)
    PrefillInFlight -= job.PrefillTokens;
  if (job.State == JobState::Yielding)
    YieldingTokens -= job.tokens();
  UsedTokens -= job.tokens();
  --OnEngine;
  StallWeightSum -= job.Spec.StallWeight;
  GapWeightSum -= job.Spec.GapWeight;
  Tenants[job.Spec.Organisation].UsedTokens -= job.tokens();
  addForecast(job, -1);
  if (OnEngine > 0)
    return;
  // The engine is empty: reset the sums to remove rounding errors.
  MeanSum = {};
  VarianceSum = {};
  StallWeightSum = 0;
  GapWeightSum = 0;
}

void Scheduler::recordTokens(base::Instant now, JobId id, std::uint32_t count) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || !isOnEngine(it->second))
    return;
  Job &job = it->second;
  if (job.State == JobState::Prefilling) {
    PrefillInFlight -= job.PrefillTokens;
    job.State = JobState::Running;
    job.StateSince = now;
  }
  if (job.State == JobState::Yielding)
    YieldingTokens += count;
  Lengths.recordProgress(job.Spec.Class, job.Produced, job.Produced + count);
  job.Produced += count;
  UsedTokens += count;
  Tenant &tenant = Tenants[job.Spec.Organisation];
  tenant.UsedTokens += count;
  tenant.Attained += count / tenant.Share;
  if (job.Produced - job.ForecastProduced < TokensPerForecast)
    return;
  addForecast(job, -1);
  forecast(job);
  addForecast(job, 1);
}

void Scheduler::recordYielded(base::Instant now, JobId id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || !isOnEngine(it->second))
    return;
  Job &job = it->second;
  removeFromEngine(job);
  // A preemption by the engine counts as a yield as well.
  if (job.State != JobState::Yielding)
    ++job.Yields;
  job.State = JobState::Yielded;
  job.StateSince = now;
  Yielded.push_back(id);
}

void Scheduler::remove(base::Instant, JobId id, bool ended) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  Tenant &tenant = Tenants[job.Spec.Organisation];
  if (isOnEngine(job))
    removeFromEngine(job);
  if (job.State == JobState::Waiting) {
    std::erase(tenant.Queue, id);
    --WaitingJobs;
  }
  if (job.State == JobState::Yielded)
    std::erase(Yielded, id);
  if (ended)
    Lengths.recordEnd(job.Spec.Class, job.Produced);
  --tenant.Active;
  Jobs.erase(it);
}

void Scheduler::recordStep(base::Duration step, std::uint32_t prefillTokens) {
  const double ms = toMillis(step);
  if (prefillTokens == 0) {
    PlainStepMs += LearningRate * (ms - PlainStepMs);
    return;
  }
  const double perToken = (ms - PlainStepMs) / prefillTokens;
  if (perToken > 0)
    PrefillTokenMs += LearningRate * (perToken - PrefillTokenMs);
}

double Scheduler::riskFactor() const {
  const double risk = Options.RiskFactor + RiskBoost;
  if (OnEngine == 0)
    return risk;
  return risk * std::sqrt(StallWeightSum / OnEngine);
}

void Scheduler::decayRisk(base::Instant now) {
  const std::chrono::duration<double> since = now - RiskDecayedAt;
  RiskDecayedAt = now;
  RiskBoost *= std::exp(-std::min(since.count() / RiskDecaySeconds, 50.0));
}

base::milliseconds Scheduler::stepTarget() const {
  if (OnEngine == 0)
    return Options.StepTarget;
  const double weight = std::max(GapWeightSum / OnEngine, 0.1);
  const auto target = base::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Options.StepTarget.count()) / std::sqrt(weight)));
  return std::max(target, MinStepTarget);
}

bool Scheduler::exceedsFairShare(const Tenant &tenant) const {
  double shares = 0;
  for (const auto &[name, other] : Tenants)
    if (other.Active > 0)
      shares += other.Share;
  const double fairShare = static_cast<double>(Options.CapacityTokens) *
                           tenant.Share / std::max(shares, tenant.Share);
  return static_cast<double>(tenant.UsedTokens) >
         FairShareTolerance * fairShare;
}

std::uint64_t Scheduler::capacityLimit(const Job &job) const {
  const auto it = Tenants.find(job.Spec.Organisation);
  if (it == Tenants.end() || !exceedsFairShare(it->second))
    return Options.CapacityTokens;
  return static_cast<std::uint64_t>(
      static_cast<double>(Options.CapacityTokens) *
      Options.OverShareCapacityFraction);
}

bool Scheduler::fitsNow(const Job &job) const {
  const std::uint64_t growth = YieldLatencySteps * (OnEngine + 1ULL);
  return UsedTokens + job.tokens() + growth <= Options.CapacityTokens;
}

bool Scheduler::fitsForecast(const Job &job, std::uint64_t limit) const {
  const double z = riskFactor();
  for (std::size_t i = 0; i < Horizons.size(); ++i) {
    if (Horizons[i] > Options.MaxHorizon)
      break;
    const double mean = MeanSum[i] + job.Mean[i];
    const double variance = std::max(VarianceSum[i] + job.Variance[i], 0.0);
    if (mean + z * std::sqrt(variance) > static_cast<double>(limit))
      return false;
  }
  return true;
}

bool Scheduler::canAdmit(Job &job) {
  if (Options.Rule == AdmissionRule::Greedy)
    return true;
  if (Options.Rule == AdmissionRule::Reserve)
    return (OnEngine + 1ULL) * (Options.ReserveTokens) <=
               Options.CapacityTokens &&
           fitsNow(job);
  // An empty engine admits any generation, however large: it can only run
  // alone.
  if (OnEngine == 0)
    return true;
  const std::uint64_t limit = capacityLimit(job);
  if (!fitsNow(job) || UsedTokens + job.tokens() > limit)
    return false;
  forecast(job);
  return fitsForecast(job, limit);
}

bool Scheduler::isWithinPrefillBudget(const Job &job) const {
  if (Options.StepTarget.count() == 0 || PrefillInFlight == 0)
    return true;
  const double stretch =
      PrefillTokenMs * static_cast<double>(PrefillInFlight + job.tokens());
  return PlainStepMs + stretch <= static_cast<double>(stepTarget().count());
}

Scheduler::Job *Scheduler::nextWaiting() {
  Tenant *best = nullptr;
  for (auto &[name, tenant] : Tenants) {
    if (tenant.Queue.empty())
      continue;
    // A newly active organisation starts with the minimum attained service.
    // Comparing used tokens next puts it first, as it has none on the engine.
    const auto rank = [](const Tenant &t) {
      return std::pair(t.Attained, t.UsedTokens);
    };
    if (!best || rank(tenant) < rank(*best))
      best = &tenant;
  }
  return best ? &Jobs.at(best->Queue.front()) : nullptr;
}

Scheduler::Job *Scheduler::selectVictim() {
  // Prefer the generation with the fewest yields, which bounds the yields of
  // each one, then the lowest priority, then the lowest stall weight. Among
  // equals, prefer the smallest one that frees enough capacity, because it is
  // the cheapest to resume; yielding several small ones would make all of them
  // wait.
  Job *best = nullptr;
  const double minFreed =
      static_cast<double>(Options.CapacityTokens) * MinFreedFraction;
  const auto rank = [&](const Job &job) {
    const bool isProtected = job.Yields >= Options.MaxYields;
    const auto size = static_cast<double>(job.tokens());
    const bool isSmall = size < minFreed;
    return std::tuple(isProtected, job.Yields, job.Spec.Priority,
                      job.Spec.StallWeight, isSmall, isSmall ? -size : size);
  };
  for (auto &[id, job] : Jobs) {
    if (job.State != JobState::Running)
      continue;
    if (!best || rank(job) < rank(*best) ||
        (rank(job) == rank(*best) && job.Id > best->Id))
      best = &job;
  }
  return best;
}

void Scheduler::yieldForCapacity(base::Instant now, Decisions &out) {
  if (Options.Rule == AdmissionRule::Greedy)
    return;
  const std::uint64_t growth = YieldLatencySteps * OnEngine;
  while (UsedTokens - YieldingTokens + growth > Options.CapacityTokens) {
    Job *job = selectVictim();
    // The only generation on the engine does not yield: no other could use the
    // capacity.
    if (!job || OnEngine < 2)
      return;
    yield(now, *job, out);
  }
}

void Scheduler::yield(base::Instant now, Job &job, Decisions &out) {
  const bool allProtected =
      std::none_of(Jobs.begin(), Jobs.end(), [&](const auto &entry) {
        return entry.second.State == JobState::Running &&
               entry.second.Yields < Options.MaxYields;
      });
  base::invariant(base::Invariant::BoundedYields,
                  job.Yields < Options.MaxYields || allProtected,
                  job.Spec.Organisation);
  job.State = JobState::Yielding;
  job.StateSince = now;
  ++job.Yields;
  YieldingTokens += job.tokens();
  RiskBoost = std::min(RiskBoost + Options.RiskPerYield, MaxRiskBoost);
  out.Yield.push_back(job.Id);
}

bool Scheduler::canResume(const Job &job) const {
  const auto headroom = static_cast<std::uint64_t>(
      static_cast<double>(Options.CapacityTokens) * ResumeHeadroomFraction);
  return OnEngine == 0 || UsedTokens + job.tokens() + headroom +
                                  YieldLatencySteps * (OnEngine + 1ULL) <=
                              Options.CapacityTokens;
}

/// Bounds the wait of yielded generations: running ones with fewer yields yield
/// to the one that has waited longest.
void Scheduler::yieldForOldest(base::Instant now, Decisions &out) {
  if (Yielded.empty() || YieldingTokens > 0)
    return;
  const Job &oldest = Jobs.at(Yielded.front());
  if (now - oldest.StateSince < Options.ForceResumeAfter)
    return;
  std::uint64_t freed = 0;
  while (!canResume(oldest) && freed < oldest.tokens()) {
    Job *job = selectVictim();
    if (!job || job->Yields >= oldest.Yields)
      return;
    freed += job->tokens();
    yield(now, *job, out);
  }
}

bool Scheduler::resume(base::Instant now, Decisions &out) {
  while (!Yielded.empty()) {
    Job &job = Jobs.at(Yielded.front());
    if (!canResume(job) || !isWithinPrefillBudget(job))
      return false;
    Yielded.pop_front();
    placeOnEngine(now, job);
    out.Start.push_back(job.Id);
  }
  return true;
}

void Scheduler::admit(base::Instant now, Decisions &out) {
  while (Job *job = nextWaiting()) {
    if (!isWithinPrefillBudget(*job) || !canAdmit(*job))
      return;
    Tenants[job->Spec.Organisation].Queue.pop_front();
    --WaitingJobs;
    placeOnEngine(now, *job);
    out.Start.push_back(job->Id);
    const double since = toMillis(now - LastAdmission);
    constexpr double MaxIntervalMs = 5'000;
    AdmissionIntervalMs +=
        LearningRate * (std::min(since, MaxIntervalMs) - AdmissionIntervalMs);
    LastAdmission = now;
  }
}

Decisions Scheduler::decide(base::Instant now) {
  Decisions out;
  decayRisk(now);
  yieldForCapacity(now, out);
  // Yielded generations resume before new ones are admitted.
  if (!resume(now, out))
    yieldForOldest(now, out);
  else if (YieldingTokens == 0)
    admit(now, out);
  return out;
}

std::uint32_t Scheduler::yieldCount(JobId id) const {
  const auto it = Jobs.find(id);
  return it == Jobs.end() ? 0 : it->second.Yields;
}

SchedulerLoad Scheduler::load() const {
  SchedulerLoad load;
  load.Running = OnEngine;
  load.Waiting = WaitingJobs + static_cast<std::uint32_t>(Yielded.size());
  load.UsedTokens = UsedTokens;
  load.CapacityTokens = Options.CapacityTokens;
  load.PredictedWait = base::milliseconds(
      static_cast<std::int64_t>(AdmissionIntervalMs * WaitingJobs));
  return load;
}

} // namespace drumlanding::agent
