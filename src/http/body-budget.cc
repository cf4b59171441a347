#include "drumlanding/http/body-budget.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::http {

void BodyBudget::setOptions(const BodyBudgetOptions &options) {
  Options = options;
  wakeFirst();
}

/// Returns whether the body fits and no earlier one waits.
bool BodyBudget::fits(std::uint64_t ticket, std::size_t bytes) const {
  const bool isFirst = Waiting.empty() || Waiting.begin()->first == ticket;
  return isFirst &&
         (ReservedBytes == 0 || ReservedBytes + bytes <= Options.MaxBytes);
}

void BodyBudget::release(std::size_t bytes) {
  ReservedBytes -= bytes;
  wakeFirst();
}

/// Lets the first reservation that waits try again.
void BodyBudget::wakeFirst() {
  if (!Waiting.empty())
    Waiting.begin()->second->cancel();
}

/// Aborts the bodies that arrive too slowly; their memory is released when
/// their callers have been answered.
void BodyBudget::abortSlow() {
  const auto now = asio::steady_timer::clock_type::now();
  for (const Reservation *reservation : Arriving)
    if (reservation->isSlow(now))
      reservation->Abort();
}

BodyBudget::Reservation::Reservation(std::shared_ptr<BodyBudget> budget,
                                     asio::any_io_executor executor,
                                     std::function<void()> abort)
    : Budget(std::move(budget)), Timer(executor), Abort(std::move(abort)) {}

BodyBudget::Reservation::~Reservation() {
  Budget->Waiting.erase(Ticket);
  Budget->Arriving.erase(this);
  Budget->release(Bytes);
}

bool BodyBudget::Reservation::isSlow(TimePoint now) const {
  return WasSlow || isLong(ReceivedAt, now);
}

void BodyBudget::Reservation::setReceived(std::size_t bytes) {
  ReceivedAt = asio::steady_timer::clock_type::now();
  if (!isLong(WindowStart, ReceivedAt))
    return;
  const std::chrono::duration<double> elapsed = ReceivedAt - WindowStart;
  const auto least =
      static_cast<double>(Budget->Options.MinBytesPerSecond) * elapsed.count();
  WasSlow = static_cast<double>(bytes - WindowBytes) < least;
  WindowStart = ReceivedAt;
  WindowBytes = bytes;
}

asio::awaitable<bool> BodyBudget::Reservation::reserve(std::size_t bytes) {
  using Clock = asio::steady_timer::clock_type;
  const Clock::time_point expiry = Clock::now() + Budget->Options.MaxWait;
  Ticket = ++Budget->LastTicket;
  Budget->Waiting.emplace(Ticket, &Timer);
  bool isReserved = Budget->fits(Ticket, bytes);
  if (!isReserved)
    Budget->abortSlow();
  while (!isReserved && Clock::now() < expiry) {
    Timer.expires_at(expiry);
    boost::system::error_code ec;
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    isReserved = Budget->fits(Ticket, bytes);
  }
  Budget->Waiting.erase(Ticket);
  Ticket = 0;
  if (isReserved) {
    Bytes = bytes;
    Budget->ReservedBytes += bytes;
    WindowStart = ReceivedAt = Clock::now();
    Budget->Arriving.insert(this);
  } else if (Budget->OnRefused) {
    Budget->OnRefused();
  }
  // The next one may fit as well.
  Budget->wakeFirst();
  co_return isReserved;
}

void BodyBudget::Reservation::shrink(std::size_t bytes) {
  Budget->Arriving.erase(this);
  const std::size_t unused = Bytes - std::min(bytes, Bytes);
  Bytes -= unused;
  Budget->release(unused);
}

} // namespace drumlanding::http
