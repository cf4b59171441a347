/// Model of output lengths: estimates online how many tokens the generations of
/// a class produce.
///
///   LengthModel lengths;
///   lengths.recordProgress(cls, from, to);
///   lengths.recordEnd(cls, length);
///   // Probability that a generation with 100 tokens reaches 164.
///   double p = lengths.survival(cls, 100, 64);
///
/// Uses the Kaplan-Meier estimator (1958) over geometric buckets. Running
/// generations count as exposure, so a drift to longer outputs shows before the
/// first long generation ends. Old observations decay exponentially.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

/// Hash of an organisation and a model, whose generations share an estimate.
using LengthClass = std::uint64_t;

/// Returns the class of an organisation's generations on a model.
LengthClass lengthClass(std::string_view organisation, std::string_view model);

class LengthModel {
public:
  /// Each bucket spans a quarter octave of lengths, from 1 to 2^16 tokens.
  static constexpr int BucketsPerOctave = 4;
  static constexpr int Buckets = 16 * BucketsPerOctave;

  LengthModel();

  /// Records that a generation of `cls` grew from `from` to `to` tokens without
  /// ending.
  void recordProgress(LengthClass cls, std::uint32_t from, std::uint32_t to);

  /// Records that a generation ended by itself after `length` tokens.
  void recordEnd(LengthClass cls, std::uint32_t length);

  /// Returns the probability that a generation with `produced` tokens produces
  /// at least `additional` more. Unknown classes use the estimate over all
  /// classes, which starts from a cautious prior.
  double survival(LengthClass cls, std::uint32_t produced,
                  std::uint32_t additional) const;

  /// Returns the expected number of tokens that a generation with `produced`
  /// tokens adds until it ends or has `limit` tokens.
  double expectedRemaining(LengthClass cls, std::uint32_t produced,
                           std::uint32_t limit) const;

private:
  using BucketValues = std::array<double, Buckets>;
  /// Decayed counts of one class and the survival curve computed from them.
  struct Curve {
    BucketValues Exposure{};
    BucketValues Ends{};
    /// Logarithm of the probability of growing beyond each bucket.
    BucketValues LogSurvival{};
    int ChangesSinceRebuild = 0;
  };

  static int bucketOf(std::uint32_t length);
  static void addObservation(Curve &curve, int bucket, bool ended);
  void observe(LengthClass cls, int bucket, bool ended);
  void rebuild(Curve &curve, const BucketValues &parentHazard);
  BucketValues hazards(const Curve &curve, const BucketValues &parent) const;
  double logSurvivalAt(const Curve &curve, double length) const;
  const Curve &curveOf(LengthClass cls) const;

  BucketValues PriorHazard{};
  BucketValues AllClassesHazard{};
  Curve AllClasses;
  std::unordered_map<LengthClass, Curve> Classes;
};

} // namespace drumlanding::agent
