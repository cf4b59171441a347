/// Output lengths: how long generations of a kind go on, learnt online.
///
///   LengthModel lengths;
///   lengths.passed(cls, from, to);       // a generation produced more tokens
///   lengths.ended(cls, length);
///   double p = lengths.survival(cls, 100, 64); // still going at 164?
///
/// The estimate is Kaplan and Meier's (1958) over geometric buckets: running
/// generations count as exposure, so a drift to longer outputs is seen before
/// the first long one ends. Old observations fade.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace drumlanding::agent {

/// A kind of generation: an organisation's use of one model.
using LengthClass = std::uint64_t;

/// Returns the class of an organisation's generations on a model.
LengthClass lengthClass(std::string_view organisation, std::string_view model);

class LengthModel {
public:
  /// Buckets grow by a quarter octave, from 1 token to 2^16.
  static constexpr int BucketsPerOctave = 4;
  static constexpr int Buckets = 16 * BucketsPerOctave;

  LengthModel();

  /// Notes that a generation of `cls` went from `from` to `to` tokens without
  /// ending.
  void recordProgress(LengthClass cls, std::uint32_t from, std::uint32_t to);

  /// Notes that a generation ended by itself at `length` tokens.
  void recordEnd(LengthClass cls, std::uint32_t length);

  /// Returns the probability that a generation with `produced` tokens produces
  /// at least `more` further ones. Unknown classes use what all others show,
  /// and before that a cautious prior.
  double survival(LengthClass cls, std::uint32_t produced,
                  std::uint32_t additional) const;

  /// Returns the expected number of further tokens, at most `limit`.
  double expectedRemaining(LengthClass cls, std::uint32_t produced,
                           std::uint32_t limit) const;

private:
  using BucketValues = std::array<double, Buckets>;
  /// Faded counts of one class and the survival curve made of them.
  struct Curve {
    BucketValues Exposure{};
    BucketValues Ends{};
    /// Logarithm of the probability to get past the end of each bucket.
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
