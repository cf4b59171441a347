/// Response memory: bounds what a gateway holds of servers' responses until
/// their callers have read them, each of them and all together.
///
///   ResponseMemory memory(limits);
///   ResponseMemory::Allocation body(memory);
///   if (!body.grow(chunk.size()))
///     fail();   // released with `body`
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

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
    ~Allocation() { clear(); }

    /// Returns false if the body, or all bodies together, would exceed their
    /// limit.
    bool grow(std::size_t n);
    /// Returns whether the body would exceed its own limit.
    bool isTooLarge(std::size_t n) const {
      return Bytes + n > Memory.Limits.MaxBodyBytes;
    }
    /// Returns whether the body, and all bodies together, would stay within
    /// their limits.
    bool fits(std::size_t n) const;
    /// Releases the memory.
    void clear();

  private:
    friend class ResponseMemory;

    std::size_t addedBytes(std::size_t n) const {
      return countedBytes(Bytes + n) - countedBytes(Bytes);
    }
    static std::size_t countedBytes(std::size_t n) {
      return n > UncountedBytes ? n - UncountedBytes : 0;
    }

    ResponseMemory &Memory;
    std::size_t Bytes = 0;
  };

  /// While it exists, an allocation waits for memory that others release.
  class Waiter {
  public:
    /// `wake` is called when memory has been released.
    Waiter(Allocation &allocation, std::function<void()> wake);
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;
    ~Waiter();

    /// Returns false if all memory is held by allocations that wait.
    bool isUseful() const;

  private:
    Allocation &Waiting;
    std::list<std::function<void()>>::iterator Position;
  };

private:
  ResponseLimits Limits;
  std::size_t TotalBytes = 0;
  /// The part of TotalBytes that allocations hold which wait for more.
  std::size_t WaitingBytes = 0;
  std::list<std::function<void()>> Waiters;
};

inline bool ResponseMemory::Allocation::fits(std::size_t n) const {
  const std::size_t added = addedBytes(n);
  return !isTooLarge(n) && (added == 0 || Memory.TotalBytes + added <=
                                              Memory.Limits.MaxTotalBytes);
}

inline bool ResponseMemory::Allocation::grow(std::size_t n) {
  if (!fits(n))
    return false;
  Memory.TotalBytes += addedBytes(n);
  Bytes += n;
  return true;
}

inline void ResponseMemory::Allocation::clear() {
  const std::size_t released = countedBytes(Bytes);
  Bytes = 0;
  if (released == 0)
    return;
  Memory.TotalBytes -= released;
  for (const std::function<void()> &wake : Memory.Waiters)
    wake();
}

inline ResponseMemory::Waiter::Waiter(Allocation &allocation,
                                      std::function<void()> wake)
    : Waiting(allocation) {
  ResponseMemory &memory = allocation.Memory;
  memory.WaitingBytes += Allocation::countedBytes(allocation.Bytes);
  Position = memory.Waiters.insert(memory.Waiters.end(), std::move(wake));
}

inline ResponseMemory::Waiter::~Waiter() {
  ResponseMemory &memory = Waiting.Memory;
  memory.WaitingBytes -= Allocation::countedBytes(Waiting.Bytes);
  memory.Waiters.erase(Position);
}

inline bool ResponseMemory::Waiter::isUseful() const {
  return Waiting.Memory.TotalBytes > Waiting.Memory.WaitingBytes;
}

} // namespace drumlanding::gateway
