#include "plan-leader.h"

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

constexpr base::milliseconds LeaseTtl{5'000};
constexpr base::milliseconds PlanInterval{1'000};
/// How often an entry without the lease checks whether it is free.
constexpr base::milliseconds LeaseCheckInterval{3'000};

const base::Log PlanLog("entry.plan");

} // namespace

bool reportsAllModels(const wire::Report &report,
                      const plan::Assignment &assigned) {
  const auto isReported = [&](const std::string &name) {
    return std::find(report.models().begin(), report.models().end(), name) !=
           report.models().end();
  };
  return std::all_of(assigned.Models.begin(), assigned.Models.end(),
                     [&](const plan::LoadedModel &m) {
                       const std::string name = m.Model + "@" + m.Version;
                       return isReported(name) &&
                              std::all_of(m.Adapters.begin(), m.Adapters.end(),
                                          [&](const std::string &adapter) {
                                            return isReported(name + "+" +
                                                              adapter);
                                          });
                     });
}

PlanLeader::PlanLeader(const platform::Client &platform, std::string name,
                       InputProvider provideInput)
    : Platform(platform), Name(std::move(name)),
      ProvideInput(std::move(provideInput)) {}

asio::awaitable<void> PlanLeader::run() {
  for (;;) {
    if (LeaseId == 0)
      co_await acquireLease();
    if (LeaseId == 0) {
      co_await sleepFor(LeaseCheckInterval);
      continue;
    }
    co_await planOnce();
    co_await sleepFor(PlanInterval);
    const auto renewed = co_await Platform.renewLease(LeaseId);
    if (ok(renewed))
      continue;
    PlanLog.info("lease lost: {}", describe(error(renewed)));
    LeaseId = 0;
  }
}

asio::awaitable<void> PlanLeader::acquireLease() {
  const auto held = co_await Platform.read(platform::PlanLeaseKey);
  if (!ok(held) || value(held).Revision != 0)
    co_return;
  const auto lease = co_await Platform.grantLease(LeaseTtl);
  if (!ok(lease))
    co_return;
  const auto swap = co_await Platform.compareAndSwap(platform::PlanLeaseKey, 0,
                                                     Name, value(lease));
  if (!ok(swap) || !value(swap).Swapped)
    co_return;
  LeaseId = value(lease);
  PlanLog.info("lease taken");
}

asio::awaitable<void> PlanLeader::planOnce() {
  const std::optional<PlanInput> input = ProvideInput();
  if (!input)
    co_return;
  const auto held = co_await Platform.read(platform::PlanKey);
  if (!ok(held))
    co_return;
  plan::Plan current;
  if (value(held).Revision != 0) {
    auto parsed = plan::parsePlan(value(held).Value);
    if (!ok(parsed)) {
      PlanLog.error("cannot parse the stored plan, no new plan is written: {}",
                    describe(error(parsed)));
      co_return;
    }
    current = std::move(value(parsed));
  }
  plan::Plan next = plan::makePlan(*input->Bundle, input->Servers, current,
                                   input->IsConverged ? 1 : 0);
  if (next.Version == current.Version)
    co_return;
  next.Author = Name;
  next.Nonce = base::secureRandom64();
  const auto swap = co_await Platform.compareAndSwap(
      platform::PlanKey, value(held).Revision, plan::serialise(next));
  if (!ok(swap))
    // The write may have taken effect; the next round reads the stored plan.
    PlanLog.info("plan version={} write not confirmed; reading it again",
                 next.Version);
  else
    PlanLog.info("plan version={} bundle={} servers={} {}", next.Version,
                 next.BundleVersion, next.Assignments.size(),
                 value(swap).Swapped ? "written"
                                     : "not written: the stored plan changed");
}

} // namespace drumlanding::entry
