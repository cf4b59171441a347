/// Body budget: bounds the memory of the large request bodies that a server
/// holds. A body that does not fit yet is not read further, so that its
/// caller's sends are delayed; one that waits too long is refused. While others
/// wait, bodies that arrive too slowly are aborted.
///
///   auto budget = std::make_shared<BodyBudget>(options);
///   BodyBudget::Reservation memory(budget, executor, abort);
///   if (!co_await memory.reserve(contentLength))
///     refuse();   // released with `memory`
///   memory.setReceived(body.size());
///
/// A body's memory is reserved as a whole: bodies that were each held in part
/// would wait for each other. Not thread-safe: for servers whose io_context
/// runs on one thread.
#pragma once

#include "drumlanding/base/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace drumlanding::http {

namespace asio = boost::asio;

struct BodyBudgetOptions {
  /// Maximum memory for all bodies. A larger body is only read alone.
  std::size_t MaxBytes = 24 << 20;
  /// How long a body waits for memory. Callers abandon a request that is not
  /// read for a second.
  base::milliseconds MaxWait{500};
  /// A body that arrives at less than `MinBytesPerSecond` for this time is too
  /// slow.
  base::milliseconds SlowAfter{1'000};
  std::size_t MinBytesPerSecond = 16 << 10;
};

class BodyBudget {
public:
  /// Bodies up to this size need no reservation, so that large ones do not
  /// delay the ordinary ones.
  static constexpr std::size_t MaxUnreservedBytes = 16 << 10;

  explicit BodyBudget(BodyBudgetOptions options) : Options(options) {}
  BodyBudget(const BodyBudget &) = delete;
  BodyBudget &operator=(const BodyBudget &) = delete;

  void setOptions(const BodyBudgetOptions &options);
  std::size_t reservedBytes() const { return ReservedBytes; }

  /// Called when a body is refused.
  std::function<void()> OnRefused;

  /// The memory of one body.
  class Reservation {
  public:
    /// `abort` ends the reading of the body.
    Reservation(std::shared_ptr<BodyBudget> budget,
                asio::any_io_executor executor, std::function<void()> abort);
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation();

    /// Waits until the body fits; returns false if it does not fit in time.
    asio::awaitable<bool> reserve(std::size_t bytes);
    /// Records how much of the body has arrived.
    void setReceived(std::size_t bytes);
    /// Releases what a body that is complete does not need.
    void shrink(std::size_t bytes);

  private:
    friend class BodyBudget;
    using TimePoint = asio::steady_timer::clock_type::time_point;

    bool isSlow(TimePoint now) const;
    bool isLong(TimePoint from, TimePoint now) const {
      return now - from >= Budget->Options.SlowAfter;
    }

    std::shared_ptr<BodyBudget> Budget;
    std::size_t Bytes = 0;
    /// The position among those that wait; 0 before and after.
    std::uint64_t Ticket = 0;
    asio::steady_timer Timer;
    std::function<void()> Abort;
    TimePoint ReceivedAt{};
    /// The time over which the rate is measured, and what had arrived at its
    /// start.
    TimePoint WindowStart{};
    std::size_t WindowBytes = 0;
    /// The rate of the last window that is over was too low.
    bool WasSlow = false;
  };

private:
  bool fits(std::uint64_t ticket, std::size_t bytes) const;
  void release(std::size_t bytes);
  void wakeFirst();
  void abortSlow();

  BodyBudgetOptions Options;
  std::size_t ReservedBytes = 0;
  std::uint64_t LastTicket = 0;
  /// The timers of the reservations that wait, in the order of their arrival.
  std::map<std::uint64_t, asio::steady_timer *> Waiting;
  /// The reservations whose bodies are arriving.
  std::set<Reservation *> Arriving;
};

} // namespace drumlanding::http
