#include "plan-keeper.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/base/log.h"
#include "drumlanding/daemon/sleep.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::entry {
namespace {

namespace asio = platform::asio;
using daemon::sleepFor;

constexpr base::milliseconds LeaseTime{5'000};
constexpr base::milliseconds Round{1'000};
/// How often an entry without the lease looks whether it is free.
constexpr base::milliseconds LookEvery{3'000};

const base::Log PlanLog("entry.plan");

} // namespace

bool reportsAll(const wire::Report &report, const plan::Assignment &assigned) {
  return std::all_of(assigned.Models.begin(), assigned.Models.end(),
                     [&](const plan::LoadedModel &m) {
                       const std::string name = m.Model + "@" + m.Version;
                       return std::find(report.models().begin(),
                                        report.models().end(),
                                        name) != report.models().end();
                     });
}

PlanKeeper::PlanKeeper(const platform::Client &platform, std::string name,
                       Source source)
    : Platform(platform), Name(std::move(name)), Input(std::move(source)) {}

asio::awaitable<void> PlanKeeper::run() {
  for (;;) {
    if (Lease == 0)
      co_await takeLease();
    if (Lease == 0) {
      co_await sleepFor(LookEvery);
      continue;
    }
    co_await planOnce();
    co_await sleepFor(Round);
    const auto renewed = co_await Platform.renewLease(Lease);
    if (ok(renewed))
      continue;
    PlanLog.info("lease lost: {}", describe(error(renewed)));
    Lease = 0;
  }
}

asio::awaitable<void> PlanKeeper::takeLease() {
  const auto held = co_await Platform.read(platform::PlanLeaseKey);
  if (!ok(held) || value(held).Revision != 0)
    co_return;
  const auto lease = co_await Platform.grantLease(LeaseTime);
  if (!ok(lease))
    co_return;
  const auto swap = co_await Platform.compareAndSwap(platform::PlanLeaseKey, 0,
                                                     Name, value(lease));
  if (!ok(swap) || !value(swap).Swapped)
    co_return;
  Lease = value(lease);
  PlanLog.info("lease taken");
}

asio::awaitable<void> PlanKeeper::planOnce() {
  const std::optional<PlanInput> input = Input();
  if (!input)
    co_return;
  const auto held = co_await Platform.read(platform::PlanKey);
  if (!ok(held))
    co_return;
  plan::Plan current;
  if (value(held).Revision != 0) {
    auto parsed = plan::parsePlan(value(held).Value);
    if (!ok(parsed)) {
      PlanLog.error("the plan cannot be read: {}", describe(error(parsed)));
      co_return;
    }
    current = std::move(value(parsed));
  }
  plan::Plan next = plan::makePlan(*input->Bundle, input->Servers, current,
                                   input->IsSettled ? 1 : 0);
  if (next.Version == current.Version)
    co_return;
  next.Author = Name;
  next.Nonce = base::secureRandom64();
  const auto swap = co_await Platform.compareAndSwap(
      platform::PlanKey, value(held).Revision, plan::serialise(next));
  if (!ok(swap))
    // It may have taken effect: the next round reads and goes on from there.
    PlanLog.info("plan version={} answer lost", next.Version);
  else
    PlanLog.info("plan version={} bundle={} servers={} {}", next.Version,
                 next.BundleVersion, next.Assignments.size(),
                 value(swap).Swapped ? "written" : "lost the race");
}

} // namespace drumlanding::entry
