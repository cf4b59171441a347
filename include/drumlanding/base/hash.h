/// Hashes and random numbers: fast, seeded ones for decisions and libsodium's
/// for ids.
///
///   std::uint64_t h = hash64("tutor-llm", seed);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace drumlanding::base {

/// Returns the 64-bit xxHash, which is the same in every process and release.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Mixes two numbers into one by the splitmix64 finaliser, for ranks in
/// rendezvous hashing.
constexpr std::uint64_t mix64(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// A seeded splitmix64 generator. The sequence of a seed is the same in every
/// release.
class Random {
public:
  explicit Random(std::uint64_t seed) : State(seed) {}
  std::uint64_t next() { return mix64(State += 0x9e3779b97f4a7c15ULL, 1); }
  /// Returns a number below `limit`, which must not be 0.
  std::uint64_t below(std::uint64_t limit) { return next() % limit; }
  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  bool chance(double probability) { return unit() < probability; }

private:
  std::uint64_t State;
};

/// Returns a cryptographically secure random number, for ids and seeds.
std::uint64_t secureRandom64();

/// Returns a cryptographically secure random id of 32 hexadecimal digits.
std::string randomId();

} // namespace drumlanding::base
