/// Response memory: bounds what a gateway holds of servers' responses, each of
/// them and all together.
///
///   ResponseMemory memory(limits);
///   ResponseMemory::Allocation body(memory);
///   if (!body.grow(chunk.size()))
///     fail();   // released with `body`
#pragma once

#include <cstddef>

namespace drumlanding::gateway {

struct ResponseLimits {
  /// Maximum size of the body of one response.
  std::size_t MaxBodyBytes = 8 << 20;
  /// Maximum size of all bodies held at once.
  std::size_t MaxTotalBytes = 24 << 20;
};

class ResponseMemory {
public:
  /// A body up to this size does not count towards the total, so that large
  /// ones do not displace the ordinary ones.
  static constexpr std::size_t UncountedBytes = 16 << 10;

  explicit ResponseMemory(ResponseLimits limits) : Limits(limits) {}
  ResponseMemory(const ResponseMemory &) = delete;
  ResponseMemory &operator=(const ResponseMemory &) = delete;

  void setLimits(const ResponseLimits &limits) { Limits = limits; }
  std::size_t totalBytes() const { return TotalBytes; }

  /// The memory of one body.
  class Allocation {
  public:
    explicit Allocation(ResponseMemory &memory) : Memory(memory) {}
    Allocation(const Allocation &) = delete;
    Allocation &operator=(const Allocation &) = delete;
    ~Allocation() { Memory.TotalBytes -= countedBytes(Bytes); }

    /// Returns false if the body, or all bodies together, would exceed their
    /// limit.
    bool grow(std::size_t n);

  private:
    static std::size_t countedBytes(std::size_t n) {
      return n > UncountedBytes ? n - UncountedBytes : 0;
    }

    ResponseMemory &Memory;
    std::size_t Bytes = 0;
  };

private:
  ResponseLimits Limits;
  std::size_t TotalBytes = 0;
};

inline bool ResponseMemory::Allocation::grow(std::size_t n) {
  const std::size_t bytes = Bytes + n;
  const std::size_t added = countedBytes(bytes) - countedBytes(Bytes);
  if (bytes > Memory.Limits.MaxBodyBytes ||
      (added > 0 && Memory.TotalBytes + added > Memory.Limits.MaxTotalBytes))
    return false;
  Memory.TotalBytes += added;
  Bytes = bytes;
  return true;
}

} // namespace drumlanding::gateway
