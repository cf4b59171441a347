#include "drumlanding/agent/lengths.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace drumlanding::agent {
namespace {

/// Weight of the parent estimate (all classes, or the prior) in the hazard of a
/// bucket, as a number of observations.
constexpr double ParentWeight = 25;
/// Number of newer observations in the same bucket after which an observation
/// has decayed to 1/e.
constexpr double DecayObservations = 300;
/// A survival curve is recomputed after this many observations.
constexpr int ChangesPerRebuild = 24;
/// Median of the prior, a wide log-normal distribution of output lengths. It is
/// above the median of most workloads, so that admission is cautious until
/// lengths are learnt.
constexpr double PriorMedian = 250;
constexpr double PriorSigma = 1.3;
constexpr double MinHazard = 1e-4;
constexpr double MaxHazard = 0.98;

double bucketStart(int bucket) {
  return std::exp2(static_cast<double>(bucket) / LengthModel::BucketsPerOctave);
}

double priorSurvival(double length) {
  const double z = (std::log(length) - std::log(PriorMedian)) / PriorSigma;
  return 0.5 * std::erfc(z / std::sqrt(2.0));
}

} // namespace

LengthClass lengthClass(std::string_view organisation, std::string_view model) {
  return base::mix64(base::hash64(organisation), base::hash64(model));
}

LengthModel::LengthModel() {
  for (int b = 0; b < Buckets; ++b) {
    const double before = std::max(priorSurvival(bucketStart(b)), 1e-9);
    const double after = priorSurvival(bucketStart(b + 1));
    PriorHazard[b] = std::clamp(1 - after / before, MinHazard, MaxHazard);
  }
  rebuild(AllClasses, PriorHazard);
  AllClassesHazard = hazards(AllClasses, PriorHazard);
}

int LengthModel::bucketOf(std::uint32_t length) {
  if (length < 2)
    return 0;
  const double octaves = std::log2(static_cast<double>(length));
  return std::min(static_cast<int>(octaves * BucketsPerOctave), Buckets - 1);
}

void LengthModel::addObservation(Curve &curve, int bucket, bool ended) {
  const double decay = 1 - 1 / DecayObservations;
  curve.Exposure[bucket] = curve.Exposure[bucket] * decay + 1;
  curve.Ends[bucket] = curve.Ends[bucket] * decay + (ended ? 1 : 0);
  ++curve.ChangesSinceRebuild;
}

void LengthModel::observe(LengthClass cls, int bucket, bool ended) {
  addObservation(AllClasses, bucket, ended);
  if (AllClasses.ChangesSinceRebuild >= ChangesPerRebuild) {
    rebuild(AllClasses, PriorHazard);
    AllClassesHazard = hazards(AllClasses, PriorHazard);
  }
  const auto [it, isNew] = Classes.try_emplace(cls);
  Curve &curve = it->second;
  addObservation(curve, bucket, ended);
  if (isNew || curve.ChangesSinceRebuild >= ChangesPerRebuild)
    rebuild(curve, AllClassesHazard);
}

void LengthModel::recordProgress(LengthClass cls, std::uint32_t from,
                                 std::uint32_t to) {
  for (int b = bucketOf(from); b < bucketOf(to); ++b)
    observe(cls, b, false);
}

void LengthModel::recordEnd(LengthClass cls, std::uint32_t length) {
  observe(cls, bucketOf(length), true);
}

LengthModel::BucketValues
LengthModel::hazards(const Curve &curve, const BucketValues &parent) const {
  BucketValues row{};
  for (int b = 0; b < Buckets; ++b) {
    const double ends = curve.Ends[b] + ParentWeight * parent[b];
    const double exposure = curve.Exposure[b] + ParentWeight;
    row[b] = std::clamp(ends / exposure, MinHazard, MaxHazard);
  }
  return row;
}

void LengthModel::rebuild(Curve &curve, const BucketValues &parentHazard) {
  const BucketValues hazard = hazards(curve, parentHazard);
  double sum = 0;
  for (int b = 0; b < Buckets; ++b) {
    sum += std::log1p(-hazard[b]);
    curve.LogSurvival[b] = sum;
  }
  curve.ChangesSinceRebuild = 0;
}

double LengthModel::logSurvivalAt(const Curve &curve, double length) const {
  if (length <= 1)
    return 0;
  const double position = std::log2(length) * BucketsPerOctave;
  const int b = std::min(static_cast<int>(position), Buckets - 1);
  const double before = b == 0 ? 0 : curve.LogSurvival[b - 1];
  const double fraction = std::min(position - b, 1.0);
  return before + (curve.LogSurvival[b] - before) * fraction;
}

const LengthModel::Curve &LengthModel::curveOf(LengthClass cls) const {
  const auto it = Classes.find(cls);
  return it == Classes.end() ? AllClasses : it->second;
}

double LengthModel::survival(LengthClass cls, std::uint32_t produced,
                             std::uint32_t additional) const {
  const Curve &curve = curveOf(cls);
  const double logCurrent = logSurvivalAt(curve, produced);
  const double logFuture = logSurvivalAt(curve, produced + additional);
  return std::exp(logFuture - logCurrent);
}

double LengthModel::expectedRemaining(LengthClass cls, std::uint32_t produced,
                                      std::uint32_t limit) const {
  const Curve &curve = curveOf(cls);
  const double logCurrent = logSurvivalAt(curve, produced);
  double sum = 0;
  double from = produced;
  for (int b = bucketOf(produced); b < Buckets && from < limit; ++b) {
    const double to = std::min<double>(bucketStart(b + 1), limit);
    if (to <= from)
      continue;
    const double survivalProbability =
        std::exp(logSurvivalAt(curve, (from + to) / 2) - logCurrent);
    sum += survivalProbability * (to - from);
    from = to;
  }
  return sum;
}

} // namespace drumlanding::agent
